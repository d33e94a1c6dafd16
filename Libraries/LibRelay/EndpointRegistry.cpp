#include <Acaciavale/LibRelay/EndpointCandidates.h>
#include <Acaciavale/LibRelay/EndpointCost.h>

#include <algorithm>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Weight of a new sample in the slowness of an endpoint.
constexpr double kSlownessWeight = 0.2;
/// Weight of a new sample in the goal ratio of a pool.
constexpr double kGoalRatioWeight = 0.05;
/// Weight of a new sample in the usual time between events.
constexpr double kSecondsPerEventWeight = 0.05;
/// Relative step of the estimated first quartile of the seconds per token: one
/// step up for each slower prompt, three steps down for each faster one.
constexpr double kQuartileStep = 0.02;
/// Upper limit of a single sample of the goal ratio.
constexpr double kMaximumGoalRatio = 3;
/// Limits on the slowness ratio of a single sample.
constexpr double kMinimumSlowness = 0.25;
constexpr double kMaximumSlowness = 16;
/// How long an endpoint that has ended is not selected. The list drops it
/// after three missing liveness reports.
constexpr Duration kEndedMemory = std::chrono::seconds(5);
/// Maximum share of a pool's endpoints that may be ejected. If more of them
/// fail, the cause is probably not in the endpoints.
constexpr double kMaximumEjectedShare = 0.5;

/// Removes the prompt of an attempt that had its first event or has ended.
void RemovePrompt(Endpoint& aEndpoint, const AttemptWork& aWork, TimePoint aNow)
{
  aEndpoint.mPlacedWork = WithoutPrompt(
    std::move(aEndpoint.mPlacedWork), aWork.mModel, aWork.mPromptTokens, aNow);
}

/// Sets the positions of the endpoints in each pool and failure domain.
void UpdateSizePositions(
  const std::map<std::string, std::shared_ptr<Endpoint>>& aEndpoints)
{
  std::map<std::pair<std::string, std::string>, std::vector<Endpoint*>> groups;
  for (const auto& [id, endpoint] : aEndpoints) {
    groups[{ endpoint->mRecord.mPool, endpoint->mRecord.mFailureDomain }]
      .push_back(endpoint.get());
  }
  for (const auto& [group, endpoints] : groups) {
    std::vector<std::uint64_t> keys;
    keys.reserve(endpoints.size());
    for (const Endpoint* endpoint : endpoints) {
      keys.push_back(HashOf(endpoint->mRecord.mId));
    }
    const std::vector<SizePosition> positions = SizePositions(keys);
    for (std::size_t index = 0; index < endpoints.size(); ++index) {
      endpoints[index]->mSizePosition = positions[index];
    }
  }
}

} // namespace

std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool HasEnded(const Endpoint& aEndpoint, TimePoint aNow)
{
  return aEndpoint.mEndedAt != TimePoint{} &&
         aNow - aEndpoint.mEndedAt < kEndedMemory;
}

void EndpointRegistry::RecordEnded(Endpoint& aEndpoint, TimePoint aNow)
{
  aEndpoint.mEndedAt = aNow;
}

void EndpointRegistry::Replace(const std::vector<EndpointRecord>& aRecords,
                               TimePoint aNow)
{
  std::map<std::string, std::shared_ptr<Endpoint>> next;
  for (const EndpointRecord& record : aRecords) {
    const auto known = mEndpoints.find(record.mId);
    const bool sameLifetime =
      known != mEndpoints.end() &&
      known->second->mRecord.mIncarnation == record.mIncarnation &&
      known->second->mRecord.mAddress == record.mAddress;
    auto endpoint = sameLifetime ? known->second : std::make_shared<Endpoint>();
    if (!sameLifetime || endpoint->mRecord.mColdFor != record.mColdFor) {
      // NOTE: The statement is older than its arrival here, so the endpoint is
      //       not cold for longer.
      endpoint->mColdUntil = aNow + record.mColdFor;
    }
    endpoint->mRecord = record;
    const EndpointAnnouncement recalled =
      Recall(mAnnouncements, LifetimeOf(record), aNow);
    if (!sameLifetime) {
      endpoint->mAnnouncement = recalled;
    }
    next.emplace(record.mId, std::move(endpoint));
  }
  ForgetUnlisted(mAnnouncements, aNow);
  for (const auto& [id, endpoint] : mEndpoints) {
    const auto kept = next.find(id);
    endpoint->mIsRemoved = kept == next.end() || kept->second != endpoint;
  }
  mEndpoints = std::move(next);
  UpdateSizePositions(mEndpoints);
}

