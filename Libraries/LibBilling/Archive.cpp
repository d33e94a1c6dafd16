#include "Archive.h"

#include "LedgerJson.h"

#include <algorithm>
#include <iterator>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr char kArchiveKey[] = "bills/archive";
/// Few VMs write the archive at a time. After this many conflicts, the call
/// fails and its caller retries later.
constexpr int kMaxAttempts = 32;

Json EncodeFolded(const std::map<Incarnation, FoldedLedger>& aFolded)
{
  Json json = Json::array();
  for (const auto& [incarnation, folded] : aFolded) {
    json.push_back({ incarnation.mVm,
                     incarnation.mNonce,
                     EncodeNumbers(folded.mNumbers),
                     folded.mFoldedAt.count() });
  }
  return json;
}

std::map<Incarnation, FoldedLedger> DecodeFolded(const Json& aJson)
{
  std::map<Incarnation, FoldedLedger> folded;
  for (const Json& item : aJson) {
    const Incarnation incarnation{ item.at(0).get<std::string>(),
                                   item.at(1).get<std::string>() };
    folded[incarnation] = { DecodeNumbers(item.at(2)),
                            UnixMilliseconds(item.at(3).get<std::int64_t>()) };
  }
  return folded;
}

ErrorOr<ArchiveRecord> DecodeArchive(const std::string& aValue)
{
  try {
    const Json json = Json::parse(aValue);
    ArchiveRecord record;
    record.mTotals = DecodeTotals(json.at("totals"));
    json.at("entries").get_to(record.mEntries);
    record.mFoldedLedgers = DecodeFolded(json.at("folded"));
    return record;
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Internal,
                     "The bill archive in the store is malformed.");
  }
}

/// The error for a ledger that the store lacks: Conflict if it was folded since
/// the archive was read, so that a retry succeeds; NotFound if the archive has
/// dropped the incarnation.
ErrorOr<void> MissingLedgerError(const KeyValueStore& aStore,
                                 const Incarnation& aIncarnation)
{
  const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
  if (archive.mRecord.mFoldedLedgers.contains(aIncarnation)) {
    return MakeError(ErrorCode::Conflict, "The ledger was folded meanwhile.");
  }
  return MakeError(ErrorCode::NotFound,
                   "The archive has dropped the incarnation of the ledger.");
}

/// Adds the closed ledger to the archive record unless the record lists the
/// incarnation already.
ErrorOr<void> EnsureListed(const KeyValueStore& aStore,
                           const Incarnation& aIncarnation,
                           ArchiveRecord& aArchive)
{
  if (aArchive.mFoldedLedgers.contains(aIncarnation)) {
    return {};
  }
  const auto ledger = ACACIAVALE_TRY(ReadLedger(aStore, aIncarnation));
  if (ledger.mRevision == 0) {
    return MissingLedgerError(aStore, aIncarnation);
  }
  if (!ledger.mRecord.mClosed) {
    return MakeError(ErrorCode::Invalid, "The ledger is still open.");
  }
  AddLedger(aArchive, aIncarnation, ledger.mRecord, CalendarNow());
  return {};
}

/// One attempt at AddLateEntries. Fails with Conflict if another VM wrote the
/// archive in between.
ErrorOr<void> TryAddLateEntries(const KeyValueStore& aStore,
                                const Incarnation& aIncarnation,
                                const std::vector<LedgerLine>& aLines)
{
  StoredArchive archive = ACACIAVALE_TRY(ReadArchive(aStore));
  ACACIAVALE_TRY_VOID(EnsureListed(aStore, aIncarnation, archive.mRecord));
  if (AddLines(archive.mRecord, aIncarnation, aLines) == 0) {
    return {};
  }
  ACACIAVALE_TRY(WriteArchive(aStore, archive.mRecord, archive.mRevision));
  return {};
}

} // namespace

