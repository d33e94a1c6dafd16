#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibReport/SloCounters.h>

#include <cstdint>
#include <string>
#include <vector>

/// Service-level counters in the key-value service, one record per incarnation
/// of a VM under the key slo/VM/INCARNATION. A record outlives its VM.
namespace Acaciavale {

/// Identifies the record of one incarnation, with its last known revision.
struct SloRecordKey
{
  std::string mVm;
  std::string mIncarnation;
  /// Revision of the last write; 0 before the first write.
  std::int64_t mRevision = 0;

  auto operator<=>(const SloRecordKey&) const = default;
};

/// Stores the counters of this incarnation. Returns the new revision, to be
/// passed to the next call.
ErrorOr<std::int64_t> StoreSlo(const KeyValueStore& aStore,
                               const SloRecordKey& aKey,
                               const std::vector<SloCell>& aCells);

/// The merged counters of all records, and the keys of malformed records.
struct FleetSlo
{
  std::vector<SloCell> mCells;
  std::int64_t mRecords = 0;                ///< Number of records merged.
  std::vector<std::string> mUnreadableKeys; ///< Keys of malformed records.

  auto operator<=>(const FleetSlo&) const = default;
};

/// Reads and merges the records of all VMs.
ErrorOr<FleetSlo> FetchSlo(const KeyValueStore& aStore);

} // namespace Acaciavale
