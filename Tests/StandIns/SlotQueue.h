#pragma once

#include "Exchange.h"

#include <list>
#include <mutex>

namespace Acaciavale::StandIns {

/// Occupancy of an engine.
struct SlotCounts
{
  int mInFlight = 0;
  int mQueued = 0;
  int mSlots = 0;
};

/// The slots of a continuous batch. If all are in use, requests wait in order
/// of priority; the lowest number comes first. Thread-safe.
class SlotQueue
{
public:
  explicit SlotQueue(int aSlots);

  /// Waits for a slot. Sets aGranted to false if the client disconnects before
  /// a slot is granted.
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
  std::list<Waiter> mWaiters; ///< Keeps granted waiters until they resume.
  int mSlots;
  int mUsedSlots = 0;
};

} // namespace Acaciavale::StandIns