ErrorOr<StoredArchive> ReadArchive(const KeyValueStore& aStore)
{
  const auto entry = ACACIAVALE_TRY(aStore.mRead(kArchiveKey));
  if (!entry) {
    return StoredArchive{};
  }
  return StoredArchive{ entry->mRevision,
                        ACACIAVALE_TRY(DecodeArchive(entry->mValue)) };
}

ErrorOr<std::int64_t> WriteArchive(const KeyValueStore& aStore,
                                   const ArchiveRecord& aRecord,
                                   std::int64_t aExpectedRevision)
{
  const std::string value =
    DumpJson({ { "totals", EncodeTotals(aRecord.mTotals) },
               { "entries", aRecord.mEntries },
               { "folded", EncodeFolded(aRecord.mFoldedLedgers) },
               { "writer", WriterNonce() } });
  return WriteResolved(aStore, { kArchiveKey, value, aExpectedRevision, 0 });
}

std::size_t AddLines(ArchiveRecord& aArchive,
                     const Incarnation& aIncarnation,
                     const std::vector<LedgerLine>& aLines)
{
  FoldedLedger& folded = aArchive.mFoldedLedgers.at(aIncarnation);
  std::size_t added = 0;
  for (const LedgerLine& line : aLines) {
    if (Contains(folded.mNumbers, line.mNumber)) {
      continue;
    }
    folded.mNumbers = WithNumber(folded.mNumbers, line.mNumber);
    AddCharge(aArchive.mTotals, line.mAccount, line.mCharge);
    ++aArchive.mEntries;
    ++added;
  }
  return added;
}

bool AddLedger(ArchiveRecord& aArchive,
               const Incarnation& aIncarnation,
               const LedgerRecord& aLedger,
               UnixMilliseconds aNow)
{
  if (aArchive.mFoldedLedgers.contains(aIncarnation)) {
    // NOTE: A VM recreated this ledger after it had been folded, and died
    //       before it noticed. The entries up to mTotalsUpTo were folded
    //       before.
    return AddLines(aArchive, aIncarnation, aLedger.mLines) > 0;
  }
  aArchive.mFoldedLedgers[aIncarnation] = { NumbersUpTo(aLedger.mTotalsUpTo),
                                            aNow };
  AddTotals(aArchive.mTotals, aLedger.mTotals);
  aArchive.mEntries += aLedger.mTotalsUpTo;
  AddLines(aArchive, aIncarnation, aLedger.mLines);
  return true;
}

ErrorOr<void> AddLateEntries(const KeyValueStore& aStore,
                             const Incarnation& aIncarnation,
                             const std::vector<LedgerLine>& aLines)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto added = TryAddLateEntries(aStore, aIncarnation, aLines);
    if (added || added.error().mCode != ErrorCode::Conflict) {
      return added;
    }
  }
  return MakeError(ErrorCode::Conflict,
                   "Concurrent writes to the bill archive kept conflicting.");
}

ErrorOr<std::optional<NumberSet>> CountedNumbers(
  const KeyValueStore& aStore,
  const Incarnation& aIncarnation)
{
  // NOTE: The ledger must be read before the archive, since a ledger is removed
  //       only after the archive lists it. The archive takes precedence over a
  //       ledger that was recreated after folding.
  const auto ledger = ACACIAVALE_TRY(ReadLedger(aStore, aIncarnation));
  const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
  const auto folded = archive.mRecord.mFoldedLedgers.find(aIncarnation);
  if (folded != archive.mRecord.mFoldedLedgers.end()) {
    return folded->second.mNumbers;
  }
  if (ledger.mRecord.mClosed) {
    return NumbersOf(ledger.mRecord);
  }
  return std::optional<NumberSet>{};
}

std::vector<LedgerLine> LinesNotIn(const std::vector<LedgerLine>& aLines,
                                   const NumberSet& aSet)
{
  std::vector<LedgerLine> outside;
  std::copy_if(
    aLines.begin(),
    aLines.end(),
    std::back_inserter(outside),
    [&](const LedgerLine& aLine) { return !Contains(aSet, aLine.mNumber); });
  return outside;
}

} // namespace Acaciavale
