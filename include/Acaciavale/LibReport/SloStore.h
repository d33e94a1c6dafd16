#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibReport/SloCounters.h>

#include <cstdint>
#include <string>
#include <vector>

/// The VMs' counters in the key-value service, one record for each run of a
/// VM: slo/VM/INCARNATION. A record outlives its VM.
namespace Acaciavale {

/// Who stores, and what the last write returned.
struct SloRecordKey
{
  std::string mVm;
  std::string mIncarnation;
  std::int64_t mRevision = 0; ///< Of the last write; 0 before the first.

  auto operator<=>(const SloRecordKey&) const = default;
};

/// Stores the counters of this run; returns the revision for the next call.
ErrorOr<std::int64_t> StoreSlo(const KeyValueStore& aStore,
                               const SloRecordKey& aKey,
                               const std::vector<SloCell>& aCells);

/// What all records together hold, and which could not be read.
struct FleetSlo
{
  std::vector<SloCell> mCells;
  std::int64_t mRecords = 0;
  std::vector<std::string> mUnreadableKeys; ///< Keys.

  auto operator<=>(const FleetSlo&) const = default;
};

ErrorOr<FleetSlo> FetchSlo(const KeyValueStore& aStore);

} // namespace Acaciavale
