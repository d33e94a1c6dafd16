#include <Acaciavale/LibRelay/EndpointCost.h>
#include <Acaciavale/LibRelay/StoreReaders.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Half-life of the slowness of an endpoint on a logarithmic scale, so that an
/// endpoint that was slow is tried again.
constexpr double kSlownessHalfLifeSeconds = 8;
/// Share by which the expected latency of an endpoint is reduced if its
/// slowness was not updated for a long time, so that it is preferred to equal
/// endpoints.
constexpr double kMaximumOptimism = 0.1;
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

} // namespace

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

void RecordPrefix(Endpoint& aEndpoint, std::uint64_t aHash, TimePoint aNow)
{
  aEndpoint.mSharedPrefixes[aHash] = aNow;
  if (aEndpoint.mSharedPrefixes.size() > kMaximumSharedPrefixes) {
    std::erase_if(aEndpoint.mSharedPrefixes, [&](const auto& aPrefix) {
      return InSeconds(aNow - aPrefix.second) >= kPrefixCacheSeconds;
    });
  }
}

double BacklogSeconds(const Endpoint& aEndpoint,
                      const CostBasis& aBasis,
                      TimePoint aNow)
{
  const std::int32_t othersWaiting =
    std::max(0, aEndpoint.mLoad.mWaiting - aEndpoint.mWaitingAttemptsAtReport);
  const double stillWaiting =
    othersWaiting / (1 + InSeconds(aNow - aEndpoint.mLoadReportedAt) /
                           kWaitingReportHalfWeightSeconds);
  return RemainingWork(aEndpoint.mPlacedWork, aNow) +
         aBasis.mSecondsPerWaiting * stillWaiting;
}

EndpointView ViewOf(const Endpoint& aEndpoint,
                    std::uint32_t aIndex,
                    const AttemptWork& aWork,
                    const CostBasis& aBasis,
                    TimePoint aNow)
{
  EndpointView view;
  view.mIndex = aIndex;
  view.mKey = HashOf(aEndpoint.mRecord.mId);
  view.mFailureDomain =
    static_cast<std::uint32_t>(HashOf(aEndpoint.mRecord.mFailureDomain));
  view.mEjected = IsBlocked(aEndpoint.mHealth, aEndpoint.mInFlight, aNow);
  view.mOwnInFlight = aEndpoint.mInFlight;
  view.mReportedInFlight = aEndpoint.mLoad.mRunning + aEndpoint.mLoad.mWaiting;
  view.mOwnInFlightAtReport = aEndpoint.mInFlightAtReport;
  view.mReportAge = aNow - aEndpoint.mLoadReportedAt;
  view.mSlots = std::max(1, aEndpoint.mRecord.mSlots);
  const double reportWeight =
    1 / (1 + InSeconds(view.mReportAge) / kReportHalfWeightSeconds);
  const double slotUsage = std::max(static_cast<double>(view.mOwnInFlight),
                                    reportWeight * view.mReportedInFlight) /
                           view.mSlots;
  const double stretch =
    SlownessAt(aEndpoint, aNow) * (1 + kBusySlowdown * slotUsage);
  view.mSecondsPerRequest = stretch * (aBasis.mExpectedSeconds +
                                       BacklogSeconds(aEndpoint, aBasis, aNow));
  view.mInFlightServiceSeconds = MeanInFlightSeconds(aEndpoint.mTurnover);
  view.mErrorRate = ExpectedErrorRate(aEndpoint.mHealth, aNow);
  view.mCachedPrefixShare =
    aWork.mSharedPrefixHash != 0 &&
        CachesPrefix(aEndpoint, aWork.mSharedPrefixHash, aNow)
      ? 1
      : 0;
  if (const auto placement = SizePlacementOf(aEndpoint, aWork, aBasis)) {
    view.mPreferenceSeconds = stretch * placement->mSeconds;
  }
  return view;
}

std::optional<SizePlacement> SizePlacementOf(const Endpoint& aEndpoint,
                                             const AttemptWork& aWork,
                                             const CostBasis& aBasis)
{
  if (aBasis.mSizeStrength <= 0 || aBasis.mMix.mLongShare <= 0) {
    return std::nullopt;
  }
  const double seconds =
    PromptWorkSeconds(aWork.mPromptTokens, 0, aBasis.mSecondsPerToken);
  return SizePlacement{ IsLongPrompt(aBasis.mMix, seconds),
                        SizeAffinitySeconds(aEndpoint.mSizePosition,
                                            aBasis.mMix,
                                            seconds,
                                            aBasis.mSizeStrength) };
}

void AdmitEjectedIfAlone(std::vector<EndpointView>& aViews)
{
  const bool areAllEjected =
    std::all_of(aViews.begin(), aViews.end(), [](const EndpointView& aView) {
      return aView.mEjected;
    });
  for (EndpointView& view : aViews) {
    view.mEjected = view.mEjected && !areAllEjected;
  }
}

EndpointQuery MakeEndpointQuery(const EndpointSelectionQuery& aQuery,
                                const CostBasis& aBasis)
{
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
  query.mPrefillSeconds = aBasis.mSecondsPerToken *
                          static_cast<double>(aQuery.mWork.mSharedPrefixTokens);
  return query;
}

} // namespace Acaciavale::Relay
