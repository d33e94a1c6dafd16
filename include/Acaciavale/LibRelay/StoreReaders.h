#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Which VMs read the store themselves, and whom the others ask.
///
/// Every reading is priced, and the bound on the calls of all VMs does not grow
/// with them. So some VMs read for all; the others ask one of these, and read
/// the store only where it does not answer or its reading is old.
namespace Acaciavale::Relay {

/// How many of the VMs read: two at least, so that one may fail.
std::size_t ReaderCount(std::size_t aVms);

/// Whether a VM reads itself: the first ones by name do, and one that is not
/// in the list yet.
bool IsReader(const std::vector<std::string>& aSortedVms,
              const std::string& aSelf);

/// Whom to ask: readers take the others in turn. A higher attempt asks another
/// one, where the one before did not answer. A reader asks another one while it
/// may not read itself; nothing where there is none to ask.
std::optional<std::string> ReaderFor(const std::vector<std::string>& aSortedVms,
                                     const std::string& aSelf,
                                     std::size_t aAttempt,
                                     bool aMayRead = true);

/// Pause before the store is called again after this many calls in a row that
/// failed. Calls that it refuses are priced too, and add to its load.
Duration RetryDelay(std::size_t aFailures);

/// Whether VMs tell each other what endpoints told them of their loads. In a
/// small fleet each VM hears of every endpoint itself every few seconds.
bool SharesLoadReports(std::size_t aVms);

/// Pauses between readings, so that a change reaches a VM that asks others
/// within a bit over half of the bound, and a lost answer can be made up for.
struct PollIntervals
{
  Duration mReaderInterval{};
  Duration mNonReaderInterval{};
  Duration mMaximumSnapshotAge{}; ///< Of another VM's reading, when it answers.

  auto operator<=>(const PollIntervals&) const = default;
};

PollIntervals PollIntervalsWithin(Duration aBound);

} // namespace Acaciavale::Relay
