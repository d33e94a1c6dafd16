#include "LedgerRecord.h"

#include "LedgerJson.h"

namespace Acaciavale {

using Json = nlohmann::json;

const char* const kLedgerPrefix = "ledgers/";

std::string LedgerKey(const Incarnation& aIncarnation)
{
  return kLedgerPrefix + aIncarnation.mVm + "/" + aIncarnation.mNonce;
}

std::optional<Incarnation> ParseLedgerKey(const std::string& aKey)
{
  const std::string prefix = kLedgerPrefix;
  const std::size_t slash = aKey.rfind('/');
  if (!aKey.starts_with(prefix) || slash < prefix.size()) {
    return std::nullopt;
  }
  return Incarnation{ aKey.substr(prefix.size(), slash - prefix.size()),
                      aKey.substr(slash + 1) };
}

std::string EncodeLedger(const LedgerRecord& aRecord)
{
  Json lines = Json::array();
  for (const LedgerLine& line : aRecord.mLines) {
    lines.push_back({ line.mNumber, line.mAccount, line.mCharge.mMicros });
  }
  return DumpJson({ { "closed", aRecord.mClosed },
                    { "up_to", aRecord.mTotalsUpTo },
                    { "totals", EncodeTotals(aRecord.mTotals) },
                    { "lines", lines },
                    { "writer", WriterNonce() } });
}

ErrorOr<LedgerRecord> DecodeLedger(const std::string& aValue)
{
  try {
    const Json json = Json::parse(aValue);
    LedgerRecord record;
    json.at("closed").get_to(record.mClosed);
    json.at("up_to").get_to(record.mTotalsUpTo);
    record.mTotals = DecodeTotals(json.at("totals"));
    for (const Json& line : json.at("lines")) {
      record.mLines.push_back({ line.at(0).get<std::uint64_t>(),
                                line.at(1).get<std::string>(),
                                Money{ line.at(2).get<std::int64_t>() } });
    }
    return record;
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Internal,
                     "The ledger record in the store is malformed.");
  }
}

ErrorOr<StoredLedger> ReadLedger(const KeyValueStore& aStore,
                                 const Incarnation& aIncarnation)
{
  const auto entry = ACACIAVALE_TRY(aStore.mRead(LedgerKey(aIncarnation)));
  if (!entry) {
    return StoredLedger{};
  }
  return StoredLedger{ entry->mRevision,
                       ACACIAVALE_TRY(DecodeLedger(entry->mValue)) };
}

ErrorOr<std::int64_t> WriteLedger(const KeyValueStore& aStore,
                                  const Incarnation& aIncarnation,
                                  const LedgerRecord& aRecord,
                                  std::int64_t aExpectedRevision)
{
  return WriteResolved(
    aStore,
    { LedgerKey(aIncarnation), EncodeLedger(aRecord), aExpectedRevision, 0 });
}

NumberSet NumbersOf(const LedgerRecord& aRecord)
{
  NumberSet numbers = NumbersUpTo(aRecord.mTotalsUpTo);
  for (const LedgerLine& line : aRecord.mLines) {
    numbers = WithNumber(numbers, line.mNumber);
  }
  return numbers;
}

AccountTotals TotalsOf(const LedgerRecord& aRecord)
{
  AccountTotals totals = aRecord.mTotals;
  for (const LedgerLine& line : aRecord.mLines) {
    AddCharge(totals, line.mAccount, line.mCharge);
  }
  return totals;
}

void AddCharge(AccountTotals& aTotals,
               const std::string& aAccount,
               Money aCharge)
{
  AccountTotal& total = aTotals[aAccount];
  ++total.mRequests;
  total.mCharge = total.mCharge + aCharge;
}

void AddTotals(AccountTotals& aTotals, const AccountTotals& aAdded)
{
  for (const auto& [account, added] : aAdded) {
    AccountTotal& total = aTotals[account];
    total.mRequests += added.mRequests;
    total.mCharge = total.mCharge + added.mCharge;
  }
}

std::uint64_t CountRequests(const AccountTotals& aTotals)
{
  std::uint64_t count = 0;
  for (const auto& [account, total] : aTotals) {
    count += total.mRequests;
  }
  return count;
}

LedgerLine LineOf(const BillEntry& aEntry)
{
  return { aEntry.mNumber, aEntry.mAccount, aEntry.mCharge };
}

} // namespace Acaciavale
