#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/StoreReaders.h>

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Weight of one more measurement in the slowness of an endpoint.
constexpr double kSlownessWeight = 0.2;
constexpr double kGoalRatioWeight = 0.05;
/// The quick latency is the first quartile of what is seen: a step up for each
/// prompt that took longer, three down for each that did not.
constexpr double kQuartileStep = 0.02;
/// A request that waits longer than this many goals counts as this.
constexpr double kMaximumGoalRatio = 3;
/// How long a slowness counts: half of it is forgotten in this time, so that
/// an endpoint that was slow is tried again.
constexpr double kSlownessHalfLifeSeconds = 8;
/// How much quicker an endpoint is taken to be of which nothing was heard for
/// long: enough to be tried before its equals.
constexpr double kMaximumOptimism = 0.1;
constexpr double kMinimumSlowness = 0.25;
constexpr double kMaximumSlowness = 16;
/// How many times longer an engine whose slots are all taken needs for the next
/// prompt, beyond the first time: its batch reads prompts in turns. Trials at
/// 1, 3 and 6 are in docs/measurements/platform-days.md.
constexpr double kBusySlowdown = 4;
/// Age at which a report of a load counts half: about as long as requests run.
constexpr double kReportHalfWeightSeconds = 4;
/// The same for the prompts that a report says are waiting: they are read, and
/// followed by others, about once a second.
constexpr double kWaitingReportHalfWeightSeconds = 1;
/// How long an engine is taken to keep a shared part that it read: the time
/// for which the deployments count one as kept, in seconds.
constexpr double kPrefixCacheSeconds = 9;
constexpr std::size_t kMaximumSharedPrefixes = 256;
/// Endpoints that a VM of a large fleet draws to choose from, in its failure
/// domain and outside it: by the rows `long` and `half-slow` of
/// docs/measurements/decisions.md, and so that one is left where one fails.
constexpr std::uint32_t kSampledInDomain = 3;
constexpr std::uint32_t kSampledOutsideDomain = 1;
/// Share of a pool that may be ejected; beyond it the fault is likely not
/// that of the endpoints.
constexpr double kEjectionCeiling = 0.5;

double SlownessAt(const Endpoint& aEndpoint, TimePoint aNow)
{
  const double age =
    std::max(0.0, InSeconds(aNow - aEndpoint.mSlownessUpdatedAt));
  const double kept = std::exp2(-age / kSlownessHalfLifeSeconds);
  return std::pow(aEndpoint.mSlowness, kept) *
         (1 - kMaximumOptimism * (1 - kept));
}

/// The hash of a name: the same on all VMs.
std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool CachesPrefix(const Endpoint& aEndpoint,
                  std::uint64_t aHash,
                  TimePoint aNow)
{
  const auto found = aEndpoint.mSharedPrefixes.find(aHash);
  return found != aEndpoint.mSharedPrefixes.end() &&
         InSeconds(aNow - found->second) < kPrefixCacheSeconds;
}

} // namespace

void EndpointRegistry::Replace(const std::vector<EndpointRecord>& aRecords)
{
  std::map<std::string, std::shared_ptr<Endpoint>> next;
  for (const EndpointRecord& record : aRecords) {
    const auto known = mEndpoints.find(record.mId);
    const bool sameLifetime =
      known != mEndpoints.end() &&
      known->second->mRecord.mIncarnation == record.mIncarnation &&
      known->second->mRecord.mAddress == record.mAddress;
    auto endpoint = sameLifetime ? known->second : std::make_shared<Endpoint>();
    endpoint->mRecord = record;
    next.emplace(record.mId, std::move(endpoint));
  }
  for (const auto& [id, endpoint] : mEndpoints) {
    const auto kept = next.find(id);
    endpoint->mIsRemoved = kept == next.end() || kept->second != endpoint;
  }
  mEndpoints = std::move(next);
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
  const double perToken = latency.mLowQuartileSecondsPerToken > 0
                            ? latency.mLowQuartileSecondsPerToken
                            : SecondsPerToken(latency.mPromptLatency);
  return perToken * static_cast<double>(aWork.mPromptTokens);
}

double EndpointRegistry::FirstEventGoalRatio(const std::string& aPool) const
{
  const auto found = mFirstEventGoalRatios.find(aPool);
  return found == mFirstEventGoalRatios.end() ? 0 : found->second;
}

