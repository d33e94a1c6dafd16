#include "Archive.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr char kLogComponent[] = "billing";
constexpr int kMaxAttempts = 16;
/// Maximum number of lines in a closed record, which keeps it well below a
/// megabyte. Further lines are added to the archive, which stores only their
/// numbers and totals.
constexpr std::size_t kMaxClosedLines = 4000;

std::vector<LedgerLine> LinesOf(const std::vector<BillEntry>& aEntries)
{
  std::vector<LedgerLine> lines;
  lines.reserve(aEntries.size());
  for (const BillEntry& entry : aEntries) {
    lines.push_back(LineOf(entry));
  }
  return lines;
}

LedgerRecord ClosedWith(const LedgerRecord& aOpen,
                        const std::vector<LedgerLine>& aLines)
{
  LedgerRecord closed = aOpen;
  closed.mClosed = true;
  closed.mLines = LinesNotIn(aLines, NumbersOf(aOpen));
  if (closed.mLines.size() > kMaxClosedLines) {
    closed.mLines.resize(kMaxClosedLines);
  }
  return closed;
}

/// Closes the ledger if it is open or absent from both store and archive.
ErrorOr<void> EnsureClosed(const KeyValueStore& aStore,
                           const Incarnation& aIncarnation,
                           const std::vector<LedgerLine>& aLines)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const auto ledger = ACACIAVALE_TRY(ReadLedger(aStore, aIncarnation));
    if (ledger.mRecord.mClosed) {
      return {};
    }
    if (ledger.mRevision == 0) {
      const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
      if (archive.mRecord.mFoldedLedgers.contains(aIncarnation)) {
        return {};
      }
    }
    const auto written = WriteLedger(aStore,
                                     aIncarnation,
                                     ClosedWith(ledger.mRecord, aLines),
                                     ledger.mRevision);
    if (written) {
      return {};
    }
    if (written.error().mCode != ErrorCode::Conflict) {
      return tl::make_unexpected(written.error());
    }
  }
  return MakeError(ErrorCode::Conflict,
                   "Concurrent writes to the ledger kept conflicting.");
}

/// Removes duplicates, which would count an entry twice within one record.
std::vector<LedgerLine> Distinct(std::vector<LedgerLine> aLines)
{
  std::sort(aLines.begin(), aLines.end());
  const auto sameNumber = [](const LedgerLine& aLeft,
                             const LedgerLine& aRight) {
    return aLeft.mNumber == aRight.mNumber;
  };
  aLines.erase(std::unique(aLines.begin(), aLines.end(), sameNumber),
               aLines.end());
  return aLines;
}

} // namespace

ErrorOr<void> CloseLedger(const KeyValueStore& aStore,
                          const Incarnation& aIncarnation,
                          const std::vector<BillEntry>& aHeld)
{
  const std::vector<LedgerLine> lines = Distinct(LinesOf(aHeld));
  ACACIAVALE_TRY_VOID(EnsureClosed(aStore, aIncarnation, lines));
  // NOTE: This is necessary even if this call closed the ledger: if the ledger
  //       had been folded and recreated by its VM, only the archive's numbers
  //       are valid.
  const auto counted = ACACIAVALE_TRY(CountedNumbers(aStore, aIncarnation));
  if (!counted) {
    return MakeError(ErrorCode::NotFound,
                     "The archive has dropped the incarnation of the ledger.");
  }
  const auto late = LinesNotIn(lines, *counted);
  if (late.empty()) {
    return {};
  }
  return AddLateEntries(aStore, aIncarnation, late);
}

ErrorOr<std::size_t> CloseDeadLedgers(const KeyValueStore& aStore,
                                      HeldEntries& aHeld,
                                      const IsAlive& aIsAlive)
{
  std::size_t closedCount = 0;
  ErrorOr<void> result;
  for (const Incarnation& incarnation : aHeld.Incarnations()) {
    if (aIsAlive(incarnation)) {
      continue;
    }
    const auto entries = aHeld.EntriesOf(incarnation);
    const auto closed = CloseLedger(aStore, incarnation, entries);
    if (!closed) {
      result = closed;
      continue;
    }
    aHeld.Discard(entries);
    ++closedCount;
    Log(LogLevel::Info,
        kLogComponent,
        "Stored the held billing entries of a dead VM.",
        { { "vm", incarnation.mVm },
          { "incarnation", incarnation.mNonce },
          { "held", std::to_string(entries.size()) } });
  }
  if (!result) {
    return tl::make_unexpected(result.error());
  }
  return closedCount;
}

ErrorOr<std::size_t> CloseAbandonedLedgers(const KeyValueStore& aStore,
                                           const IsAlive& aIsAlive)
{
  std::size_t closed = 0;
  for (const KeyValueEntry& entry :
       ACACIAVALE_TRY(aStore.mList(kLedgerPrefix))) {
    const auto incarnation = ParseLedgerKey(entry.mKey);
    const auto ledger = DecodeLedger(entry.mValue);
    if (!incarnation || !ledger || ledger->mClosed || aIsAlive(*incarnation)) {
      continue;
    }
    ACACIAVALE_TRY_VOID(CloseLedger(aStore, *incarnation, {}));
    ++closed;
  }
  return closed;
}

} // namespace Acaciavale
