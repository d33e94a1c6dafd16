#include <Acaciavale/LibRelay/EventStreamParser.h>

#include <algorithm>
#include <charconv>

namespace Acaciavale::Relay {

namespace {

/// Length of the longest blank line, "\r\n\r\n".
constexpr std::size_t kMaximumBlankLineBytes = 4;

/// The offset after the blank line that ends the first event, or npos. The
/// first aSearchedBytes are known not to contain it.
std::size_t EndOfEvent(std::string_view aText, std::size_t aSearchedBytes)
{
  const std::size_t from =
    aSearchedBytes - std::min(aSearchedBytes, kMaximumBlankLineBytes - 1);
  const std::size_t lfEnd = aText.find("\n\n", from);
  const std::size_t crlfEnd = aText.find("\r\n\r\n", from);
  if (crlfEnd < lfEnd) {
    return crlfEnd + 4;
  }
  return lfEnd == std::string_view::npos ? lfEnd : lfEnd + 2;
}

std::optional<std::int64_t> IdOf(std::string_view aEvent)
{
  std::optional<std::int64_t> id;
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with("id:")) {
      continue;
    }
    line.remove_prefix(3);
    while (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    std::int64_t number = 0;
    const auto parsed =
      std::from_chars(line.data(), line.data() + line.size(), number);
    if (parsed.ec == std::errc()) {
      id = number;
    }
  }
  return id;
}

bool HasOnlyComments(std::string_view aEvent)
{
  std::size_t start = 0;
  while (start < aEvent.size()) {
    const std::size_t end = std::min(aEvent.find('\n', start), aEvent.size());
    const std::string_view line = aEvent.substr(start, end - start);
    start = end + 1;
    if (!line.empty() && line != "\r" && !line.starts_with(':')) {
      return false;
    }
  }
  return true;
}

} // namespace

std::vector<StreamEvent> EventStreamParser::Append(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  if (mIsEventTooLarge) {
    return events;
  }
  mIncompleteEvent += aBytes;
  std::size_t start = 0;
  for (;;) {
    const std::string_view left =
      std::string_view(mIncompleteEvent).substr(start);
    const std::size_t end = EndOfEvent(left, mSearchedBytes);
    if (end == std::string_view::npos) {
      break;
    }
    const std::string_view event = left.substr(0, end);
    events.push_back(
      { std::string(event), IdOf(event), HasOnlyComments(event) });
    start += end;
    mSearchedBytes = 0;
  }
  mIncompleteEvent.erase(0, start);
  mSearchedBytes = mIncompleteEvent.size();
  if (mIncompleteEvent.size() > kMaximumEventBytes) {
    mIsEventTooLarge = true;
    mIncompleteEvent.resize(kMaximumEventBytes);
  }
  return events;
}

} // namespace Acaciavale::Relay
