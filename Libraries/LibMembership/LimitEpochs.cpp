#include <Acaciavale/LibMembership/LimitShares.h>

#include <algorithm>
#include <map>

namespace Acaciavale {

namespace {

/// The clocks of two VMs drift apart by less than the elapsed time divided by
/// this number. A VM gives up its floor earlier by that margin than other VMs
/// stop reserving it.
constexpr std::int64_t kClockDriftDivisor = 50;

const LimitAllocation* FindAllocation(const LimitEpoch& aEpoch,
                                      const std::string& aVm)
{
  for (const LimitAllocation& allocation : aEpoch.mAllocations) {
    if (allocation.mVm == aVm) {
      return &allocation;
    }
  }
  return nullptr;
}

bool IsFloorRetained(const LimitOptions& aOptions, Duration aUnconfirmed)
{
  return aUnconfirmed < aOptions.mMissingFloorRetention * kClockDriftDivisor /
                          (kClockDriftDivisor + 1);
}

std::int64_t WeightOf(const LimitMember& aMember)
{
  return std::max<std::int64_t>(1, aMember.mWeight);
}

/// Returns the allocations of the epoch, each with share 0 and marked as
/// missing. An allocation that was not marked before is missing since aNow.
/// Allocations missing for too long are dropped.
std::map<std::string, LimitAllocation> RetainedAllocations(
  const LimitEpoch& aEpoch,
  const LimitOptions& aOptions,
  UnixMilliseconds aNow)
{
  std::map<std::string, LimitAllocation> retained;
  for (LimitAllocation allocation : aEpoch.mAllocations) {
    if (allocation.mMissingSince.count() == 0) {
      allocation.mMissingSince = aNow;
    }
    allocation.mShare = 0;
    if (aNow - allocation.mMissingSince < aOptions.mMissingFloorRetention) {
      retained.emplace(allocation.mVm, allocation);
    }
  }
  return retained;
}

} // namespace

LimitEpoch NextEpoch(const LimitEpoch& aEpoch,
                     const std::vector<LimitMember>& aLive,
                     const LimitOptions& aOptions,
                     UnixMilliseconds aNow)
{
  std::map<std::string, LimitAllocation> allocations =
    RetainedAllocations(aEpoch, aOptions, aNow);
  double totalFloor = 0;
  for (const auto& [name, allocation] : allocations) {
    totalFloor += allocation.mFloor;
  }
  std::map<std::string, std::int64_t> weights;
  for (const LimitMember& member : aLive) {
    weights[member.mVm] = WeightOf(member);
  }
  double totalWeight = 0;
  for (const auto& [name, memberWeight] : weights) {
    totalWeight += static_cast<double>(memberWeight);
    const auto [it, added] =
      allocations.emplace(name, LimitAllocation{ name, 0, 0, {} });
    it->second.mMissingSince = {};
    if (added) {
      const double nominalFloor = aOptions.mFloorFraction *
                                  static_cast<double>(memberWeight) /
                                  static_cast<double>(aOptions.mMaxFleetWeight);
      // NOTE: In a fleet heavier than mMaxFleetWeight, the VMs added last get
      //       no floor.
      it->second.mFloor =
        std::clamp(aOptions.mFloorFraction - totalFloor, 0.0, nominalFloor);
      totalFloor += it->second.mFloor;
    }
  }
  LimitEpoch next{ aEpoch.mNumber + 1, {} };
  for (auto& [name, allocation] : allocations) {
    const auto memberWeight = weights.find(name);
    if (memberWeight != weights.end()) {
      allocation.mShare =
        allocation.mFloor + std::max(0.0, 1 - totalFloor) *
                              static_cast<double>(memberWeight->second) /
                              totalWeight;
    }
    next.mAllocations.push_back(allocation);
  }
  return next;
}

LimitState ApplyEpoch(LimitState aState,
                      const LimitEpoch& aEpoch,
                      const LimitOptions& aOptions,
                      TimePoint aReadBegan,
                      TimePoint aNow)
{
  if (aEpoch.mNumber < aState.mEpoch.mNumber) {
    return aState;
  }
  if (aEpoch.mNumber > aState.mEpoch.mNumber) {
    const LimitAllocation* previous =
      FindAllocation(aState.mEpoch, aOptions.mVm);
    const LimitAllocation* allocation = FindAllocation(aEpoch, aOptions.mVm);
    // NOTE: This is the share in use, not the share granted, so that a larger
    //       share whose delay has not passed goes on waiting. If this VM
    //       skipped an epoch, its share may have been granted to others
    //       meanwhile, so it starts from its floor.
    const bool skippedEpoch = aEpoch.mNumber > aState.mEpoch.mNumber + 1;
    aState.mPreviousShare =
      skippedEpoch ? 0 : CurrentLimitShare(aState, aOptions, aNow);
    if (aEpoch.mNumber == 1 && allocation != nullptr) {
      // NOTE: No VM can be using a share from before the first epoch, so there
      //       is nothing to wait for.
      aState.mPreviousShare = allocation->mShare;
    }
    const bool sameFloor =
      previous != nullptr && allocation != nullptr &&
      previous->mFloor == allocation->mFloor &&
      previous->mMissingSince.count() == 0 &&
      IsFloorRetained(aOptions, aNow - aState.mConfirmedAt);
    aState.mFloorSince = sameFloor ? aState.mFloorSince : aNow;
    aState.mEpoch = aEpoch;
    aState.mEpochSince = aNow;
  }
  aState.mConfirmedAt = aReadBegan;
  return aState;
}

double CurrentLimitShare(const LimitState& aState,
                         const LimitOptions& aOptions,
                         TimePoint aNow)
{
  const LimitAllocation* allocation =
    FindAllocation(aState.mEpoch, aOptions.mVm);
  if (allocation == nullptr) {
    return 0;
  }
  // NOTE: Other VMs may use the capacity of a new floor until their older
  //       epochs expire.
  const bool floorReserved = aNow - aState.mFloorSince >= aOptions.mGrowthDelay;
  const double floor = floorReserved ? allocation->mFloor : 0;
  const Duration unconfirmed = aNow - aState.mConfirmedAt;
  if (unconfirmed >= aOptions.mEpochValidity) {
    // NOTE: Epochs reserve the floor of a missing VM for mMissingFloorRetention
    //       only. A VM that its last epoch lists as missing cannot tell how
    //       much of that time is left.
    const bool retained = allocation->mMissingSince.count() == 0 &&
                          IsFloorRetained(aOptions, unconfirmed);
    return retained ? floor : 0;
  }
  const bool growthDelayPassed =
    aNow - aState.mEpochSince >= aOptions.mGrowthDelay;
  const double usableMeanwhile = std::max(aState.mPreviousShare, floor);
  return growthDelayPassed ? allocation->mShare
                           : std::min(allocation->mShare, usableMeanwhile);
}

} // namespace Acaciavale
