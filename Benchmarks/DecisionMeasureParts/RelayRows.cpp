#include "EngineSimulation.h"
#include "QueueSimulation.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>

/// Table rows for the relay's decisions at the highest load: endpoint
/// selection, cascades and queueing.
namespace Acaciavale::DecisionMeasure {

namespace {

/// Goal for the p95 time to the first token at the design size.
constexpr double kFirstTokenGoalSeconds = 1.1;

/// Simulated fleet size: the smallest deployment of the benchmark, and one that
/// has grown.
struct Fleet
{
  const char* mName;
  std::uint32_t mVms;
  std::uint32_t mEngines;
};

constexpr Fleet kFleets[] = { { "8 VMs", 8, 16 }, { "84 VMs", 84, 90 } };

EngineResult EnginesOverSeeds(EngineScenario aScenario)
{
  EngineResult all;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const EngineResult one = SimulateEngines(aScenario);
    const auto append = [](auto& aTo, const auto& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    append(all.mShortPromptFirstEventSeconds,
           one.mShortPromptFirstEventSeconds);
    append(all.mLongPromptFirstEventSeconds, one.mLongPromptFirstEventSeconds);
    all.mNetValue += one.mNetValue / static_cast<double>(kSeeds.size());
  }
  return all;
}

struct SelectionPolicyName
{
  SelectionPolicy mSelectionPolicy;
  const char* mName;
};

constexpr SelectionPolicyName kSelectionPolicies[] = {
  { SelectionPolicy::Ours, "ours" },
  { SelectionPolicy::RoundRobin, "round robin" },
  { SelectionPolicy::LeastReported, "least reported" },
  { SelectionPolicy::Oracle, "oracle" },
};

EngineScenario ScenarioOf(const Fleet& aFleet, SelectionPolicy aPolicy)
{
  EngineScenario scenario;
  scenario.mSelectionPolicy = aPolicy;
  scenario.mVms = aFleet.mVms;
  scenario.mEngines = aFleet.mEngines;
  return scenario;
}

void PrintFirstEventSeconds(const char* aRow,
                            const Fleet& aFleet,
                            bool aHalfAreSlow,
                            double aLongPromptShare)
{
  for (const SelectionPolicyName& policy : kSelectionPolicies) {
    EngineScenario scenario = ScenarioOf(aFleet, policy.mSelectionPolicy);
    scenario.mHalfAreSlow = aHalfAreSlow;
    scenario.mLongPromptShare = aLongPromptShare;
    PrintFigure(
      aRow,
      aFleet.mName,
      std::string("p95 s to first, short prompts, ") + policy.mName,
      Quantile(EnginesOverSeeds(scenario).mShortPromptFirstEventSeconds, 0.95),
      policy.mSelectionPolicy == SelectionPolicy::Ours ? Bound::AtMost
                                                       : Bound::None,
      kFirstTokenGoalSeconds);
  }
}

QueueResult QueueOverSeeds(QueueScenario aScenario)
{
  QueueResult mean;
  const auto seeds = static_cast<double>(kSeeds.size());
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const QueueResult one = SimulateQueue(aScenario);
    mean.mGoodput += one.mGoodput / seeds;
    mean.mOthersServedShare += one.mOthersServedShare / seeds;
    mean.mNoisyServedShare += one.mNoisyServedShare / seeds;
    mean.mRejectedRetryShare += one.mRejectedRetryShare / seeds;
  }
  return mean;
}

struct QueuePolicyName
{
  QueuePolicy mQueuePolicy;
  const char* mName;
};

constexpr QueuePolicyName kQueuePolicies[] = {
  { QueuePolicy::Ours, "ours" },
  { QueuePolicy::Fifo, "first come" },
  { QueuePolicy::Deadline, "oracle" },
};

} // namespace

void MeasureLongPrompts()
{
  for (const Fleet& fleet : kFleets) {
    PrintFirstEventSeconds("long", fleet, false, 0.1);
  }
}

void MeasureHalfSlow()
{
  for (const Fleet& fleet : kFleets) {
    PrintFirstEventSeconds("half slow", fleet, true, 0);
  }
}

void MeasureCascade()
{
  struct ModelPolicyName
  {
    ModelPolicy mModelPolicy;
    const char* mName;
  };
  constexpr ModelPolicyName kModelPolicies[] = {
    { ModelPolicy::Smallest, "the smallest model" },
    { ModelPolicy::Largest, "the largest model" },
    { ModelPolicy::Oracle, "oracle" }
  };
  for (const Fleet& fleet : kFleets) {
    for (const double load : { 0.4, 1.2 }) {
      EngineScenario scenario = ScenarioOf(fleet, SelectionPolicy::Ours);
      scenario.mLoad = load;
      scenario.mModelPolicy = ModelPolicy::Ours;
      const std::string row = load < 1 ? "cascade" : "cascade full";
      const double ours = EnginesOverSeeds(scenario).mNetValue;
      double best = 0;
      PrintFigure(row, fleet.mName, "net value of a request, ours", ours);
      for (const ModelPolicyName& policy : kModelPolicies) {
        scenario.mModelPolicy = policy.mModelPolicy;
        const double value = EnginesOverSeeds(scenario).mNetValue;
        PrintFigure(row,
                    fleet.mName,
                    std::string("net value of a request, ") + policy.mName,
                    value);
        best = policy.mModelPolicy == ModelPolicy::Oracle
                 ? best
                 : std::max(best, value);
      }
      PrintFigure(row,
                  fleet.mName,
                  "net value / the better of one model for all",
                  ours / best,
                  Bound::AtLeast,
                  1);
    }
  }
}

void MeasureReturns()
{
  for (const QueuePolicyName& policy : kQueuePolicies) {
    QueueScenario scenario;
    scenario.mQueuePolicy = policy.mQueuePolicy;
    scenario.mBurstFactor = 3;
    const QueueResult result = QueueOverSeeds(scenario);
    const bool isOurs = policy.mQueuePolicy == QueuePolicy::Ours;
    PrintFigure("returns",
                "20 places",
                std::string("goodput / capacity in the burst, ") + policy.mName,
                result.mGoodput,
                isOurs ? Bound::AtLeast : Bound::None,
                0.95);
    PrintFigure("returns",
                "20 places",
                std::string("refused again of those who return, ") +
                  policy.mName,
                result.mRejectedRetryShare);
  }
}

void MeasureTenant()
{
  for (const QueuePolicyName& policy : kQueuePolicies) {
    QueueScenario scenario;
    scenario.mQueuePolicy = policy.mQueuePolicy;
    scenario.mLoad = 0.6;
    scenario.mNoisyAccountFactor = 10;
    const QueueResult result = QueueOverSeeds(scenario);
    const bool isOurs = policy.mQueuePolicy == QueuePolicy::Ours;
    PrintFigure("tenant",
                "20 places",
                std::string("others served in time, ") + policy.mName,
                result.mOthersServedShare,
                isOurs ? Bound::AtLeast : Bound::None,
                0.95);
    PrintFigure("tenant",
                "20 places",
                std::string("the loud one served in time, ") + policy.mName,
                result.mNoisyServedShare);
  }
}

} // namespace Acaciavale::DecisionMeasure
