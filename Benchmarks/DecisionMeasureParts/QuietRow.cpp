#include "QuietSimulation.h"
#include "Rows.h"
#include "Table.h"

/// Table row for engines that turn requests away and want quiet.
namespace Acaciavale::DecisionMeasure {

namespace {

struct PolicyName
{
  QuietPolicy mPolicy;
  const char* mName;
};

constexpr PolicyName kPolicies[] = {
  { QuietPolicy::Ignore, "ignored" },
  { QuietPolicy::Ours, "ours" },
  { QuietPolicy::Oracle, "oracle" },
};

} // namespace

void MeasureQuiet()
{
  for (const bool allWantQuiet : { false, true }) {
    const std::string size =
      allWantQuiet ? "240 engines, all for 2 s" : "240 engines, half of them";
    for (const PolicyName& policy : kPolicies) {
      QuietResult mean;
      for (const std::uint64_t seed : kSeeds) {
        QuietScenario scenario;
        scenario.mPolicy = policy.mPolicy;
        scenario.mAllWantQuiet = allWantQuiet;
        scenario.mSeed = seed;
        const QuietResult one = SimulateQuiet(scenario);
        const auto seeds = static_cast<double>(kSeeds.size());
        mean.mServedShare += one.mServedShare / seeds;
        mean.mSendsInQuiet += one.mSendsInQuiet / seeds;
        mean.mLargestSecond += one.mLargestSecond / seeds;
      }
      const bool isOurs = policy.mPolicy == QuietPolicy::Ours;
      const std::string name = policy.mName;
      PrintFigure(
        "quiet", size, "share of the burst served, " + name, mean.mServedShare);
      PrintFigure("quiet",
                  size,
                  "sends in quiet after 0.5 s, " + name,
                  mean.mSendsInQuiet,
                  isOurs ? Bound::AtMost : Bound::None,
                  0);
      PrintFigure("quiet",
                  size,
                  "largest second after / mean, " + name,
                  mean.mLargestSecond);
    }
  }
}

} // namespace Acaciavale::DecisionMeasure
