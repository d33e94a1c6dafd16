#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/AttemptTiming.h>
#include <Acaciavale/LibRelay/TrafficShift.h>

#include <deque>
#include <memory>

/// Collects the evidence of one VM on the two versions of a roll-out.
///
/// Load pattern: a new version sends its first events on time and then
/// generates several times more slowly, while its share of the traffic rises
/// within a second or two. Its slow streams have not ended when the roll-out is
/// decided, are given up as silent, or lose their callers, so the answers that
/// have ended are the fast ones. Therefore the pace of every attempt is judged
/// at the same age, whether it has ended or not, and counts as a rating. Error
/// responses count at once.
namespace Acaciavale::Relay {

enum class AttemptState
{
  Open,
  Answered,
  Error,      ///< The endpoint responded with a server error.
  Silent,     ///< Given up because no event came in time.
  NotNeeded,  ///< Cancelled: the caller left, or another attempt answered.
  NoEvidence, ///< Lost for a reason that may not be the endpoint's.
};

/// An attempt, as evidence on the version of its endpoint.
struct JudgedAttempt
{
  TimePoint mStartedAt{};
  bool mIsOfTarget = false; ///< Whether it runs on the new version.
  bool mIsStream = false;
  AttemptState mState = AttemptState::Open;
  AttemptTiming mTiming; ///< mSecondsSinceStart is set when the attempt ends.
  UsualTiming mUsual;
};

struct VersionEvidence
{
  TrafficShiftEvidence mCounted;
  /// Attempts that are not old enough to be rated, in the order of their start.
  std::deque<std::shared_ptr<const JudgedAttempt>> mPending;
};

/// The attempt's pace as of the given time.
Pace PaceAt(const JudgedAttempt& aAttempt, TimePoint aNow);

/// Rates the pace of the attempts that have become old enough.
void RateDueAttempts(VersionEvidence& aEvidence, TimePoint aNow);

/// Counts an attempt that has ended as an answer or an error.
void CountEnd(VersionEvidence& aEvidence, const JudgedAttempt& aAttempt);

} // namespace Acaciavale::Relay
