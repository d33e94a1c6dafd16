#pragma once

#include <Acaciavale/LibRelay/PromptWork.h>

#include <cstdint>
#include <vector>

/// Preference of long prompts for some endpoints and of short ones for others.
///
/// Load pattern: one prompt in four to seven is long, and these make up 56 to
/// 72 % of the prompt tokens. Endpoints read prompts one after the other, so a
/// short prompt behind a long one misses its goal. While capacity is free, a
/// split would only take endpoints away from both kinds; hence the preference
/// follows the strain of the pool, and is a cost that a long backlog outweighs.
namespace Acaciavale::Relay {

/// The position of an endpoint among those of its pool and failure domain, in
/// an order that is the same on all VMs.
struct SizePosition
{
  std::uint32_t mRank = 0;  ///< 0 is the first choice of long prompts.
  std::uint32_t mCount = 0; ///< Number of these endpoints; 0: not known.

  auto operator<=>(const SizePosition&) const = default;
};

/// The positions of the endpoints with the keys, in the order of the keys.
std::vector<SizePosition> SizePositions(
  const std::vector<std::uint64_t>& aEndpointKeys);

/// Whether a prompt with this work is long, compared with those of the pool.
bool IsLongPrompt(const PromptWorkMix& aMix, double aSeconds);

/// The share of long prompts in the prompt work of the pool, 0 to 1.
double LongWorkShare(const PromptWorkMix& aMix);

/// The share of the endpoint that long prompts use, 0 to 1: of all endpoints
/// together, they use the share that they have in the work. Only one endpoint
/// is used by both kinds.
double LongShareOfEndpoint(const SizePosition& aPosition,
                           double aLongWorkShare);

/// The strength of the preference at a first event goal ratio (see
/// EndpointRegistry): 0 while engines have spare capacity, up to 1.
double SizeAffinityStrength(double aGoalRatio);

/// Cost of a prompt with this work at the endpoint, beyond the time until its
/// own first event: the delay that prompts of different size are expected to
/// cause each other.
double SizeAffinitySeconds(const SizePosition& aPosition,
                           const PromptWorkMix& aMix,
                           double aSeconds,
                           double aStrength);

} // namespace Acaciavale::Relay
