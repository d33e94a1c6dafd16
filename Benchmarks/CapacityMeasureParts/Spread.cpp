#include "Parts.h"

#include <LibMembership/SimulatedFleet.h>

#include <algorithm>
#include <cstdio>

namespace Acaciavale::CapacityMeasure {

namespace {

constexpr std::size_t kSizes[] = { 8, 40, 120, 330 };
constexpr std::uint64_t kSeeds = 10;
constexpr int kMaxRounds = 60;
constexpr int kSilenceRounds = 90;
constexpr int kWarmUpRounds = 40;

double Seconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

/// Sets the settings generation of each VM to the highest one in its member
/// table. Returns the number of VMs that have reached aGeneration.
std::size_t AdoptGenerations(SimulatedFleet& aFleet, std::int64_t aGeneration)
{
  std::size_t awareVms = 0;
  for (std::size_t index = 0; index < aFleet.mTables.size(); ++index) {
    VmState& state = aFleet.mStates[index];
    for (const auto& [id, record] : aFleet.mTables[index].mRecords) {
      state.mSettingsGeneration =
        std::max(state.mSettingsGeneration, record.mState.mSettingsGeneration);
    }
    awareVms += state.mSettingsGeneration >= aGeneration ? 1 : 0;
  }
  return awareVms;
}

std::size_t CountAwareOfDraining(const SimulatedFleet& aFleet, ShortId aId)
{
  std::size_t awareVms = 0;
  for (const MemberTable& table : aFleet.mTables) {
    awareVms += table.mRecords.at(aId).mState.mDraining ? 1 : 0;
  }
  return awareVms;
}

void MeasureSize(std::size_t aSize)
{
  double settingsMax = 0;
  double drainingMax = 0;
  double settingsSum = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    SimulatedFleet fleet(aSize);
    fleet.mRandom = Random(seed);
    for (int round = 0; round < 5; ++round) {
      fleet.RunRound();
    }
    const TimePoint start = fleet.mNow;
    fleet.mStates[0].mSettingsGeneration = 1;
    fleet.mStates[1].mDraining = true;
    double settings = -1;
    double draining = -1;
    for (int round = 0; round < kMaxRounds; ++round) {
      fleet.RunRound();
      const double elapsed = Seconds(fleet.mNow - start);
      if (settings < 0 && AdoptGenerations(fleet, 1) == aSize) {
        settings = elapsed;
      }
      if (draining < 0 &&
          CountAwareOfDraining(fleet, fleet.mTables[1].mSelfId) == aSize) {
        draining = elapsed;
      }
      if (settings >= 0 && draining >= 0) {
        break;
      }
    }
    settingsSum += settings;
    settingsMax = std::max(settingsMax, settings);
    drainingMax = std::max(drainingMax, draining);
  }
  std::printf("%5zu %14.2f %14.2f %14.2f\n",
              aSize,
              settingsSum / kSeeds,
              settingsMax,
              drainingMax);
}

void MeasureSilenceOf(std::size_t aSize)
{
  SimulatedFleet fleet(aSize);
  std::vector<double> silences;
  std::size_t deaths = 0;
  for (int round = 0; round < kSilenceRounds; ++round) {
    deaths += fleet.RunRound().size();
    if (round < kWarmUpRounds) {
      continue;
    }
    for (const MemberTable& table : fleet.mTables) {
      for (const auto& [id, record] : table.mRecords) {
        silences.push_back(Seconds(fleet.mNow - record.mLastHeartbeatAt));
      }
    }
  }
  std::sort(silences.begin(), silences.end());
  const FailureTimes times = ScaledFailureTimes(fleet.mOptions, aSize);
  std::printf("%5zu %8.2f %8.2f %8.2f %8.2f %8.1f %8.1f %8zu\n",
              aSize,
              silences[silences.size() / 2],
              silences[silences.size() * 99 / 100],
              silences[silences.size() * 999 / 1000],
              silences.back(),
              Seconds(times.mSuspectAfter),
              Seconds(times.mDeadAfter),
              deaths);
}

} // namespace

void MeasureSpread()
{
  std::printf("\nspread in simulated tables, seeds 1 to %d, seconds\n",
              static_cast<int>(kSeeds));
  std::printf("%5s %14s %14s %14s\n",
              "VMs",
              "settings_mean",
              "settings_most",
              "draining_most");
  for (const std::size_t size : kSizes) {
    MeasureSize(size);
  }
}

void MeasureSilence()
{
  std::printf("\nsilence of live VMs in simulated tables, seed 1, seconds\n");
  std::printf("%5s %8s %8s %8s %8s %8s %8s %8s\n",
              "VMs",
              "p50",
              "p99",
              "p99.9",
              "most",
              "suspect",
              "dead",
              "deaths");
  for (const std::size_t size : kSizes) {
    MeasureSilenceOf(size);
  }
}

} // namespace Acaciavale::CapacityMeasure
