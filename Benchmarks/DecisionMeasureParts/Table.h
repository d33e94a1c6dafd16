#pragma once

#include <cstdint>
#include <string>
#include <vector>

/// The goal table: one line for each figure, with its goal where it has one.
namespace Acaciavale::DecisionMeasure {

/// Seeds of every row, printed with it.
inline const std::vector<std::uint64_t> kSeeds = { 11, 12, 13, 14, 15 };

enum class Bound
{
  None, ///< Said for the reader; no goal.
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

/// The value below which aShare of the values lie; 0 of none.
double Quantile(std::vector<double> aValues, double aShare);

double Mean(const std::vector<double>& aValues);

/// A deployment, or one VM's part of the size designed for.
struct DeploymentSize
{
  std::string mName;
  std::uint32_t mReplicas = 0;
  std::uint32_t mVms = 0;
  std::uint32_t mDomains = 4;
};

/// Jadran, Gebeta and the size designed for.
const std::vector<DeploymentSize>& DeploymentSizes();

} // namespace Acaciavale::DecisionMeasure
