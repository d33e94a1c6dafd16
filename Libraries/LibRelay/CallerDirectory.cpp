#include <Acaciavale/LibRelay/CallerDirectory.h>

#include <algorithm>
#include <map>
#include <tuple>

namespace Acaciavale::Relay {

namespace {

/// Number of serving VMs in a failure domain: enough to carry a burst of the
/// traffic of two failure domains, few enough that each knows the endpoints.
constexpr std::size_t kServingVmsPerDomain = 16;
/// Minimum number of VMs in a failure domain that serve its callers alone. With
/// fewer, the loss of a few VMs would leave the callers without an address.
constexpr std::size_t kMinimumVmsInDomain = 8;

/// Number of listed VMs in a failure domain: the serving ones and a quarter
/// more to replace them.
constexpr std::size_t kListedVmsPerDomain = 20;

/// Whether a VM precedes another in the choice of serving VMs.
bool Precedes(const ListedVm& aLeft, const ListedVm& aRight)
{
  return std::tie(aRight.mLinkMbps, aLeft.mName) <
         std::tie(aLeft.mLinkMbps, aRight.mName);
}

std::map<std::string, std::vector<ListedVm>> GroupByDomain(
  const std::vector<ListedVm>& aVms)
{
  std::map<std::string, std::vector<ListedVm>> byDomain;
  for (const ListedVm& vm : aVms) {
    byDomain[vm.mFailureDomain].push_back(vm);
  }
  return byDomain;
}

} // namespace

std::vector<ListedVm> SelectServingVms(const std::vector<ListedVm>& aVms)
{
  std::vector<ListedVm> serving;
  for (auto& [domain, vms] : GroupByDomain(aVms)) {
    std::vector<ListedVm> sorted = vms;
    std::sort(sorted.begin(), sorted.end(), &Precedes);
    sorted.resize(std::min(sorted.size(), kServingVmsPerDomain));
    serving.insert(serving.end(), sorted.begin(), sorted.end());
  }
  std::sort(serving.begin(), serving.end());
  return serving;
}

bool ShouldBeListed(const std::vector<ListedVm>& aListedVms,
                    const ListedVm& aSelf)
{
  const auto before = std::count_if(
    aListedVms.begin(), aListedVms.end(), [&aSelf](const ListedVm& aVm) {
      return aVm.mFailureDomain == aSelf.mFailureDomain &&
             aVm.mName != aSelf.mName && Precedes(aVm, aSelf);
    });
  return static_cast<std::size_t>(before) < kListedVmsPerDomain;
}

bool LacksListedVms(const std::vector<ListedVm>& aListedVms,
                    const std::string& aFailureDomain)
{
  const auto listed = std::count_if(
    aListedVms.begin(), aListedVms.end(), [&](const ListedVm& aVm) {
      return aVm.mFailureDomain == aFailureDomain;
    });
  return static_cast<std::size_t>(listed) < kMinimumVmsInDomain;
}

std::vector<ListedVm> SelectDirectoryVms(
  const std::vector<ListedVm>& aServingVms,
  const std::string& aFailureDomain)
{
  const auto byDomain = GroupByDomain(aServingVms);
  const auto own = byDomain.find(aFailureDomain);
  if (own != byDomain.end() && own->second.size() >= kMinimumVmsInDomain) {
    return own->second;
  }
  std::vector<ListedVm> selected;
  for (std::size_t rank = 0; rank < kServingVmsPerDomain; ++rank) {
    for (const auto& [domain, vms] : byDomain) {
      if (rank < vms.size() && selected.size() < kMaximumDirectoryVms) {
        selected.push_back(vms[rank]);
      }
    }
  }
  return selected;
}

} // namespace Acaciavale::Relay
