#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>

/// Endpoints that turn a request away and state for how long they want no more.
///
/// Load pattern: a burst fills the endpoints, and many of them ask all VMs for
/// a few seconds of quiet at the same moment. Requests go to the others or are
/// refused with the time at which a place is expected, and when the quiet time
/// ends, the VMs return one by one and with few requests each.
namespace Acaciavale {

struct QuietPeriod
{
  TimePoint mEndsAt{}; ///< Zero: the endpoint has not asked for quiet.

  auto operator<=>(const QuietPeriod&) const = default;
};

/// A quiet time as read from a response.
struct QuietTime
{
  Duration mDuration{}; ///< Zero: none was asked for.
  /// Why the text was not taken as it is; empty if it was.
  std::string_view mProblem;

  auto operator<=>(const QuietTime&) const = default;
};

/// Parses whole or fractional seconds. A text that is not a number, or is
/// negative, asks for nothing; a longer time than kMaximumQuietTime is limited,
/// so that a garbled response does not take an endpoint away for long.
QuietTime ParseQuietTime(std::string_view aText);

inline constexpr Duration kMaximumQuietTime = std::chrono::seconds(30);

/// Returns the period after the endpoint has asked for quiet. aJitter, a random
/// number in [0, 1), lets the VMs return at different times. The end is never
/// moved forward.
QuietPeriod WithQuietTime(QuietPeriod aPeriod,
                          Duration aAsked,
                          double aJitter,
                          TimePoint aNow);

bool IsQuiet(const QuietPeriod& aPeriod, TimePoint aNow);

/// The open attempts that a VM may have at the endpoint, of aLimit: one when
/// the quiet time ends, and twice as many after each of a few intervals.
std::int32_t PlacesAfterQuiet(const QuietPeriod& aPeriod,
                              std::int32_t aLimit,
                              TimePoint aNow);

} // namespace Acaciavale
