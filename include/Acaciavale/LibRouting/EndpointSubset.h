#pragma once

#include <cstdint>
#include <vector>

/// Subsetting: selects the endpoints that a VM keeps connections to.
namespace Acaciavale {

/// Endpoint of the pool from which a subset is chosen.
struct SubsetMember
{
  std::uint32_t mIndex = 0; ///< Endpoint number assigned by the calling code.
  std::uint64_t mKey = 0;   ///< Hash of the endpoint's address.
  std::uint32_t mFailureDomain = 0;

  auto operator<=>(const SubsetMember&) const = default;
};

/// Maximum number of endpoints that a VM connects to. In a smaller pool it
/// connects to all of them.
constexpr std::size_t kMaxSubsetSize = 48;

/// Returns a deterministic subset of at most aMaxSize endpoints for this VM as
/// indices in ascending order. Rendezvous hashing selects half of them from the
/// VM's own failure domain and the rest from other domains. Adding or removing
/// one endpoint replaces at most one member of the subset.
std::vector<std::uint32_t> ChooseSubset(
  std::uint64_t aVmKey,
  std::uint32_t aFailureDomain,
  const std::vector<SubsetMember>& aMembers,
  std::size_t aMaxSize = kMaxSubsetSize);

/// Marks, in the order of the given keys, the endpoints of a pool that long
/// requests avoid: a share of aShare, at least one endpoint but never all. The
/// result is the same on all VMs with the same list of endpoints.
std::vector<bool> ReservedEndpoints(
  const std::vector<std::uint64_t>& aEndpointKeys,
  double aShare);

/// Rendezvous hash of a key and an endpoint. The endpoint with the highest rank
/// is the key's home.
std::uint64_t RendezvousRank(std::uint64_t aKey, std::uint64_t aEndpointKey);

} // namespace Acaciavale
