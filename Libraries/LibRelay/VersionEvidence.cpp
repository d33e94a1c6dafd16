#include <Acaciavale/LibRelay/VersionEvidence.h>

namespace Acaciavale::Relay {

namespace {

/// Age at which the pace of an attempt is judged. A slow stream shows its pace
/// within some tens of usual event gaps, and the age delays the decision on a
/// roll-out.
constexpr Duration kJudgementAge = std::chrono::milliseconds(1200);

EvidenceCell& CellOf(VersionEvidence& aEvidence, const JudgedAttempt& aAttempt)
{
  return aAttempt.mIsOfTarget ? aEvidence.mCounted.mNew
                              : aEvidence.mCounted.mOld;
}

} // namespace

Pace PaceAt(const JudgedAttempt& aAttempt, TimePoint aNow)
{
  if (aAttempt.mState == AttemptState::Silent) {
    return Pace::Slow;
  }
  AttemptTiming timing = aAttempt.mTiming;
  if (aAttempt.mState == AttemptState::Open) {
    timing.mSecondsSinceStart = InSeconds(aNow - aAttempt.mStartedAt);
  }
  return PaceOf(timing, aAttempt.mUsual, aAttempt.mIsStream);
}

void RateDueAttempts(VersionEvidence& aEvidence, TimePoint aNow)
{
  auto& pending = aEvidence.mPending;
  while (!pending.empty() &&
         aNow - pending.front()->mStartedAt >= kJudgementAge) {
    const JudgedAttempt& attempt = *pending.front();
    const Pace pace = PaceAt(attempt, aNow);
    // NOTE: Slow answers lose their callers, so a slow attempt counts also if
    //       it is no longer needed.
    const bool isRated = attempt.mState == AttemptState::NotNeeded
                           ? pace == Pace::Slow
                           : pace != Pace::Unknown &&
                               attempt.mState != AttemptState::Error &&
                               attempt.mState != AttemptState::NoEvidence;
    if (isRated) {
      EvidenceCell& cell = CellOf(aEvidence, attempt);
      cell.mRated += 1;
      cell.mGood += pace == Pace::Slow ? 0 : 1;
    }
    pending.pop_front();
  }
}

void CountEnd(VersionEvidence& aEvidence, const JudgedAttempt& aAttempt)
{
  EvidenceCell& cell = CellOf(aEvidence, aAttempt);
  if (aAttempt.mState == AttemptState::Error) {
    cell.mAnswers += 1;
    cell.mErrors += 1;
  } else if (aAttempt.mState == AttemptState::Answered ||
             aAttempt.mState == AttemptState::Silent) {
    cell.mAnswers += 1;
    cell.mFirstTokenSeconds += aAttempt.mTiming.mFirstEventSeconds > 0
                                 ? aAttempt.mTiming.mFirstEventSeconds
                                 : aAttempt.mTiming.mSecondsSinceStart;
  }
}

} // namespace Acaciavale::Relay