std::vector<std::shared_ptr<Endpoint>> EndpointRegistry::EndpointsOf(
  const std::string& aPool) const
{
  std::vector<std::shared_ptr<Endpoint>> endpoints;
  for (const auto& [id, endpoint] : mEndpoints) {
    if (endpoint->mRecord.mPool == aPool) {
      endpoints.push_back(endpoint);
    }
  }
  return endpoints;
}

PoolLatencyModel EndpointRegistry::LatencyModelOf(
  const std::string& aPool,
  const AttemptWork& aWork) const
{
  const auto found = mLatencyModels.find({ aPool, aWork.mModel });
  return found == mLatencyModels.end() ? PoolLatencyModel{} : found->second;
}

double EndpointRegistry::ExpectedFirstEventSeconds(
  const std::string& aPool,
  const AttemptWork& aWork) const
{
  return SecondsToFirstEvent(LatencyModelOf(aPool, aWork).mPromptLatency,
                             static_cast<double>(aWork.mPromptTokens));
}

double EndpointRegistry::LowQuartilePromptSeconds(
  const std::string& aPool,
  const AttemptWork& aWork) const
{
  const PoolLatencyModel latency = LatencyModelOf(aPool, aWork);
  const double secondsPerToken = latency.mLowQuartileSecondsPerToken > 0
                                   ? latency.mLowQuartileSecondsPerToken
                                   : SecondsPerToken(latency.mPromptLatency);
  return secondsPerToken * static_cast<double>(aWork.mPromptTokens);
}

double EndpointRegistry::UsualSecondsPerEvent(const std::string& aPool,
                                              const AttemptWork& aWork) const
{
  return LatencyModelOf(aPool, aWork).mSecondsPerEvent;
}

void EndpointRegistry::RecordSecondsPerEvent(const std::string& aPool,
                                             const AttemptWork& aWork,
                                             double aSeconds)
{
  double& usual = mLatencyModels[{ aPool, aWork.mModel }].mSecondsPerEvent;
  usual =
    usual == 0 ? aSeconds : usual + kSecondsPerEventWeight * (aSeconds - usual);
}

double EndpointRegistry::FirstEventGoalRatio(const std::string& aPool) const
{
  const auto found = mFirstEventGoalRatios.find(aPool);
  return found == mFirstEventGoalRatios.end() ? 0 : found->second;
}

void EndpointRegistry::RecordFirstEventGoalRatio(const std::string& aPool,
                                                 double aGoalRatio)
{
  double& ratio = mFirstEventGoalRatios[aPool];
  ratio += kGoalRatioWeight * (std::min(aGoalRatio, kMaximumGoalRatio) - ratio);
}

CostBasis EndpointRegistry::CostBasisOf(
  const EndpointSelectionQuery& aQuery) const
{
  const PromptLatencyModel latency =
    LatencyModelOf(aQuery.mPool, aQuery.mWork).mPromptLatency;
  CostBasis basis;
  basis.mExpectedSeconds =
    ExpectedFirstEventSeconds(aQuery.mPool, aQuery.mWork);
  basis.mSecondsPerToken = SecondsPerToken(latency);
  // NOTE: The lengths and models of prompts from other VMs are unknown. The
  //       mean over all models is assumed and, before there is one, this
  //       prompt.
  const auto mix = mPromptWork.find(aQuery.mPool);
  basis.mSecondsPerWaiting =
    mix == mPromptWork.end()
      ? PromptWorkSeconds(aQuery.mWork.mPromptTokens, 0, basis.mSecondsPerToken)
      : mix->second.mMeanUnreadSeconds;
  if (mix != mPromptWork.end()) {
    basis.mMix = mix->second;
    basis.mSizeStrength =
      SizeAffinityStrength(FirstEventGoalRatio(aQuery.mPool));
  }
  return basis;
}

