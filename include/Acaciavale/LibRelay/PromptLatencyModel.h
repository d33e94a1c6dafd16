#pragma once

#include <compare>

/// How long prompts take in a pool until their first event.
namespace Acaciavale::Relay {

/// A line through the measured times against the prompts' lengths, with the
/// older ones forgotten. Answers the pattern "many short prompts beside a few
/// long ones": the mean of seconds a token would charge the wait of the short
/// ones to each token of the long ones.
struct PromptLatencyModel
{
  double mSampleCount = 0; ///< Times seen, up to the length of the memory.
  double mMeanSeconds = 0; ///< Mean, to the answer or first event.
  double mMeanTokens = 0;  ///< Mean length of a prompt.
  double mTokenVariance = 0;
  double mCovariance = 0; ///< Of tokens and seconds.

  auto operator<=>(const PromptLatencyModel&) const = default;
};

PromptLatencyModel WithSample(PromptLatencyModel aModel,
                              double aTokens,
                              double aSeconds);

/// Seconds that each token of a prompt adds.
double SecondsPerToken(const PromptLatencyModel& aModel);

/// Expected seconds to the first event of a prompt of that length; of an answer
/// without a prompt for none.
double SecondsToFirstEvent(const PromptLatencyModel& aModel, double aTokens);

} // namespace Acaciavale::Relay
