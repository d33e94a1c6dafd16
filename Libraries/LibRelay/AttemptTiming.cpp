#include <Acaciavale/LibRelay/AttemptTiming.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Multiple of the usual time from which a first event counts as slow. Bad
/// versions are several times slower.
constexpr double kSlowFirstEventMultiple = 4;
/// Multiple of the usual time between events from which a stream counts as
/// slow. It varies less than the time to the first event.
constexpr double kSlowPaceMultiple = 3;
/// Duration from which a stream's pace is judged. In shorter streams, a single
/// long prompt that the engine reads beside them decides.
constexpr double kMinimumStreamSeconds = 0.4;
/// Number of events from which a stream shows its pace.
constexpr std::int64_t kMinimumEvents = 8;

} // namespace

Pace PaceOf(const AttemptTiming& aAttempt,
            const UsualTiming& aUsual,
            bool aIsStream)
{
  const bool hasEvent = aAttempt.mFirstEventSeconds > 0;
  const double firstEventSeconds =
    hasEvent ? aAttempt.mFirstEventSeconds : aAttempt.mSecondsSinceStart;
  const double firstEventLimit =
    std::max(aUsual.mFirstEventGoalSeconds,
             kSlowFirstEventMultiple * aUsual.mFirstEventSeconds);
  if (firstEventSeconds > firstEventLimit) {
    return Pace::Slow;
  }
  if (!hasEvent) {
    return Pace::Unknown;
  }
  if (!aIsStream) {
    return Pace::Usual;
  }
  // NOTE: Each event received stands for one gap: those between them, and the
  //       one after the latest.
  const double streamSeconds =
    aAttempt.mSecondsSinceStart - aAttempt.mFirstEventSeconds;
  const bool isSlow =
    aAttempt.mEvents > 0 && streamSeconds >= kMinimumStreamSeconds &&
    aUsual.mSecondsPerEvent > 0 &&
    streamSeconds > kSlowPaceMultiple * aUsual.mSecondsPerEvent *
                      static_cast<double>(aAttempt.mEvents);
  if (isSlow) {
    return Pace::Slow;
  }
  return aAttempt.mEvents >= kMinimumEvents ? Pace::Usual : Pace::Unknown;
}

double SecondsPerEvent(const AttemptTiming& aAttempt)
{
  return aAttempt.mEvents < kMinimumEvents
           ? 0
           : (aAttempt.mSecondsSinceStart - aAttempt.mFirstEventSeconds) /
               static_cast<double>(aAttempt.mEvents - 1);
}

} // namespace Acaciavale::Relay
