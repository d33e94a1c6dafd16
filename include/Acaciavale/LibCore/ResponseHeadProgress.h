#pragma once

#include <compare>
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

  auto operator<=>(const ResponseHeadProgress&) const = default;
};

bool IsStatusLine(std::string_view aLine);

/// Returns the progress with one more line, which includes its line break.
ResponseHeadProgress WithHeadLine(ResponseHeadProgress aProgress,
                                  std::string_view aLine);

} // namespace Acaciavale
