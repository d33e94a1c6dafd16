#include <Acaciavale/LibMembership/LimitShares.h>

#include <algorithm>
#include <map>

namespace Acaciavale {

namespace {

/// Clocks of two VMs run apart by less than one part in this many.
constexpr std::int64_t kKeptParts = 50;

const LimitPart* FindPart(const LimitEpoch& aEpoch, const std::string& aVm)
{
  for (const LimitPart& part : aEpoch.mParts) {
    if (part.mVm == aVm) {
      return &part;
    }
  }
  return nullptr;
}

bool IsWithinKept(const LimitOptions& aOptions, Duration aUnconfirmed)
{
  return aUnconfirmed < aOptions.mMissingKept * kKeptParts / (kKeptParts + 1);
}

std::int64_t WeightOf(const LimitMember& aMember)
{
  return std::max<std::int64_t>(1, aMember.mWeight);
}

/// Parts of VMs that are not live, with the time since when; those that were
/// missing for too long are dropped.
std::map<std::string, LimitPart> KeptParts(const LimitEpoch& aEpoch,
                                           const LimitOptions& aOptions,
                                           UnixMilliseconds aNow)
{
  std::map<std::string, LimitPart> kept;
  for (LimitPart part : aEpoch.mParts) {
    if (part.mMissingSince.count() == 0) {
      part.mMissingSince = aNow;
    }
    part.mShare = 0;
    if (aNow - part.mMissingSince < aOptions.mMissingKept) {
      kept.emplace(part.mVm, part);
    }
  }
  return kept;
}

} // namespace

LimitEpoch NextEpoch(const LimitEpoch& aEpoch,
                     const std::vector<LimitMember>& aLive,
                     const LimitOptions& aOptions,
                     UnixMilliseconds aNow)
{
  std::map<std::string, LimitPart> parts = KeptParts(aEpoch, aOptions, aNow);
  double floors = 0;
  for (const auto& [name, part] : parts) {
    floors += part.mFloor;
  }
  std::map<std::string, std::int64_t> weights;
  for (const LimitMember& member : aLive) {
    weights[member.mVm] = WeightOf(member);
  }
  double weight = 0;
  for (const auto& [name, own] : weights) {
    weight += static_cast<double>(own);
    const auto [place, added] =
      parts.emplace(name, LimitPart{ name, 0, 0, {} });
    place->second.mMissingSince = {};
    if (added) {
      const double nominal = aOptions.mFloorPart * static_cast<double>(own) /
                             static_cast<double>(aOptions.mFleetWeight);
      // NOTE: In a fleet larger than foreseen, the last ones have no floor.
      place->second.mFloor =
        std::clamp(aOptions.mFloorPart - floors, 0.0, nominal);
      floors += place->second.mFloor;
    }
  }
  LimitEpoch next{ aEpoch.mNumber + 1, {} };
  for (auto& [name, part] : parts) {
    const auto own = weights.find(name);
    if (own != weights.end()) {
      part.mShare = part.mFloor + std::max(0.0, 1 - floors) *
                                    static_cast<double>(own->second) / weight;
    }
    next.mParts.push_back(part);
  }
  return next;
}

LimitKnowledge TakeEpoch(LimitKnowledge aKnowledge,
                         const LimitEpoch& aEpoch,
                         const LimitOptions& aOptions,
                         TimePoint aReadBegan,
                         TimePoint aNow)
{
  if (aEpoch.mNumber < aKnowledge.mCurrent.mNumber) {
    return aKnowledge;
  }
  if (aEpoch.mNumber > aKnowledge.mCurrent.mNumber) {
    const LimitPart* before = FindPart(aKnowledge.mCurrent, aOptions.mVm);
    const LimitPart* part = FindPart(aEpoch, aOptions.mVm);
    // NOTE: What it uses now, not what it was granted: a part that was still
    //       waiting to grow goes on waiting. And after an epoch that it missed,
    //       in which its part may have gone to others, it starts at its floor.
    const bool missedOne = aEpoch.mNumber > aKnowledge.mCurrent.mNumber + 1;
    aKnowledge.mShareBefore =
      missedOne ? 0 : LimitShareNow(aKnowledge, aOptions, aNow);
    if (aEpoch.mNumber == 1 && part != nullptr) {
      // NOTE: Nobody can be using anything from before the first epoch.
      aKnowledge.mShareBefore = part->mShare;
    }
    const bool sameFloor = before != nullptr && part != nullptr &&
                           before->mFloor == part->mFloor &&
                           before->mMissingSince.count() == 0 &&
                           IsWithinKept(aOptions, aNow - aKnowledge.mConfirmed);
    aKnowledge.mFloorSince = sameFloor ? aKnowledge.mFloorSince : aNow;
    aKnowledge.mCurrent = aEpoch;
    aKnowledge.mSince = aNow;
  }
  aKnowledge.mConfirmed = aReadBegan;
  return aKnowledge;
}

double LimitShareNow(const LimitKnowledge& aKnowledge,
                     const LimitOptions& aOptions,
                     TimePoint aNow)
{
  const LimitPart* part = FindPart(aKnowledge.mCurrent, aOptions.mVm);
  if (part == nullptr) {
    return 0;
  }
  // NOTE: A new floor was part of what others used until their epochs lapsed.
  const bool reserved = aNow - aKnowledge.mFloorSince >= aOptions.mGrowAfter;
  const double floor = reserved ? part->mFloor : 0;
  const Duration unconfirmed = aNow - aKnowledge.mConfirmed;
  if (unconfirmed >= aOptions.mValid) {
    // NOTE: The floor is kept free for a day after a VM went missing. One that
    //       knows that it is missing cannot tell how much of the day is left.
    const bool kept =
      part->mMissingSince.count() == 0 && IsWithinKept(aOptions, unconfirmed);
    return kept ? floor : 0;
  }
  const bool settled = aNow - aKnowledge.mSince >= aOptions.mGrowAfter;
  const double usable = std::max(aKnowledge.mShareBefore, floor);
  return settled ? part->mShare : std::min(part->mShare, usable);
}

} // namespace Acaciavale
