#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <cmath>
#include <functional>

namespace Acaciavale {

namespace {

/// Key for ranking endpoints to reserve: "Reserved" in ASCII.
constexpr std::uint64_t kReservationKey = 0x5265736572766564ULL;
/// Multiplier of the 64-bit finalizer of MurmurHash3.
constexpr std::uint64_t kMixingMultiplier = 0xff51afd7ed558ccdULL;

struct Ranked
{
  std::uint64_t mRank = 0;
  std::uint32_t mIndex = 0;

  auto operator<=>(const Ranked&) const = default;
};

/// Keeps the aCount highest ranks, in descending order.
void KeepHighest(std::vector<Ranked>& aRanked, std::size_t aCount)
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
  std::size_t aMaxSize)
{
  std::vector<Ranked> local;
  std::vector<Ranked> remote;
  for (const SubsetMember& member : aMembers) {
    const Ranked ranked{ RendezvousRank(aVmKey, member.mKey), member.mIndex };
    (member.mFailureDomain == aFailureDomain ? local : remote)
      .push_back(ranked);
  }
  const std::size_t half = (aMaxSize + 1) / 2;
  const std::size_t remoteCount = std::min(remote.size(), aMaxSize - half);
  KeepHighest(local, aMaxSize - remoteCount);
  KeepHighest(remote, aMaxSize - local.size());
  std::vector<std::uint32_t> subset;
  subset.reserve(local.size() + remote.size());
  for (const Ranked& ranked : local) {
    subset.push_back(ranked.mIndex);
  }
  for (const Ranked& ranked : remote) {
    subset.push_back(ranked.mIndex);
  }
  std::sort(subset.begin(), subset.end());
  return subset;
}

std::vector<bool> ReservedEndpoints(
  const std::vector<std::uint64_t>& aEndpointKeys,
  double aShare)
{
  std::vector<bool> reserved(aEndpointKeys.size(), false);
  if (aEndpointKeys.size() < 2 || aShare <= 0) {
    return reserved;
  }
  std::vector<Ranked> ranked;
  ranked.reserve(aEndpointKeys.size());
  for (std::uint32_t index = 0; index < aEndpointKeys.size(); ++index) {
    ranked.push_back(
      { RendezvousRank(kReservationKey, aEndpointKeys[index]), index });
  }
  const double count =
    std::ceil(std::min(1.0, aShare) * static_cast<double>(ranked.size()));
  KeepHighest(ranked,
              std::min(static_cast<std::size_t>(count), ranked.size() - 1));
  for (const Ranked& kept : ranked) {
    reserved[kept.mIndex] = true;
  }
  return reserved;
}

} // namespace Acaciavale
