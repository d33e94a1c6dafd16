#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Selects the VMs that poll the store and the VMs that serve store snapshots
/// to the others.
///
/// Each read of the store has a price, and the limit on the calls of all VMs
/// does not grow with their number. Therefore only some VMs, the readers, poll
/// the store. Each other VM asks a reader for its snapshot and reads the store
/// only if the reader does not answer or its snapshot is too old.
///
/// Load pattern: a failure domain is cut off or loses power, or a large change
/// of the settings goes to all VMs at once. Each failure domain therefore has
/// readers of its own, and they are the VMs with the fastest links.
namespace Acaciavale::Relay {

/// The properties of a listed VM that decide whether it is a reader.
struct ListedVm
{
  std::string mName;
  std::string mFailureDomain;
  double mLinkMbps = 0; ///< Bandwidth of the VM's link; 0: unknown.

  auto operator<=>(const ListedVm&) const = default;
};

/// Number of readers: at least two, so that one may fail.
std::size_t ReaderCount(std::size_t aVms);

/// Selects the readers among the VMs and returns them sorted by name. They are
/// spread over the failure domains in proportion to the VMs of each.
std::vector<ListedVm> SelectReaders(const std::vector<ListedVm>& aVms);

/// Whether the VM with the given name is one of the readers.
bool IsReader(const std::vector<ListedVm>& aReaders, const std::string& aSelf);

/// The reader that the VM aSelf asks for a snapshot. The listed VMs aVms are
/// divided evenly over the readers, those of their own failure domain as far as
/// these suffice; VMs that are not listed are spread by a hash. Each value of
/// aAttempt selects the next reader, to be used after a reader failed to
/// answer: those of the VM's own failure domain first. Returns nothing if aSelf
/// should read the store itself, or if there is no other reader. A reader asks
/// another one only while aMayRead is false.
std::optional<std::string> ReaderFor(const std::vector<ListedVm>& aVms,
                                     const std::vector<ListedVm>& aReaders,
                                     const ListedVm& aSelf,
                                     std::size_t aAttempt,
                                     bool aMayRead = true);

/// The readers that a VM asks whether the store was away, after it could not
/// read it for some time. If only this VM was cut off, its failure domain is
/// the most likely to have been cut off with it, so readers of other domains
/// come first.
std::vector<std::string> OutageWitnesses(const std::vector<ListedVm>& aReaders,
                                         const ListedVm& aSelf);

/// Number of readers that a VM asks in one poll before it reads the store
/// itself. In a large fleet, many VMs lose the same reader at once, and their
/// reads would load the store.
std::size_t QueriesBeforeStoreRead(std::size_t aVms);

/// Delay before the next call to the store after aFailures consecutive failed
/// calls. Calls that the store rejects have a price too, and add to its load.
Duration RetryDelay(std::size_t aFailures);

/// The same for a VM that has not read anything since its start, for whose
/// first view callers wait. aJitter is a random number in [0, 1): VMs that
/// start together spread their calls.
Duration FirstReadRetryDelay(std::size_t aFailures, double aJitter);

/// Whether VMs exchange the load reports of endpoints. In a small fleet, each
/// VM receives a report from every endpoint every few seconds anyway.
bool SharesLoadReports(std::size_t aVms);

/// The intervals between polls. A change reaches a VM that is not a reader
/// within slightly more than half of the bound, which leaves time for a retry
/// after a lost response.
struct PollIntervals
{
  Duration mReaderInterval{};    ///< Time between two reads of the store.
  Duration mNonReaderInterval{}; ///< Time between two requests to a reader.
  /// Maximum age of a reader's snapshot when the reader responds.
  Duration mMaximumSnapshotAge{};

  auto operator<=>(const PollIntervals&) const = default;
};

/// The intervals with which a change reaches all VMs within aBound.
PollIntervals PollIntervalsWithin(Duration aBound);

} // namespace Acaciavale::Relay
