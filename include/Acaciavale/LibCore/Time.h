#pragma once

#include <chrono>

/// The clocks. Decision code is given the time and never reads a clock itself.
namespace Acaciavale {

using Duration = std::chrono::nanoseconds;

/// Monotonic time within one process; virtual clocks in tests make these too.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

inline double InSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

inline Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

/// Calendar time in milliseconds since the Unix epoch, for records that
/// outlive a process.
using UnixMilliseconds = std::chrono::duration<std::int64_t, std::milli>;

TimePoint MonotonicNow();

/// Like MonotonicNow, but counts the time for which the machine was suspended;
/// for what must be refused after a while whatever happened to this VM.
TimePoint SuspendAwareNow();

UnixMilliseconds CalendarNow();

} // namespace Acaciavale
