#include "PoolSimulation.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>

/// Table rows for faults: a lost failure domain, a flapping replica, and a
/// replica that answers only errors (black hole).
namespace Acaciavale::DecisionMeasure {

namespace {

PoolScenario ScenarioOf(const DeploymentSize& aSize,
                        Policy aPolicy,
                        Fault aFault)
{
  PoolScenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mReplicas = aSize.mReplicas;
  scenario.mVms = aSize.mVms;
  scenario.mDomains = aSize.mDomains;
  scenario.mUsesAdmission = aPolicy == Policy::Ours;
  scenario.mUsesRetries = aPolicy == Policy::Ours;
  scenario.mFault = aFault;
  scenario.mClasses = { WorkClass{} };
  scenario.mClasses[0].mLoad = 0.6;
  return scenario;
}

struct LossFigures
{
  /// Number of rejected and failed requests over all seeds.
  double mLostRequests = 0;
  /// Time from the loss to the last rejection or failure, in the worst seed.
  double mRecoverySeconds = 0;
};

LossFigures DomainLossOf(const DeploymentSize& aSize,
                         Policy aPolicy,
                         bool aRetries)
{
  LossFigures figures;
  for (const std::uint64_t seed : kSeeds) {
    PoolScenario scenario = ScenarioOf(aSize, aPolicy, Fault::DomainLost);
    scenario.mUsesRetries = aRetries;
    scenario.mSeed = seed;
    const PoolResult result = SimulatePool(scenario);
    figures.mLostRequests += result.mFailed + result.mRejected;
    for (const double time : result.mFailureSecondsAfterFault) {
      figures.mRecoverySeconds = std::max(figures.mRecoverySeconds, time);
    }
  }
  return figures;
}

void MeasureDomainAt(const DeploymentSize& aSize)
{
  const LossFigures ours = DomainLossOf(aSize, Policy::Ours, true);
  const LossFigures roundRobin = DomainLossOf(aSize, Policy::RoundRobin, false);
  const LossFigures roundRobinWithRetries =
    DomainLossOf(aSize, Policy::RoundRobin, true);
  const std::string& size = aSize.mName;
  PrintFigure("domain", size, "lost requests, ours", ours.mLostRequests);
  PrintFigure(
    "domain", size, "lost requests, round robin", roundRobin.mLostRequests);
  PrintFigure("domain",
              size,
              "lost requests, round robin with retries",
              roundRobinWithRetries.mLostRequests);
  PrintFigure("domain",
              size,
              "lost / round robin",
              ours.mLostRequests / std::max(1.0, roundRobin.mLostRequests),
              Bound::AtMost,
              0.2);
  PrintFigure("domain",
              size,
              "recovery s, ours",
              ours.mRecoverySeconds,
              Bound::AtMost,
              3);
  PrintFigure(
    "domain", size, "recovery s, round robin", roundRobin.mRecoverySeconds);
}

double FaultyReplicaShare(const DeploymentSize& aSize,
                          Policy aPolicy,
                          Fault aFault)
{
  double faultyDispatches = 0;
  double dispatches = 0;
  for (const std::uint64_t seed : kSeeds) {
    PoolScenario scenario = ScenarioOf(aSize, aPolicy, aFault);
    scenario.mSeed = seed;
    const PoolResult result = SimulatePool(scenario);
    faultyDispatches += result.mFaultyDispatches;
    dispatches += result.mDispatchesAfterFault;
  }
  return faultyDispatches / dispatches * aSize.mReplicas;
}

void PrintFaultyReplica(const DeploymentSize& aSize,
                        Fault aFault,
                        const std::string& aName)
{
  PrintFigure("faulty",
              aSize.mName,
              aName + ", share / fair share, ours",
              FaultyReplicaShare(aSize, Policy::Ours, aFault),
              Bound::AtMost,
              0.1);
  PrintFigure("faulty",
              aSize.mName,
              aName + ", share / fair share, least reported",
              FaultyReplicaShare(aSize, Policy::LeastReported, aFault));
}

} // namespace

void MeasureDomain()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      MeasureDomainAt(size);
    }
  }
}

void MeasureFaulty()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      PrintFaultyReplica(size, Fault::Flapping, "flapping");
      PrintFaultyReplica(size, Fault::BlackHole, "black hole");
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
