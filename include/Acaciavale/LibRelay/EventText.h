#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Cuts an event stream into whole events.
namespace Acaciavale::Relay {

struct EventPiece
{
  std::string mText; ///< With the blank line that ends it.
  std::optional<std::int64_t> mId;

  auto operator<=>(const EventPiece&) const = default;
};

class EventText
{
public:
  /// Takes bytes as they come and returns the events that are whole by now.
  std::vector<EventPiece> Append(std::string_view aBytes);

  /// Bytes of an event that has not ended.
  const std::string& Rest() const { return mRest; }

private:
  std::string mRest;
};

} // namespace Acaciavale::Relay
