#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Acaciavale {

/// Splits a byte stream into server-sent events, whose lines end in LF or CRLF.
/// An event consists of comments and of the fields data, event, id and retry.
/// Bytes that are no such event end the stream: an endpoint in trouble may send
/// anything, a second response among them.
class EventStreamReader
{
public:
  /// Calls aOnEvent for each complete event with its text, including the blank
  /// line at its end. Returns false if an incomplete event exceeds the maximum
  /// size, or if the bytes up to a blank line are no event; the stream cannot
  /// be read any further.
  bool Feed(std::string_view aBytes,
            const std::function<void(std::string_view aEvent)>& aOnEvent);

private:
  std::string mPending;
  bool mIsInvalid = false;
};

/// Whether an event is named as an error.
bool IsErrorEvent(std::string_view aEvent);

/// The content of the first data line of an event, or empty if it has none.
std::string_view EventData(std::string_view aEvent);

} // namespace Acaciavale
