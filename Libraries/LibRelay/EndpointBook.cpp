#include <Acaciavale/LibRelay/EndpointBook.h>
#include <Acaciavale/LibRelay/Readers.h>

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Weight of one more measurement in the slowness of an endpoint.
constexpr double kSlownessWeight = 0.2;
constexpr double kStrainWeight = 0.05;
/// The quick pace is the first quartile of what is seen: a step up for each
/// prompt that took longer, three down for each that did not.
constexpr double kQuartileStep = 0.02;
/// A request that waits longer than this many goals counts as this.
constexpr double kMostStrain = 3;
/// How long a slowness counts: half of it is forgotten in this time, so that
/// an endpoint that was slow is tried again.
constexpr double kSlownessHalfLifeSeconds = 8;
/// How much quicker an endpoint is taken to be of which nothing was heard for
/// long: enough to be tried before its equals.
constexpr double kOptimism = 0.1;
constexpr double kLeastSlowness = 0.25;
constexpr double kMostSlowness = 16;
/// How many times longer an engine whose slots are all taken needs for the next
/// prompt, beyond the first time: its batch reads prompts in turns. Trials at
/// 1, 3 and 6 are in docs/measurements/platform-days.md.
constexpr double kBusyCost = 4;
/// Age at which a report of a load counts half: about as long as requests run.
constexpr double kReportSeconds = 4;
/// The same for the prompts that a report says are waiting: they are read, and
/// followed by others, about once a second.
constexpr double kWaitingReportSeconds = 1;
/// How long an engine is taken to keep a shared part that it read: the time
/// for which the deployments count one as kept, in seconds.
constexpr double kPartKeptSeconds = 9;
constexpr std::size_t kMostPartsKept = 256;
/// Endpoints that a VM of a large fleet draws to choose from, in its failure
/// domain and outside it: by the rows `long` and `half-slow` of
/// docs/measurements/decisions.md, and so that one is left where one fails.
constexpr std::uint32_t kDrawnNear = 3;
constexpr std::uint32_t kDrawnFar = 1;
/// Share of a pool that may be ejected; beyond it the fault is likely not
/// that of the endpoints.
constexpr double kEjectionCeiling = 0.5;

double SlownessAt(const Endpoint& aEndpoint, TimePoint aNow)
{
  const double age = std::max(0.0, InSeconds(aNow - aEndpoint.mSlownessAt));
  const double kept = std::exp2(-age / kSlownessHalfLifeSeconds);
  return std::pow(aEndpoint.mSlowness, kept) * (1 - kOptimism * (1 - kept));
}

/// The hash of a name: the same on all VMs.
std::uint64_t HashOf(const std::string& aText)
{
  return XXH3_64bits(aText.data(), aText.size());
}

bool Keeps(const Endpoint& aEndpoint, std::uint64_t aHash, TimePoint aNow)
{
  const auto found = aEndpoint.mSharedParts.find(aHash);
  return found != aEndpoint.mSharedParts.end() &&
         InSeconds(aNow - found->second) < kPartKeptSeconds;
}

} // namespace

void EndpointBook::Replace(const std::vector<EndpointRecord>& aRecords)
{
  std::map<std::string, std::shared_ptr<Endpoint>> next;
  for (const EndpointRecord& record : aRecords) {
    const auto known = mEndpoints.find(record.mId);
    const bool sameLifetime =
      known != mEndpoints.end() &&
      known->second->mRecord.mBorn == record.mBorn &&
      known->second->mRecord.mAddress == record.mAddress;
    auto endpoint = sameLifetime ? known->second : std::make_shared<Endpoint>();
    endpoint->mRecord = record;
    next.emplace(record.mId, std::move(endpoint));
  }
  for (const auto& [id, endpoint] : mEndpoints) {
    const auto kept = next.find(id);
    endpoint->mGone = kept == next.end() || kept->second != endpoint;
  }
  mEndpoints = std::move(next);
}

