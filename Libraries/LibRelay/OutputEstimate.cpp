#include <Acaciavale/LibRelay/OutputEstimate.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// The error of estimates is assumed to be log-normal, with one answer in three
/// off by more than a factor of 2.2 (a standard deviation of 0.8). The mean is
/// then exp(0.8^2 / 2) times the median, and the 90th percentile
/// exp(1.28 * 0.8) times.
constexpr double kMeanPerEstimate = 1.38;
constexpr double kLikelyMaximumPerEstimate = 2.8;

std::int64_t ScaledEstimate(std::int64_t aMaximum,
                            std::optional<std::int64_t> aEstimate,
                            double aFactor)
{
  if (!aEstimate || *aEstimate <= 0) {
    return aMaximum;
  }
  const auto scaled = static_cast<std::int64_t>(
    std::llround(aFactor * static_cast<double>(*aEstimate)));
  return aMaximum > 0 ? std::min(aMaximum, scaled) : scaled;
}

} // namespace

std::int64_t ExpectedOutputTokens(std::int64_t aMaximum,
                                  std::optional<std::int64_t> aEstimate)
{
  return ScaledEstimate(aMaximum, aEstimate, kMeanPerEstimate);
}

std::int64_t LikelyMaximumOutputTokens(std::int64_t aMaximum,
                                       std::optional<std::int64_t> aEstimate)
{
  return ScaledEstimate(aMaximum, aEstimate, kLikelyMaximumPerEstimate);
}

bool FitsEngineMemory(std::int64_t aPlacedTokens,
                      std::int64_t aNeededTokens,
                      std::int64_t aCapacity)
{
  return aCapacity <= 0 || aPlacedTokens <= 0 ||
         aPlacedTokens + aNeededTokens <= aCapacity;
}

} // namespace Acaciavale::Relay
