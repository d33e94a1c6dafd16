#pragma once

#include <cstdint>
#include <vector>

/// Which endpoints a VM keeps connections to.
namespace Acaciavale {

struct SubsetMember
{
  std::uint32_t mIndex = 0;
  std::uint64_t mKey = 0; ///< Hash of the endpoint's address.
  std::uint32_t mFailureDomain = 0;

  auto operator<=>(const SubsetMember&) const = default;
};

/// Endpoints that a VM connects to at most; smaller pools are taken whole.
constexpr std::size_t kMaxSubsetSize = 48;

/// A deterministic subset of at most aMaxSize endpoints for this VM, by
/// rendezvous hashing: half from its own failure domain, the rest from the
/// others. One endpoint that comes or goes changes at most one place in the
/// subset. Returns indices in rising order.
std::vector<std::uint32_t> ChooseSubset(
  std::uint64_t aVmKey,
  std::uint32_t aFailureDomain,
  const std::vector<SubsetMember>& aMembers,
  std::size_t aMaxSize = kMaxSubsetSize);

/// Marks the endpoints of a pool, by their keys in the order given, that are
/// kept free of long work: aShare of them, at least one, never the only one.
/// The same on all VMs that list the same endpoints.
std::vector<bool> ReservedEndpoints(
  const std::vector<std::uint64_t>& aEndpointKeys,
  double aShare);

/// Rank of an endpoint for a key; the highest is the key's home.
std::uint64_t RendezvousRank(std::uint64_t aKey, std::uint64_t aEndpointKey);

} // namespace Acaciavale
