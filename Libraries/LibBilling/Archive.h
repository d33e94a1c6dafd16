#pragma once

#include "LedgerRecord.h"

/// The archive: one record with the totals of all folded ledgers, and which
/// entries of each incarnation are among them.
namespace Acaciavale {

struct FoldedLedger
{
  NumberSet mNumbers; ///< Entries of this incarnation in the totals.
  UnixMilliseconds mFoldedAt{};

  auto operator<=>(const FoldedLedger&) const = default;
};

struct ArchiveRecord
{
  AccountTotals mTotals;
  std::uint64_t mEntries = 0; ///< Entries ever folded.
  std::map<Incarnation, FoldedLedger> mFoldedLedgers;

  auto operator<=>(const ArchiveRecord&) const = default;
};

struct StoredArchive
{
  std::int64_t mRevision = 0; ///< 0 when absent.
  ArchiveRecord mRecord;

  auto operator<=>(const StoredArchive&) const = default;
};

ErrorOr<StoredArchive> ReadArchive(const KeyValueStore& aStore);
ErrorOr<std::int64_t> WriteArchive(const KeyValueStore& aStore,
                                   const ArchiveRecord& aRecord,
                                   std::int64_t aExpectedRevision);

/// Adds the lines whose numbers the archive lacks for an incarnation that it
/// lists. Returns how many were added.
std::size_t AddLines(ArchiveRecord& aArchive,
                     const Incarnation& aIncarnation,
                     const std::vector<LedgerLine>& aLines);

/// Adds a closed ledger, or of one that the archive lists already, the lines
/// that it lacks. Returns whether the archive changed.
bool AddLedger(ArchiveRecord& aArchive,
               const Incarnation& aIncarnation,
               const LedgerRecord& aLedger,
               UnixMilliseconds aNow);

/// Brings entries of a closed incarnation into the books exactly once, whoever
/// brings them and however often. Folds the ledger first if need be.
ErrorOr<void> AddLateEntries(const KeyValueStore& aStore,
                             const Incarnation& aIncarnation,
                             const std::vector<LedgerLine>& aLines);

/// The entries of a closed incarnation that are in the books, whether its
/// ledger is folded or not; nothing while its ledger is open or absent.
ErrorOr<std::optional<NumberSet>> CountedNumbers(
  const KeyValueStore& aStore,
  const Incarnation& aIncarnation);

/// The lines whose numbers the set lacks.
std::vector<LedgerLine> LinesNotIn(const std::vector<LedgerLine>& aLines,
                                   const NumberSet& aSet);

} // namespace Acaciavale
