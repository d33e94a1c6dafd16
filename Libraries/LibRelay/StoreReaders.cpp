#include <Acaciavale/LibRelay/StoreReaders.h>

#include <algorithm>
#include <map>
#include <tuple>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Number of listed VMs per reader. Each VM requests some hundred bytes about
/// once per second; in a large fleet, two of five VMs are listed.
constexpr std::size_t kVmsPerReader = 16;
constexpr std::size_t kMinimumReaders = 2;
/// Minimum number of VMs for which a VM asks a second reader before it reads
/// the store. With fewer VMs, a read of the store costs less than the delay.
constexpr std::size_t kMinimumVmsForSecondQuery = 30;
/// Minimum number of VMs for the exchange of load reports. In trials, the
/// exchange gained nothing with 8 VMs and a twentieth with 84 VMs
/// (docs/measurements/platform-days.md).
constexpr std::size_t kMinimumVmsForLoadSharing = 30;
/// Poll intervals and maximum snapshot age as shares of the bound on the
/// propagation of a change. The sum of the intervals is the longest propagation
/// time. The maximum age leaves time to read the store instead.
constexpr double kReaderIntervalShare = 0.3;
constexpr double kNonReaderIntervalShare = 0.28;
constexpr double kMaximumSnapshotAgeShare = 0.44;
/// Maximum of the bound on the propagation of a change, because requests with
/// keys require recent settings in any case.
constexpr Duration kMaximumBound = std::chrono::seconds(4);
/// The initial delay is about a tenth of a typical store outage of a few
/// seconds. The maximum is half of the two seconds within which VMs restore
/// their entries after an outage.
constexpr Duration kInitialRetryDelay = std::chrono::milliseconds(300);
constexpr Duration kMaximumRetryDelay = std::chrono::milliseconds(1000);
/// Delay of the second read of a VM that has just started; it grows by as much
/// with each failure. At 330 VMs, which start together after a loss of power,
/// that is at most a third of the calls that the store takes in a second.
constexpr Duration kFirstReadRetryDelay = std::chrono::milliseconds(100);
/// Maximum number of readers that a VM asks about one outage: two failure
/// domains may be cut off together.
constexpr std::size_t kMaximumWitnesses = 3;

/// The names of the readers other than the VM itself.
struct ReadersByDistance
{
  std::vector<std::string> mNear; ///< In the VM's failure domain.
  std::vector<std::string> mFar;
};

/// The reader of a listed VM if the VMs are divided evenly; nothing for a
/// reader or a VM that is not listed.
std::optional<std::string> AssignedReader(const std::vector<ListedVm>& aVms,
                                          const std::vector<ListedVm>& aReaders,
                                          const std::string& aSelf)
{
  struct Load
  {
    const ListedVm* mReader = nullptr;
    std::size_t mVms = 0;
  };
  std::vector<Load> loads;
  loads.reserve(aReaders.size());
  for (const ListedVm& reader : aReaders) {
    loads.push_back({ &reader, 0 });
  }
  const auto isLess = [](const Load& aLeft, const Load& aRight) {
    return aLeft.mVms < aRight.mVms;
  };
  const auto leastLoadedOf = [&](const std::string& aDomain) {
    auto least = loads.end();
    for (auto load = loads.begin(); load != loads.end(); ++load) {
      const bool isNear = load->mReader->mFailureDomain == aDomain;
      if (isNear && load->mVms < kVmsPerReader &&
          (least == loads.end() || isLess(*load, *least))) {
        least = load;
      }
    }
    return least;
  };
  std::vector<ListedVm> vms;
  for (const ListedVm& vm : aVms) {
    if (!IsReader(aReaders, vm.mName)) {
      vms.push_back(vm);
    }
  }
  std::sort(vms.begin(), vms.end());
  std::vector<std::string> unassigned;
  for (const ListedVm& vm : vms) {
    const auto reader = leastLoadedOf(vm.mFailureDomain);
    if (reader == loads.end()) {
      unassigned.push_back(vm.mName);
      continue;
    }
    reader->mVms += 1;
    if (vm.mName == aSelf) {
      return reader->mReader->mName;
    }
  }
  // NOTE: The readers of some domains are too few for it. Their VMs ask the
  //       readers that have the fewest.
  for (const std::string& name : unassigned) {
    const auto reader = std::min_element(loads.begin(), loads.end(), isLess);
    if (reader == loads.end()) {
      break;
    }
    reader->mVms += 1;
    if (name == aSelf) {
      return reader->mReader->mName;
    }
  }
  return std::nullopt;
}

/// Rotating each group by a hash of the name spreads the VMs over the readers.
ReadersByDistance OtherReaders(const std::vector<ListedVm>& aReaders,
                               const ListedVm& aSelf)
{
  ReadersByDistance others;
  for (const ListedVm& reader : aReaders) {
    if (reader.mName != aSelf.mName) {
      const bool isNear = reader.mFailureDomain == aSelf.mFailureDomain;
      (isNear ? others.mNear : others.mFar).push_back(reader.mName);
    }
  }
  const std::size_t hash = XXH3_64bits(aSelf.mName.data(), aSelf.mName.size());
  for (std::vector<std::string>* group : { &others.mNear, &others.mFar }) {
    if (!group->empty()) {
      std::rotate(group->begin(),
                  group->begin() +
                    static_cast<std::ptrdiff_t>(hash % group->size()),
                  group->end());
    }
  }
  return others;
}

} // namespace

