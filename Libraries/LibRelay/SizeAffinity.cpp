#include <Acaciavale/LibRelay/ModelChoice.h>
#include <Acaciavale/LibRelay/SizeAffinity.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <numeric>

namespace Acaciavale::Relay {

namespace {

/// Key for ranking endpoints by prompt size: "PromSize" in ASCII.
constexpr std::uint64_t kSizeKey = 0x50726f6d53697a65ULL;
/// A short prompt that meets a long one waits for half of it on average, as the
/// endpoint has already read a part.
constexpr double kUnreadShareOfMetPrompt = 0.5;
/// Limit on the short prompts that one long prompt is assumed to delay. The
/// deployments have three to six. Where long prompts are rare, few samples
/// determine the number, and the cost would grow to an exclusion.
constexpr double kMaximumShortPerLong = 8;

} // namespace

std::vector<SizePosition> SizePositions(
  const std::vector<std::uint64_t>& aEndpointKeys)
{
  std::vector<std::size_t> order(aEndpointKeys.size());
  std::iota(order.begin(), order.end(), 0);
  const auto rankOf = [&](std::size_t aIndex) {
    return RendezvousRank(kSizeKey, aEndpointKeys[aIndex]);
  };
  std::sort(
    order.begin(), order.end(), [&](std::size_t aLeft, std::size_t aRight) {
      return rankOf(aLeft) > rankOf(aRight);
    });
  std::vector<SizePosition> positions(aEndpointKeys.size());
  for (std::uint32_t rank = 0; rank < order.size(); ++rank) {
    positions[order[rank]] = { rank, static_cast<std::uint32_t>(order.size()) };
  }
  return positions;
}

bool IsLongPrompt(const PromptWorkMix& aMix, double aSeconds)
{
  return aMix.mSampleCount > 0 &&
         aSeconds > kLongPromptFactor * aMix.mMeanSeconds;
}

double LongWorkShare(const PromptWorkMix& aMix)
{
  return aMix.mMeanSeconds > 0
           ? std::clamp(aMix.mLongSeconds / aMix.mMeanSeconds, 0.0, 1.0)
           : 0;
}

double LongShareOfEndpoint(const SizePosition& aPosition, double aLongWorkShare)
{
  return std::clamp(
    aLongWorkShare * aPosition.mCount - aPosition.mRank, 0.0, 1.0);
}

double SizeAffinityStrength(double aGoalRatio)
{
  return EngineSecondPrice(aGoalRatio, 1);
}

double SizeAffinitySeconds(const SizePosition& aPosition,
                           const PromptWorkMix& aMix,
                           double aSeconds,
                           double aStrength)
{
  const double longWorkShare = LongWorkShare(aMix);
  if (aStrength <= 0 || aPosition.mCount < 2 || aMix.mLongShare <= 0) {
    return 0;
  }
  const double longShare = LongShareOfEndpoint(aPosition, longWorkShare);
  // NOTE: So many short prompts arrive at an endpoint for each long one, which
  //       delays them by its work. The factor applies to both sizes, so that
  //       neither leaves its endpoints to the other before the other does.
  const double shortPerLong =
    std::min(kMaximumShortPerLong, (1 - aMix.mLongShare) / aMix.mLongShare);
  const double meanLongSeconds = aMix.mLongSeconds / aMix.mLongShare;
  const double seconds =
    IsLongPrompt(aMix, aSeconds)
      ? (1 - longShare) * aSeconds
      : longShare * kUnreadShareOfMetPrompt * meanLongSeconds;
  return aStrength * shortPerLong * seconds;
}

} // namespace Acaciavale::Relay
