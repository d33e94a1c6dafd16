#include "QueueSimulation.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/WaitQueue.h>

#include <algorithm>
#include <cmath>
#include <queue>

namespace Acaciavale::DecisionMeasure {

namespace {

using namespace Relay;

constexpr double kDurationSeconds = 60;
constexpr double kBurstStartSeconds = 20;
constexpr double kBurstEndSeconds = 40;
/// Mean service time. Service times are uniform from half to one and a half
/// times this value.
constexpr double kServiceSeconds = 1;
/// Goal for the time from a call to the start of its service, like the goal for
/// the first event.
constexpr double kGoalSeconds = 2;
/// Share of its goal after which the relay rejects a queued request.
constexpr double kQueueTimeShare = 0.75;
/// Maximum calls per request: a rejected caller retries once.
constexpr std::uint32_t kMaxCalls = 2;

struct Caller
{
  std::uint32_t mAccount = 0;
  std::uint32_t mCallCount = 0;
  double mCalledAt = 0;
  double mServiceSeconds = 0;
  bool mIsServed = false;
};

enum class EventKind
{
  Arrival,
  Retry,
  SlotFreed,
  Reject,
};

struct Event
{
  double mTime = 0; ///< Simulated time in seconds.
  EventKind mKind = EventKind::Arrival;
  std::uint32_t mCaller = 0;
  std::uint32_t mCallNumber = 0;

  bool operator>(const Event& aOther) const { return mTime > aOther.mTime; }
};

class QueueSimulation
{
public:
  explicit QueueSimulation(const QueueScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mFreeSlots(aScenario.mSlots)
  {
  }

  QueueResult Run()
  {
    for (std::uint32_t account = 0; account < mScenario.mAccountCount;
         ++account) {
      ScheduleArrival(account);
    }
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      Handle(event);
    }
    QueueResult result;
    const double slotSeconds =
      mScenario.mSlots * (kBurstEndSeconds - kBurstStartSeconds);
    result.mGoodput = mGoodputSeconds / slotSeconds;
    result.mOthersServedShare = mServed[1] / std::max(1.0, mRequests[1]);
    result.mNoisyServedShare = mServed[0] / std::max(1.0, mRequests[0]);
    result.mRejectedRetryShare = mRejectedRetries / std::max(1.0, mRetries);
    return result;
  }

private:
  TimePoint TimePointAt(double aSeconds) const
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  void ScheduleArrival(std::uint32_t aAccount)
  {
    const bool isBurst = mNow >= kBurstStartSeconds && mNow < kBurstEndSeconds;
    const double rate = mScenario.mLoad * mScenario.mSlots / kServiceSeconds /
                        mScenario.mAccountCount *
                        (isBurst ? mScenario.mBurstFactor : 1) *
                        (aAccount == 0 ? mScenario.mNoisyAccountFactor : 1);
    mEvents.push({ mNow - std::log(1 - mRandom.Unit()) / rate,
                   EventKind::Arrival,
                   aAccount,
                   0 });
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.mKind) {
      case EventKind::Arrival:
        if (mNow < kDurationSeconds) {
          ScheduleArrival(aEvent.mCaller);
          mCallers.push_back({ aEvent.mCaller, 0, 0, 0, false });
          mCallers.back().mServiceSeconds =
            kServiceSeconds * (0.5 + mRandom.Unit());
          mRequests[aEvent.mCaller == 0 ? 0 : 1] += 1;
          Call(static_cast<std::uint32_t>(mCallers.size() - 1));
        }
        break;
      case EventKind::Retry:
        mRetries += 1;
        Call(aEvent.mCaller);
        break;
      case EventKind::SlotFreed:
        mFreeSlots += 1;
        Serve();
        break;
      case EventKind::Reject:
        Reject(aEvent.mCaller, aEvent.mCallNumber);
        break;
    }
  }

