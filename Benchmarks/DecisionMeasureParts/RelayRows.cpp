#include "EngineRun.h"
#include "LineRun.h"
#include "Rows.h"
#include "Table.h"

#include <algorithm>

/// Rows on the relay's decisions at worst load: waiting, placing, cascades.
namespace Acaciavale::DecisionMeasure {

namespace {

/// The size designed for asks for 95 in 100 first tokens within this time.
constexpr double kFirstTokenSeconds = 1.1;

/// The fleet of the run, by the bench's smallest and a grown deployment.
struct Fleet
{
  const char* mName;
  std::uint32_t mVms;
  std::uint32_t mEngines;
};

constexpr Fleet kFleets[] = { { "8 VMs", 8, 16 }, { "84 VMs", 84, 90 } };

EngineResult OverSeeds(EngineScenario aScenario)
{
  EngineResult all;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const EngineResult one = RunEngines(aScenario);
    const auto append = [](auto& aTo, const auto& aFrom) {
      aTo.insert(aTo.end(), aFrom.begin(), aFrom.end());
    };
    append(all.mShortFirsts, one.mShortFirsts);
    append(all.mLongFirsts, one.mLongFirsts);
    all.mNetValue += one.mNetValue / static_cast<double>(kSeeds.size());
  }
  return all;
}

struct PlacingName
{
  Placing mPlacing;
  const char* mName;
};

constexpr PlacingName kPlacings[] = {
  { Placing::Ours, "ours" },
  { Placing::RoundRobin, "round robin" },
  { Placing::LeastReported, "least reported" },
  { Placing::Oracle, "oracle" },
};

EngineScenario ScenarioOf(const Fleet& aFleet, Placing aPlacing)
{
  EngineScenario scenario;
  scenario.mPlacing = aPlacing;
  scenario.mVms = aFleet.mVms;
  scenario.mEngines = aFleet.mEngines;
  return scenario;
}

void PrintFirsts(const char* aRow,
                 const Fleet& aFleet,
                 bool aHalfIsSlow,
                 double aLongShare)
{
  for (const PlacingName& placing : kPlacings) {
    EngineScenario scenario = ScenarioOf(aFleet, placing.mPlacing);
    scenario.mHalfIsSlow = aHalfIsSlow;
    scenario.mLongShare = aLongShare;
    PrintFigure(aRow,
                aFleet.mName,
                std::string("p95 s to first, short prompts, ") + placing.mName,
                Quantile(OverSeeds(scenario).mShortFirsts, 0.95),
                placing.mPlacing == Placing::Ours ? Bound::AtMost : Bound::None,
                kFirstTokenSeconds);
  }
}

LineResult LineOverSeeds(LineScenario aScenario)
{
  LineResult mean;
  const auto seeds = static_cast<double>(kSeeds.size());
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const LineResult one = RunLine(aScenario);
    mean.mGoodput += one.mGoodput / seeds;
    mean.mServedOthers += one.mServedOthers / seeds;
    mean.mServedLoud += one.mServedLoud / seeds;
    mean.mRefusedAgain += one.mRefusedAgain / seeds;
  }
  return mean;
}

struct QueueingName
{
  Queueing mQueueing;
  const char* mName;
};

constexpr QueueingName kQueueings[] = {
  { Queueing::Ours, "ours" },
  { Queueing::Fifo, "first come" },
  { Queueing::Deadline, "oracle" },
};

} // namespace

void MeasureLongPrompts()
{
  for (const Fleet& fleet : kFleets) {
    PrintFirsts("long", fleet, false, 0.1);
  }
}

void MeasureHalfSlow()
{
  for (const Fleet& fleet : kFleets) {
    PrintFirsts("half slow", fleet, true, 0);
  }
}

void MeasureCascade()
{
  struct Choice
  {
    Models mModels;
    const char* mName;
  };
  constexpr Choice kChoices[] = { { Models::Smallest, "the smallest model" },
                                  { Models::Largest, "the largest model" },
                                  { Models::Oracle, "oracle" } };
  for (const Fleet& fleet : kFleets) {
    for (const double load : { 0.4, 1.2 }) {
      EngineScenario scenario = ScenarioOf(fleet, Placing::Ours);
      scenario.mLoad = load;
      scenario.mModels = Models::Ours;
      const std::string row = load < 1 ? "cascade" : "cascade full";
      const double ours = OverSeeds(scenario).mNetValue;
      double best = 0;
      PrintFigure(row, fleet.mName, "net value of a request, ours", ours);
      for (const Choice& choice : kChoices) {
        scenario.mModels = choice.mModels;
        const double value = OverSeeds(scenario).mNetValue;
        PrintFigure(row,
                    fleet.mName,
                    std::string("net value of a request, ") + choice.mName,
                    value);
        best = choice.mModels == Models::Oracle ? best : std::max(best, value);
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
  for (const QueueingName& queueing : kQueueings) {
    LineScenario scenario;
    scenario.mQueueing = queueing.mQueueing;
    scenario.mBurst = 3;
    const LineResult result = LineOverSeeds(scenario);
    const bool isOurs = queueing.mQueueing == Queueing::Ours;
    PrintFigure("returns",
                "20 places",
                std::string("goodput / capacity in the burst, ") +
                  queueing.mName,
                result.mGoodput,
                isOurs ? Bound::AtLeast : Bound::None,
                0.95);
    PrintFigure("returns",
                "20 places",
                std::string("refused again of those who return, ") +
                  queueing.mName,
                result.mRefusedAgain);
  }
}

void MeasureTenant()
{
  for (const QueueingName& queueing : kQueueings) {
    LineScenario scenario;
    scenario.mQueueing = queueing.mQueueing;
    scenario.mLoad = 0.6;
    scenario.mLoudness = 10;
    const LineResult result = LineOverSeeds(scenario);
    const bool isOurs = queueing.mQueueing == Queueing::Ours;
    PrintFigure("tenant",
                "20 places",
                std::string("others served in time, ") + queueing.mName,
                result.mServedOthers,
                isOurs ? Bound::AtLeast : Bound::None,
                0.95);
    PrintFigure("tenant",
                "20 places",
                std::string("the loud one served in time, ") + queueing.mName,
                result.mServedLoud);
  }
}

} // namespace Acaciavale::DecisionMeasure
