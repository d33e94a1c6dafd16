#include <Acaciavale/LibRelay/EndpointCandidates.h>
#include <Acaciavale/LibRelay/OutputEstimate.h>

#include <algorithm>
#include <limits>

namespace Acaciavale::Relay {

namespace {

/// Open attempts at an endpoint if the query has no limit.
constexpr std::int32_t kUnlimited = std::numeric_limits<std::int32_t>::max();

bool MayRun(const Endpoint& aEndpoint,
            const EndpointSelectionQuery& aQuery,
            const CandidateRules& aRules,
            TimePoint aNow)
{
  return !aRules.mEvacuatedDomains.contains(aEndpoint.mRecord.mFailureDomain) &&
         !aEndpoint.mRecord.mIsDraining &&
         !aEndpoint.mAnnouncement.mIsLeaving && !HasEnded(aEndpoint, aNow) &&
         (!aQuery.mAcceptsVersion ||
          aQuery.mAcceptsVersion(aEndpoint.mRecord.mVersion));
}

bool WasTried(const Endpoint& aEndpoint, const EndpointSelectionQuery& aQuery)
{
  return std::find(aQuery.mTriedEndpoints.begin(),
                   aQuery.mTriedEndpoints.end(),
                   &aEndpoint) != aQuery.mTriedEndpoints.end();
}

bool IsFull(const Endpoint& aEndpoint,
            const EndpointSelectionQuery& aQuery,
            TimePoint aNow)
{
  const std::int32_t places = PlacesAfterQuiet(
    aEndpoint.mAnnouncement.mQuiet,
    aQuery.mMaximumInFlight > 0 ? aQuery.mMaximumInFlight : kUnlimited,
    aNow);
  return aEndpoint.mInFlight >= places;
}

} // namespace

EndpointCandidates FindCandidates(
  const std::vector<std::shared_ptr<Endpoint>>& aEndpoints,
  const EndpointSelectionQuery& aQuery,
  const CandidateRules& aRules,
  TimePoint aNow)
{
  EndpointCandidates found;
  std::vector<std::uint32_t> withoutMemory;
  for (std::uint32_t index = 0; index < aEndpoints.size(); ++index) {
    Endpoint& endpoint = *aEndpoints[index];
    if (!MayRun(endpoint, aQuery, aRules, aNow)) {
      continue;
    }
    const QuietPeriod& quiet = endpoint.mAnnouncement.mQuiet;
    if (IsQuiet(quiet, aNow)) {
      found.mQuietUntil =
        std::min(found.mQuietUntil.value_or(quiet.mEndsAt), quiet.mEndsAt);
      continue;
    }
    found.mAllWantQuiet = false;
    if (WasTried(endpoint, aQuery)) {
      continue;
    }
    found.mUsable += 1;
    if (IsFull(endpoint, aQuery, aNow)) {
      found.mFull += 1;
      continue;
    }
    const auto permit = aRules.mPermitOf(endpoint);
    if (permit && permit->mNextAt > aNow) {
      found.mLimited = WithEndpoint(
        found.mLimited, permit->mPerSecond, permit->mShare, permit->mNextAt);
      continue;
    }
    const bool fits = FitsEngineMemory(endpoint.mMemoryTokens,
                                       aQuery.mWork.mMemoryTokens,
                                       aQuery.mEngineMemoryTokens);
    (fits ? found.mIndices : withoutMemory).push_back(index);
  }
  found.mWithoutMemory = static_cast<std::uint32_t>(withoutMemory.size());
  // NOTE: Where the work fits nowhere, the engines decide. A request that
  // waited
  //       for memory would hold up all that are queued behind it, and the
  //       stated maximum of its output may be far too high.
  if (found.mIndices.empty()) {
    found.mIndices = std::move(withoutMemory);
  }
  return found;
}

EndpointSelection SelectionWithout(const EndpointCandidates& aCandidates)
{
  EndpointSelection selection;
  const bool mayWait =
    aCandidates.mFull > 0 || aCandidates.mLimited.mOwnPerSecond > 0;
  const bool hasRoomNowhere =
    aCandidates.mFull + aCandidates.mLimited.mCount == aCandidates.mUsable;
  selection.mIsFull = mayWait && hasRoomNowhere;
  selection.mWithoutMemory = aCandidates.mWithoutMemory;
  if (hasRoomNowhere) {
    selection.mLimited = aCandidates.mLimited;
    selection.mIsAnyFull = aCandidates.mFull > 0;
  }
  if (aCandidates.mAllWantQuiet) {
    selection.mQuietUntil = aCandidates.mQuietUntil;
  }
  return selection;
}

} // namespace Acaciavale::Relay
