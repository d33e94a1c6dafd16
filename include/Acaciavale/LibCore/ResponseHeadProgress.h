#pragma once

#include <compare>
#include <cstddef>
#include <string_view>

/// Tells whether the head of an HTTP response has been received to its end, and
/// is valid. libcurl takes a connection that closes within the head for the end
/// of an empty body, and accepts heads that are not valid.
namespace Acaciavale {

struct ResponseHeadProgress
{
  bool mIsInterim =
    false; ///< The latest status line is that of a 1xx response.
  bool mIsComplete = false; ///< The head of the final response has ended.
  /// A status is not one of HTTP, or the body could not be decoded.
  bool mIsInvalid = false;
  bool mHasTransferCoding = false;
  /// Lines and bytes of all heads, also of interim responses, and of trailers.
  std::size_t mLines = 0;
  std::size_t mBytes = 0;

  auto operator<=>(const ResponseHeadProgress&) const = default;
};

bool IsStatusLine(std::string_view aLine);

/// Returns the progress with one more line, which includes its line break.
ResponseHeadProgress WithHeadLine(ResponseHeadProgress aProgress,
                                  std::string_view aLine);

/// Why the response must not be read further, as its heads are invalid or
/// larger than any server needs (libcurl keeps each line); empty if it may.
std::string_view HeadProblem(const ResponseHeadProgress& aProgress);

} // namespace Acaciavale
