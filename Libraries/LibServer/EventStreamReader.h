#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Acaciavale {

/// Splits server-sent events out of the bytes as they arrive.
class EventStreamReader
{
public:
  /// Calls back once per event with its whole text, blank line included.
  /// Returns false if an event grows beyond the bound.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aEvent)>& aOnEvent);

private:
  std::string mPending;
};

/// The text of an event's first data line, or empty.
std::string_view EventData(std::string_view aEvent);

} // namespace Acaciavale
