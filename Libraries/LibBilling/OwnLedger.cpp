#include "OwnLedger.h"

namespace Acaciavale {

namespace {

constexpr int kMaxAttempts = 4;

/// The record extended by the lines that follow it without a gap.
LedgerRecord Extended(const LedgerRecord& aRecord,
                      const std::vector<LedgerLine>& aLines,
                      bool aClose)
{
  LedgerRecord extended = aRecord;
  extended.mClosed = aClose;
  for (const LedgerLine& line : aLines) {
    if (line.mNumber == extended.mTotalsUpTo + 1) {
      extended.mTotalsUpTo = line.mNumber;
      AddCharge(extended.mTotals, line.mAccount, line.mCharge);
    }
  }
  return extended;
}

} // namespace

OwnLedger::OwnLedger(Incarnation aIncarnation)
  : mIncarnation(std::move(aIncarnation))
{
}

ErrorOr<LedgerWrite> OwnLedger::Write(const KeyValueStore& aStore,
                                      const std::vector<LedgerLine>& aLines,
                                      bool aClose)
{
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    auto written = TryWrite(aStore, aLines, aClose);
    if (written || written.error().mCode != ErrorCode::Conflict) {
      return written;
    }
    const LedgerWrite found = ACACIAVALE_TRY(ReadBack(aStore));
    if (found == LedgerWrite::WasClosed) {
      return found;
    }
  }
  return MakeError(ErrorCode::Conflict,
                   "Concurrent writes to the ledger kept conflicting.");
}

ErrorOr<LedgerWrite> OwnLedger::TryWrite(const KeyValueStore& aStore,
                                         const std::vector<LedgerLine>& aLines,
                                         bool aClose)
{
  const LedgerRecord record = Extended(mStored.mRecord, aLines, aClose);
  if (record != mStored.mRecord) {
    const std::int64_t revision = ACACIAVALE_TRY(
      WriteLedger(aStore, mIncarnation, record, mStored.mRevision));
    mStored = { revision, record };
  }
  return Verify(aStore);
}

ErrorOr<LedgerWrite> OwnLedger::Verify(const KeyValueStore& aStore)
{
  // NOTE: The first write creates the record. If the ledger had been closed,
  //       folded and removed before, only the archive shows this. A ledger is
  //       removed after the archive lists it, so one read suffices.
  if (!mVerified) {
    const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
    if (archive.mRecord.mFoldedLedgers.contains(mIncarnation)) {
      return LedgerWrite::WasClosed;
    }
    mVerified = true;
  }
  return LedgerWrite::Done;
}

ErrorOr<LedgerWrite> OwnLedger::ReadBack(const KeyValueStore& aStore)
{
  const auto stored = ACACIAVALE_TRY(ReadLedger(aStore, mIncarnation));
  if (stored.mRevision == 0 || stored.mRecord.mClosed) {
    return LedgerWrite::WasClosed;
  }
  // NOTE: Only this VM writes an open record, so an earlier write of this VM
  //       took effect late.
  mStored = stored;
  return LedgerWrite::Done;
}

} // namespace Acaciavale
