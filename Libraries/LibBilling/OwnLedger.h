#pragma once

#include "Archive.h"

#include <Acaciavale/LibCore/Random.h>

/// The ledger as its owner keeps it: which entries the store has, and what to
/// do when somebody closed it. Not thread-safe; does the I/O of its owner.
namespace Acaciavale {

/// One incarnation's entries that the store does not have for certain.
struct LedgerBacklog
{
  Incarnation mIncarnation;
  std::uint64_t mLastNumber = 0;          ///< Of the entries numbered so far.
  std::vector<LedgerLine> mUnstoredLines; ///< In the order of their numbers.

  auto operator<=>(const LedgerBacklog&) const = default;
};

/// How a write of the own ledger ended.
enum class LedgerWrite
{
  Done,      ///< The store has every entry that was passed.
  WasClosed, ///< Somebody closed the ledger; the incarnation is over.
};

class OwnLedger
{
public:
  explicit OwnLedger(Incarnation aIncarnation);

  const Incarnation& Id() const { return mIncarnation; }
  /// Highest number that the store has for certain.
  std::uint64_t StoredUpTo() const
  {
    return mVerified ? mStored.mRecord.mTotalsUpTo : 0;
  }
  bool IsWritten() const { return mStored.mRevision != 0; }

  /// Writes the ledger with the lines past UpTo, which follow each other
  /// without a gap.
  ErrorOr<LedgerWrite> Write(const KeyValueStore& aStore,
                             const std::vector<LedgerLine>& aLines,
                             bool aClose);

private:
  ErrorOr<LedgerWrite> TryWrite(const KeyValueStore& aStore,
                                const std::vector<LedgerLine>& aLines,
                                bool aClose);
  ErrorOr<LedgerWrite> Verify(const KeyValueStore& aStore);
  ErrorOr<LedgerWrite> ReadBack(const KeyValueStore& aStore);

  Incarnation mIncarnation;
  StoredLedger mStored;
  bool mVerified = false;
};

} // namespace Acaciavale
