#include "PoolRun.h"
#include "Rows.h"
#include "Table.h"

/// Rows on latency: slow replicas, stale reports, prefix caches.
namespace Acaciavale::DecisionMeasure {

namespace {

/// Seconds of virtual time at the size designed for, where one run costs much.
constexpr double kDesignSeconds = 50;

PoolScenario ScenarioOf(const Size& aSize, Policy aPolicy)
{
  PoolScenario scenario;
  scenario.mPolicy = aPolicy;
  scenario.mReplicas = aSize.mReplicas;
  scenario.mVms = aSize.mVms;
  scenario.mDomains = aSize.mDomains;
  scenario.mClasses = { WorkClass{} };
  if (aSize.mReplicas > 100) {
    scenario.mSeconds = kDesignSeconds;
  }
  return scenario;
}

double SlowP99(const Size& aSize, Policy aPolicy, std::uint32_t aVms)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  scenario.mVms = aVms;
  scenario.mSlowEvery = 6;
  return Quantile(LatenciesOverSeeds(scenario), 0.99);
}

void MeasureSlowAt(const Size& aSize)
{
  const std::string& size = aSize.mName;
  const double oracle = SlowP99(aSize, Policy::Oracle, 1);
  const double one = SlowP99(aSize, Policy::Ours, 1);
  const double many = SlowP99(aSize, Policy::Ours, aSize.mVms);
  const double roundRobin = SlowP99(aSize, Policy::RoundRobin, aSize.mVms);
  PrintFigure("slow", size, "p99 s, oracle", oracle);
  PrintFigure("slow", size, "p99 s, one VM", one);
  PrintFigure("slow", size, "p99 s, all VMs", many);
  PrintFigure("slow", size, "p99 s, round robin", roundRobin);
  PrintFigure(
    "slow", size, "p99 s, random", SlowP99(aSize, Policy::Random, aSize.mVms));
  PrintFigure("slow",
              size,
              "p99 s, least reported",
              SlowP99(aSize, Policy::LeastReported, aSize.mVms));
  PrintFigure("slow",
              size,
              "p99 / round robin, all VMs",
              many / roundRobin,
              Bound::AtMost,
              0.33);
  // NOTE: One VM never sees the whole pool at the size designed for.
  if (aSize.mReplicas <= 100) {
    PrintFigure(
      "slow", size, "p99 / oracle, one VM", one / oracle, Bound::AtMost, 1.3);
    PrintFigure(
      "herd", size, "p99, all VMs / one VM", many / one, Bound::AtMost, 1.2);
  }
  PrintFigure(
    "slow", size, "p99 / oracle, all VMs", many / oracle, Bound::AtMost, 1.3);
}

struct PrefixFigures
{
  double mHits = 0;
  double mP99 = 0;
};

PrefixFigures PrefixOf(const Size& aSize, Policy aPolicy)
{
  PoolScenario scenario = ScenarioOf(aSize, aPolicy);
  scenario.mPrefixes = aSize.mReplicas * scenario.mCacheSlots;
  PrefixFigures figures;
  std::vector<double> latencies;
  double dispatches = 0;
  for (const std::uint64_t seed : kSeeds) {
    scenario.mSeed = seed;
    const PoolResult result = RunPool(scenario);
    figures.mHits += result.mHits;
    dispatches += result.mDispatches;
    const auto& some = result.mClasses[0].mLatencies;
    latencies.insert(latencies.end(), some.begin(), some.end());
  }
  figures.mHits /= dispatches;
  figures.mP99 = Quantile(latencies, 0.99);
  return figures;
}

void MeasurePrefixAt(const Size& aSize)
{
  const std::string& size = aSize.mName;
  const PrefixFigures affinity = PrefixOf(aSize, Policy::PureAffinity);
  const PrefixFigures balance = PrefixOf(aSize, Policy::OursWithoutPrefix);
  const PrefixFigures ours = PrefixOf(aSize, Policy::Ours);
  PrintFigure("prefix", size, "hit share, pure affinity", affinity.mHits);
  PrintFigure("prefix", size, "hit share, pure balancing", balance.mHits);
  PrintFigure("prefix", size, "hit share, ours", ours.mHits);
  PrintFigure("prefix", size, "p99 s, pure affinity", affinity.mP99);
  PrintFigure("prefix", size, "p99 s, pure balancing", balance.mP99);
  PrintFigure("prefix", size, "p99 s, ours", ours.mP99);
  PrintFigure("prefix",
              size,
              "hits / pure affinity",
              ours.mHits / affinity.mHits,
              Bound::AtLeast,
              0.9);
  PrintFigure("prefix",
              size,
              "p99 / pure balancing",
              ours.mP99 / balance.mP99,
              Bound::AtMost,
              1.2);
}

} // namespace

void MeasureSlowReplica()
{
  for (const Size& size : Sizes()) {
    MeasureSlowAt(size);
  }
}

void MeasurePrefix()
{
  for (const Size& size : Sizes()) {
    if (size.mReplicas <= 100) {
      MeasurePrefixAt(size);
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
