#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// What a caller asks, what an endpoint is sent and what it says, free of the
/// names that a deployment uses on the wire.
namespace Acaciavale::Relay {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/// A part of a prompt; parts with the same id hold the same tokens.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

struct CallerRequest
{
  std::string mId; ///< The client attempt's; never sent twice by a caller.
  std::string mHost;
  std::string mPath; ///< Without the query.
  std::string mKey;
  std::string mSession;
  std::string mModel;
  std::optional<Duration> mTimeLeft; ///< As the caller says.
  std::optional<std::int64_t>
    mLastEventId; ///< A stream goes on after this one.
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0;
  std::vector<PromptPart> mParts; ///< In the prompt's order.

  auto operator<=>(const CallerRequest&) const = default;
};

/// What the router adds to one send of a request.
struct AttemptOptions
{
  Duration mTimeLeft{};
  std::string mEndpointId; ///< Only this lifetime of an endpoint may run it.
  std::string mAddress;
  std::string mAccount; ///< Empty where the route takes no keys.
  std::string mModel;   ///< Empty: as the caller asked.
  std::optional<std::int64_t> mLastEventId;
  std::optional<std::int64_t> mUrgency;
  std::size_t mBodyBytes = 0;

  auto operator<=>(const AttemptOptions&) const = default;
};

/// An endpoint's load as it tells it with an answer.
struct ReportedLoad
{
  std::int32_t mRunning = 0;
  std::int32_t mWaiting = 0;
  std::int32_t mSlots = 0;

  auto operator<=>(const ReportedLoad&) const = default;
};

/// What the head of an endpoint's answer says.
struct ResponseInfo
{
  bool mNotExecuted = false; ///< The endpoint promises that it did not run.
  bool mHasEndpointStamp =
    false; ///< Bears the mark of the endpoint that made it.
  bool mMatchesRequest = false;
  bool mIsContentEncoded = false; ///< The body is not the endpoint's own bytes.
  std::optional<ReportedLoad> mLoad;
  std::optional<double> mConfidence; ///< Of a model in its answer, 0 to 1.

  auto operator<=>(const ResponseInfo&) const = default;
};

/// A refusal or failure of the router's own.
struct Refusal
{
  unsigned mStatus = 503;
  std::string mReason;
  std::optional<Duration> mRetryAfter;

  auto operator<=>(const Refusal&) const = default;
};

/// How a deployment spells these on the wire.
struct WireCodec
{
  std::function<CallerRequest(const RequestHead&)> mDecodeRequest;
  std::function<RequestHead(const RequestHead&, const AttemptOptions&)>
    mEncodeAttempt;
  std::function<ResponseInfo(const ResponseHead&, const CallerRequest&)>
    mDecodeResponse;
  /// The head for the caller of an endpoint's answer.
  std::function<ResponseHead(const ResponseHead&)> mEncodeResponse;
  std::function<ResponseHead(const Refusal&, const CallerRequest&)>
    mEncodeRefusal;
};

} // namespace Acaciavale::Relay
