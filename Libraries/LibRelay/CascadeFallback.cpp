#include <Acaciavale/LibRelay/CascadeFallback.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Wait for the larger model's first event, as a multiple of its expected time.
/// The standard deviation of that time is about as large as its mean, so 95 %
/// of the first events come within this multiple.
constexpr double kPatienceMultiple = 3;
/// Shortest wait. A lost packet is sent again after 200 ms and says nothing
/// about the endpoint.
constexpr double kMinimumPatienceSeconds = 0.25;
/// Time that remains for the delivery of the kept answer: the way to the caller
/// (3 to 7 ms) and delays of the event loop.
constexpr double kDeliverySeconds = 0.05;

/// Share of the byte budget up to which answers are kept. The rest is for
/// bodies and responses that callers need for certain.
constexpr double kKeptShare = 0.75;

/// Expected time to the first event. The mean is a prior until a sample exists,
/// and may be lower than what an idle engine needs.
double ExpectedWait(const LargerModelTimes& aTimes)
{
  return std::max(aTimes.mExpectedFirstEvent, aTimes.mLowQuartile);
}

} // namespace

std::string_view Describe(FallbackCause aCause)
{
  switch (aCause) {
    case FallbackCause::Late:
      return "late";
    case FallbackCause::Failed:
      return "failed";
    case FallbackCause::NoAnswer:
      return "no-answer";
    case FallbackCause::NoRoom:
      return "no-room";
    case FallbackCause::Deadline:
      return "deadline";
    case FallbackCause::Stop:
      return "stop";
  }
  return "unknown";
}

bool HasRoomToKeep(std::size_t aLimitBytes,
                   std::size_t aHeldBytes,
                   std::size_t aAddedBytes)
{
  return static_cast<double>(aHeldBytes + aAddedBytes) <=
         kKeptShare * static_cast<double>(aLimitBytes);
}

bool CanBeginInTime(const LargerModelTimes& aTimes)
{
  // NOTE: The time to finish is not known: the caller states the most tokens
  //       that it takes, an event holds several, and most answers are shorter.
  return ExpectedWait(aTimes) + kDeliverySeconds <= aTimes.mTimeLeft;
}

std::optional<double> SecondsUntilFallback(const LargerModelTimes& aTimes,
                                           KeptAnswerState aState)
{
  if (aState == KeptAnswerState::WithoutEvent) {
    return std::nullopt;
  }
  const double untilGoal = aTimes.mGoalLeft - kDeliverySeconds;
  const double untilDeadline = aTimes.mTimeLeft - kDeliverySeconds;
  // NOTE: Where the larger model was expected to be late, the escalation was
  //       chosen although the goal is missed.
  const bool isGoalInReach = ExpectedWait(aTimes) <= untilGoal + aTimes.mWaited;
  const double patience = std::max(kMinimumPatienceSeconds,
                                   kPatienceMultiple * ExpectedWait(aTimes)) -
                          aTimes.mWaited;
  // NOTE: An unsure answer gains nothing by going out before the goal, whereas
  //       the larger model's answer is likely to be the better one until then.
  const double seconds =
    std::min(untilDeadline, isGoalInReach ? untilGoal : patience);
  return std::max(0.0, seconds);
}

bool MayAskAnotherEndpoint(const LargerModelTimes& aTimes,
                           KeptAnswerState aState)
{
  const auto seconds = SecondsUntilFallback(aTimes, aState);
  return seconds ? ExpectedWait(aTimes) <= *seconds : CanBeginInTime(aTimes);
}

} // namespace Acaciavale::Relay
