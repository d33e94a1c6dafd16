#include "PoolRun.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>

/// Rows on faults: a lost failure domain, a flapping replica, a black hole.
namespace Acaciavale::DecisionMeasure {

namespace {

PoolScenario ScenarioOf(const Size& aSize, Policy aPolicy, Fault aFault)
{
  PoolScenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mReplicas = aSize.mReplicas;
  scenario.mVms = aSize.mVms;
  scenario.mDomains = aSize.mDomains;
  scenario.mAdmission = aPolicy == Policy::Ours;
  scenario.mRetries = aPolicy == Policy::Ours;
  scenario.mFault = aFault;
  scenario.mClasses = { WorkClass{} };
  scenario.mClasses[0].mLoad = 0.6;
  return scenario;
}

struct LossFigures
{
  double mLost = 0;            ///< Refused or failed, all seeds.
  double mRecoverySeconds = 0; ///< Last failure after the loss, worst seed.
};

LossFigures LossOf(const Size& aSize, Policy aPolicy, bool aRetries)
{
  LossFigures figures;
  for (const std::uint64_t seed : kSeeds) {
    PoolScenario scenario = ScenarioOf(aSize, aPolicy, Fault::DomainLost);
    scenario.mRetries = aRetries;
    scenario.mSeed = seed;
    const PoolResult result = RunPool(scenario);
    figures.mLost += result.mFailed + result.mRefused;
    for (const double time : result.mFailureTimes) {
      figures.mRecoverySeconds = std::max(figures.mRecoverySeconds, time);
    }
  }
  return figures;
}

void MeasureDomainAt(const Size& aSize)
{
  const LossFigures ours = LossOf(aSize, Policy::Ours, true);
  const LossFigures plain = LossOf(aSize, Policy::RoundRobin, false);
  const LossFigures retrying = LossOf(aSize, Policy::RoundRobin, true);
  const std::string& size = aSize.mName;
  PrintFigure("domain", size, "lost requests, ours", ours.mLost);
  PrintFigure("domain", size, "lost requests, round robin", plain.mLost);
  PrintFigure(
    "domain", size, "lost requests, round robin with retries", retrying.mLost);
  PrintFigure("domain",
              size,
              "lost / round robin",
              ours.mLost / std::max(1.0, plain.mLost),
              Bound::AtMost,
              0.2);
  PrintFigure("domain",
              size,
              "recovery s, ours",
              ours.mRecoverySeconds,
              Bound::AtMost,
              3);
  PrintFigure(
    "domain", size, "recovery s, round robin", plain.mRecoverySeconds);
}

double FaultyShare(const Size& aSize, Policy aPolicy, Fault aFault)
{
  double toFaulty = 0;
  double all = 0;
  for (const std::uint64_t seed : kSeeds) {
    PoolScenario scenario = ScenarioOf(aSize, aPolicy, aFault);
    scenario.mSeed = seed;
    const PoolResult result = RunPool(scenario);
    toFaulty += result.mToFaulty;
    all += result.mAfterFault;
  }
  return toFaulty / all * aSize.mReplicas;
}

void PrintFaulty(const Size& aSize, Fault aFault, const std::string& aName)
{
  PrintFigure("faulty",
              aSize.mName,
              aName + ", share / fair share, ours",
              FaultyShare(aSize, Policy::Ours, aFault),
              Bound::AtMost,
              0.1);
  PrintFigure("faulty",
              aSize.mName,
              aName + ", share / fair share, least reported",
              FaultyShare(aSize, Policy::LeastReported, aFault));
}

} // namespace

void MeasureDomain()
{
  for (const Size& size : Sizes()) {
    if (size.mReplicas <= 100) {
      MeasureDomainAt(size);
    }
  }
}

void MeasureFaulty()
{
  for (const Size& size : Sizes()) {
    if (size.mReplicas <= 100) {
      PrintFaulty(size, Fault::Flapping, "flapping");
      PrintFaulty(size, Fault::BlackHole, "black hole");
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
