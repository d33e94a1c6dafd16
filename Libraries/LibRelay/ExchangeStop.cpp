#include "Exchange.h"

/// The part of Exchange that concerns a planned stop of the VM.
namespace Acaciavale::Relay {

/// Whether this VM stops before the request can be expected to end.
bool Exchange::IsCutByStop() const
{
  if (!mState->mPlannedStop) {
    return false;
  }
  const TimePoint now = MonotonicNow();
  const LateRequest request{ now - mState->mPlannedStop->mStartedAt,
                             mState->mPlannedStop->mOpenTime,
                             mDeadline - now,
                             mState->LongestExpectedOf(*mRoute) };
  return !CanEndBeforeCut(request);
}

/// Ends a request instead of an attempt that the stop would cut. Returns
/// whether it did. A stream that has begun goes on as far as it gets.
bool Exchange::RefuseLate()
{
  if (mIsStreaming || !IsCutByStop()) {
    return false;
  }
  if (mErrorResponseHead || mMayHaveRun) {
    Fail();
  } else {
    Refuse(
      503, "this VM stops before the request would end", kDefaultRetryAfter);
  }
  return true;
}

/// Records how long the request lasted, for those that come late in a stop.
void Exchange::RecordDuration()
{
  const TimePoint now = MonotonicNow();
  RecentDurations& durations = mState->mDurations[mRoute->mName];
  durations = WithDuration(durations, now - mArrivedAt, now);
}

void Exchange::EndForStop()
{
  if (mIsOver) {
    return;
  }
  NoteOpenAttempts();
  if (DeliverCompleteAnswer(FallbackCause::Stop)) {
    return;
  }
  if (mIsStreaming) {
    mSession->Abort();
    Finish("the stream was aborted, as this VM stops");
  } else if (mMayHaveRun) {
    Refuse(504, "this VM stops before the answer");
  } else {
    Refuse(503, "this VM stops before the request began", kDefaultRetryAfter);
  }
}

} // namespace Acaciavale::Relay
