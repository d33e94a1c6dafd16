#include <Acaciavale/LibRelay/StoreReaders.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Number of VMs per reader. Each VM requests some hundred bytes about once per
/// second.
constexpr std::size_t kVmsPerReader = 16;
constexpr std::size_t kMinimumReaders = 2;
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

} // namespace

std::size_t ReaderCount(std::size_t aVms)
{
  return std::max(kMinimumReaders, (aVms + kVmsPerReader - 1) / kVmsPerReader);
}

bool IsReader(const std::vector<std::string>& aSortedVms,
              const std::string& aSelf)
{
  const auto found =
    std::lower_bound(aSortedVms.begin(), aSortedVms.end(), aSelf);
  const bool isListed = found != aSortedVms.end() && *found == aSelf;
  return !isListed || static_cast<std::size_t>(found - aSortedVms.begin()) <
                        ReaderCount(aSortedVms.size());
}

std::optional<std::string> ReaderFor(const std::vector<std::string>& aSortedVms,
                                     const std::string& aSelf,
                                     std::size_t aAttempt,
                                     bool aMayRead)
{
  if (aMayRead && IsReader(aSortedVms, aSelf)) {
    return std::nullopt;
  }
  const auto self =
    std::lower_bound(aSortedVms.begin(), aSortedVms.end(), aSelf);
  const auto rank = static_cast<std::size_t>(self - aSortedVms.begin());
  const std::size_t readers =
    std::min(ReaderCount(aSortedVms.size()), aSortedVms.size());
  for (std::size_t step = 0; step < readers; ++step) {
    const std::string& reader = aSortedVms[(rank + aAttempt + step) % readers];
    if (reader != aSelf) {
      return reader;
    }
  }
  return std::nullopt;
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
