#include <Acaciavale/LibRelay/PromptLatencyModel.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Weight of one more time among those remembered: a VM of a large fleet sees
/// some two a second of each model.
constexpr double kSampleWeight = 0.02;
/// Until the first measurement: engines read a prompt at about this rate
/// (seconds a token, from the engines' published rates).
constexpr double kPriorSecondsPerToken = 0.00003;
constexpr double kPriorFirstEventSeconds = 0.03;
/// How much the first rate weighs against what is measured, as a variance of
/// prompts' lengths in tokens: prompts of one length tell nothing of what a
/// token costs.
constexpr double kPriorTokenVariance = 300.0 * 300.0;

} // namespace

PromptLatencyModel WithSample(PromptLatencyModel aModel,
                              double aTokens,
                              double aSeconds)
{
  aModel.mSampleCount = std::min(aModel.mSampleCount + 1, 1 / kSampleWeight);
  const double weight = 1 / aModel.mSampleCount;
  const double byTokens = aTokens - aModel.mMeanTokens;
  const double bySeconds = aSeconds - aModel.mMeanSeconds;
  aModel.mMeanTokens += weight * byTokens;
  aModel.mMeanSeconds += weight * bySeconds;
  aModel.mTokenVariance =
    (1 - weight) * (aModel.mTokenVariance + weight * byTokens * byTokens);
  aModel.mCovariance =
    (1 - weight) * (aModel.mCovariance + weight * byTokens * bySeconds);
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
  const double perToken = SecondsPerToken(aModel);
  const double wait =
    std::max(0.0, aModel.mMeanSeconds - perToken * aModel.mMeanTokens);
  return wait + perToken * aTokens;
}

} // namespace Acaciavale::Relay
