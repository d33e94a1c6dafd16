#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRouting/EndpointLimit.h>
#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <boost/beast/http/message.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Requests of callers, attempts at endpoints and the responses of endpoints,
/// independent of the header names that a deployment uses on the wire.
namespace Acaciavale::Relay {

using RequestHead = boost::beast::http::request_header<>;
using ResponseHead = boost::beast::http::response_header<>;

/// A part of a prompt. Parts with the same id consist of the same tokens.
struct PromptPart
{
  std::uint64_t mId = 0;
  std::int64_t mTokens = 0;

  auto operator<=>(const PromptPart&) const = default;
};

struct CallerRequest
{
  std::string mId; ///< Id of the caller's attempt; a caller never reuses it.
  std::string mHost;
  std::string mPath; ///< Path of the request target, without the query.
  std::string mKey;
  std::string mSession;
  std::string mModel;
  std::optional<Duration> mTimeLeft; ///< Time until the caller's deadline.
  /// Last event that the caller received; the stream resumes after it.
  std::optional<std::int64_t> mLastEventId;
  std::int64_t mPromptTokens = 0;
  std::int64_t mOutputTokens = 0; ///< The most that the caller accepts.
  /// The caller's estimate of its output, which is often far off.
  std::optional<std::int64_t> mExpectedOutputTokens;
  std::vector<PromptPart> mParts; ///< Parts in the order of the prompt.

  auto operator<=>(const CallerRequest&) const = default;
};

/// The values that the router adds to one attempt of a request.
struct AttemptOptions
{
  Duration mTimeLeft{};
  /// Id of the only endpoint, in its current lifetime, that may execute the
  /// attempt.
  std::string mEndpointId;
  std::string mAddress;
  std::string mAccount; ///< Client account; empty if the route requires no key.
  /// Model to run; empty to keep the one in the caller's request.
  std::string mModel;
  std::optional<std::int64_t> mLastEventId;
  std::optional<std::int64_t> mUrgency;
  std::size_t mBodyBytes = 0;

  auto operator<=>(const AttemptOptions&) const = default;
};

/// Limits on a reported pace. No deployment states such values; without limits,
/// one wrong figure would take an endpoint out of the choice or give it all.
inline constexpr double kMinimumPace = 0.1;
inline constexpr double kMaximumPace = 20;

/// The load that an endpoint reports with a response, in requests.
struct ReportedLoad
{
  std::int32_t mRunning = 0;
  std::int32_t mWaiting = 0;
  std::int32_t mSlots = 0;
  /// How long work takes there now; 1 is normal, 2 twice as long. Empty if the
  /// endpoint does not state it.
  std::optional<double> mPace{};

  auto operator<=>(const ReportedLoad&) const = default;
};

/// The information that the router reads from the head of a response.
struct ResponseInfo
{
  /// The endpoint states that it did not execute the request.
  bool mNotExecuted = false;
  /// The response carries the stamp of the endpoint that created it.
  bool mHasEndpointStamp = false;
  bool mMatchesRequest = false; ///< The response carries the id of the request.
  bool mIsContentEncoded = false; ///< The body has a content encoding.
  /// The body has a type other than a stream of events.
  bool mIsOtherThanEvents = false;
  /// The endpoint states that it is about to stop.
  bool mIsEndpointLeaving = false;
  /// Time for which the endpoint, which turned the request away, wants no more.
  QuietTime mQuietTime;
  /// Limit on the requests that the endpoint takes from all VMs together.
  StatedLimit mLimit;
  std::optional<ReportedLoad> mLoad;
  /// Confidence of the model in its answer, 0 to 1.
  std::optional<double> mConfidence;

  auto operator<=>(const ResponseInfo&) const = default;
};

/// The answer of an endpoint at its health path.
struct HealthAnswer
{
  /// Another process has the endpoint's address.
  bool mIsElsewhere = false;
  std::optional<ReportedLoad> mLoad;

  auto operator<=>(const HealthAnswer&) const = default;
};

/// An error response that the router itself creates.
struct Refusal
{
  unsigned mStatus = 503;
  std::string mReason;
  std::optional<Duration> mRetryAfter;

  auto operator<=>(const Refusal&) const = default;
};

/// Converts between these types and the headers of a deployment.
struct WireCodec
{
  std::function<CallerRequest(const RequestHead&)> mDecodeRequest;
  std::function<RequestHead(const RequestHead&, const AttemptOptions&)>
    mEncodeAttempt;
  std::function<ResponseInfo(const ResponseHead&, const CallerRequest&)>
    mDecodeResponse;
  /// Creates the response head for the caller from that of the endpoint.
  std::function<ResponseHead(const ResponseHead&)> mEncodeResponse;
  std::function<ResponseHead(const Refusal&, const CallerRequest&)>
    mEncodeRefusal;
  /// Fields of an event, in lower case, beyond those of the format of server
  /// sent events.
  std::vector<std::string> mEventFields;
  /// Creates the head of a query at the health path of an endpoint.
  std::function<RequestHead(const std::string& aEndpointId,
                            const std::string& aAddress,
                            const std::string& aHealthPath)>
    mEncodeHealthQuery;
  std::function<HealthAnswer(const ResponseHead&)> mDecodeHealthAnswer;
};

} // namespace Acaciavale::Relay
