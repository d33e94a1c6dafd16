#pragma once

#include <compare>
#include <cstddef>
#include <string_view>

/// Tells whether the head of an HTTP response has been received to its end.
/// libcurl takes a connection that closes within the head for the end of an
/// empty body.
namespace Acaciavale {

struct ResponseHeadProgress
{
  bool mIsInterim =
    false; ///< The latest status line is that of a 1xx response.
  bool mIsComplete = false; ///< The head of the final response has ended.
  /// Lines and bytes of all heads, also of interim responses, and of trailers.
  std::size_t mLines = 0;
  std::size_t mBytes = 0;

  auto operator<=>(const ResponseHeadProgress&) const = default;
};

bool IsStatusLine(std::string_view aLine);

/// Returns the progress with one more line, which includes its line break.
ResponseHeadProgress WithHeadLine(ResponseHeadProgress aProgress,
                                  std::string_view aLine);

/// Whether the heads are larger than any server needs. libcurl keeps each line.
bool IsHeadTooLarge(const ResponseHeadProgress& aProgress);

} // namespace Acaciavale
