#include <Acaciavale/LibAdmission/Admission.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

Settings OneAccount(double aRate,
                    std::int64_t aBurst,
                    std::int64_t aMaxInFlight)
{
  ClientAccountSettings account;
  account.mRequestsPerSecond = aRate;
  account.mBurst = aBurst;
  account.mMaxInFlight = aMaxInFlight;
  Settings settings;
  settings.mAccounts["a"] = account;
  return settings;
}

AdmissionQuery Query(Priority aPriority, std::int64_t aInFlight)
{
  AdmissionQuery query;
  query.mAccount = "a";
  query.mPriority = aPriority;
  query.mTimeLeft = std::chrono::seconds(10);
  query.mLoad = PoolLoad{ 10, aInFlight, 1.0 };
  return query;
}

} // namespace

TEST_GROUP(Admission){};

TEST(Admission, BatchLeavesSlotsFreeForUrgentRequests)
{
  const Settings settings = OneAccount(100, 100, 100);
  AdmissionControl control;
  const TimePoint now{};
  CHECK(control.Start(settings, Query(Priority::Batch, 9), now).mVerdict ==
        AdmissionVerdict::Overloaded);
  CHECK(control.Start(settings, Query(Priority::Urgent, 30), now).mVerdict ==
        AdmissionVerdict::Admit);
}

TEST(Admission, RefusesRequestsThatCannotMeetTheirDeadline)
{
  const Settings settings = OneAccount(100, 100, 100);
  AdmissionControl control;
  AdmissionQuery query = Query(Priority::Urgent, 0);
  query.mTimeLeft = std::chrono::milliseconds(500);
  CHECK(control.Start(settings, query, TimePoint{}).mVerdict ==
        AdmissionVerdict::DeadlineTooShort);
}

TEST(Admission, AdmitsNoMoreThanTheAccountLimits)
{
  CHECK(rc::check([] {
    const auto rate = *rc::gen::inRange(1, 50);
    const auto burst = *rc::gen::inRange(1, 50);
    const auto maxInFlight = *rc::gen::inRange(1, 50);
    const Settings settings = OneAccount(rate, burst, maxInFlight);
    AdmissionControl control;
    TimePoint now{};
    std::int64_t admitted = 0;
    std::int64_t inFlight = 0;
    const auto steps =
      *rc::gen::container<std::vector<int>>(200, rc::gen::inRange(0, 40));
    for (const int step : steps) {
      now += std::chrono::milliseconds(step);
      if (step % 4 == 0 && inFlight > 0) {
        control.Finish("a");
        inFlight -= 1;
      }
      const bool isAdmitted =
        control.Start(settings, Query(Priority::Urgent, 0), now).mVerdict ==
        AdmissionVerdict::Admit;
      admitted += isAdmitted ? 1 : 0;
      inFlight += isAdmitted ? 1 : 0;
      const double elapsed =
        std::chrono::duration<double>(now.time_since_epoch()).count();
      RC_ASSERT(inFlight <= maxInFlight);
      RC_ASSERT(static_cast<double>(admitted) <= burst + rate * elapsed + 1e-6);
    }
  }));
}

TEST(Admission, AddingSlotsNeverCausesARefusal)
{
  CHECK(rc::check([] {
    const Settings settings = OneAccount(100, 100, 100);
    AdmissionQuery query =
      Query(*rc::gen::element(
              Priority::Urgent, Priority::Interactive, Priority::Batch),
            *rc::gen::inRange(0, 100));
    query.mLoad.mSlots = *rc::gen::inRange(1, 100);
    AdmissionControl fewerSlots;
    AdmissionControl moreSlots;
    const auto before = fewerSlots.Start(settings, query, TimePoint{}).mVerdict;
    query.mLoad.mSlots += *rc::gen::inRange(0, 50);
    const auto after = moreSlots.Start(settings, query, TimePoint{}).mVerdict;
    RC_ASSERT(before != AdmissionVerdict::Admit ||
              after == AdmissionVerdict::Admit);
  }));
}

TEST(Admission, ExtraAttemptsStayWithinTheBudget)
{
  CHECK(rc::check([] {
    AttemptBudget budget;
    const auto percent = *rc::gen::inRange(0, 100);
    std::int64_t requests = 0;
    std::int64_t spent = 0;
    const auto operations =
      *rc::gen::container<std::vector<bool>>(200, rc::gen::arbitrary<bool>());
    for (const bool isAttempt : operations) {
      if (isAttempt) {
        spent += budget.TrySpend() ? 1 : 0;
      } else {
        requests += 1;
        budget.RecordRequest(percent / 100.0);
      }
      RC_ASSERT(spent * 100 <= requests * percent);
    }
  }));
}

TEST(Admission, VmAdmitsUpToItsOwnSlotsDespiteReportedLoad)
{
  const Settings settings = OneAccount(100, 100, 100);
  AdmissionControl control;
  AdmissionQuery query = Query(Priority::Batch, 50);
  query.mLoad.mOwnSlots = 5;
  query.mLoad.mOwnInFlight = 4;
  CHECK(control.Start(settings, query, TimePoint{}).mVerdict ==
        AdmissionVerdict::Admit);
  query.mLoad.mOwnInFlight = 5;
  CHECK(control.Start(settings, query, TimePoint{}).mVerdict ==
        AdmissionVerdict::Overloaded);
}

TEST(Admission, RefusesAllRequestsWithoutALimitShare)
{
  const Settings settings = OneAccount(100, 100, 100);
  AdmissionControl control;
  AdmissionQuery query = Query(Priority::Urgent, 0);
  query.mLimitShare = 0;
  const AdmissionDecision decision =
    control.Start(settings, query, TimePoint{});
  CHECK(decision.mVerdict == AdmissionVerdict::RateLimitExceeded);
  CHECK(decision.mRetryAfter > Duration::zero());
}