EndpointSelection EndpointRegistry::Choose(const EndpointSelectionQuery& aQuery,
                                           Random& aRandom,
                                           TimePoint aNow)
{
  const std::vector<std::shared_ptr<Endpoint>> all = EndpointsOf(aQuery.mPool);
  const EndpointCandidates candidates = FindCandidates(
    all,
    aQuery,
    { mEvacuatedDomains,
      [this, aNow](Endpoint& aEndpoint) { return PermitOf(aEndpoint, aNow); } },
    aNow);
  const CostBasis basis = CostBasisOf(aQuery);
  std::vector<EndpointView> views;
  views.reserve(candidates.mIndices.size());
  for (const std::uint32_t index : candidates.mIndices) {
    views.push_back(ViewOf(*all[index], index, aQuery.mWork, basis, aNow));
    views.back().mSecondsPerRequest *= PaceFactorOf(*all[index], aNow);
  }
  AdmitEjectedIfAlone(views);
  EndpointQuery query = MakeEndpointQuery(aQuery, basis);
  query.mOnly = IndicesOf(aQuery.mOnly, all);
  query.mRankedCount = aQuery.mRankedCount;
  const EndpointDecision decision = ChooseEndpoint(views, query, aRandom);
  EndpointSelection selection = SelectionWithout(candidates);
  selection.mReason = decision.mReason;
  for (const ScoredEndpoint& ranked : decision.mRanked) {
    selection.mRanked.push_back({ all[ranked.mIndex], ranked.mScore });
  }
  if (decision.mIndex) {
    const auto chosen = std::find_if(
      views.begin(), views.end(), [&decision](const EndpointView& aView) {
        return aView.mIndex == *decision.mIndex;
      });
    selection.mEndpoint = all[*decision.mIndex];
    // NOTE: The limit on silence follows from this time. The pace changes
    //       several times a second and must not stretch a limit of seconds.
    selection.mExpectedFirstEventSeconds =
      chosen->mSecondsPerRequest / PaceFactorOf(*selection.mEndpoint, aNow);
    selection.mSizePlacement =
      SizePlacementOf(*selection.mEndpoint, aQuery.mWork, basis);
  }
  return selection;
}

void EndpointRegistry::PlacePrompt(Endpoint& aEndpoint,
                                   const AttemptWork& aWork,
                                   TimePoint aNow)
{
  if (aWork.mPromptTokens <= 0) {
    return;
  }
  const bool isCached = aWork.mSharedPrefixHash != 0 &&
                        CachesPrefix(aEndpoint, aWork.mSharedPrefixHash, aNow);
  const std::string& pool = aEndpoint.mRecord.mPool;
  const double secondsPerToken =
    SecondsPerToken(LatencyModelOf(pool, aWork).mPromptLatency);
  const double seconds =
    PromptWorkSeconds(aWork.mPromptTokens,
                      isCached ? aWork.mSharedPrefixTokens : 0,
                      secondsPerToken);
  aEndpoint.mPlacedWork =
    WithPrompt(std::move(aEndpoint.mPlacedWork),
               { aWork.mModel, aWork.mPromptTokens, seconds },
               aNow);
  PromptWorkMix& mix = mPromptWork[pool];
  mix = WithPrompt(
    mix, PromptWorkSeconds(aWork.mPromptTokens, 0, secondsPerToken), seconds);
}

void EndpointRegistry::RecordAttempt(Endpoint& aEndpoint,
                                     const AttemptWork& aWork,
                                     TimePoint aNow)
{
  aEndpoint.mInFlight += 1;
  aEndpoint.mMemoryTokens += aWork.mMemoryTokens;
  aEndpoint.mLastAttemptAt = aNow;
  const auto bound = BoundOf(aEndpoint, aNow);
  aEndpoint.mPermits =
    WithUse(aEndpoint.mPermits,
            bound ? PermitShareOf(aEndpoint, *bound) : std::nullopt,
            aNow);
  PlacePrompt(aEndpoint, aWork, aNow);
  aEndpoint.mWaitingAttempts += 1;
  if (aWork.mSharedPrefixHash != 0) {
    RecordPrefix(aEndpoint, aWork.mSharedPrefixHash, aNow);
  }
}