void EndpointRegistry::RecordFirstEventGoalRatio(const std::string& aPool,
                                                 double aShareOfGoal)
{
  double& strain = mFirstEventGoalRatios[aPool];
  strain +=
    kGoalRatioWeight * (std::min(aShareOfGoal, kMaximumGoalRatio) - strain);
}

EndpointSelection EndpointRegistry::Choose(const EndpointSelectionQuery& aQuery,
                                           Random& aRandom,
                                           TimePoint aNow)
{
  const std::vector<std::shared_ptr<Endpoint>> all = EndpointsOf(aQuery.mPool);
  const double usual = ExpectedFirstEventSeconds(aQuery.mPool, aQuery.mWork);
  const PromptLatencyModel latency =
    LatencyModelOf(aQuery.mPool, aQuery.mWork).mPromptLatency;
  const double perToken = SecondsPerToken(latency);
  // NOTE: Others' prompts are of unknown length: each is taken for a usual one.
  const double perWaiting =
    aQuery.mWork.mPromptTokens > 0 ? latency.mMeanSeconds : 0;
  std::vector<EndpointView> views;
  std::uint32_t full = 0;
  std::uint32_t usable = 0;
  for (std::uint32_t index = 0; index < all.size(); ++index) {
    const Endpoint& endpoint = *all[index];
    const bool mayTake = !endpoint.mRecord.mIsDraining &&
                         (!aQuery.mAcceptsVersion ||
                          aQuery.mAcceptsVersion(endpoint.mRecord.mVersion));
    const bool wasTried = std::find(aQuery.mTriedEndpoints.begin(),
                                    aQuery.mTriedEndpoints.end(),
                                    &endpoint) != aQuery.mTriedEndpoints.end();
    if (!mayTake || wasTried) {
      continue;
    }
    ++usable;
    if (aQuery.mMaximumInFlight > 0 &&
        endpoint.mInFlight >= aQuery.mMaximumInFlight) {
      ++full;
      continue;
    }
    EndpointView view;
    view.mIndex = index;
    view.mKey = HashOf(endpoint.mRecord.mId);
    view.mFailureDomain =
      static_cast<std::uint32_t>(HashOf(endpoint.mRecord.mFailureDomain));
    view.mEjected = IsBlocked(endpoint.mHealth, endpoint.mInFlight, aNow);
    view.mOwnInFlight = endpoint.mInFlight;
    view.mReportedInFlight = endpoint.mLoad.mRunning + endpoint.mLoad.mWaiting;
    view.mOwnInFlightAtReport = endpoint.mInFlightAtReport;
    view.mReportAge = aNow - endpoint.mLoadReportedAt;
    view.mSlots = std::max(1, endpoint.mRecord.mSlots);
    const double fresh =
      1 / (1 + InSeconds(view.mReportAge) / kReportHalfWeightSeconds);
    const double busy = std::max(static_cast<double>(view.mOwnInFlight),
                                 fresh * view.mReportedInFlight) /
                        view.mSlots;
    const std::int32_t othersWaiting =
      std::max(0, endpoint.mLoad.mWaiting - endpoint.mWaitingAttemptsAtReport);
    const double stillWaiting =
      othersWaiting /
      (1 + InSeconds(view.mReportAge) / kWaitingReportHalfWeightSeconds);
    const double backlog =
      perToken * static_cast<double>(endpoint.mWaitingPromptTokens) +
      perWaiting * stillWaiting;
    view.mSecondsPerRequest = SlownessAt(endpoint, aNow) * (usual + backlog) *
                              (1 + kBusySlowdown * busy);
    view.mTurnoverSeconds = SecondsOf(endpoint.mTurnover);
    view.mErrorShare = ExpectedErrorShare(endpoint.mHealth, aNow);
    view.mPrefixShare =
      aQuery.mWork.mSharedPrefixHash != 0 &&
          CachesPrefix(endpoint, aQuery.mWork.mSharedPrefixHash, aNow)
        ? 1
        : 0;
    views.push_back(view);
  }
  // NOTE: Where all that is left is ejected, trying one beats refusing.
  if (std::all_of(views.begin(), views.end(), [](const EndpointView& aView) {
        return aView.mEjected;
      })) {
    for (EndpointView& view : views) {
      view.mEjected = false;
    }
  }
  EndpointQuery query;
  query.mFailureDomain =
    static_cast<std::uint32_t>(HashOf(aQuery.mFailureDomain));
  query.mLiveVms = aQuery.mLiveVms;
  query.mCrossDomainSeconds = aQuery.mCrossDomainSeconds;
  query.mPrefixHash = aQuery.mWork.mSharedPrefixHash;
  query.mHomeInDomain = true;
  if (SharesLoadReports(aQuery.mLiveVms)) {
    query.mDrawnNear = kSampledInDomain;
    query.mDrawnFar = kSampledOutsideDomain;
  }
  query.mPrefillSeconds =
    perToken * static_cast<double>(aQuery.mWork.mSharedPrefixTokens);
  const EndpointDecision decision = ChooseEndpoint(views, query, aRandom);
  EndpointSelection place;
  place.mIsFull = usable > 0 && full == usable;
  place.mReason = decision.mReason;
  if (decision.mIndex) {
    place.mEndpoint = all[*decision.mIndex];
    for (const EndpointView& view : views) {
      if (view.mIndex == *decision.mIndex) {
        place.mExpectedFirstEventSeconds = view.mSecondsPerRequest;
      }
    }
  }
  return place;
}

