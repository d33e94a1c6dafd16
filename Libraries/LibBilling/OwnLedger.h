#pragma once

#include "Archive.h"

#include <Acaciavale/LibCore/Random.h>

/// The ledger of this VM's current incarnation: tracks which entries the store
/// has and detects that another VM closed the ledger. Not thread-safe; performs
/// blocking I/O in the calling thread.
namespace Acaciavale {

/// The entries of one incarnation that are not yet confirmed in the store.
struct LedgerBacklog
{
  Incarnation mIncarnation;
  std::uint64_t mLastNumber = 0;          ///< Highest number assigned so far.
  std::vector<LedgerLine> mUnstoredLines; ///< Ordered by entry number.

  auto operator<=>(const LedgerBacklog&) const = default;
};

/// The result of a successful OwnLedger::Write.
enum class LedgerWrite
{
  Done,      ///< The store has all entries passed to Write.
  WasClosed, ///< Another VM closed the ledger; the incarnation has ended.
};

class OwnLedger
{
public:
  explicit OwnLedger(Incarnation aIncarnation);

  const Incarnation& Id() const { return mIncarnation; }
  /// Highest entry number confirmed in the store.
  std::uint64_t StoredUpTo() const
  {
    return mVerified ? mStored.mRecord.mTotalsUpTo : 0;
  }
  bool IsWritten() const { return mStored.mRevision != 0; }

  /// Adds the lines after StoredUpTo to the ledger and writes it. The lines
  /// must be consecutive.
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
