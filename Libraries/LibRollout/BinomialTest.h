#pragma once

#include <vector>

/// Sequential tests of a rate against a bound: likelihood ratios mixed over
/// several alternatives, all as natural logarithms.
namespace Acaciavale {

/// Bad outcomes among trials; aged evidence makes them fractions.
struct BinomialCount
{
  double mBad = 0;
  double mTrials = 0;

  auto operator<=>(const BinomialCount&) const = default;
};

/// The rate, moved up by that many standard errors; never 0 or 1.
double UpperRate(const BinomialCount& aCount, double aStandardErrors);

/// Shares above the bound that the tests are sharp at: from a little worse than
/// allowed to always bad.
std::vector<double> AlternativesAbove(double aBound);

/// Logarithm of the likelihood ratio of one alternative against the bound. If
/// the true rate is at most the bound, the ratio is a supermartingale.
double LogLikelihoodRatio(const BinomialCount& aCount,
                          double aAlternative,
                          double aBound);

/// Logarithm of the mean of the exponentials.
double LogMeanExp(const std::vector<double>& aLogs);

/// Logarithm of the mixture of the ratios over all alternatives. By Ville's
/// inequality it passes log(1/a) ever with a probability of at most a while the
/// true rate is at most the bound.
double LogMixture(const BinomialCount& aCount, double aBound);

/// Shiryaev-Roberts detectors, one for each alternative, after a further batch:
/// each is (previous + 1) * ratio. A change at any time makes them grow, and
/// the mean time to a false alarm at log(A) is at least A batches.
std::vector<double> UpdateDetectors(std::vector<double> aDetectors,
                                    const BinomialCount& aBatch,
                                    double aBound);

} // namespace Acaciavale
