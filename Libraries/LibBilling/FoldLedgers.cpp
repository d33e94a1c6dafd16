#include "Archive.h"

#include <Acaciavale/LibCore/Log.h>

#include <set>

namespace Acaciavale {

namespace {

constexpr char kPart[] = "billing";

struct ListedLedger
{
  std::string mKey;
  Incarnation mIncarnation;
  StoredLedger mLedger;

  auto operator<=>(const ListedLedger&) const = default;
};

/// A record that cannot be read is left for people, and the log tells of it.
ErrorOr<std::vector<ListedLedger>> ListLedgers(const KeyValueStore& aStore)
{
  std::vector<ListedLedger> ledgers;
  for (const KeyValueEntry& entry :
       ACACIAVALE_TRY(aStore.mList(kLedgerPrefix))) {
    const auto incarnation = ParseLedgerKey(entry.mKey);
    const auto record = DecodeLedger(entry.mValue);
    if (!incarnation || !record) {
      Log(LogLevel::Error,
          kPart,
          "A ledger is malformed.",
          { { "key", entry.mKey } });
      continue;
    }
    ledgers.push_back(
      { entry.mKey, *incarnation, { entry.mRevision, *record } });
  }
  return ledgers;
}

/// Drops incarnations folded long ago whose ledgers are gone for certain.
bool ForgetOldLedgers(ArchiveRecord& aArchive,
                      const std::vector<ListedLedger>& aLedgers,
                      UnixMilliseconds aNow)
{
  std::set<Incarnation> listed;
  for (const ListedLedger& ledger : aLedgers) {
    listed.insert(ledger.mIncarnation);
  }
  const auto forgotten =
    std::erase_if(aArchive.mFolded, [&](const auto& aItem) {
      return aNow - aItem.second.mFolded > kFoldedRetention &&
             !listed.contains(aItem.first);
    });
  return forgotten > 0;
}

/// Adds what is closed and writes the archive if that changed it.
ErrorOr<ArchiveRecord> ArchiveClosed(const KeyValueStore& aStore,
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

/// Removes the records of incarnations that the archive lists.
ErrorOr<void> RemoveFolded(const KeyValueStore& aStore,
                           const std::vector<ListedLedger>& aLedgers,
                           const ArchiveRecord& aArchive)
{
  for (const ListedLedger& ledger : aLedgers) {
    if (!aArchive.mFolded.contains(ledger.mIncarnation)) {
      continue;
    }
    auto removed = aStore.mRemove(ledger.mKey, ledger.mLedger.mRevision);
    if (!removed && removed.error().mCode == ErrorCode::Unavailable) {
      return removed;
    }
    // NOTE: A conflict, or an answer lost, leaves at worst a record that the
    //       next folding removes; readers pass over it.
  }
  return {};
}

LedgerSummary Summarize(const ListedLedger& aLedger)
{
  const LedgerRecord& record = aLedger.mLedger.mRecord;
  return { aLedger.mIncarnation,
           record.mClosed,
           CountNumbers(NumbersOf(record)),
           CountRequests(TotalsOf(record)) };
}

} // namespace

ErrorOr<void> FoldLedgers(const KeyValueStore& aStore, UnixMilliseconds aNow)
{
  const auto ledgers = ACACIAVALE_TRY(ListLedgers(aStore));
  const auto archive = ACACIAVALE_TRY(ArchiveClosed(aStore, ledgers, aNow));
  return RemoveFolded(aStore, ledgers, archive);
}

ErrorOr<BillReport> ReadBillReport(const KeyValueStore& aStore)
{
  // NOTE: The order matters. A ledger that is folded between the two readings
  //       is in both and counted from the archive; in the other order it could
  //       be in neither.
  const auto ledgers = ACACIAVALE_TRY(ListLedgers(aStore));
  const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
  BillReport report;
  report.mArchived = archive.mRecord.mTotals;
  report.mTotals = archive.mRecord.mTotals;
  report.mArchivedEntries = archive.mRecord.mEntries;
  report.mFoldedIncarnations = archive.mRecord.mFolded.size();
  for (const ListedLedger& ledger : ledgers) {
    if (archive.mRecord.mFolded.contains(ledger.mIncarnation)) {
      continue;
    }
    AddTotals(report.mTotals, TotalsOf(ledger.mLedger.mRecord));
    report.mLedgers.push_back(Summarize(ledger));
  }
  return report;
}

ErrorOr<AccountTotals> ReadTotals(const KeyValueStore& aStore)
{
  return ACACIAVALE_TRY(ReadBillReport(aStore)).mTotals;
}

std::vector<std::string> Reconcile(const BillReport& aReport)
{
  std::vector<std::string> differences;
  for (const LedgerSummary& ledger : aReport.mLedgers) {
    if (ledger.mEntries != ledger.mRequests) {
      differences.push_back("Ledger " + LedgerKey(ledger.mIncarnation) +
                            " numbers " + std::to_string(ledger.mEntries) +
                            " entries and charges " +
                            std::to_string(ledger.mRequests) + " requests.");
    }
  }
  const std::uint64_t archived = CountRequests(aReport.mArchived);
  if (archived != aReport.mArchivedEntries) {
    differences.push_back(
      "The archive numbers " + std::to_string(aReport.mArchivedEntries) +
      " entries and charges " + std::to_string(archived) + " requests.");
  }
  return differences;
}

} // namespace Acaciavale
