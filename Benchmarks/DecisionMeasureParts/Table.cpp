#include "Table.h"

#include <algorithm>
#include <cstdio>
#include <numeric>

namespace Acaciavale::DecisionMeasure {

void PrintHeading()
{
  std::string seeds;
  for (const std::uint64_t seed : kSeeds) {
    seeds += ' ' + std::to_string(seed);
  }
  std::printf("Virtual clock, seeds%s; ratios unless a unit is named.\n",
              seeds.c_str());
  std::printf("%-10s | %-7s | %-50s | %10s | %-8s | %s\n",
              "row",
              "size",
              "what",
              "figure",
              "goal",
              "reached");
}

void PrintFigure(const std::string& aRow,
                 const std::string& aSize,
                 const std::string& aDescription,
                 double aValue,
                 Bound aBound,
                 double aGoal)
{
  std::string goal;
  std::string reached;
  if (aBound != Bound::None) {
    char text[32];
    std::snprintf(text,
                  sizeof text,
                  "%s %.4g",
                  aBound == Bound::AtMost ? "<=" : ">=",
                  aGoal);
    goal = text;
    const bool isReached =
      aBound == Bound::AtMost ? aValue <= aGoal : aValue >= aGoal;
    reached = isReached ? "yes" : "NO";
  }
  std::printf("%-10s | %-7s | %-50s | %10.4f | %-8s | %s\n",
              aRow.c_str(),
              aSize.c_str(),
              aDescription.c_str(),
              aValue,
              goal.c_str(),
              reached.c_str());
  std::fflush(stdout);
}

double Quantile(std::vector<double> aValues, double aShare)
{
  if (aValues.empty()) {
    return 0;
  }
  const auto rank =
    static_cast<std::size_t>(aShare * static_cast<double>(aValues.size() - 1));
  std::nth_element(aValues.begin(),
                   aValues.begin() + static_cast<std::ptrdiff_t>(rank),
                   aValues.end());
  return aValues[rank];
}

double Mean(const std::vector<double>& aValues)
{
  if (aValues.empty()) {
    return 0;
  }
  return std::accumulate(aValues.begin(), aValues.end(), 0.0) /
         static_cast<double>(aValues.size());
}

const std::vector<DeploymentSize>& DeploymentSizes()
{
  static const std::vector<DeploymentSize> sSizes = {
    { "jadran", 12, 8, 4 }, { "gebeta", 18, 8, 4 }, { "design", 600, 330, 9 }
  };
  return sSizes;
}

} // namespace Acaciavale::DecisionMeasure
