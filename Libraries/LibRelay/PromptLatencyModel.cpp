#include <Acaciavale/LibRelay/PromptLatencyModel.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Weight of a new sample once the averaging window is full. A VM of a large
/// fleet observes about two prompts per second and model.
constexpr double kSampleWeight = 0.02;
/// Prior for the seconds per prompt token, from the published rates of the
/// engines, and for the time to the first event of a short prompt.
constexpr double kPriorSecondsPerToken = 0.00003;
constexpr double kPriorFirstEventSeconds = 0.03;
/// Weight of the prior for the seconds per token, as a variance of the prompt
/// length in tokens. Samples of a single prompt length contain no information
/// on the seconds per token.
constexpr double kPriorTokenVariance = 300.0 * 300.0;

} // namespace

PromptLatencyModel WithSample(PromptLatencyModel aModel,
                              double aTokens,
                              double aSeconds)
{
  aModel.mSampleCount = std::min(aModel.mSampleCount + 1, 1 / kSampleWeight);
  const double weight = 1 / aModel.mSampleCount;
  const double tokenDeviation = aTokens - aModel.mMeanTokens;
  const double secondsDeviation = aSeconds - aModel.mMeanSeconds;
  aModel.mMeanTokens += weight * tokenDeviation;
  aModel.mMeanSeconds += weight * secondsDeviation;
  aModel.mTokenVariance =
    (1 - weight) *
    (aModel.mTokenVariance + weight * tokenDeviation * tokenDeviation);
  aModel.mCovariance =
    (1 - weight) *
    (aModel.mCovariance + weight * tokenDeviation * secondsDeviation);
  return aModel;
}

double SecondsPerToken(const PromptLatencyModel& aModel)
{
  const double slope =
    (aModel.mCovariance + kPriorTokenVariance * kPriorSecondsPerToken) /
    (aModel.mTokenVariance + kPriorTokenVariance);
  return std::max(0.0, slope);
}

double SecondsToFirstEvent(const PromptLatencyModel& aModel, double aTokens)
{
  if (aModel.mSampleCount == 0) {
    return kPriorFirstEventSeconds + kPriorSecondsPerToken * aTokens;
  }
  const double secondsPerToken = SecondsPerToken(aModel);
  const double baseSeconds =
    std::max(0.0, aModel.mMeanSeconds - secondsPerToken * aModel.mMeanTokens);
  return baseSeconds + secondsPerToken * aTokens;
}

} // namespace Acaciavale::Relay
