#include <Acaciavale/LibRelay/RecentDurations.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

constexpr Duration kPeriod = std::chrono::seconds(30);
/// What is added to the longest of N durations, as a multiple of it, is this
/// divided by the square root of N.
constexpr double kUncertainty = 2;

/// Begins a new period if the current one is over.
RecentDurations At(RecentDurations aDurations, TimePoint aNow)
{
  const Duration age = aNow - aDurations.mCurrentSince;
  if (age < kPeriod) {
    return aDurations;
  }
  const bool isPreviousOver = age >= 2 * kPeriod;
  return { {},
           isPreviousOver ? DurationSummary{} : aDurations.mCurrent,
           isPreviousOver ? aNow : aDurations.mCurrentSince + kPeriod };
}

} // namespace

DurationSummary Merge(const DurationSummary& aFirst,
                      const DurationSummary& aSecond)
{
  return { aFirst.mCount + aSecond.mCount,
           std::max(aFirst.mLongest, aSecond.mLongest) };
}

RecentDurations WithDuration(RecentDurations aDurations,
                             Duration aDuration,
                             TimePoint aNow)
{
  aDurations = At(aDurations, aNow);
  aDurations.mCurrent = Merge(aDurations.mCurrent, { 1, aDuration });
  return aDurations;
}

DurationSummary RecentSummary(RecentDurations aDurations, TimePoint aNow)
{
  aDurations = At(aDurations, aNow);
  return Merge(aDurations.mCurrent, aDurations.mPrevious);
}

std::optional<Duration> LongestExpected(const DurationSummary& aSummary)
{
  if (aSummary.mCount == 0) {
    return std::nullopt;
  }
  const double factor =
    1 + kUncertainty / std::sqrt(static_cast<double>(aSummary.mCount));
  return FromSeconds(factor * InSeconds(aSummary.mLongest));
}

} // namespace Acaciavale::Relay
