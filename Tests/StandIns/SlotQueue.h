#pragma once

#include "Exchange.h"

#include <list>
#include <mutex>

namespace Acaciavale::StandIns {

/// How full an engine is.
struct SlotCounts
{
  int mInFlight = 0;
  int mQueued = 0;
  int mSlots = 0;
};

/// The slots of a continuous batch; who comes when all are taken waits, the
/// most urgent first. Thread-safe.
class SlotQueue
{
public:
  explicit SlotQueue(int aSlots);

  /// Waits for a slot; sets aGranted to false if the client has gone before.
  Task Acquire(Exchange& aExchange, int aPriority, bool& aGranted);
  void Release();
  SlotCounts Counts() const;

private:
  struct Waiter
  {
    Exchange* mExchange = nullptr;
    int mPriority = 0;
    bool mGranted = false;
  };

  mutable std::mutex mMutex;
  std::list<Waiter> mWaiters; ///< Those who were granted are out of it.
  int mSlots;
  int mUsedSlots = 0;
};

} // namespace Acaciavale::StandIns
