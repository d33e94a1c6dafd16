#include <Acaciavale/LibRelay/EventStreamParser.h>

#include "TextMemory.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace Acaciavale::Relay {

namespace {

/// Length of the longest blank line, "\r\n\r\n".
constexpr std::size_t kMaximumBlankLineBytes = 4;

/// Capacity that an incomplete event keeps behind a larger one.
constexpr std::size_t kKeptBytes = 32U << 10;

constexpr std::string_view kId = "id";
constexpr std::array<std::string_view, 4> kFields{ "data",
                                                   "event",
                                                   kId,
                                                   "retry" };

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

/// The lines of an event without their ends.
std::vector<std::string_view> LinesOf(std::string_view aEvent)
{
  std::vector<std::string_view> lines;
  while (!aEvent.empty()) {
    const std::size_t end = std::min(aEvent.find('\n'), aEvent.size());
    std::string_view line = aEvent.substr(0, end);
    aEvent.remove_prefix(std::min(end + 1, aEvent.size()));
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    if (!line.empty()) {
      lines.push_back(line);
    }
  }
  return lines;
}

std::optional<std::int64_t> IdIn(std::string_view aLine)
{
  std::string_view value = aLine.substr(std::min(aLine.size(), kId.size() + 1));
  while (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  std::int64_t id = 0;
  const char* const end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, id);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(id)
                                                       : std::nullopt;
}

} // namespace

EventStreamParser::EventStreamParser(std::vector<std::string> aFurtherFields)
  : mFurtherFields(std::move(aFurtherFields))
{
}

bool EventStreamParser::IsField(std::string_view aName) const
{
  return std::find(kFields.begin(), kFields.end(), aName) != kFields.end() ||
         std::find(mFurtherFields.begin(), mFurtherFields.end(), aName) !=
           mFurtherFields.end();
}

std::optional<StreamEvent> EventStreamParser::ParseEvent(
  std::string_view aText) const
{
  StreamEvent event{ std::string(aText), std::nullopt, true };
  for (const std::string_view line : LinesOf(aText)) {
    if (line.starts_with(':')) {
      continue;
    }
    event.mIsComment = false;
    const std::string_view name = line.substr(0, line.find(':'));
    if (name == kId) {
      event.mId = IdIn(line);
    }
    if (!IsField(name) || (name == kId && !event.mId)) {
      return std::nullopt;
    }
  }
  const bool mayFollow =
    event.mIsComment || !mLastId || (event.mId && *event.mId > *mLastId);
  return mayFollow ? std::optional(std::move(event)) : std::nullopt;
}

std::vector<StreamEvent> EventStreamParser::Append(std::string_view aBytes)
{
  std::vector<StreamEvent> events;
  if (mIsEventTooLarge || mIsInvalid) {
    return events;
  }
  AppendInSteps(mIncompleteEvent, aBytes);
  std::size_t start = 0;
  for (;;) {
    const std::string_view left =
      std::string_view(mIncompleteEvent).substr(start);
    const std::size_t end = EndOfEvent(left, mSearchedBytes);
    if (end == std::string_view::npos) {
      break;
    }
    auto event = ParseEvent(left.substr(0, end));
    if (!event) {
      mIsInvalid = true;
      break;
    }
    if (event->mId) {
      mLastId = event->mId;
    }
    events.push_back(std::move(*event));
    start += end;
    mSearchedBytes = 0;
  }
  mIncompleteEvent.erase(0, start);
  if (mIncompleteEvent.size() < kKeptBytes &&
      mIncompleteEvent.capacity() > kKeptBytes) {
    mIncompleteEvent.shrink_to_fit();
  }
  mParsedBytes += start;
  mSearchedBytes = mIncompleteEvent.size();
  if (mIncompleteEvent.size() > kMaximumEventBytes) {
    mIsEventTooLarge = true;
    mIncompleteEvent.resize(kMaximumEventBytes);
  }
  return events;
}

} // namespace Acaciavale::Relay
