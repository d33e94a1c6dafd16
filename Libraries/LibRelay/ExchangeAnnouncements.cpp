#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

/// The part of Exchange that handles what endpoints state about themselves in
/// their responses.
namespace Acaciavale::Relay {

namespace {

/// Share of the remaining quiet time over which refused callers spread their
/// return.
constexpr double kRetryAfterSpread = 0.25;

std::string SecondsText(Duration aDuration)
{
  return std::to_string(InSeconds(aDuration));
}

} // namespace

void Exchange::OnEndpointLeaving(const Attempt& aAttempt)
{
  Endpoint& endpoint = *aAttempt.mEndpoint;
  if (!mState->mRegistry.RecordLeaving(endpoint, MonotonicNow())) {
    return;
  }
  mState->mMetrics.Count("acaciavale_relay_leaving_endpoints_total",
                         { { "pool", mPool } });
  Log(LogLevel::Info,
      "relay",
      "An endpoint stated in a response that it is about to stop.",
      { { "endpoint", endpoint.mRecord.mId },
        { "pool", mPool },
        { "id", mRequest.mId },
        { "status", std::to_string(aAttempt.mHead.result_int()) },
        { "listed-as", endpoint.mRecord.mIsDraining ? "draining" : "ready" },
        { "open-attempts", std::to_string(endpoint.mInFlight) } });
  if (mState->mOnAnnouncement) {
    mState->mOnAnnouncement();
  }
}

void Exchange::OnEndpointQuiet(const Attempt& aAttempt)
{
  Endpoint& endpoint = *aAttempt.mEndpoint;
  const QuietTime& quiet = aAttempt.mResponseInfo.mQuietTime;
  if (!quiet.mProblem.empty()) {
    Log(LogLevel::Warning,
        "relay",
        "The time for which an endpoint wants no requests is not taken as it "
        "is.",
        { { "endpoint", endpoint.mRecord.mId },
          { "id", mRequest.mId },
          { "problem", std::string(quiet.mProblem) },
          { "taken-s", SecondsText(quiet.mDuration) } });
  }
  const bool isNews =
    quiet.mDuration > Duration{} &&
    mState->mRegistry.RecordQuietTime(
      endpoint, quiet.mDuration, mState->mRandom.Unit(), MonotonicNow());
  if (!isNews) {
    return;
  }
  mState->mMetrics.Count("acaciavale_relay_quiet_endpoints_total",
                         { { "pool", mPool } });
  Log(LogLevel::Info,
      "relay",
      "An endpoint wants no requests for some time.",
      { { "endpoint", endpoint.mRecord.mId },
        { "pool", mPool },
        { "id", mRequest.mId },
        { "asked-s", SecondsText(quiet.mDuration) },
        { "open-attempts", std::to_string(endpoint.mInFlight) } });
}

void Exchange::OnEndpointLimit(const Attempt& aAttempt)
{
  Endpoint& endpoint = *aAttempt.mEndpoint;
  const ResponseInfo& response = aAttempt.mResponseInfo;
  const StatedLimit& limit = response.mLimit;
  if (!limit.mProblem.empty()) {
    Log(LogLevel::Warning,
        "relay",
        "The limit of an endpoint is not taken as it is.",
        { { "endpoint", endpoint.mRecord.mId },
          { "id", mRequest.mId },
          { "problem", std::string(limit.mProblem) } });
  }
  // NOTE: A refusal, or bytes that are no response to this request, may lack
  //       the limit also while it is in force.
  const bool statesNone = !limit.mIsStated && response.mHasEndpointStamp &&
                          response.mMatchesRequest &&
                          !response.mIsContentEncoded;
  if (!limit.mPerSecond && !statesNone) {
    return;
  }
  const RequestLimit before = endpoint.mAnnouncement.mLimit;
  if (!mState->mRegistry.RecordLimit(
        endpoint, limit.mPerSecond, MonotonicNow())) {
    return;
  }
  mState->mMetrics.Count("acaciavale_relay_endpoint_limits_total",
                         { { "pool", mPool } });
  Log(LogLevel::Info,
      "relay",
      limit.mPerSecond
        ? "An endpoint limits the requests that it takes from all VMs."
        : "An endpoint no longer limits the requests that it takes.",
      { { "endpoint", endpoint.mRecord.mId },
        { "pool", mPool },
        { "id", mRequest.mId },
        { "per-second", std::to_string(limit.mPerSecond.value_or(0)) },
        { "before",
          IsInForce(before) ? std::to_string(before.mPerSecond) : "none" },
        { "status", std::to_string(aAttempt.mHead.result_int()) },
        { "open-attempts", std::to_string(endpoint.mInFlight) } });
  if (mState->mOnAnnouncement) {
    mState->mOnAnnouncement();
  }
}

void Exchange::LogEndOfQuiet(const Endpoint& aEndpoint) const
{
  const TimePoint end = aEndpoint.mAnnouncement.mQuiet.mEndsAt;
  if (end == TimePoint{} || aEndpoint.mLastAttemptAt >= end) {
    return;
  }
  Log(LogLevel::Info,
      "relay",
      "An endpoint that wanted no requests gets one again.",
      { { "endpoint", aEndpoint.mRecord.mId },
        { "pool", mPool },
        { "id", mRequest.mId },
        { "quiet-ended-s-ago", SecondsText(MonotonicNow() - end) } });
}

/// Refuses the request, as all endpoints that may run it want quiet.
void Exchange::RefuseUntilQuietEnds(TimePoint aEnd)
{
  const Duration left = std::max(Duration{}, aEnd - MonotonicNow());
  Refuse(503,
         "the endpoints want no requests now",
         FromSeconds(InSeconds(left) *
                     (1 + kRetryAfterSpread * mState->mRandom.Unit())));
}

/// Refuses the request, as all endpoints that may run it limit their requests.
void Exchange::RefuseUntilPermit(std::size_t aAhead)
{
  mState->mMetrics.Count("acaciavale_relay_refusals_by_limits_total",
                         { { "pool", mPool } });
  Refuse(
    503,
    "the endpoints limit the requests that they take",
    RetryAfterLimit(mLimited, aAhead, mState->mRandom.Unit(), MonotonicNow()));
}

} // namespace Acaciavale::Relay
