#include "LimitSimulation.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>
#include <cstdio>

/// Table row for endpoints that limit the requests that they take from all VMs.
namespace Acaciavale::DecisionMeasure {

namespace {

struct PolicyName
{
  LimitPolicy mPolicy;
  const char* mName;
};

constexpr PolicyName kPolicies[] = {
  { LimitPolicy::Ignore, "ignored" },
  { LimitPolicy::EachVmAlone, "each VM alone" },
  { LimitPolicy::EqualShares, "equal shares" },
  { LimitPolicy::Ours, "ours" },
  { LimitPolicy::Oracle, "oracle" },
};

struct FleetSize
{
  std::uint32_t mVms;
  std::uint32_t mEndpoints;
  double mRequestsPerSecond;
};

constexpr FleetSize kFleets[] = { { 8, 18, 90 },
                                  { 84, 90, 500 },
                                  { 295, 240, 1475 } };

struct LoadPattern
{
  const char* mName;
  LimitCourse mCourse = LimitCourse::Constant;
  FleetEvent mEvent = FleetEvent::None;
  double mBurst = 1;
};

constexpr LoadPattern kPatterns[] = {
  { "changes each second", LimitCourse::EachSecond },
  { "ends", LimitCourse::Ends },
  { "burst of 4", LimitCourse::Constant, FleetEvent::None, 4 },
  { "rolling restart", LimitCourse::Constant, FleetEvent::RollingRestart },
  { "a third lost", LimitCourse::Constant, FleetEvent::ThirdLost },
  { "a third cut off", LimitCourse::Constant, FleetEvent::ThirdCutOff },
  { "a tenth frozen", LimitCourse::Constant, FleetEvent::TenthFrozen },
};

void Print(const std::string& aSize, const LimitScenario& aScenario)
{
  for (const PolicyName& policy : kPolicies) {
    LimitScenario scenario = aScenario;
    scenario.mPolicy = policy.mPolicy;
    LimitResult worst;
    double used = 0;
    double refused = 0;
    for (const std::uint64_t seed : kSeeds) {
      scenario.mSeed = seed;
      const LimitResult one = SimulateLimits(scenario);
      worst.mMostOfAllowed = std::max(worst.mMostOfAllowed, one.mMostOfAllowed);
      worst.mSecondsUntilKnown =
        std::max(worst.mSecondsUntilKnown, one.mSecondsUntilKnown);
      used += one.mUsedShare / static_cast<double>(kSeeds.size());
      refused += one.mRefusedShare / static_cast<double>(kSeeds.size());
    }
    const std::string name = policy.mName;
    const bool isOurs = policy.mPolicy == LimitPolicy::Ours;
    PrintFigure("limit",
                aSize,
                "most in 4 s / allowed, " + name,
                worst.mMostOfAllowed,
                isOurs ? Bound::AtMost : Bound::None,
                1);
    PrintFigure("limit", aSize, "share of the limits used, " + name, used);
    if (scenario.mLimited == scenario.mEndpoints) {
      PrintFigure("limit", aSize, "share refused, " + name, refused);
    }
    if (isOurs) {
      PrintFigure("limit",
                  aSize,
                  "seconds until all VMs know, " + name,
                  worst.mSecondsUntilKnown);
    }
  }
}

LimitScenario ScenarioFor(const FleetSize& aFleet)
{
  LimitScenario scenario;
  scenario.mVms = aFleet.mVms;
  scenario.mEndpoints = aFleet.mEndpoints;
  scenario.mLimited = aFleet.mEndpoints / 6;
  scenario.mRequestsPerSecond = aFleet.mRequestsPerSecond;
  return scenario;
}

} // namespace

void MeasureLimit()
{
  for (const FleetSize& fleet : kFleets) {
    const std::string vms = std::to_string(fleet.mVms) + " VMs, ";
    LimitScenario scenario = ScenarioFor(fleet);
    for (const double limit : { 0.0, 0.5, 1.2, 6.0, 20.0 }) {
      scenario.mLimit = limit;
      char text[32];
      std::snprintf(text, sizeof(text), "%.1f a second", limit);
      Print(vms + text, scenario);
    }
    for (const LoadPattern& pattern : kPatterns) {
      scenario = ScenarioFor(fleet);
      scenario.mCourse = pattern.mCourse;
      scenario.mEvent = pattern.mEvent;
      scenario.mBurst = pattern.mBurst;
      for (const double limit : { 1.2, 20.0 }) {
        scenario.mLimit = limit;
        char text[32];
        std::snprintf(text, sizeof(text), "%.1f, ", limit);
        Print(vms + text + pattern.mName, scenario);
      }
    }
    scenario = ScenarioFor(fleet);
    scenario.mEndpoints = 4;
    scenario.mLimited = 4;
    scenario.mLimit = 5;
    scenario.mRequestsPerSecond = 24;
    Print(vms + "all 4 endpoints 5 a second", scenario);
  }
}

} // namespace Acaciavale::DecisionMeasure