void EndpointRegistry::RecordFirstEvent(Endpoint& aEndpoint,
                                        const AttemptWork& aWork,
                                        double aSeconds,
                                        TimePoint aNow,
                                        std::optional<double> aPace)
{
  RemovePrompt(aEndpoint, aWork, aNow);
  aEndpoint.mWaitingAttempts -= 1;
  const double expectedSeconds =
    ExpectedFirstEventSeconds(aEndpoint.mRecord.mPool, aWork);
  if (expectedSeconds > 0) {
    const double ratio =
      std::clamp(aSeconds / aPace.value_or(1) / expectedSeconds,
                 kMinimumSlowness,
                 kMaximumSlowness);
    aEndpoint.mSlowness = SlownessAt(aEndpoint, aNow);
    aEndpoint.mSlowness += kSlownessWeight * (ratio - aEndpoint.mSlowness);
    aEndpoint.mSlownessUpdatedAt = aNow;
  }
  PoolLatencyModel& latency =
    mLatencyModels[{ aEndpoint.mRecord.mPool, aWork.mModel }];
  latency.mPromptLatency = WithSample(
    latency.mPromptLatency, static_cast<double>(aWork.mPromptTokens), aSeconds);
  if (aWork.mPromptTokens > 0) {
    const double secondsPerToken =
      aSeconds / static_cast<double>(aWork.mPromptTokens);
    if (latency.mLowQuartileSecondsPerToken == 0) {
      latency.mLowQuartileSecondsPerToken = secondsPerToken;
    }
    latency.mLowQuartileSecondsPerToken *=
      secondsPerToken > latency.mLowQuartileSecondsPerToken
        ? 1 + kQuartileStep
        : 1 - 3 * kQuartileStep;
  }
}

void EndpointRegistry::RecordLoad(Endpoint& aEndpoint,
                                  const ReportedLoad& aLoad,
                                  TimePoint aNow)
{
  RecordPace(aEndpoint, aLoad, aNow);
  aEndpoint.mLoad = aLoad;
  aEndpoint.mLoadReportedAt = aNow;
  aEndpoint.mInFlightAtReport = aEndpoint.mInFlight;
  aEndpoint.mWaitingAttemptsAtReport = aEndpoint.mWaitingAttempts;
}

std::vector<LoadReport> EndpointRegistry::LoadReportsWithin(
  Duration aAge,
  TimePoint aNow) const
{
  std::vector<LoadReport> reports;
  for (const auto& [id, endpoint] : mEndpoints) {
    const Duration age = aNow - endpoint->mLoadReportedAt;
    if (endpoint->mLoadReportedAt != TimePoint{} && age <= aAge) {
      reports.push_back({ id, endpoint->mLoad, age });
    }
  }
  return reports;
}

void EndpointRegistry::ApplyLoadReports(const std::vector<LoadReport>& aReports,
                                        TimePoint aNow)
{
  for (const LoadReport& report : aReports) {
    const auto found = mEndpoints.find(report.mEndpointId);
    const TimePoint at = aNow - report.mAge;
    if (found != mEndpoints.end() && at > found->second->mLoadReportedAt) {
      RecordLoad(*found->second, report.mLoad, at);
    }
  }
}

void EndpointRegistry::RecordEnd(Endpoint& aEndpoint,
                                 const AttemptWork& aWork,
                                 bool aHadFirstEvent,
                                 const AttemptOutcome& aOutcome,
                                 TimePoint aNow)
{
  aEndpoint.mInFlight -= 1;
  aEndpoint.mMemoryTokens -= aWork.mMemoryTokens;
  if (!aHadFirstEvent) {
    RemovePrompt(aEndpoint, aWork, aNow);
    aEndpoint.mWaitingAttempts -= 1;
  }
  if (!aOutcome.mCountsAsEvidence) {
    return;
  }
  aEndpoint.mHealth = WithOutcome(
    aEndpoint.mHealth,
    EndpointOutcome{ !aOutcome.mFailed, aOutcome.mFirstEventSeconds },
    aNow);
  if (aOutcome.mFailed) {
    Eject(aEndpoint.mRecord.mPool, aNow);
  } else if (aOutcome.mTotalSeconds > 0) {
    aEndpoint.mTurnover =
      WithServiceTime(aEndpoint.mTurnover, aOutcome.mTotalSeconds);
  }
}

void EndpointRegistry::Eject(const std::string& aPool, TimePoint aNow)
{
  const std::vector<std::shared_ptr<Endpoint>> endpoints = EndpointsOf(aPool);
  std::vector<EndpointHealth> healths;
  healths.reserve(endpoints.size());
  for (const auto& endpoint : endpoints) {
    healths.push_back(endpoint->mHealth);
  }
  healths = WithEjections(std::move(healths), kMaximumEjectedShare, aNow);
  for (std::size_t index = 0; index < endpoints.size(); ++index) {
    endpoints[index]->mHealth = healths[index];
  }
}

} // namespace Acaciavale::Relay
