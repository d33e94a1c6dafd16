#include "BinomialTest.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

constexpr double kLeastShare = 0.0005;
constexpr double kMostShare = 0.9995;
/// How far each alternative lies from the bound on the way to 1.
constexpr double kSteps[] = { 0.006, 0.02, 0.06, 0.15, 0.3, 0.6 };

double Clamped(double aShare)
{
  return std::clamp(aShare, kLeastShare, kMostShare);
}

/// log(exp(a) + 1) without overflow.
double LogPlusOne(double aLog)
{
  return aLog > 0 ? aLog + std::log1p(std::exp(-aLog))
                  : std::log1p(std::exp(aLog));
}

} // namespace

double UpperShare(const BinomialCount& aCount, double aStandardErrors)
{
  // NOTE: One good and one bad outcome are added (Laplace), so that a short
  //       clean record does not pass for a share of 0.
  const double trials = aCount.mTrials + 2;
  const double share = (aCount.mBad + 1) / trials;
  const double error = std::sqrt(share * (1 - share) / trials);
  return Clamped(share + aStandardErrors * error);
}

std::vector<double> AlternativesAbove(double aBound)
{
  const double bound = Clamped(aBound);
  std::vector<double> alternatives;
  for (const double step : kSteps) {
    alternatives.push_back(Clamped(bound + (1 - bound) * step));
  }
  return alternatives;
}

double LogLikelihoodRatio(const BinomialCount& aCount,
                          double aAlternative,
                          double aBound)
{
  const double bound = Clamped(aBound);
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

std::vector<double> Detect(std::vector<double> aDetectors,
                           const BinomialCount& aBatch,
                           double aBound)
{
  constexpr double kNothingYet = -1e9;
  const std::vector<double> alternatives = AlternativesAbove(aBound);
  aDetectors.resize(alternatives.size(), kNothingYet);
  for (std::size_t index = 0; index < alternatives.size(); ++index) {
    aDetectors[index] = LogPlusOne(aDetectors[index]) +
                        LogLikelihoodRatio(aBatch, alternatives[index], aBound);
  }
  return aDetectors;
}

} // namespace Acaciavale
