#include <Acaciavale/LibRouting/EndpointLimit.h>

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Acaciavale {

namespace {

/// Requests beyond the limit that endpoints bear in a window of some seconds,
/// and in one second while they are cold.
constexpr double kLimitBurstSeconds = 4.0 / 3;
constexpr double kColdBurstSeconds = 1.0 / 3;
constexpr double kBurstRequests = 3;
/// Rate at which the holders try an endpoint whose limit is lower. Without any
/// request, nobody would learn the end of the limit.
constexpr double kTrialsPerSecond = 0.25;
/// Time for which a limit counts without being stated again, and the time in
/// which it then doubles.
constexpr double kTrustedSeconds = 30;
constexpr double kStaleDoublingSeconds = 2;
/// Time in which a limit that has ended doubles.
constexpr double kEndedDoublingSeconds = 0.5;
/// Limit above which one that is lifted by steps has no effect any more.
constexpr double kLiftedPerSecond = 1000;
/// Limits of the delay before a retry.
constexpr double kMinimumRetryAfterSeconds = 0.1;
constexpr double kMaximumRetryAfterSeconds = 10;
/// Share of the delay over which refused callers spread their return.
constexpr double kRetryAfterSpread = 0.25;

/// Permits that may accrue at all holders together.
double AccruingPermits(const RateBound& aBound)
{
  return std::floor(aBound.mBurstSeconds * aBound.mPerSecond +
                    aBound.mBurstRequests);
}

/// The time at which all used permits accrue again, under another share than
/// that at the latest use.
TimePoint UsedUntil(const PermitState& aState, const PermitShare& aShare)
{
  return std::clamp(aState.mUsedUntil,
                    aState.mLastUseAt + aShare.mInterval,
                    aState.mLastUseAt + aShare.mBurst * aShare.mInterval);
}

} // namespace

StatedLimit ParseRequestLimit(std::string_view aText)
{
  double perSecond = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, perSecond, std::chars_format::fixed);
  if (parsed.ptr != end || parsed.ec == std::errc::invalid_argument ||
      std::isnan(perSecond) || std::isinf(perSecond)) {
    return { true, std::nullopt, "it is not a decimal number" };
  }
  if (std::signbit(perSecond) && perSecond != 0) {
    return { true, std::nullopt, "it is negative" };
  }
  if (parsed.ec == std::errc::result_out_of_range ||
      perSecond > kMaximumRequestLimit) {
    return { true, kMaximumRequestLimit, "it is larger than allowed" };
  }
  return { true, std::abs(perSecond), {} };
}

bool IsInForce(const RequestLimit& aLimit)
{
  return aLimit.mStatedAt != TimePoint{} && !aLimit.mHasEnded;
}

RequestLimit WithStatement(RequestLimit aLimit,
                           std::optional<double> aPerSecond,
                           TimePoint aNow)
{
  if (aNow < aLimit.mStatedAt || (!aPerSecond && !IsInForce(aLimit))) {
    return aLimit;
  }
  return { aPerSecond.value_or(aLimit.mPerSecond),
           aNow,
           !aPerSecond.has_value() };
}

std::optional<double> EffectiveLimit(const RequestLimit& aLimit, TimePoint aNow)
{
  if (aLimit.mStatedAt == TimePoint{}) {
    return std::nullopt;
  }
  const double limit = std::max(aLimit.mPerSecond, kTrialsPerSecond);
  const double age = std::max(0.0, InSeconds(aNow - aLimit.mStatedAt));
  const double doublings = aLimit.mHasEnded
                             ? age / kEndedDoublingSeconds
                             : (age - kTrustedSeconds) / kStaleDoublingSeconds;
  if (doublings <= 0) {
    return limit;
  }
  const double lifted =
    limit * std::exp2(std::min(std::floor(doublings), 100.0));
  return lifted < kLiftedPerSecond ? std::optional(lifted) : std::nullopt;
}

