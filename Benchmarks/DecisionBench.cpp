#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>
#include <Acaciavale/LibRouting/VersionChoice.h>

#include <benchmark/benchmark.h>

/// Measures the time of one endpoint decision and of one version decision.

namespace {

using namespace Acaciavale;

std::vector<EndpointView> MakePool(std::size_t aCount)
{
  Random random(1);
  std::vector<EndpointView> pool(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    EndpointView& view = pool[index];
    view.mIndex = static_cast<std::uint32_t>(index);
    view.mKey = RendezvousRank(1, index);
    view.mFailureDomain = static_cast<std::uint32_t>(index % 9);
    view.mOwnInFlight = static_cast<std::int32_t>(random.Below(4));
    view.mReportedInFlight = static_cast<std::int32_t>(random.Below(16));
    view.mReportAge = std::chrono::seconds(2);
    view.mSecondsPerRequest = 1 + random.Unit();
    view.mSlots = 8;
  }
  return pool;
}

void ChooseEndpointOf(benchmark::State& aState)
{
  const auto pool = MakePool(static_cast<std::size_t>(aState.range(0)));
  EndpointQuery query;
  query.mLiveVms = 330;
  query.mPrefillSeconds = 0.5;
  query.mPrefixHash = static_cast<std::uint64_t>(aState.range(1));
  Random random(2);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ChooseEndpoint(pool, query, random));
  }
}

void ChooseVersionOf(benchmark::State& aState)
{
  Settings settings;
  EvidenceView evidence;
  std::vector<CascadeStage> loaded;
  const auto versions = aState.range(0);
  for (const std::string model : { "small", "large" }) {
    ModelSettings& entry = settings.mModels[model];
    for (std::int64_t index = 0; index < versions; ++index) {
      VersionSettings version;
      version.mName = std::to_string(index);
      version.mPriorQuality = 0.9;
      entry.mVersions.push_back(version);
      loaded.push_back({ model, version.mName });
      evidence[{ model, version.mName, "check" }] = { 200, 190 };
    }
  }
  settings.mCascades["both"] = { "both",
                                 { { "small", "" }, { "large", "" } },
                                 0.8 };
  settings.mAccounts["a"].mModels = { "both" };
  RequestProfile profile;
  profile.mAccount = "a";
  profile.mTarget = "both";
  profile.mKind = "check";
  const std::vector<RolloutView> rollouts;
  const VersionView view{ settings, evidence, rollouts, loaded };
  Random random(3);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(ChooseVersion(profile, view, random));
  }
}

BENCHMARK(ChooseEndpointOf)->ArgsProduct({ { 12, 48, 60, 600 }, { 0, 7 } });
BENCHMARK(ChooseVersionOf)->Arg(1)->Arg(3);

} // namespace

BENCHMARK_MAIN();