std::size_t ReaderCount(std::size_t aVms)
{
  return std::max(kMinimumReaders, (aVms + kVmsPerReader - 1) / kVmsPerReader);
}

std::vector<ListedVm> SelectReaders(const std::vector<ListedVm>& aVms)
{
  std::map<std::string, std::vector<ListedVm>> byDomain;
  for (const ListedVm& vm : aVms) {
    byDomain[vm.mFailureDomain].push_back(vm);
  }
  for (auto& [domain, vms] : byDomain) {
    std::sort(
      vms.begin(), vms.end(), [](const auto& aLeft, const auto& aRight) {
        return std::tie(aRight.mLinkMbps, aLeft.mName) <
               std::tie(aLeft.mLinkMbps, aRight.mName);
      });
  }
  std::map<std::string, std::size_t> readersByDomain;
  std::vector<ListedVm> readers;
  const std::size_t count = std::min(ReaderCount(aVms.size()), aVms.size());
  while (readers.size() < count) {
    // The next reader stands in the domain with the most VMs per reader.
    const auto vmsPerReader = [&readersByDomain](const auto& aDomain) {
      const auto readersThere = readersByDomain[aDomain.first];
      return readersThere == aDomain.second.size()
               ? 0.0
               : static_cast<double>(aDomain.second.size()) /
                   static_cast<double>(readersThere + 1);
    };
    const auto next =
      std::max_element(byDomain.begin(),
                       byDomain.end(),
                       [&vmsPerReader](const auto& aLeft, const auto& aRight) {
                         return vmsPerReader(aLeft) < vmsPerReader(aRight);
                       });
    readers.push_back(next->second[readersByDomain[next->first]]);
    readersByDomain[next->first] += 1;
  }
  std::sort(readers.begin(), readers.end());
  return readers;
}

bool IsReader(const std::vector<ListedVm>& aReaders, const std::string& aSelf)
{
  return std::any_of(
    aReaders.begin(), aReaders.end(), [&aSelf](const ListedVm& aReader) {
      return aReader.mName == aSelf;
    });
}

std::vector<std::string> OutageWitnesses(const std::vector<ListedVm>& aReaders,
                                         const ListedVm& aSelf)
{
  auto [near, far] = OtherReaders(aReaders, aSelf);
  far.insert(far.end(), near.begin(), near.end());
  far.resize(std::min(far.size(), kMaximumWitnesses));
  return far;
}

std::optional<std::string> ReaderFor(const std::vector<ListedVm>& aVms,
                                     const std::vector<ListedVm>& aReaders,
                                     const ListedVm& aSelf,
                                     std::size_t aAttempt,
                                     bool aMayRead)
{
  if (aMayRead && IsReader(aReaders, aSelf.mName)) {
    return std::nullopt;
  }
  auto [readers, far] = OtherReaders(aReaders, aSelf);
  readers.insert(readers.end(), far.begin(), far.end());
  if (const auto assigned = AssignedReader(aVms, aReaders, aSelf.mName)) {
    const auto found = std::find(readers.begin(), readers.end(), *assigned);
    std::rotate(readers.begin(), found, found + 1);
  }
  return readers.empty() ? std::nullopt
                         : std::optional(readers[aAttempt % readers.size()]);
}

std::size_t QueriesBeforeStoreRead(std::size_t aVms)
{
  return aVms >= kMinimumVmsForSecondQuery ? 2 : 1;
}

Duration RetryDelay(std::size_t aFailures)
{
  Duration pause = kInitialRetryDelay;
  for (std::size_t failure = 1;
       failure < aFailures && pause < kMaximumRetryDelay;
       ++failure) {
    pause *= 2;
  }
  return std::min(pause, kMaximumRetryDelay);
}

Duration FirstReadRetryDelay(std::size_t aFailures, double aJitter)
{
  const auto count = static_cast<double>(std::max<std::size_t>(1, aFailures));
  const double seconds =
    InSeconds(kFirstReadRetryDelay) * count * (1 + aJitter);
  return std::min(FromSeconds(seconds), RetryDelay(aFailures));
}

bool SharesLoadReports(std::size_t aVms)
{
  return aVms >= kMinimumVmsForLoadSharing;
}

PollIntervals PollIntervalsWithin(Duration aBound)
{
  const double bound = InSeconds(std::min(aBound, kMaximumBound));
  return { FromSeconds(kReaderIntervalShare * bound),
           FromSeconds(kNonReaderIntervalShare * bound),
           FromSeconds(kMaximumSnapshotAgeShare * bound) };
}

} // namespace Acaciavale::Relay
