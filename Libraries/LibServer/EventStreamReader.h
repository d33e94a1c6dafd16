#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Acaciavale {

/// Splits a byte stream into server-sent events.
class EventStreamReader
{
public:
  /// Calls aOnEvent for each complete event with its text, including the blank
  /// line at its end. Returns false if an incomplete event exceeds the maximum
  /// size.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aEvent)>& aOnEvent);

private:
  std::string mPending;
};

/// The content of the first data line of an event, or empty if it has none.
std::string_view EventData(std::string_view aEvent);

} // namespace Acaciavale
