#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>

/// The part of Exchange that waits for a free slot or a permit at an endpoint.
namespace Acaciavale::Relay {

namespace {

/// Share of the goal for the first event after which a queued request is
/// refused.
constexpr double kQueueGoalShare = 0.75;
/// Work that a request without a prompt counts at least, so that an account
/// with many of them has a share as well.
constexpr double kMinimumWorkSeconds = 0.001;

/// Class of an account by its share, as the label of metrics. Accounts are no
/// labels, since their number is not bounded.
std::string ShareClass(const AccountShares& aShares,
                       const std::string& aAccount)
{
  return RelativeShareOf(aShares, aAccount) > 1 ? "above-average"
                                                : "up-to-average";
}

} // namespace

double Exchange::PromptSeconds(const AttemptWork& aWork) const
{
  return std::max(kMinimumWorkSeconds,
                  mState->mRegistry.ExpectedFirstEventSeconds(mPool, aWork));
}

void Exchange::RecordWork(const AttemptWork& aWork, TimePoint aNow)
{
  WaitQueue& queue = mState->mQueues[mPool].mQueue;
  const std::string account = mAccount == nullptr ? "" : mAccount->mName;
  const double seconds = PromptSeconds(aWork);
  if (mAccount != nullptr) {
    mState->mMetrics.Count(
      "acaciavale_relay_account_work_seconds_total",
      { { "pool", mPool },
        { "share", ShareClass(queue.Shares(aNow), account) } },
      seconds);
  }
  // NOTE: Callers state the length of their prompts. One false statement must
  //       not outweigh the work of all others.
  queue.RecordStart(
    account, std::min(seconds, InSeconds(mRoute->mTimeout)), aNow);
}

void Exchange::RefuseForCapacity()
{
  PoolQueue& poolQueue = mState->mQueues[mPool];
  const TimePoint now = MonotonicNow();
  const std::string account = mAccount == nullptr ? "" : mAccount->mName;
  const std::int64_t urgency = UrgencyOf(*mSettings, mAccount, *mRoute);
  const AccountShares& shares = poolQueue.mQueue.Shares(now);
  const Duration retryAfter = RetryAfter(poolQueue.mRetrySchedule,
                                         poolQueue.mStartInterval,
                                         poolQueue.mQueue.size(),
                                         urgency,
                                         mState->mRandom.Unit(),
                                         now);
  const std::string_view reason =
    mQueueTicket ? "no place came free in time" : "no endpoint took it";
  mState->mMetrics.Count(
    "acaciavale_relay_capacity_refusals_total",
    { { "pool", mPool }, { "share", ShareClass(shares, account) } });
  Log(LogLevel::Info,
      "relay",
      "A request is refused for lack of capacity.",
      { { "id", mRequest.mId },
        { "pool", mPool },
        { "account", account },
        { "reason", std::string(reason) },
        { "urgency", std::to_string(urgency) },
        { "share", std::to_string(ShareOf(shares, account)) },
        { "largest-share", std::to_string(LargestShare(shares)) },
        { "queued", std::to_string(poolQueue.mQueue.size()) },
        { "retry-ms",
          std::to_string(
            std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter)
              .count()) } });
  Refuse(503, reason, retryAfter);
}

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
  waiting.mFirstEventGoal = mRoute->mFirstEventGoal;
  waiting.mWorkSeconds = PromptSeconds(AttemptWorkFor(mModel));
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

void Exchange::LeaveQueue()
{
  mQueueTimer.Cancel();
  if (!mQueueTicket) {
    return;
  }
  PoolQueue& poolQueue = mState->mQueues[mPool];
  poolQueue.mQueue.Remove(*mQueueTicket);
  poolQueue.mWaiting.erase(*mQueueTicket);
  mQueueTicket.reset();
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