std::vector<std::shared_ptr<Endpoint>> EndpointBook::EndpointsOf(
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

PoolPace EndpointBook::PaceOf(const std::string& aPool,
                              const SendWork& aWork) const
{
  const auto found = mPaces.find({ aPool, aWork.mModel });
  return found == mPaces.end() ? PoolPace{} : found->second;
}

double EndpointBook::UsualSeconds(const std::string& aPool,
                                  const SendWork& aWork) const
{
  return SecondsToFirst(PaceOf(aPool, aWork).mPrompts,
                        static_cast<double>(aWork.mPromptTokens));
}

double EndpointBook::QuickSeconds(const std::string& aPool,
                                  const SendWork& aWork) const
{
  const PoolPace pace = PaceOf(aPool, aWork);
  const double perToken = pace.mQuickPerToken > 0
                            ? pace.mQuickPerToken
                            : SecondsPerToken(pace.mPrompts);
  return perToken * static_cast<double>(aWork.mPromptTokens);
}

double EndpointBook::Strain(const std::string& aPool) const
{
  const auto found = mStrain.find(aPool);
  return found == mStrain.end() ? 0 : found->second;
}

void EndpointBook::RecordStrain(const std::string& aPool, double aShareOfGoal)
{
  double& strain = mStrain[aPool];
  strain += kStrainWeight * (std::min(aShareOfGoal, kMostStrain) - strain);
}

Place EndpointBook::Choose(const PlaceQuery& aQuery,
                           Random& aRandom,
                           TimePoint aNow)
{
  const std::vector<std::shared_ptr<Endpoint>> all = EndpointsOf(aQuery.mPool);
  const double usual = UsualSeconds(aQuery.mPool, aQuery.mWork);
  const PromptPace pace = PaceOf(aQuery.mPool, aQuery.mWork).mPrompts;
  const double perToken = SecondsPerToken(pace);
  // NOTE: Others' prompts are of unknown length: each is taken for a usual one.
  const double perWaiting = aQuery.mWork.mPromptTokens > 0 ? pace.mSeconds : 0;
  std::vector<EndpointView> views;
  std::uint32_t full = 0;
  std::uint32_t usable = 0;
  for (std::uint32_t index = 0; index < all.size(); ++index) {
    const Endpoint& endpoint = *all[index];
    const bool mayTake =
      !endpoint.mRecord.mLeaving &&
      (!aQuery.mMayTake || aQuery.mMayTake(endpoint.mRecord.mVersion));
    const bool wasTried =
      std::find(aQuery.mTried.begin(), aQuery.mTried.end(), &endpoint) !=
      aQuery.mTried.end();
    if (!mayTake || wasTried) {
      continue;
    }
    ++usable;
    if (aQuery.mMostInFlight > 0 &&
        endpoint.mInFlight >= aQuery.mMostInFlight) {
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
    view.mOwnInFlightAtReport = endpoint.mInFlightAtLoad;
    view.mReportAge = aNow - endpoint.mLoadAt;
    view.mSlots = std::max(1, endpoint.mRecord.mSlots);
    const double fresh = 1 / (1 + InSeconds(view.mReportAge) / kReportSeconds);
    const double busy = std::max(static_cast<double>(view.mOwnInFlight),
                                 fresh * view.mReportedInFlight) /
                        view.mSlots;
    const std::int32_t othersWaiting =
      std::max(0, endpoint.mLoad.mWaiting - endpoint.mWaitingSendsAtLoad);
    const double stillWaiting =
      othersWaiting / (1 + InSeconds(view.mReportAge) / kWaitingReportSeconds);
    const double backlog =
      perToken * static_cast<double>(endpoint.mWaitingTokens) +
      perWaiting * stillWaiting;
    view.mSecondsPerRequest =
      SlownessAt(endpoint, aNow) * (usual + backlog) * (1 + kBusyCost * busy);
    view.mInFlightServiceSeconds = MeanInFlightSeconds(endpoint.mTurnover);
    view.mErrorRate = ExpectedErrorRate(endpoint.mHealth, aNow);
    view.mCachedPrefixShare =
      aQuery.mWork.mSharedHash != 0 &&
          Keeps(endpoint, aQuery.mWork.mSharedHash, aNow)
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
  query.mPrefixHash = aQuery.mWork.mSharedHash;
  query.mHomeInOwnDomain = true;
  if (PassesLoadsOn(aQuery.mLiveVms)) {
    query.mLocalSampleSize = kDrawnNear;
    query.mRemoteSampleSize = kDrawnFar;
  }
  query.mPrefillSeconds =
    perToken * static_cast<double>(aQuery.mWork.mSharedTokens);
  const EndpointDecision decision = ChooseEndpoint(views, query, aRandom);
  Place place;
  place.mIsFull = usable > 0 && full == usable;
  place.mReason = decision.mReason;
  if (decision.mIndex) {
    place.mEndpoint = all[*decision.mIndex];
    for (const EndpointView& view : views) {
      if (view.mIndex == *decision.mIndex) {
        place.mExpectedSeconds = view.mSecondsPerRequest;
      }
    }
  }
  return place;
}

void EndpointBook::RecordSend(Endpoint& aEndpoint,
                              const SendWork& aWork,
                              TimePoint aNow)
{
  aEndpoint.mInFlight += 1;
  aEndpoint.mWaitingTokens += aWork.mPromptTokens;
  aEndpoint.mWaitingSends += 1;
  if (aWork.mSharedHash != 0) {
    aEndpoint.mSharedParts[aWork.mSharedHash] = aNow;
    if (aEndpoint.mSharedParts.size() > kMostPartsKept) {
      std::erase_if(aEndpoint.mSharedParts, [&](const auto& aPart) {
        return InSeconds(aNow - aPart.second) >= kPartKeptSeconds;
      });
    }
  }
}

void EndpointBook::RecordFirstEvent(Endpoint& aEndpoint,
                                    const SendWork& aWork,
                                    double aSeconds,
                                    TimePoint aNow)
{
  aEndpoint.mWaitingTokens -= aWork.mPromptTokens;
  aEndpoint.mWaitingSends -= 1;
  const double usual = UsualSeconds(aEndpoint.mRecord.mPool, aWork);
  if (usual > 0) {
    const double ratio =
      std::clamp(aSeconds / usual, kLeastSlowness, kMostSlowness);
    aEndpoint.mSlowness = SlownessAt(aEndpoint, aNow);
    aEndpoint.mSlowness += kSlownessWeight * (ratio - aEndpoint.mSlowness);
    aEndpoint.mSlownessAt = aNow;
  }
  PoolPace& pace = mPaces[{ aEndpoint.mRecord.mPool, aWork.mModel }];
  pace.mPrompts = WithMeasured(
    pace.mPrompts, static_cast<double>(aWork.mPromptTokens), aSeconds);
  if (aWork.mPromptTokens > 0) {
    const double perToken = aSeconds / static_cast<double>(aWork.mPromptTokens);
    if (pace.mQuickPerToken == 0) {
      pace.mQuickPerToken = perToken;
    }
    pace.mQuickPerToken *= perToken > pace.mQuickPerToken
                             ? 1 + kQuartileStep
                             : 1 - 3 * kQuartileStep;
  }
}

void EndpointBook::RecordLoad(Endpoint& aEndpoint,
                              const ToldLoad& aLoad,
                              TimePoint aNow)
{
  aEndpoint.mLoad = aLoad;
  aEndpoint.mLoadAt = aNow;
  aEndpoint.mInFlightAtLoad = aEndpoint.mInFlight;
  aEndpoint.mWaitingSendsAtLoad = aEndpoint.mWaitingSends;
}

std::vector<LoadReport> EndpointBook::LoadsWithin(Duration aAge,
                                                  TimePoint aNow) const
{
  std::vector<LoadReport> reports;
  for (const auto& [id, endpoint] : mEndpoints) {
    const Duration age = aNow - endpoint->mLoadAt;
    if (endpoint->mLoadAt != TimePoint{} && age <= aAge) {
      reports.push_back({ id, endpoint->mLoad, age });
    }
  }
  return reports;
}

void EndpointBook::TakeLoads(const std::vector<LoadReport>& aReports,
                             TimePoint aNow)
{
  for (const LoadReport& report : aReports) {
    const auto found = mEndpoints.find(report.mEndpoint);
    const TimePoint at = aNow - report.mAge;
    if (found != mEndpoints.end() && at > found->second->mLoadAt) {
      RecordLoad(*found->second, report.mLoad, at);
    }
  }
}

void EndpointBook::RecordEnd(Endpoint& aEndpoint,
                             const SendWork& aWork,
                             bool aHadFirstEvent,
                             const SendOutcome& aOutcome,
                             TimePoint aNow)
{
  aEndpoint.mInFlight -= 1;
  if (!aHadFirstEvent) {
    aEndpoint.mWaitingTokens -= aWork.mPromptTokens;
    aEndpoint.mWaitingSends -= 1;
  }
  if (!aOutcome.mCounts) {
    return;
  }
  aEndpoint.mHealth =
    WithOutcome(aEndpoint.mHealth,
                EndpointOutcome{ !aOutcome.mFailed, aOutcome.mFirstSeconds },
                aNow);
  if (aOutcome.mFailed) {
    Eject(aEndpoint.mRecord.mPool, aNow);
  } else if (aOutcome.mWholeSeconds > 0) {
    aEndpoint.mTurnover =
      WithServiceTime(aEndpoint.mTurnover, aOutcome.mWholeSeconds);
  }
}

void EndpointBook::Eject(const std::string& aPool, TimePoint aNow)
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
