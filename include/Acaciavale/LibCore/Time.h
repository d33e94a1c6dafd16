#pragma once

#include <chrono>

/// The clocks. Decision code is given the time and never reads a clock itself.
namespace Acaciavale {

using Duration = std::chrono::nanoseconds;

/// Monotonic time within one process; virtual clocks in tests make these too.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// Calendar time in milliseconds since the Unix epoch, for records that
/// outlive a process.
using UnixMilliseconds = std::chrono::duration<std::int64_t, std::milli>;

TimePoint MonotonicNow();
UnixMilliseconds CalendarNow();

} // namespace Acaciavale
