#pragma once

#include <Acaciavale/LibRelay/StoreReaders.h>

#include <string>
#include <vector>

/// Selects the VMs whose addresses the directory returns to callers.
///
/// Load pattern: callers in all failure domains, each of which connects to an
/// address at random and uses only the first ones of a long list. If all VMs of
/// a large fleet were listed, the first failure domain would relay the requests
/// of all others. If all VMs served, each would send an endpoint a request so
/// rarely that it knew nothing of its state. So callers are directed to VMs of
/// their own failure domain, and there to a few VMs with fast links.
namespace Acaciavale::Relay {

/// Maximum number of addresses that callers use.
inline constexpr std::size_t kMaximumDirectoryVms = 64;

/// The VMs to which callers are directed: in each failure domain those with the
/// fastest links. Sorted by name.
std::vector<ListedVm> SelectServingVms(const std::vector<ListedVm>& aVms);

/// Whether the VM should be listed, given the VMs that are: if it would serve,
/// or be one of the few that replace serving VMs. The list of a large fleet
/// costs calls to the store for each VM on it; the other VMs serve the callers
/// that know them and are listed once VMs of their failure domain leave.
bool ShouldBeListed(const std::vector<ListedVm>& aListedVms,
                    const ListedVm& aSelf);

/// Whether the failure domain has so few listed VMs that one which should be
/// listed must be so at once. Otherwise the VMs take turns, so that not all of
/// them replace the same few.
bool LacksListedVms(const std::vector<ListedVm>& aListedVms,
                    const std::string& aFailureDomain);

/// The VMs to which a caller in aFailureDomain is directed, among the serving
/// VMs: those of its own failure domain if there are enough of them, otherwise
/// VMs of all failure domains in equal shares.
std::vector<ListedVm> SelectDirectoryVms(
  const std::vector<ListedVm>& aServingVms,
  const std::string& aFailureDomain);

} // namespace Acaciavale::Relay
