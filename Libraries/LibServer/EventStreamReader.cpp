#include "EventStreamReader.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxEventBytes = 262'144;
constexpr std::string_view kEndOfEvent = "\n\n";
constexpr std::string_view kDataPrefix = "data:";

} // namespace

bool EventStreamReader::Feed(
  std::string_view aBytes,
  const std::function<void(std::string_view aEvent)>& aOnEvent)
{
  // Complete events within one read, the common case, are not copied.
  std::string joined;
  std::string_view rest = aBytes;
  if (!mPending.empty()) {
    joined = std::move(mPending);
    joined.append(aBytes);
    rest = joined;
  }
  for (std::size_t end = rest.find(kEndOfEvent); end != std::string_view::npos;
       end = rest.find(kEndOfEvent)) {
    const std::size_t length = end + kEndOfEvent.size();
    aOnEvent(rest.substr(0, length));
    rest.remove_prefix(length);
  }
  mPending.assign(rest);
  return mPending.size() <= kMaxEventBytes;
}

std::string_view EventData(std::string_view aEvent)
{
  std::size_t start =
    aEvent.rfind(kDataPrefix, 0) == 0 ? 0 : aEvent.find("\ndata:");
  if (start == std::string_view::npos) {
    return {};
  }
  start += aEvent[start] == '\n' ? kDataPrefix.size() + 1 : kDataPrefix.size();
  std::string_view data = aEvent.substr(start);
  data = data.substr(0, data.find('\n'));
  if (!data.empty() && data.front() == ' ') {
    data.remove_prefix(1);
  }
  return data;
}

} // namespace Acaciavale
