#include "EventStreamReader.h"

#include <algorithm>
#include <array>

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxEventBytes = 262'144;
constexpr std::string_view kDataPrefix = "data:";
constexpr std::string_view kEventPrefix = "event:";
constexpr std::string_view kErrorEventName = "error";
constexpr std::array<std::string_view, 4> kFields{ "data",
                                                   "event",
                                                   "id",
                                                   "retry" };

/// The length of the first event with its blank line, or npos.
std::size_t EventLength(std::string_view aText)
{
  for (std::size_t end = aText.find('\n'); end != std::string_view::npos;
       end = aText.find('\n', end + 1)) {
    const std::string_view next = aText.substr(end + 1, 2);
    if (next.starts_with('\n')) {
      return end + 2;
    }
    if (next == "\r\n") {
      return end + 3;
    }
  }
  return std::string_view::npos;
}

/// Removes the first line and returns it without its end.
std::string_view TakeLine(std::string_view& aText)
{
  const std::size_t end = std::min(aText.find('\n'), aText.size());
  std::string_view line = aText.substr(0, end);
  aText.remove_prefix(std::min(end + 1, aText.size()));
  if (line.ends_with('\r')) {
    line.remove_suffix(1);
  }
  return line;
}

bool IsEvent(std::string_view aText)
{
  while (!aText.empty()) {
    const std::string_view line = TakeLine(aText);
    const std::string_view name = line.substr(0, line.find(':'));
    // A comment has an empty name, as has a blank line.
    if (!name.empty() &&
        std::find(kFields.begin(), kFields.end(), name) == kFields.end()) {
      return false;
    }
  }
  return true;
}

/// The content of the first line with the field, or empty if there is none.
std::string_view FieldOf(std::string_view aEvent, std::string_view aPrefix)
{
  while (!aEvent.empty()) {
    std::string_view line = TakeLine(aEvent);
    if (line.starts_with(aPrefix)) {
      line.remove_prefix(aPrefix.size());
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      return line;
    }
  }
  return {};
}

} // namespace

bool EventStreamReader::Feed(
  std::string_view aBytes,
  const std::function<void(std::string_view aEvent)>& aOnEvent)
{
  if (mIsInvalid) {
    return false;
  }
  // Complete events within one read, the common case, are not copied.
  std::string joined;
  std::string_view rest = aBytes;
  if (!mPending.empty()) {
    joined = std::move(mPending);
    joined.append(aBytes);
    rest = joined;
  }
  for (std::size_t length = EventLength(rest); length != std::string_view::npos;
       length = EventLength(rest)) {
    const std::string_view event = rest.substr(0, length);
    if (!IsEvent(event)) {
      mIsInvalid = true;
      return false;
    }
    aOnEvent(event);
    rest.remove_prefix(length);
  }
  mPending.assign(rest);
  mIsInvalid = mPending.size() > kMaxEventBytes;
  return !mIsInvalid;
}

bool IsErrorEvent(std::string_view aEvent)
{
  return FieldOf(aEvent, kEventPrefix) == kErrorEventName;
}

std::string_view EventData(std::string_view aEvent)
{
  return FieldOf(aEvent, kDataPrefix);
}

} // namespace Acaciavale