void EndpointRegistry::RecordAttempt(Endpoint& aEndpoint,
                                     const AttemptWork& aWork,
                                     TimePoint aNow)
{
  aEndpoint.mInFlight += 1;
  aEndpoint.mWaitingPromptTokens += aWork.mPromptTokens;
  aEndpoint.mWaitingAttempts += 1;
  if (aWork.mSharedPrefixHash != 0) {
    aEndpoint.mSharedPrefixes[aWork.mSharedPrefixHash] = aNow;
    if (aEndpoint.mSharedPrefixes.size() > kMaximumSharedPrefixes) {
      std::erase_if(aEndpoint.mSharedPrefixes, [&](const auto& aPart) {
        return InSeconds(aNow - aPart.second) >= kPrefixCacheSeconds;
      });
    }
  }
}

void EndpointRegistry::RecordFirstEvent(Endpoint& aEndpoint,
                                        const AttemptWork& aWork,
                                        double aSeconds,
                                        TimePoint aNow)
{
  aEndpoint.mWaitingPromptTokens -= aWork.mPromptTokens;
  aEndpoint.mWaitingAttempts -= 1;
  const double usual =
    ExpectedFirstEventSeconds(aEndpoint.mRecord.mPool, aWork);
  if (usual > 0) {
    const double ratio =
      std::clamp(aSeconds / usual, kMinimumSlowness, kMaximumSlowness);
    aEndpoint.mSlowness = SlownessAt(aEndpoint, aNow);
    aEndpoint.mSlowness += kSlownessWeight * (ratio - aEndpoint.mSlowness);
    aEndpoint.mSlownessUpdatedAt = aNow;
  }
  PoolLatencyModel& latency =
    mLatencyModels[{ aEndpoint.mRecord.mPool, aWork.mModel }];
  latency.mPromptLatency = WithSample(
    latency.mPromptLatency, static_cast<double>(aWork.mPromptTokens), aSeconds);
  if (aWork.mPromptTokens > 0) {
    const double perToken = aSeconds / static_cast<double>(aWork.mPromptTokens);
    if (latency.mLowQuartileSecondsPerToken == 0) {
      latency.mLowQuartileSecondsPerToken = perToken;
    }
    latency.mLowQuartileSecondsPerToken *=
      perToken > latency.mLowQuartileSecondsPerToken ? 1 + kQuartileStep
                                                     : 1 - 3 * kQuartileStep;
  }
}

void EndpointRegistry::RecordLoad(Endpoint& aEndpoint,
                                  const ReportedLoad& aLoad,
                                  TimePoint aNow)
{
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
  if (!aHadFirstEvent) {
    aEndpoint.mWaitingPromptTokens -= aWork.mPromptTokens;
    aEndpoint.mWaitingAttempts -= 1;
  }
  if (!aOutcome.mCountsAsEvidence) {
    return;
  }
  aEndpoint.mHealth =
    Recorded(aEndpoint.mHealth,
             EndpointOutcome{ !aOutcome.mFailed, aOutcome.mFirstEventSeconds },
             aNow);
  if (aOutcome.mFailed) {
    Eject(aEndpoint.mRecord.mPool, aNow);
  } else if (aOutcome.mWholeSeconds > 0) {
    aEndpoint.mTurnover = Recorded(aEndpoint.mTurnover, aOutcome.mWholeSeconds);
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
  healths = WithEjections(std::move(healths), kEjectionCeiling, aNow);
  for (std::size_t index = 0; index < endpoints.size(); ++index) {
    endpoints[index]->mHealth = healths[index];
  }
}

} // namespace Acaciavale::Relay
