#include "PoolSimulation.h"
#include "Rows.h"
#include "Table.h"

/// Table rows for latency: slow replicas, stale load reports, prefix caches.
namespace Acaciavale::DecisionMeasure {

namespace {

/// Simulated time at the design size. It is shorter than at the other sizes,
/// because a run takes long there.
constexpr double kDesignSizeDurationSeconds = 50;

PoolScenario ScenarioOf(const DeploymentSize& aSize, Policy aPolicy)
{
  PoolScenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mReplicas = aSize.mReplicas;
  scenario.mVms = aSize.mVms;
  scenario.mDomains = aSize.mDomains;
  scenario.mClasses = { WorkClass{} };
  if (aSize.mReplicas > 100) {
    scenario.mDurationSeconds = kDesignSizeDurationSeconds;
  }
  return scenario;
}

double SlowReplicaP99Seconds(const DeploymentSize& aSize,
                             Policy aPolicy,
                             std::uint32_t aVms)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  scenario.mVms = aVms;
  scenario.mSlowReplicaInterval = 6;
  return Quantile(LatencySecondsOverSeeds(scenario), 0.99);
}

void MeasureSlowReplicaAt(const DeploymentSize& aSize)
{
  const std::string& size = aSize.mName;
  const double oracle = SlowReplicaP99Seconds(aSize, Policy::Oracle, 1);
  const double oneVm = SlowReplicaP99Seconds(aSize, Policy::Ours, 1);
  const double allVms = SlowReplicaP99Seconds(aSize, Policy::Ours, aSize.mVms);
  const double roundRobin =
    SlowReplicaP99Seconds(aSize, Policy::RoundRobin, aSize.mVms);
  PrintFigure("slow", size, "p99 s, oracle", oracle);
  PrintFigure("slow", size, "p99 s, one VM", oneVm);
  PrintFigure("slow", size, "p99 s, all VMs", allVms);
  PrintFigure("slow", size, "p99 s, round robin", roundRobin);
  PrintFigure("slow",
              size,
              "p99 s, random",
              SlowReplicaP99Seconds(aSize, Policy::Random, aSize.mVms));
  PrintFigure("slow",
              size,
              "p99 s, least reported",
              SlowReplicaP99Seconds(aSize, Policy::LeastReported, aSize.mVms));
  PrintFigure("slow",
              size,
              "p99 / round robin, all VMs",
              allVms / roundRobin,
              Bound::AtMost,
              0.33);
  // NOTE: At the design size, the endpoint subset of one VM does not contain
  // the
  //       whole pool.
  if (aSize.mReplicas <= 100) {
    PrintFigure(
      "slow", size, "p99 / oracle, one VM", oneVm / oracle, Bound::AtMost, 1.3);
    PrintFigure("herd",
                size,
                "p99, all VMs / one VM",
                allVms / oneVm,
                Bound::AtMost,
                1.2);
  }
  PrintFigure(
    "slow", size, "p99 / oracle, all VMs", allVms / oracle, Bound::AtMost, 1.3);
}

struct PrefixFigures
{
  double mHitShare = 0;
  double mP99Seconds = 0;
};

PrefixFigures PrefixFiguresOf(const DeploymentSize& aSize, Policy aPolicy)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  scenario.mPrefixes = aSize.mReplicas * scenario.mCacheSlots;
  PrefixFigures figures;
  std::vector<double> latencies;
  double dispatches = 0;
  for (const std::uint64_t seed : kSeeds) {
    scenario.mSeed = seed;
    const PoolResult result = SimulatePool(scenario);
    figures.mHitShare += result.mCacheHits;
    dispatches += result.mDispatches;
    const auto& classLatencies = result.mClasses[0].mLatencySeconds;
    latencies.insert(
      latencies.end(), classLatencies.begin(), classLatencies.end());
  }
  figures.mHitShare /= dispatches;
  figures.mP99Seconds = Quantile(latencies, 0.99);
  return figures;
}

void MeasurePrefixAt(const DeploymentSize& aSize)
{
  const std::string& size = aSize.mName;
  const PrefixFigures affinity = PrefixFiguresOf(aSize, Policy::PureAffinity);
  const PrefixFigures balancing =
    PrefixFiguresOf(aSize, Policy::OursWithoutPrefix);
  const PrefixFigures ours = PrefixFiguresOf(aSize, Policy::Ours);
  PrintFigure("prefix", size, "hit share, pure affinity", affinity.mHitShare);
  PrintFigure("prefix", size, "hit share, pure balancing", balancing.mHitShare);
  PrintFigure("prefix", size, "hit share, ours", ours.mHitShare);
  PrintFigure("prefix", size, "p99 s, pure affinity", affinity.mP99Seconds);
  PrintFigure("prefix", size, "p99 s, pure balancing", balancing.mP99Seconds);
  PrintFigure("prefix", size, "p99 s, ours", ours.mP99Seconds);
  PrintFigure("prefix",
              size,
              "hits / pure affinity",
              ours.mHitShare / affinity.mHitShare,
              Bound::AtLeast,
              0.9);
  PrintFigure("prefix",
              size,
              "p99 / pure balancing",
              ours.mP99Seconds / balancing.mP99Seconds,
              Bound::AtMost,
              1.2);
}

} // namespace

void MeasureSlowReplica()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    MeasureSlowReplicaAt(size);
  }
}

void MeasurePrefix()
{
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas <= 100) {
      MeasurePrefixAt(size);
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
