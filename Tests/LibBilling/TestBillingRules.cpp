#include <Acaciavale/LibBilling/BillingRules.h>
#include <Acaciavale/LibBilling/Ledger.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr TokenPrice kInput{ 1'000'000 };
constexpr TokenPrice kOutput{ 2'000'000 };

StageUsage Usage(StageOutcome aOutcome, std::int64_t aOutputTokens = 10)
{
  return { kInput, kOutput, 100, aOutputTokens, aOutcome };
}

} // namespace

TEST_GROUP(BillingRules){};

TEST(BillingRules, CascadeIsChargedForEachStageThatRan)
{
  const auto charge = ChargeOfRequest(
    { Usage(StageOutcome::Escalated), Usage(StageOutcome::Answered) });
  CHECK(charge == Money{ 240 });
}

TEST(BillingRules, FailedAndSupersededAttemptsAreFree)
{
  const std::vector<StageUsage> usages{ Usage(StageOutcome::Failed),
                                        Usage(StageOutcome::Superseded),
                                        Usage(StageOutcome::Answered) };
  CHECK(ChargeOfRequest(usages) == Money{ 120 });
  CHECK(TokensOfRequest(usages) == (ChargedTokens{ 100, 10 }));
}

TEST(BillingRules, StreamCancelledByTheCallerIsChargedForDeliveredTokens)
{
  CHECK(ChargeOfRequest({ Usage(StageOutcome::CancelledByCaller, 3) }) ==
        Money{ 106 });
}

TEST(BillingRules, ServiceCallIsFreeOnServerErrorStatus)
{
  CHECK(ChargeOfCall({ 7 }, 201) == Money{ 7 });
  CHECK(ChargeOfCall({ 7 }, 404) == Money{ 7 });
  CHECK(ChargeOfCall({ 7 }, 503) == Money{ 0 });
}

TEST(BillingRules, ReconcileAnsweredReportsEachDifferingAccount)
{
  const AccountTotals totals{ { "jadran", { 2, { 10 } } },
                              { "gebeta", { 1, { 5 } } } };
  CHECK(
    ReconcileAnswered(totals, { { "jadran", 2 }, { "gebeta", 1 } }).empty());
  const auto differences =
    ReconcileAnswered(totals, { { "jadran", 3 }, { "other", 1 } });
  LONGS_EQUAL(3, differences.size());
}
