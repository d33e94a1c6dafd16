#include "ReplicaFake.h"

#include <algorithm>

namespace Acaciavale::DecisionMeasure {

ReplicaFake::ReplicaFake(std::uint32_t aSlots,
                         double aFactor,
                         std::uint32_t aVms)
  : mSlots(aSlots)
  , mFactor(aFactor)
  , mByVm(aVms, 0)
{
}

void ReplicaFake::Enter(std::uint32_t aVm)
{
  mInFlight += 1;
  mByVm[aVm] += 1;
}

void ReplicaFake::Leave(std::uint32_t aVm)
{
  mInFlight -= 1;
  mByVm[aVm] -= 1;
}

bool ReplicaFake::TryBegin()
{
  if (mRunning >= mSlots) {
    return false;
  }
  mRunning += 1;
  return true;
}

void ReplicaFake::FreeSlot()
{
  mRunning -= 1;
}

void ReplicaFake::Queue(std::uint32_t aJob, std::size_t aPriority)
{
  mQueues[aPriority].push_back(aJob);
}

bool ReplicaFake::TakeQueued(std::uint32_t& aJob)
{
  for (auto& queue : mQueues) {
    if (!queue.empty()) {
      aJob = queue.front();
      queue.pop_front();
      return true;
    }
  }
  return false;
}

bool PrefixCacheFake::Touch(std::uint32_t aPrefix, std::int64_t& aEvicted)
{
  aEvicted = -1;
  const auto found = std::find(mPrefixes.begin(), mPrefixes.end(), aPrefix);
  const bool isHit = found != mPrefixes.end();
  if (isHit) {
    mPrefixes.erase(found);
  }
  mPrefixes.push_front(aPrefix);
  if (mPrefixes.size() > mSlots) {
    aEvicted = mPrefixes.back();
    mPrefixes.pop_back();
  }
  return isHit;
}

} // namespace Acaciavale::DecisionMeasure
