#pragma once

#include <compare>
#include <cstdint>

/// Tells whether an attempt is several times slower than usual.
namespace Acaciavale::Relay {

struct AttemptTiming
{
  double mSecondsSinceStart = 0; ///< Until now, or until the attempt ended.
  double mFirstEventSeconds = 0; ///< From the start; 0: no event yet.
  std::int64_t mEvents = 0;      ///< Events received so far.

  auto operator<=>(const AttemptTiming&) const = default;
};

/// What is usual for the attempt's pool, model and prompt.
struct UsualTiming
{
  double mFirstEventGoalSeconds = 0;
  double mFirstEventSeconds = 0;
  double mSecondsPerEvent = 0; ///< 0: not known.

  auto operator<=>(const UsualTiming&) const = default;
};

enum class Pace
{
  Unknown, ///< Too short, or too young, to tell.
  Usual,
  Slow,
};

/// aIsStream: the response is a series of events.
Pace PaceOf(const AttemptTiming& aAttempt,
            const UsualTiming& aUsual,
            bool aIsStream);

/// The mean time from one event to the next; 0 if the stream was too short to
/// tell.
double SecondsPerEvent(const AttemptTiming& aAttempt);

} // namespace Acaciavale::Relay
