#include "BinomialTest.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

constexpr double kMinRate = 0.0005;
constexpr double kMaxRate = 0.9995;
/// Distance of each alternative from the bound, as a fraction of the distance
/// from the bound to 1.
constexpr double kAlternativeFractions[] = {
  0.006, 0.02, 0.06, 0.15, 0.3, 0.6
};

double ClampedRate(double aRate)
{
  return std::clamp(aRate, kMinRate, kMaxRate);
}

/// log(exp(a) + 1) without overflow.
double LogOnePlusExp(double aLog)
{
  return aLog > 0 ? aLog + std::log1p(std::exp(-aLog))
                  : std::log1p(std::exp(aLog));
}

} // namespace

double UpperRate(const BinomialCount& aCount, double aStandardErrors)
{
  // NOTE: One good and one bad outcome are added (Laplace smoothing), so that a
  //       few good outcomes do not yield a rate of 0.
  const double trials = aCount.mTrials + 2;
  const double rate = (aCount.mBad + 1) / trials;
  const double error = std::sqrt(rate * (1 - rate) / trials);
  return ClampedRate(rate + aStandardErrors * error);
}

std::vector<double> AlternativesAbove(double aBound)
{
  const double bound = ClampedRate(aBound);
  std::vector<double> alternatives;
  for (const double fraction : kAlternativeFractions) {
    alternatives.push_back(ClampedRate(bound + (1 - bound) * fraction));
  }
  return alternatives;
}

double LogLikelihoodRatio(const BinomialCount& aCount,
                          double aAlternative,
                          double aBound)
{
  const double bound = ClampedRate(aBound);
  const double good = std::max(0.0, aCount.mTrials - aCount.mBad);
  return aCount.mBad * std::log(aAlternative / bound) +
         good * std::log((1 - aAlternative) / (1 - bound));
}

double LogMeanExp(const std::vector<double>& aLogs)
{
  if (aLogs.empty()) {
    return 0;
  }
  const double highest = *std::max_element(aLogs.begin(), aLogs.end());
  double sum = 0;
  for (const double log : aLogs) {
    sum += std::exp(log - highest);
  }
  return highest + std::log(sum / static_cast<double>(aLogs.size()));
}

double LogMixture(const BinomialCount& aCount, double aBound)
{
  std::vector<double> logs;
  for (const double alternative : AlternativesAbove(aBound)) {
    logs.push_back(LogLikelihoodRatio(aCount, alternative, aBound));
  }
  return LogMeanExp(logs);
}

std::vector<double> UpdateDetectors(std::vector<double> aDetectors,
                                    const BinomialCount& aBatch,
                                    double aBound)
{
  constexpr double kLogOfZero = -1e9;
  const std::vector<double> alternatives = AlternativesAbove(aBound);
  aDetectors.resize(alternatives.size(), kLogOfZero);
  for (std::size_t index = 0; index < alternatives.size(); ++index) {
    aDetectors[index] = LogOnePlusExp(aDetectors[index]) +
                        LogLikelihoodRatio(aBatch, alternatives[index], aBound);
  }
  return aDetectors;
}

} // namespace Acaciavale
