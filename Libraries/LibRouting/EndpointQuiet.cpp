#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace Acaciavale {

namespace {

/// Share of the asked time, and its maximum, over which VMs spread their
/// return.
constexpr double kReturnSpread = 0.25;
constexpr double kMaximumReturnSpreadSeconds = 1;
/// Time after which a VM that has returned may have twice as many open attempts
/// at the endpoint.
constexpr double kDoublingSeconds = 0.5;
/// Number of doublings after which the quiet time has no effect any more.
constexpr double kMaximumDoublings = 20;

} // namespace

QuietTime ParseQuietTime(std::string_view aText)
{
  if (aText.empty()) {
    return {};
  }
  double seconds = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed =
    std::from_chars(aText.data(), end, seconds, std::chars_format::fixed);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !std::isfinite(seconds)) {
    return { {}, "it is not a number of seconds" };
  }
  if (seconds < 0) {
    return { {}, "it is negative" };
  }
  if (seconds > InSeconds(kMaximumQuietTime)) {
    return { kMaximumQuietTime, "it is longer than allowed" };
  }
  return { FromSeconds(seconds), {} };
}

QuietPeriod WithQuietTime(QuietPeriod aPeriod,
                          Duration aAsked,
                          double aJitter,
                          TimePoint aNow)
{
  if (aAsked <= Duration{}) {
    return aPeriod;
  }
  const double spread =
    std::min(kReturnSpread * InSeconds(aAsked), kMaximumReturnSpreadSeconds);
  const TimePoint end = aNow + aAsked + FromSeconds(aJitter * spread);
  return { std::max(aPeriod.mEndsAt, end) };
}

bool IsQuiet(const QuietPeriod& aPeriod, TimePoint aNow)
{
  return aNow < aPeriod.mEndsAt;
}

std::int32_t PlacesAfterQuiet(const QuietPeriod& aPeriod,
                              std::int32_t aLimit,
                              TimePoint aNow)
{
  if (aPeriod.mEndsAt == TimePoint{}) {
    return aLimit;
  }
  if (IsQuiet(aPeriod, aNow)) {
    return 0;
  }
  const double doublings =
    std::min(std::floor(InSeconds(aNow - aPeriod.mEndsAt) / kDoublingSeconds),
             kMaximumDoublings);
  return static_cast<std::int32_t>(
    std::min(static_cast<double>(aLimit), std::exp2(doublings)));
}

} // namespace Acaciavale
