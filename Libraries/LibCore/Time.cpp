#include <Acaciavale/LibCore/Time.h>

#include <ctime>

namespace Acaciavale {

TimePoint MonotonicNow()
{
  return std::chrono::steady_clock::now();
}

TimePoint SuspendAwareNow()
{
  timespec now{};
  // NOTE: CLOCK_BOOTTIME exists on every supported version of Linux, so the
  //       result is not checked.
  (void)clock_gettime(CLOCK_BOOTTIME, &now);
  return TimePoint(std::chrono::seconds(now.tv_sec) +
                   std::chrono::nanoseconds(now.tv_nsec));
}

UnixMilliseconds CalendarNow()
{
  return std::chrono::duration_cast<UnixMilliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace Acaciavale
