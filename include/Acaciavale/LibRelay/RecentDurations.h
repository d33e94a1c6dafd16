#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>

/// How long the requests of a route lasted recently.
namespace Acaciavale::Relay {

/// The number of requests that ended in a period, and the longest one.
struct DurationSummary
{
  std::int64_t mCount = 0;
  Duration mLongest{};

  auto operator<=>(const DurationSummary&) const = default;
};

DurationSummary Merge(const DurationSummary& aFirst,
                      const DurationSummary& aSecond);

/// Durations of the current period and of the one before, so that a single slow
/// request is forgotten after two periods.
struct RecentDurations
{
  DurationSummary mCurrent;
  DurationSummary mPrevious;
  TimePoint mCurrentSince{};

  auto operator<=>(const RecentDurations&) const = default;
};

/// Returns the durations with one more request, which ended at aNow.
RecentDurations WithDuration(RecentDurations aDurations,
                             Duration aDuration,
                             TimePoint aNow);

/// The requests that ended in the current period or the one before at aNow.
DurationSummary RecentSummary(RecentDurations aDurations, TimePoint aNow);

/// A duration that a further request will hardly exceed: the longest one, and
/// more if it is one of few. Empty if there were none.
std::optional<Duration> LongestExpected(const DurationSummary& aSummary);

} // namespace Acaciavale::Relay
