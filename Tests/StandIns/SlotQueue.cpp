#include "SlotQueue.h"

#include <algorithm>

namespace Acaciavale::StandIns {

namespace {

constexpr std::chrono::seconds kMaxWait{ 600 };

} // namespace

SlotQueue::SlotQueue(int aSlots)
  : mSlots(aSlots)
{
}

Task SlotQueue::Acquire(Exchange& aExchange, int aPriority, bool& aGranted)
{
  std::list<Waiter> newWaiter{ { &aExchange, aPriority, false } };
  const auto waiter = newWaiter.begin();
  {
    const std::lock_guard lock(mMutex);
    if (mUsedSlots < mSlots) {
      ++mUsedSlots;
      aGranted = true;
      co_return;
    }
    const auto position =
      std::find_if(mWaiters.begin(), mWaiters.end(), [&](const Waiter& aOther) {
        return aOther.mPriority > aPriority;
      });
    mWaiters.splice(position, newWaiter);
  }
  for (;;) {
    co_await aExchange.WaitForWake(kMaxWait);
    const std::lock_guard lock(mMutex);
    if (waiter->mGranted || aExchange.IsClientDisconnected()) {
      aGranted = waiter->mGranted;
      mWaiters.erase(waiter);
      co_return;
    }
  }
}

void SlotQueue::Release()
{
  const std::lock_guard lock(mMutex);
  const auto next =
    std::find_if(mWaiters.begin(), mWaiters.end(), [](const Waiter& aWaiter) {
      return !aWaiter.mGranted;
    });
  if (next == mWaiters.end()) {
    --mUsedSlots;
    return;
  }
  next->mGranted = true;
  next->mExchange->Wake();
}

SlotCounts SlotQueue::Counts() const
{
  const std::lock_guard lock(mMutex);
  const auto queued =
    std::count_if(mWaiters.begin(), mWaiters.end(), [](const Waiter& aWaiter) {
      return !aWaiter.mGranted;
    });
  return { mUsedSlots, static_cast<int>(queued), mSlots };
}

} // namespace Acaciavale::StandIns
