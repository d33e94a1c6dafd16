#include <Acaciavale/LibReport/SloStore.h>

namespace Acaciavale {

namespace {

constexpr const char* kPrefix = "slo/";
constexpr int kMaxAttempts = 2;

} // namespace

ErrorOr<std::int64_t> StoreSlo(const KeyValueStore& aStore,
                               const SloRecordKey& aKey,
                               const std::vector<SloCell>& aCells)
{
  const std::string key = kPrefix + aKey.mVm + "/" + aKey.mIncarnation;
  const std::string value = SerialiseCells(aCells);
  std::int64_t revision = aKey.mRevision;
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto written = WriteResolved(aStore, { key, value, revision, 0 });
    if (written || written.error().mCode != ErrorCode::Conflict) {
      return written;
    }
    // NOTE: Only this VM writes this key, so the conflict is with an earlier
    //       write of this VM whose response was lost.
    const auto present = ACACIAVALE_TRY(aStore.mRead(key));
    revision = present ? present->mRevision : 0;
  }
  return MakeError(ErrorCode::Conflict,
                   "Concurrent writes to the service-level counters kept "
                   "conflicting.");
}

ErrorOr<FleetSlo> FetchSlo(const KeyValueStore& aStore)
{
  const auto entries = ACACIAVALE_TRY(aStore.mList(kPrefix));
  FleetSlo fleet;
  std::vector<std::vector<SloCell>> cellSets;
  for (const KeyValueEntry& entry : entries) {
    auto cells = ParseCells(entry.mValue);
    if (cells) {
      cellSets.push_back(std::move(*cells));
      ++fleet.mRecords;
    } else {
      fleet.mUnreadableKeys.push_back(entry.mKey);
    }
  }
  fleet.mCells = Merged(cellSets);
  return fleet;
}

} // namespace Acaciavale
