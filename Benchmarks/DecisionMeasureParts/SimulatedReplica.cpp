#include "SimulatedReplica.h"

#include <algorithm>

namespace Acaciavale::DecisionMeasure {

SimulatedReplica::SimulatedReplica(std::uint32_t aSlots,
                                   double aSlowdown,
                                   std::uint32_t aVms)
  : mSlots(aSlots)
  , mSlowdown(aSlowdown)
  , mInFlightByVm(aVms, 0)
{
}

void SimulatedReplica::AddInFlight(std::uint32_t aVm)
{
  mInFlight += 1;
  mInFlightByVm[aVm] += 1;
}

void SimulatedReplica::RemoveInFlight(std::uint32_t aVm)
{
  mInFlight -= 1;
  mInFlightByVm[aVm] -= 1;
}

bool SimulatedReplica::TryStart()
{
  if (mRunning >= mSlots) {
    return false;
  }
  mRunning += 1;
  return true;
}

void SimulatedReplica::FreeSlot()
{
  mRunning -= 1;
}

void SimulatedReplica::Queue(std::uint32_t aJob, std::size_t aPriority)
{
  mQueues[aPriority].push_back(aJob);
}

bool SimulatedReplica::PopQueued(std::uint32_t& aJob)
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

bool SimulatedPrefixCache::Touch(std::uint32_t aPrefix, std::int64_t& aEvicted)
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
