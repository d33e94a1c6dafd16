#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts an event stream into whole events.
namespace Acaciavale::Relay {

struct StreamEvent
{
  std::string mText; ///< With the blank line that ends it.
  std::optional<std::int64_t> mId;

  auto operator<=>(const StreamEvent&) const = default;
};

class EventStreamParser
{
public:
  /// Takes bytes as they come and returns the events that are whole by now.
  std::vector<StreamEvent> Append(std::string_view aBytes);

  /// Bytes of an event that has not ended.
  const std::string& IncompleteEvent() const { return mIncompleteEvent; }

private:
  std::string mIncompleteEvent;
};

} // namespace Acaciavale::Relay
