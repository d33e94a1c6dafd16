#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/StoreReaders.h>

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <cmath>
#include <limits>
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
/// Half-life of the slowness of an endpoint on a logarithmic scale, so that an
/// endpoint that was slow is tried again.
constexpr double kSlownessHalfLifeSeconds = 8;
/// Share by which the expected latency of an endpoint is reduced if its
/// slowness was not updated for a long time, so that it is preferred to equal
/// endpoints.
constexpr double kMaximumOptimism = 0.1;
/// Limits on the slowness ratio of a single sample.
constexpr double kMinimumSlowness = 0.25;
constexpr double kMaximumSlowness = 16;
/// Relative increase of the time to the first event when all slots of an engine
/// are in use, because the engine alternates between the prompts of a batch.
/// Trials with the values 1, 3 and 6 are in docs/measurements/platform-days.md.
constexpr double kBusySlowdown = 4;
/// Age at which a load report has half of its weight, about the duration of a
/// request.
constexpr double kReportHalfWeightSeconds = 4;
/// Age at which the waiting requests of a load report have half of their
/// weight. Engines read the waiting prompts and receive new ones about once a
/// second.
constexpr double kWaitingReportHalfWeightSeconds = 1;
/// Time for which an engine is assumed to cache a shared prefix. The
/// deployments assume the same time.
constexpr double kPrefixCacheSeconds = 9;
/// Number of prefixes per endpoint above which expired ones are removed.
constexpr std::size_t kMaximumSharedPrefixes = 256;
/// Number of candidate endpoints that a VM of a large fleet samples inside and
/// outside its failure domain. The values follow from the rows `long` and
/// `half-slow` of docs/measurements/decisions.md and leave a candidate if one
/// fails.
constexpr std::uint32_t kLocalSampleSize = 3;
constexpr std::uint32_t kRemoteSampleSize = 1;
/// How long an endpoint that has ended is not selected. The list drops it
/// after three missing liveness reports.
constexpr Duration kEndedMemory = std::chrono::seconds(5);
/// Open attempts at an endpoint if the query has no limit.
constexpr std::int32_t kUnlimited = std::numeric_limits<std::int32_t>::max();
/// Maximum share of a pool's endpoints that may be ejected. If more of them
/// fail, the cause is probably not in the endpoints.
constexpr double kMaximumEjectedShare = 0.5;

