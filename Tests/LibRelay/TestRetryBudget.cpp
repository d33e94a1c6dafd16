#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/RetryBudget.h>

#include <CppUTest/TestHarness.h>
#include <deque>
#include <vector>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(RetryBudget){};

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

} // namespace

/// Guards against exceeding the budget of the fleet when all attempts fail and
/// are repeated at once. The VMs have unequal shares of the traffic, and their
/// windows are not aligned with the window of the check.
TEST(RetryBudget, FleetStaysWithinTheBudgetInAnyWindow)
{
  const RetryBudgetOptions options{ 0.9, 56, std::chrono::seconds(10) };
  constexpr int kVms = 8;
  std::vector<RetryBudget> budgets(kVms);
  std::deque<double> requests;
  std::deque<double> attempts;
  Random random(11);
  for (double now = 0; now < 60; now += 0.01) {
    const auto vm = static_cast<std::size_t>(random.Unit() * random.Unit() *
                                             static_cast<double>(kVms));
    budgets[vm].RecordRequest(options, At(now));
    requests.push_back(now);
    for (int attempt = 0; attempt < 3; ++attempt) {
      if (budgets[vm].TrySpend(options, kVms, At(now))) {
        attempts.push_back(now);
      }
    }
    while (!requests.empty() && requests.front() < now - 10) {
      requests.pop_front();
    }
    while (!attempts.empty() && attempts.front() < now - 10) {
      attempts.pop_front();
    }
    CHECK(static_cast<double>(attempts.size()) <=
          0.9 * static_cast<double>(requests.size()) + 56);
  }
}

TEST(RetryBudget, IdleVmMaySpendItsShareOfTheSlack)
{
  const RetryBudgetOptions options{ 0, 80, std::chrono::seconds(10) };
  RetryBudget budget;
  int spent = 0;
  while (budget.TrySpend(options, 8, At(0))) {
    ++spent;
  }
  CHECK(spent >= 5 && spent <= 10);
  CHECK_FALSE(budget.TrySpend(options, 8, At(5)));
  CHECK(budget.TrySpend(options, 8, At(10.6)));
}
