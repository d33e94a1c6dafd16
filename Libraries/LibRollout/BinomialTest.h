#pragma once

#include <vector>

/// Sequential tests of a rate against a bound, by likelihood ratios that are
/// averaged over several alternatives. All ratios are natural logarithms.
namespace Acaciavale {

/// Numbers of bad outcomes and of trials. Aged evidence makes them fractional.
struct BinomialCount
{
  double mBad = 0;
  double mTrials = 0;

  auto operator<=>(const BinomialCount&) const = default;
};

/// Returns the estimated rate plus the given number of standard errors, clamped
/// so that it is never 0 or 1.
double UpperRate(const BinomialCount& aCount, double aStandardErrors);

/// Returns the rates above the bound for which the tests are most powerful,
/// from slightly worse than allowed to mostly bad.
std::vector<double> AlternativesAbove(double aBound);

/// Logarithm of the likelihood ratio of one alternative against the bound. If
/// the true rate is at most the bound, the ratio is a supermartingale.
double LogLikelihoodRatio(const BinomialCount& aCount,
                          double aAlternative,
                          double aBound);

/// Logarithm of the mean of the exponentials.
double LogMeanExp(const std::vector<double>& aLogs);

/// Logarithm of the mean likelihood ratio over all alternatives. If the true
/// rate is at most the bound, the probability that this value ever exceeds
/// log(1/a) is at most a (Ville's inequality).
double LogMixture(const BinomialCount& aCount, double aBound);

/// Updates Shiryaev-Roberts detectors, one for each alternative, with a batch:
/// each statistic becomes (previous + 1) * ratio. It grows after a change at
/// any time, and the mean time to a false alarm at the threshold log(A) is at
/// least A batches.
std::vector<double> UpdateDetectors(std::vector<double> aDetectors,
                                    const BinomialCount& aBatch,
                                    double aBound);

} // namespace Acaciavale
