#include "BillsCommand.h"
#include "CommandOptions.h"
#include "SettingsSource.h"

#include <Acaciavale/LibBilling/Ledger.h>

#include <cinttypes>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr const char* kHelp =
  "usage: acaciavale bills --store IP:PORT [OPTION…]\n"
  "\n"
  "  Shows what each client account is charged, in millionths of the\n"
  "  currency unit, and checks that every ledger charges as many requests as\n"
  "  it has entries. Exit code 1: the checks found differences.\n"
  "\n"
  "  --answered FILE      also compares the bill with the requests answered,\n"
  "                       given as a JSON object of accounts and counts\n"
  "  --output text|json\n";

/// The bill report and the differences found while reconciling it.
struct Bills
{
  BillReport mReport;
  std::vector<std::string> mDifferences;
};

std::string FormatIncarnation(const Incarnation& aIncarnation)
{
  return aIncarnation.mVm + "/" + aIncarnation.mNonce;
}

void PrintText(const Bills& aBills)
{
  std::printf("%-24s %12s %16s\n", "ACCOUNT", "REQUESTS", "MICROS");
  for (const auto& [account, total] : aBills.mReport.mTotals) {
    std::printf("%-24s %12" PRIu64 " %16" PRId64 "\n",
                account.c_str(),
                total.mRequests,
                total.mCharge.mMicros);
  }
  std::printf(
    "\n%-48s %-7s %12s %12s\n", "LEDGER", "STATE", "ENTRIES", "REQUESTS");
  for (const LedgerSummary& ledger : aBills.mReport.mLedgers) {
    std::printf("%-48s %-7s %12" PRIu64 " %12" PRIu64 "\n",
                FormatIncarnation(ledger.mIncarnation).c_str(),
                ledger.mClosed ? "closed" : "open",
                ledger.mEntries,
                ledger.mRequests);
  }
  std::printf("archive: %" PRIu64 " entries, %" PRIu64
              " incarnations remembered\n\n",
              aBills.mReport.mArchivedEntries,
              aBills.mReport.mFoldedIncarnations);
  for (const std::string& difference : aBills.mDifferences) {
    std::printf("%s\n", difference.c_str());
  }
  if (aBills.mDifferences.empty()) {
    std::printf("The checks found no differences.\n");
  }
}

void PrintJson(const Bills& aBills)
{
  Json accounts = Json::object();
  for (const auto& [account, total] : aBills.mReport.mTotals) {
    accounts[account] = { { "requests", total.mRequests },
                          { "micros", total.mCharge.mMicros } };
  }
  Json ledgers = Json::array();
  for (const LedgerSummary& ledger : aBills.mReport.mLedgers) {
    ledgers.push_back({ { "ledger", FormatIncarnation(ledger.mIncarnation) },
                        { "closed", ledger.mClosed },
                        { "entries", ledger.mEntries },
                        { "requests", ledger.mRequests } });
  }
  const Json bills = { { "accounts", accounts },
                       { "ledgers", ledgers },
                       { "archived_entries", aBills.mReport.mArchivedEntries },
                       { "remembered_incarnations",
                         aBills.mReport.mFoldedIncarnations },
                       { "differences", aBills.mDifferences } };
  std::printf("%s\n", bills.dump(2).c_str());
}

ErrorOr<AnsweredRequests> ReadAnsweredRequests(const std::string& aFile)
{
  std::ifstream file(aFile);
  if (!file) {
    return MakeError(ErrorCode::Invalid, aFile + " cannot be read.");
  }
  try {
    return Json::parse(file).get<AnsweredRequests>();
  } catch (const Json::exception&) {
    return MakeError(ErrorCode::Invalid,
                     aFile + " is not a JSON object of accounts and counts.");
  }
}

ErrorOr<Bills> FetchBills(const ParsedOptions& aOptions)
{
  const auto client = MakeCommandClient(aOptions.Value("store"));
  Bills bills;
  bills.mReport = ACACIAVALE_TRY(ReadBillReport(client->Store()));
  bills.mDifferences = Reconcile(bills.mReport);
  if (aOptions.Has("answered")) {
    const auto answered =
      ACACIAVALE_TRY(ReadAnsweredRequests(aOptions.Value("answered")));
    const auto answeredDifferences =
      ReconcileAnswered(bills.mReport.mTotals, answered);
    bills.mDifferences.insert(bills.mDifferences.end(),
                              answeredDifferences.begin(),
                              answeredDifferences.end());
  }
  return bills;
}

int Run(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(),
                                       { "answered", "FILE", "" },
                                       OutputOption() };
  const auto options = ParseOptions("bills", aArguments, specs);
  const auto wantsJson = options ? WantsJson(*options) : std::nullopt;
  if (!wantsJson || !options->Has("store") || !options->mOperands.empty()) {
    std::fputs(kHelp, stderr);
    return kExitUsage;
  }
  const auto bills = FetchBills(*options);
  if (!bills) {
    return ReportError("bills", bills.error());
  }
  *wantsJson ? PrintJson(*bills) : PrintText(*bills);
  return bills->mDifferences.empty() ? kExitDone : kExitFindings;
}

} // namespace

Command BillsCommand()
{
  return { "bills", "Show and reconcile the bills.", kHelp, Run };
}

} // namespace Acaciavale
