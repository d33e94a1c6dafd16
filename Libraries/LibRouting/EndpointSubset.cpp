#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr std::uint64_t kMixingMultiplier = 0xff51afd7ed558ccdULL;

struct Ranked
{
  std::uint64_t mRank = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const Ranked&) const = default;
};

/// Keeps the highest ranks.
void KeepBest(std::vector<Ranked>& aRanked, std::size_t aCount)
{
  std::sort(aRanked.begin(), aRanked.end(), std::greater<>());
  aRanked.resize(std::min(aRanked.size(), aCount));
}

} // namespace

std::uint64_t RendezvousRank(std::uint64_t aKey, std::uint64_t aEndpointKey)
{
  Random mixed(aKey ^ (aEndpointKey * kMixingMultiplier));
  return mixed.Next();
}

std::vector<std::uint32_t> ChooseSubset(
  std::uint64_t aVmKey,
  std::uint32_t aFailureDomain,
  const std::vector<SubsetMember>& aMembers,
  std::size_t aSize)
{
  std::vector<Ranked> near;
  std::vector<Ranked> far;
  for (const SubsetMember& member : aMembers) {
    const Ranked ranked{ RendezvousRank(aVmKey, member.mKey), member.mIndex };
    (member.mFailureDomain == aFailureDomain ? near : far).push_back(ranked);
  }
  const std::size_t half = (aSize + 1) / 2;
  const std::size_t fromFar = std::min(far.size(), aSize - half);
  KeepBest(near, aSize - fromFar);
  KeepBest(far, aSize - near.size());
  std::vector<std::uint32_t> subset;
  subset.reserve(near.size() + far.size());
  for (const Ranked& ranked : near) {
    subset.push_back(ranked.mIndex);
  }
  for (const Ranked& ranked : far) {
    subset.push_back(ranked.mIndex);
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

} // namespace Acaciavale
