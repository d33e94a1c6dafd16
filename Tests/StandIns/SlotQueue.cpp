#include "SlotQueue.h"

#include <algorithm>

namespace Acaciavale::StandIns {

namespace {

constexpr std::chrono::seconds kLongWait{ 600 };

} // namespace

SlotQueue::SlotQueue(int aSlots)
  : mSlots(aSlots)
{
}

Task SlotQueue::Acquire(Exchange& aExchange, int aPriority, bool& aGranted)
{
  std::list<Waiter> own{ { &aExchange, aPriority, false } };
  const auto waiter = own.begin();
  {
    const std::lock_guard lock(mMutex);
    if (mTaken < mSlots) {
      ++mTaken;
      aGranted = true;
      co_return;
    }
    const auto before =
      std::find_if(mWaiters.begin(), mWaiters.end(), [&](const Waiter& aOther) {
        return aOther.mPriority > aPriority;
      });
    mWaiters.splice(before, own);
  }
  for (;;) {
    co_await aExchange.Suspend(kLongWait);
    const std::lock_guard lock(mMutex);
    if (waiter->mGranted || aExchange.Gone()) {
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
    --mTaken;
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
  return { mTaken, static_cast<int>(queued), mSlots };
}

} // namespace Acaciavale::StandIns
