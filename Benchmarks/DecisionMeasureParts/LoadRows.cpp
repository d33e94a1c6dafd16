#include "PoolSimulation.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>

/// Table rows for overload and for fairness between classes and accounts.
namespace Acaciavale::DecisionMeasure {

namespace {

PoolScenario ScenarioOf(const DeploymentSize& aSize, Policy aPolicy)
{
  PoolScenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mReplicas = aSize.mReplicas;
  scenario.mVms = aSize.mVms;
  scenario.mDomains = aSize.mDomains;
  scenario.mUsesAdmission = aPolicy == Policy::Ours;
  scenario.mUsesRetries = aPolicy == Policy::Ours;
  return scenario;
}

void Append(std::vector<double>& aTo, const std::vector<double>& aFrom)
{
  aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
}

/// Ratio of the p99 latencies of the first class with and without a burst of
/// the second class.
double BurstRatio(PoolScenario aScenario)
{
  std::vector<double> burst;
  std::vector<double> quiet;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    Append(burst, SimulatePool(aScenario).mClasses[0].mBurstLatencySeconds);
    PoolScenario quietScenario = aScenario;
    quietScenario.mClasses[1].mBurstFactor = 1;
    Append(quiet, SimulatePool(quietScenario).mClasses[0].mBurstLatencySeconds);
  }
  return Quantile(burst, 0.99) / Quantile(quiet, 0.99);
}

PoolScenario UrgentScenario(const DeploymentSize& aSize, Policy aPolicy)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  WorkClass lookups{ "lookups", Priority::Urgent, 0.1, 0.05 };
  WorkClass drafts{ "drafts", Priority::Batch, 4, 0.5, 3 };
  drafts.mFirstAccount = 1;
  scenario.mClasses = { lookups, drafts };
  return scenario;
}

PoolScenario AccountScenario(const DeploymentSize& aSize, Policy aPolicy)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  WorkClass others{ "others", Priority::Interactive, 1, 0.54 };
  others.mAccountCount = 9;
  WorkClass noisy{ "loud", Priority::Interactive, 1, 0.06, 10 };
  noisy.mFirstAccount = 9;
  scenario.mClasses = { others, noisy };
  // NOTE: The rate limit of each account is 1.5 times its normal load.
  scenario.mAccountRequestsPerSecond =
    0.06 * 1.5 * aSize.mReplicas * scenario.mSlots;
  return scenario;
}

void PrintRatio(const char* aRow,
                const DeploymentSize& aSize,
                PoolScenario (*aScenario)(const DeploymentSize&, Policy),
                double aGoal)
{
  PrintFigure(aRow,
              aSize.mName,
              "p99 in the burst / quiet, ours",
              BurstRatio(aScenario(aSize, Policy::Ours)),
              Bound::AtMost,
              aGoal);
  PrintFigure(aRow,
              aSize.mName,
              "p99 in the burst / quiet, round robin",
              BurstRatio(aScenario(aSize, Policy::RoundRobin)));
}

void MeasureOverloadAt(const DeploymentSize& aSize,
                       Policy aPolicy,
                       const char* aName)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  WorkClass work{ "work", Priority::Interactive, 1, 2 };
  work.mDeadlineSeconds = 4;
  scenario.mClasses = { work };
  double goodput = 0;
  std::vector<double> latencies;
  double amplification = 0;
  for (const std::uint64_t seed : kSeeds) {
    scenario.mSeed = seed;
    const PoolResult result = SimulatePool(scenario);
    const double seconds = scenario.mDurationSeconds - scenario.mWarmUpSeconds;
    const double capacity = aSize.mReplicas * scenario.mSlots * seconds;
    goodput += result.mGoodWorkSeconds / capacity / kSeeds.size();
    Append(latencies, result.mClasses[0].mLatencySeconds);
    amplification +=
      result.mDispatches / std::max(1.0, result.mAdmitted) / kSeeds.size();
  }
  const bool isOurs = aPolicy == Policy::Ours;
  PrintFigure("overload",
              aSize.mName,
              std::string("goodput / capacity, ") + aName,
              goodput,
              isOurs ? Bound::AtLeast : Bound::None,
              0.95);
  PrintFigure("overload",
              aSize.mName,
              std::string("p99 s of the admitted, ") + aName,
              Quantile(latencies, 0.99));
  PrintFigure("overload",
              aSize.mName,
              std::string("dispatches / admitted, ") + aName,
              amplification,
              isOurs ? Bound::AtMost : Bound::None,
              1.1);
}

} // namespace

void MeasureUrgent()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      PrintRatio("urgent", size, UrgentScenario, 1.5);
    }
  }
}

void MeasureAccounts()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      PrintRatio("accounts", size, AccountScenario, 1.2);
    }
  }
}

void MeasureOverload()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      MeasureOverloadAt(size, Policy::Ours, "ours");
      MeasureOverloadAt(size, Policy::RoundRobin, "round robin");
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
