#include <Acaciavale/LibRelay/StoreReaders.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Others that one reader serves: each asks about once a second for some
/// hundred bytes.
constexpr std::size_t kVmsPerReader = 16;
constexpr std::size_t kMinimumReaders = 2;
/// VMs from which on loads are passed on: trials at 8 VMs gained nothing, at 84
/// VMs a twentieth (docs/measurements/platform-days.md).
constexpr std::size_t kMinimumVmsForLoadSharing = 30;
/// Pauses as shares of the bound on a change. Their sum is the longest way of a
/// change; the oldest reading leaves time to read the store instead.
constexpr double kReaderIntervalShare = 0.3;
constexpr double kNonReaderIntervalShare = 0.28;
constexpr double kMaximumSnapshotAgeShare = 0.44;
/// Where bounds are wide, keys still have to be proven.
constexpr Duration kMaximumBound = std::chrono::seconds(4);
/// The first pause is a tenth of the store's usual outages of some seconds; the
/// longest is half of the two seconds in which lost entries are back.
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