double SlownessAt(const Endpoint& aEndpoint, TimePoint aNow)
{
  const double age =
    std::max(0.0, InSeconds(aNow - aEndpoint.mSlownessUpdatedAt));
  const double remainingShare = std::exp2(-age / kSlownessHalfLifeSeconds);
  return std::pow(aEndpoint.mSlowness, remainingShare) *
         (1 - kMaximumOptimism * (1 - remainingShare));
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

EndpointSelection EndpointRegistry::Choose(const EndpointSelectionQuery& aQuery,
                                           Random& aRandom,
                                           TimePoint aNow)
{
  const std::vector<std::shared_ptr<Endpoint>> all = EndpointsOf(aQuery.mPool);
  const double expectedSeconds =
    ExpectedFirstEventSeconds(aQuery.mPool, aQuery.mWork);
  const PromptLatencyModel latency =
    LatencyModelOf(aQuery.mPool, aQuery.mWork).mPromptLatency;
  const double secondsPerToken = SecondsPerToken(latency);
  // NOTE: The length of prompts from other VMs is unknown; the mean is assumed.
  const double secondsPerWaiting =
    aQuery.mWork.mPromptTokens > 0 ? latency.mMeanSeconds : 0;
  std::vector<EndpointView> views;
  std::uint32_t full = 0;
  std::uint32_t usable = 0;
  LimitedEndpoints limited;
  std::optional<TimePoint> quietUntil;
  bool allWantQuiet = true;
  for (std::uint32_t index = 0; index < all.size(); ++index) {
    const Endpoint& endpoint = *all[index];
    const bool isAllowed =
      !mEvacuatedDomains.contains(endpoint.mRecord.mFailureDomain) &&
      !endpoint.mRecord.mIsDraining && !endpoint.mAnnouncement.mIsLeaving &&
      !HasEnded(endpoint, aNow) &&
      (!aQuery.mAcceptsVersion ||
       aQuery.mAcceptsVersion(endpoint.mRecord.mVersion));
    if (!isAllowed) {
      continue;
    }
    const QuietPeriod& quiet = endpoint.mAnnouncement.mQuiet;
    if (IsQuiet(quiet, aNow)) {
      quietUntil = std::min(quietUntil.value_or(quiet.mEndsAt), quiet.mEndsAt);
      continue;
    }
    allWantQuiet = false;
    const bool wasTried = std::find(aQuery.mTriedEndpoints.begin(),
                                    aQuery.mTriedEndpoints.end(),
                                    &endpoint) != aQuery.mTriedEndpoints.end();
    if (wasTried) {
      continue;
    }
    ++usable;
    const std::int32_t places = PlacesAfterQuiet(
      quiet,
      aQuery.mMaximumInFlight > 0 ? aQuery.mMaximumInFlight : kUnlimited,
      aNow);
    if (endpoint.mInFlight >= places) {
      ++full;
      continue;
    }
    if (const auto bound = BoundOf(endpoint, aNow)) {
      const auto share = PermitShareOf(*all[index], *bound);
      const TimePoint next =
        share ? NextPermitAt(endpoint.mPermits, *share) : TimePoint::max();
      if (next > aNow) {
        limited = WithEndpoint(limited, bound->mPerSecond, share, next);
        continue;
      }
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
    const double reportWeight =
      1 / (1 + InSeconds(view.mReportAge) / kReportHalfWeightSeconds);
    const double slotUsage = std::max(static_cast<double>(view.mOwnInFlight),
                                      reportWeight * view.mReportedInFlight) /
                             view.mSlots;
    const std::int32_t othersWaiting =
      std::max(0, endpoint.mLoad.mWaiting - endpoint.mWaitingAttemptsAtReport);
    const double stillWaiting =
      othersWaiting /
      (1 + InSeconds(view.mReportAge) / kWaitingReportHalfWeightSeconds);
    const double backlog =
      secondsPerToken * static_cast<double>(endpoint.mWaitingPromptTokens) +
      secondsPerWaiting * stillWaiting;
    view.mSecondsPerRequest =
      SlownessAt(endpoint, aNow) * (expectedSeconds + backlog) *
      (1 + kBusySlowdown * slotUsage) * PaceFactorOf(endpoint, aNow);
    view.mInFlightServiceSeconds = MeanInFlightSeconds(endpoint.mTurnover);
    view.mErrorRate = ExpectedErrorRate(endpoint.mHealth, aNow);
    view.mCachedPrefixShare =
      aQuery.mWork.mSharedPrefixHash != 0 &&
          CachesPrefix(endpoint, aQuery.mWork.mSharedPrefixHash, aNow)
        ? 1
        : 0;
    views.push_back(view);
  }
  // NOTE: If all candidates are ejected, an attempt is better than a refusal.
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
  query.mHomeInOwnDomain = true;
  if (SharesLoadReports(aQuery.mLiveVms)) {
    query.mLocalSampleSize = kLocalSampleSize;
    query.mRemoteSampleSize = kRemoteSampleSize;
  }
  query.mPrefillSeconds =
    secondsPerToken * static_cast<double>(aQuery.mWork.mSharedPrefixTokens);
  query.mRankedCount = aQuery.mRankedCount;
  query.mOnly = IndicesOf(aQuery.mOnly, all);
  const EndpointDecision decision = ChooseEndpoint(views, query, aRandom);
  EndpointSelection selection;
  const bool mayWait = full > 0 || limited.mOwnPerSecond > 0;
  selection.mIsFull = mayWait && full + limited.mCount == usable;
  if (full + limited.mCount == usable) {
    selection.mLimited = limited;
    selection.mIsAnyFull = full > 0;
  }
  if (allWantQuiet) {
    selection.mQuietUntil = quietUntil;
  }
  selection.mReason = decision.mReason;
  for (const ScoredEndpoint& ranked : decision.mRanked) {
    selection.mRanked.push_back({ all[ranked.mIndex], ranked.mScore });
  }
  if (decision.mIndex) {
    selection.mEndpoint = all[*decision.mIndex];
    for (const EndpointView& view : views) {
      if (view.mIndex == *decision.mIndex) {
        selection.mExpectedFirstEventSeconds = view.mSecondsPerRequest;
      }
    }
  }
  return selection;
}

void EndpointRegistry::RecordAttempt(Endpoint& aEndpoint,
                                     const AttemptWork& aWork,
                                     TimePoint aNow)
{
  aEndpoint.mInFlight += 1;
  aEndpoint.mLastAttemptAt = aNow;
  const auto bound = BoundOf(aEndpoint, aNow);
  aEndpoint.mPermits =
    WithUse(aEndpoint.mPermits,
            bound ? PermitShareOf(aEndpoint, *bound) : std::nullopt,
            aNow);
  aEndpoint.mWaitingPromptTokens += aWork.mPromptTokens;
  aEndpoint.mWaitingAttempts += 1;
  if (aWork.mSharedPrefixHash != 0) {
    aEndpoint.mSharedPrefixes[aWork.mSharedPrefixHash] = aNow;
    if (aEndpoint.mSharedPrefixes.size() > kMaximumSharedPrefixes) {
      std::erase_if(aEndpoint.mSharedPrefixes, [&](const auto& aPrefix) {
        return InSeconds(aNow - aPrefix.second) >= kPrefixCacheSeconds;
      });
    }
  }
}

void EndpointRegistry::RecordFirstEvent(Endpoint& aEndpoint,
                                        const AttemptWork& aWork,
                                        double aSeconds,
                                        TimePoint aNow,
                                        std::optional<double> aPace)
{
  aEndpoint.mWaitingPromptTokens -= aWork.mPromptTokens;
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
  if (!aHadFirstEvent) {
    aEndpoint.mWaitingPromptTokens -= aWork.mPromptTokens;
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
