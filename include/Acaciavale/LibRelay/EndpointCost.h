#pragma once

#include <Acaciavale/LibRelay/EndpointRegistry.h>

/// What an attempt costs at an endpoint: the time until its first event there.
namespace Acaciavale::Relay {

/// What is known of the work, the same for all endpoints of its pool.
struct CostBasis
{
  /// Time to the first event on an endpoint with average speed and no backlog.
  double mExpectedSeconds = 0;
  double mSecondsPerToken = 0; ///< Of the work's model.
  /// Assumed prompt work of a waiting request of another VM, whose model and
  /// length are not known.
  double mSecondsPerWaiting = 0;
  PromptWorkMix mMix;       ///< The prompts of the pool.
  double mSizeStrength = 0; ///< See SizeAffinityStrength.

  auto operator<=>(const CostBasis&) const = default;
};

/// The slowness of the endpoint, which returns to 1 while it is not updated.
double SlownessAt(const Endpoint& aEndpoint, TimePoint aNow);

/// Whether the endpoint is assumed to cache the prefix with the hash.
bool CachesPrefix(const Endpoint& aEndpoint,
                  std::uint64_t aHash,
                  TimePoint aNow);

/// Records that the endpoint reads the prefix with the hash now.
void RecordPrefix(Endpoint& aEndpoint, std::uint64_t aHash, TimePoint aNow);

/// Seconds of prompt work that wait at the endpoint ahead of a new request.
double BacklogSeconds(const Endpoint& aEndpoint,
                      const CostBasis& aBasis,
                      TimePoint aNow);

/// The endpoint as input to ChooseEndpoint. aIndex is the number that the
/// decision returns.
EndpointView ViewOf(const Endpoint& aEndpoint,
                    std::uint32_t aIndex,
                    const AttemptWork& aWork,
                    const CostBasis& aBasis,
                    TimePoint aNow);

/// How the size of the work's prompt affects its cost at the endpoint; empty
/// if it does not.
std::optional<SizePlacement> SizePlacementOf(const Endpoint& aEndpoint,
                                             const AttemptWork& aWork,
                                             const CostBasis& aBasis);

/// Admits ejected endpoints if there are no others: an attempt is better than a
/// refusal.
void AdmitEjectedIfAlone(std::vector<EndpointView>& aViews);

/// The conditions of the selection as input to ChooseEndpoint.
EndpointQuery MakeEndpointQuery(const EndpointSelectionQuery& aQuery,
                                const CostBasis& aBasis);

} // namespace Acaciavale::Relay
