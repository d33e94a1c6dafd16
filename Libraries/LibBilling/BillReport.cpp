#include "Archive.h"
#include "LedgerList.h"

namespace Acaciavale {

namespace {

LedgerSummary Summarize(const ListedLedger& aLedger)
{
  const LedgerRecord& record = aLedger.mLedger.mRecord;
  return { aLedger.mIncarnation,
           record.mClosed,
           CountNumbers(NumbersOf(record)),
           CountRequests(TotalsOf(record)) };
}

void AddDifference(std::vector<std::string>& aDifferences,
                   const std::string& aAccount,
                   std::uint64_t aBilled,
                   std::uint64_t aAnswered)
{
  if (aBilled != aAnswered) {
    aDifferences.push_back("Account " + aAccount + " is billed for " +
                           std::to_string(aBilled) + " requests but had " +
                           std::to_string(aAnswered) + " requests answered.");
  }
}

} // namespace

ErrorOr<BillReport> ReadBillReport(const KeyValueStore& aStore)
{
  // NOTE: The ledgers must be read before the archive. A ledger folded between
  //       the two reads is then in both and counted from the archive; in the
  //       reverse order it could be in neither.
  const auto ledgers = ACACIAVALE_TRY(ListLedgers(aStore));
  const auto archive = ACACIAVALE_TRY(ReadArchive(aStore));
  BillReport report;
  report.mArchived = archive.mRecord.mTotals;
  report.mTotals = archive.mRecord.mTotals;
  report.mArchivedEntries = archive.mRecord.mEntries;
  report.mFoldedIncarnations = archive.mRecord.mFoldedLedgers.size();
  for (const ListedLedger& ledger : ledgers) {
    if (archive.mRecord.mFoldedLedgers.contains(ledger.mIncarnation)) {
      continue;
    }
    AddTotals(report.mTotals, TotalsOf(ledger.mLedger.mRecord));
    report.mLedgers.push_back(Summarize(ledger));
  }
  return report;
}

ErrorOr<AccountTotals> ReadTotals(const KeyValueStore& aStore)
{
  return ACACIAVALE_TRY(ReadBillReport(aStore)).mTotals;
}

std::vector<std::string> Reconcile(const BillReport& aReport)
{
  std::vector<std::string> differences;
  for (const LedgerSummary& ledger : aReport.mLedgers) {
    if (ledger.mEntries != ledger.mRequests) {
      differences.push_back("Ledger " + LedgerKey(ledger.mIncarnation) +
                            " lists " + std::to_string(ledger.mEntries) +
                            " entries but charges " +
                            std::to_string(ledger.mRequests) + " requests.");
    }
  }
  const std::uint64_t archived = CountRequests(aReport.mArchived);
  if (archived != aReport.mArchivedEntries) {
    differences.push_back(
      "The archive lists " + std::to_string(aReport.mArchivedEntries) +
      " entries but charges " + std::to_string(archived) + " requests.");
  }
  return differences;
}

std::vector<std::string> ReconcileAnswered(const AccountTotals& aTotals,
                                           const AnsweredRequests& aAnswered)
{
  std::vector<std::string> differences;
  for (const auto& [account, total] : aTotals) {
    const auto answered = aAnswered.find(account);
    AddDifference(differences,
                  account,
                  total.mRequests,
                  answered == aAnswered.end() ? 0 : answered->second);
  }
  for (const auto& [account, answered] : aAnswered) {
    if (!aTotals.contains(account)) {
      AddDifference(differences, account, 0, answered);
    }
  }
  return differences;
}

} // namespace Acaciavale
