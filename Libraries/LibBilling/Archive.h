#pragma once

#include "LedgerRecord.h"

/// The archive: one record with the totals of all folded ledgers and, for each
/// incarnation, the sequence numbers of the entries in these totals.
namespace Acaciavale {

struct FoldedLedger
{
  NumberSet mNumbers; ///< Sequence numbers of the entries in the totals.
  UnixMilliseconds mFoldedAt{};

  auto operator<=>(const FoldedLedger&) const = default;
};

struct ArchiveRecord
{
  AccountTotals mTotals;
  std::uint64_t mEntries = 0; ///< Entries folded so far.
  std::map<Incarnation, FoldedLedger> mFoldedLedgers;

  auto operator<=>(const ArchiveRecord&) const = default;
};

struct StoredArchive
{
  std::int64_t mRevision = 0; ///< 0 when the record is absent.
  ArchiveRecord mRecord;

  auto operator<=>(const StoredArchive&) const = default;
};

ErrorOr<StoredArchive> ReadArchive(const KeyValueStore& aStore);
ErrorOr<std::int64_t> WriteArchive(const KeyValueStore& aStore,
                                   const ArchiveRecord& aRecord,
                                   std::int64_t aExpectedRevision);

/// Adds the lines whose numbers are not yet in the archive. The archive must
/// list the incarnation. Returns the number of lines added.
std::size_t AddLines(ArchiveRecord& aArchive,
                     const Incarnation& aIncarnation,
                     const std::vector<LedgerLine>& aLines);

/// Adds a closed ledger. If the archive lists its incarnation already, adds
/// only the missing lines. Returns whether the archive changed.
bool AddLedger(ArchiveRecord& aArchive,
               const Incarnation& aIncarnation,
               const LedgerRecord& aLedger,
               UnixMilliseconds aNow);

/// Adds entries of a closed incarnation to the archive, each exactly once
/// regardless of which VM adds it and how often. Folds the ledger first if
/// necessary.
ErrorOr<void> AddLateEntries(const KeyValueStore& aStore,
                             const Incarnation& aIncarnation,
                             const std::vector<LedgerLine>& aLines);

/// The numbers of a closed incarnation's entries that are counted in its ledger
/// or, once folded, in the archive. Empty optional while the ledger is open or
/// absent.
ErrorOr<std::optional<NumberSet>> CountedNumbers(
  const KeyValueStore& aStore,
  const Incarnation& aIncarnation);

/// The lines whose numbers are not in the set.
std::vector<LedgerLine> LinesNotIn(const std::vector<LedgerLine>& aLines,
                                   const NumberSet& aSet);

} // namespace Acaciavale
