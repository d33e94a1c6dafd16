#include <Acaciavale/LibRelay/ViewWait.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Share of the caller's time that a request may wait for a view. The rest is
/// enough for another attempt of the caller, and for the work itself.
constexpr double kWaitShare = 1.0 / 3;
/// Longest wait. A read of the store that takes longer than this is an outage,
/// and other VMs may serve the caller.
constexpr Duration kMaximumWait = std::chrono::seconds(2);
/// Wait for callers that do not state their time, and for VMs that had a view:
/// they receive the next one within a few responses of the store.
constexpr Duration kUsualWait = std::chrono::milliseconds(400);
/// Time of failing reads after which a VM that has never had a view stops
/// holding requests.
constexpr Duration kOutageThreshold = std::chrono::seconds(2);
/// Limits of the delay before a retry, as in WaitQueue: callers do not wait
/// longer than the maximum.
constexpr Duration kMinimumRetryAfter = std::chrono::milliseconds(250);
constexpr Duration kMaximumRetryAfter = std::chrono::seconds(2);
/// Share of the minimum over which the returns of callers are spread.
constexpr double kRetrySpread = 0.5;

/// A caller that returns before the next read is refused again, so it returns
/// after it. An outage that has lasted for long is likely to last about as long
/// again, so later refusals state longer delays.
Duration RetryAfterFailure(const ViewReads& aReads,
                           double aJitter,
                           TimePoint aNow)
{
  Duration delay = kMinimumRetryAfter;
  if (aReads.mFailingSince) {
    delay = std::max({ delay,
                       aReads.mNextReadAt - aNow + kMinimumRetryAfter,
                       (aNow - *aReads.mFailingSince) / 2 });
  }
  return std::min(delay, kMaximumRetryAfter) +
         FromSeconds(kRetrySpread * aJitter * InSeconds(kMinimumRetryAfter));
}

} // namespace

ViewReads WithFailedRead(ViewReads aReads,
                         TimePoint aNextReadAt,
                         TimePoint aNow)
{
  aReads.mFailingSince = aReads.mFailingSince.value_or(aNow);
  aReads.mNextReadAt = aNextReadAt;
  return aReads;
}

ViewWaitDecision DecideViewWait(const ViewReads& aReads,
                                std::optional<Duration> aTimeLeft,
                                Duration aWaited,
                                double aJitter,
                                TimePoint aNow)
{
  ViewWaitDecision decision;
  decision.mRetryAfter = RetryAfterFailure(aReads, aJitter, aNow);
  const bool isFailing = aReads.mFailingSince.has_value();
  const bool isOutage =
    isFailing &&
    (aReads.mHasHadView || aNow - *aReads.mFailingSince >= kOutageThreshold);
  if (isOutage) {
    return decision;
  }
  Duration longest = kUsualWait;
  if (!aReads.mHasHadView && aTimeLeft) {
    // NOTE: The time left counts from now, the wait from the arrival.
    longest = std::min(
      FromSeconds(kWaitShare * InSeconds(*aTimeLeft + aWaited)), kMaximumWait);
  }
  decision.mWait = std::max(Duration{}, longest - aWaited);
  return decision;
}

} // namespace Acaciavale::Relay
