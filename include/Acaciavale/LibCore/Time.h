#pragma once

#include <chrono>

/// Clocks and time types. Decision code gets the time as an argument and never
/// reads a clock itself.
namespace Acaciavale {

using Duration = std::chrono::nanoseconds;

/// Monotonic time within one process, from the system clock or from the virtual
/// clock of a test.
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

/// Like MonotonicNow, but includes the time for which the machine was
/// suspended. Used for validity periods that must end even if this VM was
/// suspended.
TimePoint SuspendAwareNow();

UnixMilliseconds CalendarNow();

} // namespace Acaciavale
