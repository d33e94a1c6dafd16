#include <Acaciavale/LibCore/Time.h>

namespace Acaciavale {

TimePoint MonotonicNow()
{
  return std::chrono::steady_clock::now();
}

UnixMilliseconds CalendarNow()
{
  return std::chrono::duration_cast<UnixMilliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace Acaciavale
