#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Splits a server-sent event stream into its events, and checks them.
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

/// An event consists of comments and of the fields data, event, id and retry.
/// Ids are numbers and rise, and a stream whose events have ids has no others.
/// Bytes that are no such event end the stream: an endpoint in trouble may send
/// anything.
class EventStreamParser
{
public:
  /// Maximum size of an event; engines send some hundred bytes.
  static constexpr std::size_t kMaximumEventBytes = 256U << 10;

  EventStreamParser() = default;

  /// Accepts further fields of events, in lower case.
  explicit EventStreamParser(std::vector<std::string> aFurtherFields);

  /// Appends received bytes and returns the events that they complete. Bytes
  /// after an invalid event, or one that is too large, are dropped.
  std::vector<StreamEvent> Append(std::string_view aBytes);

  /// Whether an event exceeded the maximum size. The stream cannot be parsed
  /// any further.
  bool IsEventTooLarge() const { return mIsEventTooLarge; }

  /// Whether bytes up to a blank line are no event, or no event that may follow
  /// the previous ones. The stream cannot be parsed any further.
  bool IsInvalid() const { return mIsInvalid; }

  /// Id of the latest event that has one.
  std::optional<std::int64_t> LastId() const { return mLastId; }

  /// Number of bytes of all events so far.
  std::size_t ParsedBytes() const { return mParsedBytes; }

  /// The received bytes of an event that is not complete or not valid.
  const std::string& IncompleteEvent() const { return mIncompleteEvent; }

private:
  bool IsField(std::string_view aName) const;
  /// Returns nothing if the text is no event that may follow the previous ones.
  std::optional<StreamEvent> ParseEvent(std::string_view aText) const;

  std::vector<std::string> mFurtherFields;
  std::string mIncompleteEvent;
  /// Bytes of mIncompleteEvent that were searched for the end of the event.
  std::size_t mSearchedBytes = 0;
  std::size_t mParsedBytes = 0;
  std::optional<std::int64_t> mLastId;
  bool mIsEventTooLarge = false;
  bool mIsInvalid = false;
};

} // namespace Acaciavale::Relay
