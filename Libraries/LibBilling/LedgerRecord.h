#pragma once

#include "NumberSet.h"

#include <Acaciavale/LibBilling/Ledger.h>

#include <optional>

/// The ledger of one incarnation as stored in the key-value service.
namespace Acaciavale {

/// The fields of an entry needed to compute totals.
struct LedgerLine
{
  std::uint64_t mNumber = 0;
  std::string mAccount;
  Money mCharge;

  auto operator<=>(const LedgerLine&) const = default;
};

/// Only the owner writes an open record. A closed record never changes until it
/// is folded and removed.
struct LedgerRecord
{
  bool mClosed = false;
  std::uint64_t mTotalsUpTo = 0; ///< Number of the last entry in mTotals.
  AccountTotals mTotals;
  std::vector<LedgerLine> mLines; ///< Later entries, added when closing.

  auto operator<=>(const LedgerRecord&) const = default;
};

/// A record read from the store, with its revision.
struct StoredLedger
{
  std::int64_t mRevision = 0; ///< 0 when the record is absent.
  LedgerRecord mRecord;

  auto operator<=>(const StoredLedger&) const = default;
};

extern const char* const kLedgerPrefix;

std::string LedgerKey(const Incarnation& aIncarnation);
std::optional<Incarnation> ParseLedgerKey(const std::string& aKey);
/// Includes a new nonce in each encoding, so that a write whose response was
/// lost can be identified by reading the record.
std::string EncodeLedger(const LedgerRecord& aRecord);
ErrorOr<LedgerRecord> DecodeLedger(const std::string& aValue);

ErrorOr<StoredLedger> ReadLedger(const KeyValueStore& aStore,
                                 const Incarnation& aIncarnation);
/// Returns the new revision.
ErrorOr<std::int64_t> WriteLedger(const KeyValueStore& aStore,
                                  const Incarnation& aIncarnation,
                                  const LedgerRecord& aRecord,
                                  std::int64_t aExpectedRevision);

/// The numbers of the entries that the record holds.
NumberSet NumbersOf(const LedgerRecord& aRecord);
/// The totals of all entries, including mLines.
AccountTotals TotalsOf(const LedgerRecord& aRecord);

void AddCharge(AccountTotals& aTotals,
               const std::string& aAccount,
               Money aCharge);
void AddTotals(AccountTotals& aTotals, const AccountTotals& aAdded);
std::uint64_t CountRequests(const AccountTotals& aTotals);
LedgerLine LineOf(const BillEntry& aEntry);

} // namespace Acaciavale
