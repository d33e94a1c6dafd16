#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <string>
#include <vector>

/// Prompt work: the time that endpoints need to read prompts.
///
/// Load pattern: the models of a pool differ by a factor of ten in the time per
/// prompt token, and prompts by a factor of fifty in their length. Neither the
/// number of requests nor that of tokens shows how long a new prompt waits.
namespace Acaciavale::Relay {

/// Seconds that an endpoint needs to read a prompt, of which it has cached
/// aCachedTokens.
double PromptWorkSeconds(std::int64_t aTokens,
                         std::int64_t aCachedTokens,
                         double aSecondsPerToken);

/// A prompt that was sent to an endpoint and has had no first event.
struct PlacedPrompt
{
  std::string mModel;
  std::int64_t mTokens = 0;
  double mSeconds = 0; ///< Its work.

  auto operator<=>(const PlacedPrompt&) const = default;
};

/// The unread prompts of this VM at one endpoint.
struct PlacedWork
{
  std::vector<PlacedPrompt> mPrompts; ///< In the order of their placement.
  TimePoint mReadingSince{}; ///< Time from which the first of them is read.

  auto operator<=>(const PlacedWork&) const = default;
};

PlacedWork WithPrompt(PlacedWork aPlaced, PlacedPrompt aPrompt, TimePoint aNow);

/// Returns the work without the earliest prompt of the model and length, which
/// was read or is not needed any more. Such prompts have the same work, apart
/// from the parts that were cached, which evens out when the others end.
PlacedWork WithoutPrompt(PlacedWork aPlaced,
                         const std::string& aModel,
                         std::int64_t aTokens,
                         TimePoint aNow);

/// Seconds of work that are left at aNow. The endpoint reads the earliest
/// prompt. It is not assumed to read the next one before the first event of
/// the earliest: until then, it may be reading prompts of other VMs.
double RemainingWork(const PlacedWork& aPlaced, TimePoint aNow);

/// Work above which a prompt is long, as a multiple of the mean. Prompts of
/// about one size are all below it. In deployments with hard load, long prompts
/// have three to four times the mean, and short ones at most 0.8 times.
inline constexpr double kLongPromptFactor = 1.5;

/// The prompt work of the requests of a pool, of whatever model, smoothed over
/// the attempts of this VM.
struct PromptWorkMix
{
  double mSampleCount = 0; ///< Number of samples, up to the averaging window.
  double mMeanSeconds = 0; ///< Mean work of a prompt, all of it unread.
  double mMeanUnreadSeconds = 0; ///< Mean work without cached parts.
  double mLongSeconds = 0; ///< Part of this mean that long prompts make up.
  double mLongShare = 0;   ///< Share of the prompts that are long.

  auto operator<=>(const PromptWorkMix&) const = default;
};

/// Adds a prompt with its whole work, by which its size is measured, and with
/// the part of it that its endpoint has not cached.
PromptWorkMix WithPrompt(PromptWorkMix aMix,
                         double aSeconds,
                         double aUnreadSeconds);

} // namespace Acaciavale::Relay
