#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Acaciavale {

namespace {

constexpr double kOutcomeHalfLifeSeconds = 10;
/// Minimum weight of a new measurement in the moving average of service times;
/// the first measurements are weighted as in a plain mean.
constexpr double kMinServiceTimeWeight = 0.05;
constexpr double kInFlightServiceTimeWeight = 0.01;
constexpr std::int32_t kConsecutiveErrorsToEject = 3;
/// An endpoint is ejected for its error rate if it has at least this many
/// recent errors and its rate exceeds the pool's by the margin below.
constexpr double kMinErrorsToEject = 4;
constexpr double kErrorRateAbovePool = 0.3;
constexpr Duration kFirstEjectionTime = std::chrono::seconds(10);
constexpr std::int32_t kMaxEjectionDoublings = 5;
/// Time after the end of an ejection until a success resets the ejection count.
constexpr Duration kEjectionCountResetTime = std::chrono::seconds(60);
/// Consecutive successes that end the probation after an ejection.
constexpr std::int32_t kProbationSuccesses = 3;
/// Minimum time over which these successes must extend, because a flapping
/// endpoint can succeed for a while.
constexpr Duration kProbationTime = std::chrono::seconds(5);
/// For this time after a failure, the expected error rate is at least
/// kSuspectErrorRate.
constexpr Duration kSuspicionTime = std::chrono::seconds(2);
constexpr double kSuspectErrorRate = 0.5;

EndpointHealth Decayed(EndpointHealth aHealth, TimePoint aNow)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - aHealth.mUpdatedAt).count();
  const double factor =
    std::exp2(-std::max(0.0, elapsed) / kOutcomeHalfLifeSeconds);
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
  const std::int32_t doublings =
    std::min(aHealth.mEjections, kMaxEjectionDoublings);
  aHealth.mEjectedUntil = aNow + kFirstEjectionTime * (1 << doublings);
  aHealth.mEjections += 1;
  aHealth.mConsecutiveErrors = 0;
  aHealth.mConsecutiveSuccesses = 0;
  aHealth.mErrors = 0;
  aHealth.mSuccesses = 0;
  return aHealth;
}

double PoolErrorRate(const std::vector<EndpointHealth>& aPool)
{
  double errors = 0;
  double outcomes = 0;
  for (const EndpointHealth& health : aPool) {
    errors += health.mErrors;
    outcomes += health.mErrors + health.mSuccesses;
  }
  return outcomes > 0 ? errors / outcomes : 0;
}

} // namespace

EndpointHealth WithOutcome(EndpointHealth aHealth,
                           const EndpointOutcome& aOutcome,
                           TimePoint aNow)
{
  aHealth = Decayed(aHealth, aNow);
  if (!aOutcome.mSucceeded) {
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
  aHealth.mServiceTimeSamples += 1;
  const double weight =
    std::max(kMinServiceTimeWeight, 1.0 / aHealth.mServiceTimeSamples);
  aHealth.mSecondsPerRequest +=
    weight * (aOutcome.mServiceSeconds - aHealth.mSecondsPerRequest);
  if (aNow - aHealth.mEjectedUntil > kEjectionCountResetTime &&
      !IsOnProbation(aHealth)) {
    aHealth.mEjections = 0;
  }
  return aHealth;
}

double ErrorRate(const EndpointHealth& aHealth)
{
  const double outcomes = aHealth.mSuccesses + aHealth.mErrors;
  return outcomes > 0 ? aHealth.mErrors / outcomes : 0;
}

double ExpectedErrorRate(const EndpointHealth& aHealth, TimePoint aNow)
{
  const double rate = ErrorRate(aHealth);
  const bool isSuspect = aHealth.mConsecutiveErrors > 0 &&
                         aNow - aHealth.mUpdatedAt < kSuspicionTime;
  return isSuspect ? std::max(rate, kSuspectErrorRate) : rate;
}

bool ShouldEject(const EndpointHealth& aHealth, double aPoolErrorRate)
{
  const std::int32_t consecutiveErrorsToEject =
    IsOnProbation(aHealth) ? 1 : kConsecutiveErrorsToEject;
  if (aHealth.mConsecutiveErrors >= consecutiveErrorsToEject) {
    return true;
  }
  return aHealth.mErrors >= kMinErrorsToEject &&
         ErrorRate(aHealth) > aPoolErrorRate + kErrorRateAbovePool;
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
  const auto maxEjected = static_cast<std::int64_t>(
    std::clamp(aCeiling, 0.0, 1.0) * static_cast<double>(aPool.size()));
  auto ejected = static_cast<std::int64_t>(
    std::count_if(aPool.begin(), aPool.end(), [&](const auto& aHealth) {
      return IsEjected(aHealth, aNow);
    }));
  const double poolErrorRate = PoolErrorRate(aPool);
  std::vector<std::size_t> candidates;
  for (std::size_t index = 0; index < aPool.size(); ++index) {
    if (!IsEjected(aPool[index], aNow) &&
        ShouldEject(aPool[index], poolErrorRate)) {
      candidates.push_back(index);
    }
  }
  std::stable_sort(candidates.begin(),
                   candidates.end(),
                   [&](std::size_t aLeft, std::size_t aRight) {
                     return ErrorRate(aPool[aLeft]) > ErrorRate(aPool[aRight]);
                   });
  for (const std::size_t index : candidates) {
    if (ejected >= maxEjected) {
      break;
    }
    aPool[index] = Ejected(aPool[index], aNow);
    ejected += 1;
  }
  return aPool;
}

InFlightServiceTime WithServiceTime(InFlightServiceTime aServiceTime,
                                    double aServiceSeconds)
{
  const double weight =
    aServiceTime.mMeanSeconds > 0 ? kInFlightServiceTimeWeight : 1;
  aServiceTime.mMeanSeconds +=
    weight * (aServiceSeconds - aServiceTime.mMeanSeconds);
  aServiceTime.mMeanSquare +=
    weight * (aServiceSeconds * aServiceSeconds - aServiceTime.mMeanSquare);
  return aServiceTime;
}

double MeanInFlightSeconds(const InFlightServiceTime& aServiceTime)
{
  return aServiceTime.mMeanSeconds > 0
           ? aServiceTime.mMeanSquare / aServiceTime.mMeanSeconds
           : 0;
}

} // namespace Acaciavale
