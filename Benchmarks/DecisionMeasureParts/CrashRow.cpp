#include "CrashSimulation.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>
#include <cstdio>

/// Table row for prompts that crash the engines that answer them.
namespace Acaciavale::DecisionMeasure {

namespace {

/// The operators' bounds: sends after the fifth crash and the time for VMs to
/// learn of it, and sound requests that are kept out.
constexpr double kMaximumLateSends = 3;
constexpr double kMaximumSoundRefusedShare = 0.01;

struct PolicyName
{
  CrashPolicy mPolicy;
  const char* mName;
};

constexpr PolicyName kPolicies[] = {
  { CrashPolicy::RepeatElsewhere, "repeat elsewhere" },
  { CrashPolicy::EachVmAlone, "each VM alone" },
  { CrashPolicy::Ours, "ours" },
  { CrashPolicy::Oracle, "oracle" },
};

CrashResult WorstOverSeeds(CrashScenario aScenario)
{
  CrashResult worst;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const CrashResult one = SimulateCrashes(aScenario);
    worst.mCrashes = std::max(worst.mCrashes, one.mCrashes);
    worst.mLateSends = std::max(worst.mLateSends, one.mLateSends);
    worst.mSoundBroken = std::max(worst.mSoundBroken, one.mSoundBroken);
    worst.mSoundRefusedShare =
      std::max(worst.mSoundRefusedShare, one.mSoundRefusedShare);
    worst.mSecondsUntilLastCrash =
      std::max(worst.mSecondsUntilLastCrash, one.mSecondsUntilLastCrash);
  }
  return worst;
}

void PrintScenario(const std::string& aSize, const CrashScenario& aScenario)
{
  for (const PolicyName& policy : kPolicies) {
    CrashScenario scenario = aScenario;
    scenario.mPolicy = policy.mPolicy;
    const CrashResult result = WorstOverSeeds(scenario);
    const bool isOurs = policy.mPolicy == CrashPolicy::Ours;
    const std::string name = policy.mName;
    PrintFigure("crash", aSize, "engines ended, " + name, result.mCrashes);
    PrintFigure("crash",
                aSize,
                "late sends, " + name,
                result.mLateSends,
                isOurs ? Bound::AtMost : Bound::None,
                kMaximumLateSends);
    PrintFigure(
      "crash", aSize, "sound requests broken, " + name, result.mSoundBroken);
    PrintFigure("crash",
                aSize,
                "share of sound requests refused, " + name,
                result.mSoundRefusedShare,
                isOurs ? Bound::AtMost : Bound::None,
                kMaximumSoundRefusedShare);
  }
}

} // namespace

void MeasureCrash()
{
  CrashScenario small;
  CrashScenario grown;
  grown.mVms = 84;
  grown.mEngines = 90;
  grown.mReaders = 6;
  grown.mRequestsPerSecond = 200;
  grown.mPollSeconds = 0.84;
  grown.mContactSeconds = 4;
  CrashScenario large = grown;
  large.mVms = 295;
  large.mEngines = 240;
  large.mReaders = 7;
  large.mPollSeconds = 1.12;
  large.mContactSeconds = 5;
  struct Size
  {
    const char* mName;
    CrashScenario mScenario;
  };
  for (const Size& size : { Size{ "8 VMs", small },
                            Size{ "84 VMs", grown },
                            Size{ "295 VMs", large } }) {
    for (const double share : { 0.003, 0.03, 0.3 }) {
      for (const double otherShare : { 0.0, 0.15 }) {
        CrashScenario scenario = size.mScenario;
        scenario.mDeadlyShare = share;
        scenario.mOtherCrashShare = otherShare;
        char name[64];
        std::snprintf(name,
                      sizeof(name),
                      "%s, share %.3f%s",
                      size.mName,
                      share,
                      otherShare > 0 ? ", other crashes" : "");
        PrintScenario(name, scenario);
      }
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
