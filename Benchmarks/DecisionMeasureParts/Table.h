#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// Output of the goal table: one line per figure, with its goal if it has one.
namespace Acaciavale::DecisionMeasure {

/// Random seeds of all rows but the roll-out row, printed in the heading.
inline const std::vector<std::uint64_t> kSeeds = { 11, 12, 13, 14, 15 };

enum class Bound
{
  None, ///< Printed for information, without a goal.
  AtMost,
  AtLeast,
};

/// Prints "row | size | what | figure | goal | reached".
void PrintFigure(const std::string& aRow,
                 const std::string& aSize,
                 const std::string& aDescription,
                 double aValue,
                 Bound aBound = Bound::None,
                 double aGoal = 0);

void PrintHeading();

/// Returns the value below which the fraction aShare of the values lies, or 0
/// if there are no values.
double Quantile(std::vector<double> aValues, double aShare);

double Mean(const std::vector<double>& aValues);

/// Number of replicas, VMs and failure domains of a deployment.
struct DeploymentSize
{
  std::string mName;
  std::uint32_t mReplicas = 0;
  std::uint32_t mVms = 0;
  std::uint32_t mDomains = 4;
};

/// Returns the sizes of the Jadran and Gebeta deployments and the design size.
const std::vector<DeploymentSize>& DeploymentSizes();

} // namespace Acaciavale::DecisionMeasure