  void Call(std::uint32_t aCaller)
  {
    Caller& caller = mCallers[aCaller];
    caller.mCallCount += 1;
    caller.mCalledAt = mNow;
    WaitingRequest work;
    work.mAccount = std::to_string(caller.mAccount);
    work.mQueuedAt = TimePointAt(mNow);
    work.mFirstEventGoal = FromSeconds(kGoalSeconds);
    work.mWorkSeconds = kServiceSeconds;
    const bool isFifo = mScenario.mQueuePolicy == QueuePolicy::Fifo;
    const double goalShare =
      mScenario.mQueuePolicy == QueuePolicy::Ours ? kQueueTimeShare : 1;
    work.mStartBy = TimePointAt(isFifo ? mNow + kDurationSeconds
                                       : mNow + goalShare * kGoalSeconds);
    const bool cannotStart =
      mScenario.mQueuePolicy == QueuePolicy::Ours && mFreeSlots == 0 &&
      CannotStartInTime(mStartInterval,
                        mQueue.CountAhead(work, TimePointAt(mNow)),
                        goalShare * kGoalSeconds);
    if (cannotStart) {
      Reject(aCaller, caller.mCallCount);
      return;
    }
    const WaitTicket ticket = mQueue.Add(work);
    mWaiting[ticket] = aCaller;
    if (!isFifo) {
      mEvents.push({ mNow + goalShare * kGoalSeconds,
                     EventKind::Reject,
                     aCaller,
                     caller.mCallCount });
    }
    Serve();
  }

  std::optional<WaitTicket> Next() const
  {
    if (mScenario.mQueuePolicy == QueuePolicy::Ours) {
      return mQueue.Next(TimePointAt(mNow));
    }
    return mWaiting.empty() ? std::nullopt
                            : std::optional(mWaiting.begin()->first);
  }

  void Serve()
  {
    while (mFreeSlots > 0) {
      const auto ticket = Next();
      if (!ticket) {
        return;
      }
      Caller& caller = mCallers[mWaiting.at(*ticket)];
      const bool hasQueue = mWaiting.size() > 1 || mNow > caller.mCalledAt;
      mStartInterval = WithStart(mStartInterval, hasQueue, TimePointAt(mNow));
      Dequeue(*ticket);
      caller.mIsServed = true;
      mFreeSlots -= 1;
      mQueue.RecordStart(
        std::to_string(caller.mAccount), kServiceSeconds, TimePointAt(mNow));
      const double end = mNow + caller.mServiceSeconds;
      mEvents.push({ end, EventKind::SlotFreed, 0, 0 });
      if (mNow - caller.mCalledAt <= kGoalSeconds) {
        mServed[caller.mAccount == 0 ? 0 : 1] += 1;
        mGoodputSeconds += std::max(0.0,
                                    std::min(end, kBurstEndSeconds) -
                                      std::max(mNow, kBurstStartSeconds));
      }
    }
  }

  void Dequeue(WaitTicket aTicket)
  {
    mQueue.Remove(aTicket);
    mWaiting.erase(aTicket);
  }

  void Reject(std::uint32_t aCaller, std::uint32_t aCallNumber)
  {
    Caller& caller = mCallers[aCaller];
    if (caller.mIsServed || caller.mCallCount != aCallNumber) {
      return;
    }
    for (const auto& [ticket, waiting] : mWaiting) {
      if (waiting == aCaller) {
        Dequeue(ticket);
        break;
      }
    }
    mRejectedRetries += aCallNumber > 1 ? 1 : 0;
    if (aCallNumber < kMaxCalls) {
      const Duration delay = RetryAfter(mRetrySchedule,
                                        mStartInterval,
                                        mQueue.size(),
                                        0,
                                        mRandom.Unit(),
                                        TimePointAt(mNow));
      mEvents.push({ mNow + InSeconds(delay), EventKind::Retry, aCaller, 0 });
    }
  }

  QueueScenario mScenario;
  Random mRandom;
  std::uint32_t mFreeSlots;
  WaitQueue mQueue;
  std::map<WaitTicket, std::uint32_t> mWaiting;
  std::vector<Caller> mCallers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  double mNow = 0; ///< Simulated time in seconds.
  StartInterval mStartInterval;
  RetrySchedule mRetrySchedule;
  double mGoodputSeconds = 0;
  double mRequests[2] = { 0, 0 }; ///< Requests of account 0, of all others.
  /// Requests started within their goals, of account 0 and of all others.
  double mServed[2] = { 0, 0 };
  double mRetries = 0;
  double mRejectedRetries = 0;
};

} // namespace

QueueResult SimulateQueue(const QueueScenario& aScenario)
{
  return QueueSimulation(aScenario).Run();
}

} // namespace Acaciavale::DecisionMeasure
