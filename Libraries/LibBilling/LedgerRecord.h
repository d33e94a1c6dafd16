#pragma once

#include "NumberSet.h"

#include <Acaciavale/LibBilling/Ledger.h>

#include <optional>

/// The ledger of one incarnation as the store holds it.
namespace Acaciavale {

/// The part of an entry that a total needs.
struct LedgerLine
{
  std::uint64_t mNumber = 0;
  std::string mAccount;
  Money mCharge;

  auto operator<=>(const LedgerLine&) const = default;
};

/// Only the owner writes an open record. A closed one never changes, until it
/// is folded and removed.
struct LedgerRecord
{
  bool mClosed = false;
  std::uint64_t mTotalsUpTo = 0; ///< The totals hold the entries 1 to this.
  AccountTotals mTotals;
  std::vector<LedgerLine> mLines; ///< Past mTotalsUpTo, added by who closed it.

  auto operator<=>(const LedgerRecord&) const = default;
};

/// A record read from the store, or the fact that there is none.
struct StoredLedger
{
  std::int64_t mRevision = 0; ///< 0 when absent.
  LedgerRecord mRecord;

  auto operator<=>(const StoredLedger&) const = default;
};

extern const char* const kLedgerPrefix;

std::string LedgerKey(const Incarnation& aIncarnation);
std::optional<Incarnation> ParseLedgerKey(const std::string& aKey);
/// Each encoding carries a fresh nonce, so that a lost answer can be resolved.
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
/// The totals with the lines added.
AccountTotals TotalsOf(const LedgerRecord& aRecord);

void AddCharge(AccountTotals& aTotals,
               const std::string& aAccount,
               Money aCharge);
void AddTotals(AccountTotals& aTotals, const AccountTotals& aAdded);
std::uint64_t CountRequests(const AccountTotals& aTotals);
LedgerLine LineOf(const BillEntry& aEntry);

} // namespace Acaciavale