std::optional<std::uint32_t> PermitRank(
  std::uint64_t aEndpointKey,
  std::uint64_t aVmKey,
  const std::vector<std::uint64_t>& aLiveVmKeys)
{
  if (aLiveVmKeys.empty()) {
    return 0;
  }
  const std::uint64_t own = RendezvousRank(aEndpointKey, aVmKey);
  bool isLive = false;
  std::uint32_t rank = 0;
  for (const std::uint64_t key : aLiveVmKeys) {
    isLive = isLive || key == aVmKey;
    rank += RendezvousRank(aEndpointKey, key) > own ? 1 : 0;
  }
  return isLive ? std::optional(rank) : std::nullopt;
}

RateBound BoundOfLimit(double aPerSecond)
{
  return { aPerSecond, kLimitBurstSeconds, kBurstRequests };
}

RateBound BoundOfColdEndpoint(double aPerSecond)
{
  return { std::max(aPerSecond, kTrialsPerSecond),
           kColdBurstSeconds,
           kBurstRequests };
}

RateBound Stricter(const RateBound& aOne, const RateBound& aOther)
{
  return { std::min(aOne.mPerSecond, aOther.mPerSecond),
           std::min(aOne.mBurstSeconds, aOther.mBurstSeconds),
           std::min(aOne.mBurstRequests, aOther.mBurstRequests) };
}

std::optional<PermitShare> ShareOf(const RateBound& aBound,
                                   std::optional<std::uint32_t> aRank,
                                   std::uint32_t aLiveVms)
{
  const double accruing = AccruingPermits(aBound);
  const double holders =
    std::clamp(accruing, 1.0, std::max(1.0, static_cast<double>(aLiveVms)));
  if (!aRank || *aRank >= holders) {
    return std::nullopt;
  }
  return PermitShare{ FromSeconds(holders / aBound.mPerSecond),
                      static_cast<std::uint32_t>(accruing / holders) };
}

TimePoint NextPermitAt(const PermitState& aState, const PermitShare& aShare)
{
  if (aState.mLastUseAt == TimePoint{}) {
    return {};
  }
  return UsedUntil(aState, aShare) - (aShare.mBurst - 1) * aShare.mInterval;
}

PermitState WithUse(const PermitState& aState,
                    const std::optional<PermitShare>& aShare,
                    TimePoint aNow)
{
  if (!aShare) {
    return { aNow, aNow };
  }
  const TimePoint usedUntil = aState.mLastUseAt == TimePoint{}
                                ? aNow
                                : std::max(UsedUntil(aState, *aShare), aNow);
  return { aNow, usedUntil + aShare->mInterval };
}

LimitedEndpoints WithEndpoint(LimitedEndpoints aEndpoints,
                              double aLimit,
                              const std::optional<PermitShare>& aShare,
                              TimePoint aNextPermitAt)
{
  aEndpoints.mCount += 1;
  aEndpoints.mPerSecond += aLimit;
  if (aShare) {
    aEndpoints.mOwnPerSecond += 1 / InSeconds(aShare->mInterval);
    aEndpoints.mNextPermitAt =
      std::min(aEndpoints.mNextPermitAt, aNextPermitAt);
  }
  return aEndpoints;
}

std::optional<Duration> TimeToPermit(const LimitedEndpoints& aEndpoints,
                                     std::size_t aAhead,
                                     TimePoint aNow)
{
  if (aEndpoints.mOwnPerSecond <= 0) {
    return std::nullopt;
  }
  return std::max(Duration{}, aEndpoints.mNextPermitAt - aNow) +
         FromSeconds(static_cast<double>(aAhead) / aEndpoints.mOwnPerSecond);
}

Duration RetryAfterLimit(const LimitedEndpoints& aEndpoints,
                         std::size_t aAhead,
                         double aJitter,
                         TimePoint aNow)
{
  const std::optional<Duration> own = TimeToPermit(aEndpoints, aAhead, aNow);
  const double seconds =
    own ? InSeconds(*own) : 1 / std::max(aEndpoints.mPerSecond, 1e-3);
  return FromSeconds(std::clamp(seconds * (1 + kRetryAfterSpread * aJitter),
                                kMinimumRetryAfterSeconds,
                                kMaximumRetryAfterSeconds));
}

} // namespace Acaciavale
