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

  auto operator<=>(const StreamEvent&) const = default;
};

class EventStreamParser
{
public:
  /// Appends received bytes and returns the events that they complete.
  std::vector<StreamEvent> Append(std::string_view aBytes);

  /// The received bytes of an event that is not complete.
  const std::string& IncompleteEvent() const { return mIncompleteEvent; }

private:
  std::string mIncompleteEvent;
};

} // namespace Acaciavale::Relay
