#include "Archive.h"
#include "LedgerList.h"

#include <set>

namespace Acaciavale {

namespace {

/// Drops incarnations folded before the retention period whose ledgers have
/// been removed. Returns whether any was dropped.
bool ForgetOldLedgers(ArchiveRecord& aArchive,
                      const std::vector<ListedLedger>& aLedgers,
                      UnixMilliseconds aNow)
{
  std::set<Incarnation> listed;
  for (const ListedLedger& ledger : aLedgers) {
    listed.insert(ledger.mIncarnation);
  }
  const auto forgotten =
    std::erase_if(aArchive.mFoldedLedgers, [&](const auto& aItem) {
      return aNow - aItem.second.mFoldedAt > kFoldedRetention &&
             !listed.contains(aItem.first);
    });
  return forgotten > 0;
}

/// Adds the closed ledgers to the archive and writes it if it changed.
ErrorOr<ArchiveRecord> FoldClosed(const KeyValueStore& aStore,
                                  const std::vector<ListedLedger>& aLedgers,
                                  UnixMilliseconds aNow)
{
  StoredArchive archive = ACACIAVALE_TRY(ReadArchive(aStore));
  bool changed = ForgetOldLedgers(archive.mRecord, aLedgers, aNow);
  for (const ListedLedger& ledger : aLedgers) {
    const LedgerRecord& record = ledger.mLedger.mRecord;
    if (record.mClosed) {
      changed = AddLedger(archive.mRecord, ledger.mIncarnation, record, aNow) ||
                changed;
    }
  }
  if (changed) {
    ACACIAVALE_TRY(WriteArchive(aStore, archive.mRecord, archive.mRevision));
  }
  return archive.mRecord;
}

/// Removes the ledgers of incarnations that the archive lists.
ErrorOr<void> RemoveFolded(const KeyValueStore& aStore,
                           const std::vector<ListedLedger>& aLedgers,
                           const ArchiveRecord& aArchive)
{
  for (const ListedLedger& ledger : aLedgers) {
    if (!aArchive.mFoldedLedgers.contains(ledger.mIncarnation)) {
      continue;
    }
    auto removed = aStore.mRemove(ledger.mKey, ledger.mLedger.mRevision);
    if (!removed && removed.error().mCode == ErrorCode::Unavailable) {
      return removed;
    }
    // NOTE: After a conflict or a lost response, the ledger may remain. Readers
    //       skip it and the next folding removes it.
  }
  return {};
}

} // namespace

ErrorOr<void> FoldLedgers(const KeyValueStore& aStore, UnixMilliseconds aNow)
{
  const auto ledgers = ACACIAVALE_TRY(ListLedgers(aStore));
  const auto archive = ACACIAVALE_TRY(FoldClosed(aStore, ledgers, aNow));
  return RemoveFolded(aStore, ledgers, archive);
}

} // namespace Acaciavale
