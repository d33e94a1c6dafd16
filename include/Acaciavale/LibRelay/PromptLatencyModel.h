#pragma once

#include <compare>

/// Estimates the time to the first event of prompts in a pool.
namespace Acaciavale::Relay {

/// A linear regression of the time to the first event over the prompt length,
/// with exponentially decaying weights of older samples. The mean of the
/// seconds per token would be wrong where few prompts are long: it would
/// multiply the constant wait of short prompts by the tokens of the long ones.
struct PromptLatencyModel
{
  double mSampleCount = 0; ///< Number of samples, up to the averaging window.
  double mMeanSeconds = 0; ///< Mean time to the response or first event.
  double mMeanTokens = 0;  ///< Mean length of the prompts.
  double mTokenVariance = 0;
  double mCovariance = 0; ///< Covariance of tokens and seconds.

  auto operator<=>(const PromptLatencyModel&) const = default;
};

PromptLatencyModel WithSample(PromptLatencyModel aModel,
                              double aTokens,
                              double aSeconds);

/// The slope: additional seconds per prompt token.
double SecondsPerToken(const PromptLatencyModel& aModel);

/// Expected seconds to the first event for a prompt of aTokens; for 0 tokens,
/// expected seconds to the response of a request without a prompt.
double SecondsToFirstEvent(const PromptLatencyModel& aModel, double aTokens);

} // namespace Acaciavale::Relay
