#include <Acaciavale/LibRelay/PromptPace.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Weight of one more time among those remembered: a VM of a large fleet sees
/// some two a second of each model.
constexpr double kPaceWeight = 0.02;
/// Until the first measurement: engines read a prompt at about this rate
/// (seconds a token, from the engines' published rates).
constexpr double kFirstSecondsPerToken = 0.00003;
constexpr double kFirstSeconds = 0.03;
/// How much the first rate weighs against what is measured, as a variance of
/// prompts' lengths in tokens: prompts of one length tell nothing of what a
/// token costs.
constexpr double kFirstRateWeight = 300.0 * 300.0;

} // namespace

PromptPace WithMeasured(PromptPace aPace, double aTokens, double aSeconds)
{
  aPace.mMeasured = std::min(aPace.mMeasured + 1, 1 / kPaceWeight);
  const double weight = 1 / aPace.mMeasured;
  const double byTokens = aTokens - aPace.mTokens;
  const double bySeconds = aSeconds - aPace.mSeconds;
  aPace.mTokens += weight * byTokens;
  aPace.mSeconds += weight * bySeconds;
  aPace.mTokensVariance =
    (1 - weight) * (aPace.mTokensVariance + weight * byTokens * byTokens);
  aPace.mCovariance =
    (1 - weight) * (aPace.mCovariance + weight * byTokens * bySeconds);
  return aPace;
}

double SecondsPerToken(const PromptPace& aPace)
{
  const double slope =
    (aPace.mCovariance + kFirstRateWeight * kFirstSecondsPerToken) /
    (aPace.mTokensVariance + kFirstRateWeight);
  return std::max(0.0, slope);
}

double SecondsToFirst(const PromptPace& aPace, double aTokens)
{
  if (aPace.mMeasured == 0) {
    return kFirstSeconds + kFirstSecondsPerToken * aTokens;
  }
  const double perToken = SecondsPerToken(aPace);
  const double wait = std::max(0.0, aPace.mSeconds - perToken * aPace.mTokens);
  return wait + perToken * aTokens;
}

} // namespace Acaciavale::Relay
