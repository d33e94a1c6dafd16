#include <Acaciavale/LibRelay/PromptWork.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Weight of a new prompt once the averaging window is full. A VM of a large
/// fleet places about six prompts per second, of which one is long; with a
/// hundred prompts, the mean follows a change of the demand within 20 s.
constexpr double kPromptWeight = 0.01;

} // namespace

double PromptWorkSeconds(std::int64_t aTokens,
                         std::int64_t aCachedTokens,
                         double aSecondsPerToken)
{
  const std::int64_t unread = std::max<std::int64_t>(
    0, aTokens - std::max<std::int64_t>(0, aCachedTokens));
  return aSecondsPerToken * static_cast<double>(unread);
}

PlacedWork WithPrompt(PlacedWork aPlaced, PlacedPrompt aPrompt, TimePoint aNow)
{
  if (aPlaced.mPrompts.empty()) {
    aPlaced.mReadingSince = aNow;
  }
  aPlaced.mPrompts.push_back(std::move(aPrompt));
  return aPlaced;
}

PlacedWork WithoutPrompt(PlacedWork aPlaced,
                         const std::string& aModel,
                         std::int64_t aTokens,
                         TimePoint aNow)
{
  const auto found = std::find_if(aPlaced.mPrompts.begin(),
                                  aPlaced.mPrompts.end(),
                                  [&](const PlacedPrompt& aPrompt) {
                                    return aPrompt.mModel == aModel &&
                                           aPrompt.mTokens == aTokens;
                                  });
  if (found == aPlaced.mPrompts.end()) {
    return aPlaced;
  }
  if (found == aPlaced.mPrompts.begin()) {
    aPlaced.mReadingSince = aNow;
  }
  aPlaced.mPrompts.erase(found);
  return aPlaced;
}

double RemainingWork(const PlacedWork& aPlaced, TimePoint aNow)
{
  if (aPlaced.mPrompts.empty()) {
    return 0;
  }
  double unread = 0;
  for (const PlacedPrompt& prompt : aPlaced.mPrompts) {
    unread += prompt.mSeconds;
  }
  return unread - std::clamp(InSeconds(aNow - aPlaced.mReadingSince),
                             0.0,
                             aPlaced.mPrompts.front().mSeconds);
}

PromptWorkMix WithPrompt(PromptWorkMix aMix,
                         double aSeconds,
                         double aUnreadSeconds)
{
  aMix.mSampleCount = std::min(aMix.mSampleCount + 1, 1 / kPromptWeight);
  const double weight = 1 / aMix.mSampleCount;
  aMix.mMeanSeconds += weight * (aSeconds - aMix.mMeanSeconds);
  aMix.mMeanUnreadSeconds +=
    weight * (aUnreadSeconds - aMix.mMeanUnreadSeconds);
  const bool isLong = aSeconds > kLongPromptFactor * aMix.mMeanSeconds;
  aMix.mLongSeconds += weight * ((isLong ? aSeconds : 0) - aMix.mLongSeconds);
  aMix.mLongShare += weight * ((isLong ? 1 : 0) - aMix.mLongShare);
  return aMix;
}

} // namespace Acaciavale::Relay
