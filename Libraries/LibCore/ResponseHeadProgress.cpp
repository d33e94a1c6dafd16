#include <Acaciavale/LibCore/ResponseHeadProgress.h>

namespace Acaciavale {

namespace {

/// Common limits of servers on the heads of a response.
constexpr std::size_t kMaximumLines = 512;
constexpr std::size_t kMaximumBytes = 64U << 10;

} // namespace

bool IsStatusLine(std::string_view aLine)
{
  return aLine.starts_with("HTTP/");
}

ResponseHeadProgress WithHeadLine(ResponseHeadProgress aProgress,
                                  std::string_view aLine)
{
  aProgress.mLines += 1;
  aProgress.mBytes += aLine.size();
  if (IsStatusLine(aLine)) {
    const std::size_t status = aLine.find(' ');
    const bool isInterim = status != std::string_view::npos &&
                           aLine.substr(status + 1).starts_with('1');
    aProgress.mIsInterim = isInterim;
    aProgress.mIsComplete = false;
    return aProgress;
  }
  const bool isEnd = aLine == "\r\n" || aLine == "\n";
  if (isEnd) {
    aProgress.mIsComplete = !aProgress.mIsInterim;
  }
  return aProgress;
}

bool IsHeadTooLarge(const ResponseHeadProgress& aProgress)
{
  return aProgress.mLines > kMaximumLines || aProgress.mBytes > kMaximumBytes;
}

} // namespace Acaciavale
