#include <Acaciavale/LibBilling/BillingRules.h>
#include <Acaciavale/LibBilling/Ledger.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr TokenPrice kInput{ 1'000'000 };
constexpr TokenPrice kOutput{ 2'000'000 };

StageUse Use(StageOutcome aOutcome, std::int64_t aOutputTokens = 10)
{
  return { kInput, kOutput, 100, aOutputTokens, aOutcome };
}

} // namespace

TEST_GROUP(BillingRules){};

TEST(BillingRules, ACascadeIsChargedForEachStageThatRan)
{
  const auto charge = ChargeOfRequest(
    { Use(StageOutcome::Escalated), Use(StageOutcome::Answered) });
  CHECK(charge == Money{ 240 });
}

TEST(BillingRules, FailedAttemptsAndLostHedgesAreFree)
{
  const std::vector<StageUse> uses{ Use(StageOutcome::Failed),
                                    Use(StageOutcome::Superseded),
                                    Use(StageOutcome::Answered) };
  CHECK(ChargeOfRequest(uses) == Money{ 120 });
  CHECK(TokensOfRequest(uses) == (ChargedTokens{ 100, 10 }));
}

TEST(BillingRules, AStreamCutByItsCallerIsChargedForWhatWasDelivered)
{
  CHECK(ChargeOfRequest({ Use(StageOutcome::CutByCaller, 3) }) == Money{ 106 });
}

TEST(BillingRules, AServiceThatFailedIsFree)
{
  CHECK(ChargeOfCall({ 7 }, 201) == Money{ 7 });
  CHECK(ChargeOfCall({ 7 }, 404) == Money{ 7 });
  CHECK(ChargeOfCall({ 7 }, 503) == Money{ 0 });
}

TEST(BillingRules, TheBillIsComparedWithTheRequestsAnswered)
{
  const AccountTotals totals{ { "jadran", { 2, { 10 } } },
                              { "gebeta", { 1, { 5 } } } };
  CHECK(
    ReconcileAnswered(totals, { { "jadran", 2 }, { "gebeta", 1 } }).empty());
  const auto differences =
    ReconcileAnswered(totals, { { "jadran", 3 }, { "other", 1 } });
  LONGS_EQUAL(3, differences.size());
}
