#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits a server-sent event stream into its events.
namespace Acaciavale::Relay {

struct StreamEvent
{
  std::string mText; ///< Text of the event with the blank line at its end.
  std::optional<std::int64_t> mId; ///< Number in the event's id field.
  /// The event consists of comments, which a server may send to keep the
  /// connection open.
  bool mIsComment = false;

  auto operator<=>(const StreamEvent&) const = default;
};

class EventStreamParser
{
public:
  /// Maximum size of an event; engines send some hundred bytes.
  static constexpr std::size_t kMaximumEventBytes = 256U << 10;

  /// Appends received bytes and returns the events that they complete. Bytes
  /// after an event that is too large are dropped.
  std::vector<StreamEvent> Append(std::string_view aBytes);

  /// Whether an event exceeded the maximum size. The stream cannot be parsed
  /// any further.
  bool IsEventTooLarge() const { return mIsEventTooLarge; }

  /// The received bytes of an event that is not complete.
  const std::string& IncompleteEvent() const { return mIncompleteEvent; }

private:
  std::string mIncompleteEvent;
  /// Bytes of mIncompleteEvent that were searched for the end of the event.
  std::size_t mSearchedBytes = 0;
  bool mIsEventTooLarge = false;
};

} // namespace Acaciavale::Relay
