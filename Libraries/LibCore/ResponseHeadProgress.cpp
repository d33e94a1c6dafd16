#include <Acaciavale/LibCore/ResponseHeadProgress.h>

namespace Acaciavale {

bool IsStatusLine(std::string_view aLine)
{
  return aLine.starts_with("HTTP/");
}

ResponseHeadProgress WithHeadLine(ResponseHeadProgress aProgress,
                                  std::string_view aLine)
{
  if (IsStatusLine(aLine)) {
    const std::size_t status = aLine.find(' ');
    const bool isInterim = status != std::string_view::npos &&
                           aLine.substr(status + 1).starts_with('1');
    return { isInterim, false };
  }
  const bool isEnd = aLine == "\r\n" || aLine == "\n";
  if (isEnd) {
    aProgress.mIsComplete = !aProgress.mIsInterim;
  }
  return aProgress;
}

} // namespace Acaciavale
