#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Acaciavale {

namespace {

constexpr double kHalfLifeSeconds = 10;
/// Least weight of a new measurement in the smoothed speed; the first ones
/// weigh as in a plain mean.
constexpr double kSpeedWeight = 0.05;
constexpr double kTurnoverWeight = 0.01;
constexpr std::int32_t kErrorsInARow = 3;
/// Errors, by count and by share above the pool's, that earn an ejection.
constexpr double kMinErrors = 4;
constexpr double kErrorShareAbovePool = 0.3;
constexpr Duration kFirstEjection = std::chrono::seconds(10);
constexpr std::int32_t kMaxDoublings = 5;
/// Time without an error after which earlier ejections are forgotten.
constexpr Duration kCleanTime = std::chrono::seconds(60);
/// Successes in a row until an endpoint that was ejected counts as well.
constexpr std::int32_t kProbationSuccesses = 3;
/// How long they have to go on: an endpoint that flaps is well for a while.
constexpr Duration kProbationTime = std::chrono::seconds(5);
/// How long the last failure counts beyond the shares, and for how much.
constexpr Duration kSuspicionTime = std::chrono::seconds(2);
constexpr double kSuspectErrorShare = 0.5;

EndpointHealth Aged(EndpointHealth aHealth, TimePoint aNow)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - aHealth.mUpdatedAt).count();
  const double factor = std::exp2(-std::max(0.0, elapsed) / kHalfLifeSeconds);
  aHealth.mSuccesses *= factor;
  aHealth.mErrors *= factor;
  aHealth.mUpdatedAt = std::max(aHealth.mUpdatedAt, aNow);
  return aHealth;
}

bool IsOnProbation(const EndpointHealth& aHealth)
{
  if (aHealth.mEjections == 0) {
    return false;
  }
  return aHealth.mConsecutiveSuccesses < kProbationSuccesses ||
         aHealth.mUpdatedAt - aHealth.mHealthySince < kProbationTime;
}

EndpointHealth Ejected(EndpointHealth aHealth, TimePoint aNow)
{
  const std::int32_t doublings = std::min(aHealth.mEjections, kMaxDoublings);
  aHealth.mEjectedUntil = aNow + kFirstEjection * (1 << doublings);
  aHealth.mEjections += 1;
  aHealth.mConsecutiveErrors = 0;
  aHealth.mConsecutiveSuccesses = 0;
  aHealth.mErrors = 0;
  aHealth.mSuccesses = 0;
  return aHealth;
}

double PoolErrorShare(const std::vector<EndpointHealth>& aPool)
{
  double errors = 0;
  double all = 0;
  for (const EndpointHealth& health : aPool) {
    errors += health.mErrors;
    all += health.mErrors + health.mSuccesses;
  }
  return all > 0 ? errors / all : 0;
}

} // namespace

EndpointHealth Recorded(EndpointHealth aHealth,
                        const EndpointOutcome& aOutcome,
                        TimePoint aNow)
{
  aHealth = Aged(aHealth, aNow);
  if (!aOutcome.mOk) {
    aHealth.mErrors += 1;
    aHealth.mConsecutiveErrors += 1;
    aHealth.mConsecutiveSuccesses = 0;
    return aHealth;
  }
  if (aHealth.mConsecutiveSuccesses == 0) {
    aHealth.mHealthySince = aNow;
  }
  aHealth.mSuccesses += 1;
  aHealth.mConsecutiveErrors = 0;
  aHealth.mConsecutiveSuccesses += 1;
  aHealth.mSpeedSamples += 1;
  const double weight = std::max(kSpeedWeight, 1.0 / aHealth.mSpeedSamples);
  aHealth.mSecondsPerRequest +=
    weight * (aOutcome.mServiceSeconds - aHealth.mSecondsPerRequest);
  if (aNow - aHealth.mEjectedUntil > kCleanTime && !IsOnProbation(aHealth)) {
    aHealth.mEjections = 0;
  }
  return aHealth;
}

double ErrorShare(const EndpointHealth& aHealth)
{
  const double all = aHealth.mSuccesses + aHealth.mErrors;
  return all > 0 ? aHealth.mErrors / all : 0;
}

double ExpectedErrorShare(const EndpointHealth& aHealth, TimePoint aNow)
{
  const double share = ErrorShare(aHealth);
  const bool isSuspect = aHealth.mConsecutiveErrors > 0 &&
                         aNow - aHealth.mUpdatedAt < kSuspicionTime;
  return isSuspect ? std::max(share, kSuspectErrorShare) : share;
}

bool ShouldEject(const EndpointHealth& aHealth, double aPoolErrorShare)
{
  const std::int32_t errorsInARow = IsOnProbation(aHealth) ? 1 : kErrorsInARow;
  if (aHealth.mConsecutiveErrors >= errorsInARow) {
    return true;
  }
  return aHealth.mErrors >= kMinErrors &&
         ErrorShare(aHealth) > aPoolErrorShare + kErrorShareAbovePool;
}

bool IsEjected(const EndpointHealth& aHealth, TimePoint aNow)
{
  return aNow < aHealth.mEjectedUntil;
}

bool IsBlocked(const EndpointHealth& aHealth,
               std::int32_t aOwnInFlight,
               TimePoint aNow)
{
  if (IsEjected(aHealth, aNow)) {
    return true;
  }
  return IsOnProbation(aHealth) && aOwnInFlight > 0;
}

std::vector<EndpointHealth> WithEjections(std::vector<EndpointHealth> aPool,
                                          double aCeiling,
                                          TimePoint aNow)
{
  const auto most = static_cast<std::int64_t>(
    std::clamp(aCeiling, 0.0, 1.0) * static_cast<double>(aPool.size()));
  auto ejected = static_cast<std::int64_t>(
    std::count_if(aPool.begin(), aPool.end(), [&](const auto& aHealth) {
      return IsEjected(aHealth, aNow);
    }));
  const double poolErrorShare = PoolErrorShare(aPool);
  std::vector<std::size_t> earned;
  for (std::size_t index = 0; index < aPool.size(); ++index) {
    if (!IsEjected(aPool[index], aNow) &&
        ShouldEject(aPool[index], poolErrorShare)) {
      earned.push_back(index);
    }
  }
  std::stable_sort(
    earned.begin(), earned.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return ErrorShare(aPool[aLeft]) > ErrorShare(aPool[aRight]);
    });
  for (const std::size_t index : earned) {
    if (ejected >= most) {
      break;
    }
    aPool[index] = Ejected(aPool[index], aNow);
    ejected += 1;
  }
  return aPool;
}

Turnover Recorded(Turnover aTurnover, double aServiceSeconds)
{
  const double weight = aTurnover.mSeconds > 0 ? kTurnoverWeight : 1;
  aTurnover.mSeconds += weight * (aServiceSeconds - aTurnover.mSeconds);
  aTurnover.mSquares +=
    weight * (aServiceSeconds * aServiceSeconds - aTurnover.mSquares);
  return aTurnover;
}

double SecondsOf(const Turnover& aTurnover)
{
  return aTurnover.mSeconds > 0 ? aTurnover.mSquares / aTurnover.mSeconds : 0;
}

} // namespace Acaciavale
