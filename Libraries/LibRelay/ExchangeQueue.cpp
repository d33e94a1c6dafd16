#include "Exchange.h"

#include <algorithm>

/// The part of Exchange that waits for a free slot or a permit at an endpoint.
namespace Acaciavale::Relay {

namespace {

/// Share of the goal for the first event after which a queued request is
/// refused.
constexpr double kQueueGoalShare = 0.75;

} // namespace

void Exchange::JoinQueue()
{
  PoolQueue& poolQueue = mState->mQueues[mPool];
  WaitingRequest waiting;
  waiting.mUrgency = UrgencyOf(*mSettings, mAccount, *mRoute);
  waiting.mAccount = mAccount == nullptr ? "" : mAccount->mName;
  waiting.mQueuedAt = MonotonicNow();
  waiting.mStartBy =
    std::min(mDeadline,
             mArrivedAt + FromSeconds(kQueueGoalShare *
                                      InSeconds(mRoute->mFirstEventGoal)));
  const double secondsLeft = InSeconds(waiting.mStartBy - waiting.mQueuedAt);
  const std::size_t ahead =
    poolQueue.mQueue.CountAhead(waiting, waiting.mQueuedAt);
  // NOTE: Endpoints that are only full may take a request at any time.
  const auto timeToPermit = mLimited.mCount > 0
                              ? TimeToPermit(mLimited, ahead, waiting.mQueuedAt)
                              : std::nullopt;
  const bool waitsForPermit = timeToPermit && !mIsAnyEndpointFull;
  const bool isTooLate =
    waitsForPermit
      ? InSeconds(*timeToPermit) > secondsLeft
      : CannotStartInTime(poolQueue.mStartInterval, ahead, secondsLeft);
  if (secondsLeft <= 0 || isTooLate) {
    Fail();
    return;
  }
  if (timeToPermit) {
    mState->ServeQueueAt(mPool, mLimited.mNextPermitAt);
  }
  mQueueTicket = poolQueue.mQueue.Add(waiting);
  poolQueue.mWaiting[*mQueueTicket] = weak_from_this();
  mQueueTimer.StartTimeout(
    waiting.mStartBy - waiting.mQueuedAt,
    [self = shared_from_this()] {
      if (self->mQueueTicket) {
        self->Fail();
      }
    },
    kTimeToCatchUp);
}

bool Exchange::TryLeaveQueue()
{
  if (mIsOver || !mQueueTicket) {
    return true;
  }
  if (RefuseUnsafePrompt() || RefuseLate()) {
    return true;
  }
  const EndpointSelection selection = SelectEndpoint();
  if (!selection.mEndpoint && selection.mIsFull) {
    if (mLimited.mOwnPerSecond > 0) {
      mState->ServeQueueAt(mPool, mLimited.mNextPermitAt);
    }
    return false;
  }
  mQueueTicket.reset();
  mQueueTimer.Cancel();
  if (selection.mEndpoint) {
    StartAttempt(selection);
  } else {
    Fail();
  }
  return true;
}

} // namespace Acaciavale::Relay
