#include <Acaciavale/LibCore/ResponseHeadProgress.h>
#include <Acaciavale/LibCore/Text.h>

#include <algorithm>
#include <cctype>

namespace Acaciavale {

namespace {

/// Common limits of servers on the heads of a response.
constexpr std::size_t kMaximumLines = 512;
constexpr std::size_t kMaximumBytes = 64U << 10;

constexpr std::size_t kStatusDigits = 3;
constexpr std::string_view kBlanks = " \t\r\n";

std::string_view WithoutBlanks(std::string_view aText)
{
  const std::size_t begin = aText.find_first_not_of(kBlanks);
  if (begin == std::string_view::npos) {
    return {};
  }
  return aText.substr(begin, aText.find_last_not_of(kBlanks) + 1 - begin);
}

/// The status in a status line; empty if there is none.
std::string_view StatusIn(std::string_view aLine)
{
  const std::size_t blank = aLine.find(' ');
  if (blank == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = aLine.substr(blank + 1);
  return rest.substr(0, rest.find_first_of(kBlanks));
}

/// RFC 9110, section 15: from 100 to 599.
bool IsStatusOfHttp(std::string_view aStatus)
{
  return aStatus.size() == kStatusDigits && aStatus[0] >= '1' &&
         aStatus[0] <= '5' &&
         std::all_of(aStatus.begin(), aStatus.end(), [](unsigned char aDigit) {
           return std::isdigit(aDigit) != 0;
         });
}

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
    const std::string_view status = StatusIn(aLine);
    aProgress.mIsInterim = status.starts_with('1');
    aProgress.mIsComplete = false;
    aProgress.mIsInvalid = aProgress.mIsInvalid || !IsStatusOfHttp(status);
    aProgress.mHasTransferCoding = false;
    return aProgress;
  }
  const std::size_t colon = aLine.find(':');
  const bool isTransferCoding =
    !aProgress.mIsComplete && colon != std::string_view::npos &&
    EqualsIgnoringCase(aLine.substr(0, colon), "Transfer-Encoding");
  if (isTransferCoding) {
    const bool isSupported =
      !aProgress.mHasTransferCoding &&
      EqualsIgnoringCase(WithoutBlanks(aLine.substr(colon + 1)), "chunked");
    aProgress.mIsInvalid = aProgress.mIsInvalid || !isSupported;
    aProgress.mHasTransferCoding = true;
  }
  const bool isEnd = aLine == "\r\n" || aLine == "\n";
  if (isEnd) {
    aProgress.mIsComplete = !aProgress.mIsInterim;
  }
  return aProgress;
}

std::string_view HeadProblem(const ResponseHeadProgress& aProgress)
{
  if (aProgress.mIsInvalid) {
    return "The status or the transfer coding is not valid.";
  }
  if (aProgress.mLines > kMaximumLines || aProgress.mBytes > kMaximumBytes) {
    return "The head is too large.";
  }
  return {};
}

} // namespace Acaciavale
