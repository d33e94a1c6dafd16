#include "SimulatedRouter.h"

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr std::uint64_t kVmSeedStride = 7919;
constexpr double kMaxEjectedShare = 0.34;

Duration ToDuration(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(aSeconds));
}

std::uint64_t KeyOf(const PoolScenario& aScenario, std::uint32_t aReplica)
{
  return RendezvousRank(aScenario.mSeed, aReplica);
}

std::vector<std::uint32_t> SubsetOf(const PoolScenario& aScenario,
                                    std::uint32_t aVm,
                                    std::uint32_t aDomain)
{
  std::vector<SubsetMember> members;
  for (std::uint32_t replica = 0; replica < aScenario.mReplicas; ++replica) {
    members.push_back(
      { replica, KeyOf(aScenario, replica), replica % aScenario.mDomains });
  }
  return ChooseSubset(aVm + 1, aDomain, members);
}

} // namespace

TimePoint AtSeconds(double aSeconds)
{
  return TimePoint{} + ToDuration(aSeconds);
}

SimulatedRouter::SimulatedRouter(const PoolScenario& aScenario,
                                 std::uint32_t aVm,
                                 std::uint32_t aDomain)
  : mScenario(aScenario)
  , mDomain(aDomain)
  , mLiveVms(aScenario.mVms)
  , mRandom(aScenario.mSeed * kVmSeedStride + aVm)
  , mViewIndexes(aScenario.mReplicas, -1)
  , mRoundRobinPosition(mRandom.Below(aScenario.mReplicas))
{
  std::vector<std::uint64_t> keys;
  for (std::uint32_t replica = 0; replica < aScenario.mReplicas; ++replica) {
    keys.push_back(KeyOf(aScenario, replica));
  }
  const std::vector<bool> reserved =
    ReservedEndpoints(keys, ReservedShare(Priority::Batch));
  for (const std::uint32_t replica : SubsetOf(aScenario, aVm, aDomain)) {
    EndpointView view;
    view.mIndex = replica;
    view.mKey = keys[replica];
    view.mFailureDomain = replica % aScenario.mDomains;
    view.mReserved = reserved[replica];
    view.mSlots = static_cast<std::int32_t>(aScenario.mSlots);
    mViewIndexes[replica] = static_cast<std::int32_t>(mViews.size());
    mViews.push_back(view);
  }
  mHealth.resize(mViews.size());
  mReportedAt.resize(mViews.size(), 0);
}

void SimulatedRouter::Refresh(const SimulatedDispatch& aDispatch)
{
  const TimePoint now = AtSeconds(aDispatch.mNow);
  for (std::size_t index = 0; index < mViews.size(); ++index) {
    EndpointView& view = mViews[index];
    const EndpointHealth& health = mHealth[index];
    view.mReportAge = ToDuration(aDispatch.mNow - mReportedAt[index]);
    view.mSecondsPerRequest =
      health.mSecondsPerRequest * aDispatch.mClassServiceSeconds;
    view.mInFlightServiceSeconds =
      health.mSecondsPerRequest * MeanInFlightSeconds(mInFlightServiceTime);
    view.mErrorRate = ExpectedErrorRate(health, now);
    view.mEjected = IsBlocked(health, view.mOwnInFlight, now);
    view.mCachedPrefixShare = 0;
    if (aDispatch.mReportedCaches != nullptr &&
        (*aDispatch.mReportedCaches)[view.mIndex][aDispatch.mPrefix] != 0) {
      view.mCachedPrefixShare = 1;
    }
  }
}

std::optional<std::uint32_t> SimulatedRouter::ChooseOurs(
  const SimulatedDispatch& aDispatch)
{
  Refresh(aDispatch);
  EndpointQuery query;
  query.mFailureDomain = mDomain;
  query.mLiveVms = mLiveVms;
  query.mExcluded = aDispatch.mTried;
  if (aDispatch.mReportedCaches != nullptr) {
    query.mPrefillSeconds = mScenario.mPrefillSeconds;
    query.mPrefixHash = aDispatch.mPrefixHash;
  }
  query.mReservedShare = ReservedShare(aDispatch.mPriority);
  return ChooseEndpoint(mViews, query, mRandom).mIndex;
}

std::optional<std::uint32_t> SimulatedRouter::ChooseLeastReported()
{
  std::optional<std::uint32_t> best;
  std::int32_t minLoad = 0;
  std::uint64_t ties = 0;
  for (const EndpointView& view : mViews) {
    if (view.mLeaving) {
      continue;
    }
    const std::int32_t load = view.mReportedInFlight;
    ties = best && load == minLoad ? ties + 1 : 1;
    if (!best || load < minLoad ||
        (load == minLoad && mRandom.Below(ties) == 0)) {
      best = view.mIndex;
      minLoad = load;
    }
  }
  return best;
}

std::optional<std::uint32_t> SimulatedRouter::ChoosePrefixHome(
  std::uint64_t aPrefixHash)
{
  std::optional<std::uint32_t> best;
  std::uint64_t maxRank = 0;
  for (const EndpointView& view : mViews) {
    const std::uint64_t rank = RendezvousRank(aPrefixHash, view.mKey);
    if (!best || rank > maxRank) {
      best = view.mIndex;
      maxRank = rank;
    }
  }
  return best;
}

std::optional<std::uint32_t> SimulatedRouter::Choose(
  const SimulatedDispatch& aDispatch)
{
  switch (mScenario.mPolicy) {
    case Policy::Ours:
    case Policy::OursWithoutPrefix:
      return ChooseOurs(aDispatch);
    case Policy::LeastReported:
      return ChooseLeastReported();
    case Policy::PureAffinity:
      return ChoosePrefixHome(aDispatch.mPrefixHash);
    case Policy::RoundRobin:
    case Policy::Random:
    case Policy::Oracle:
      break;
  }
  for (std::size_t attempt = 0; attempt < 2 * mViews.size(); ++attempt) {
    const std::size_t viewIndex = mScenario.mPolicy == Policy::RoundRobin
                                    ? mRoundRobinPosition++ % mViews.size()
                                    : mRandom.Below(mViews.size());
    if (!mViews[viewIndex].mLeaving) {
      return mViews[viewIndex].mIndex;
    }
  }
  return std::nullopt;
}

AdmissionDecision SimulatedRouter::Admit(const std::string& aAccount,
                                         const WorkClass& aClass,
                                         const Settings& aSettings,
                                         double aNow)
{
  SimulatedDispatch dispatch;
  dispatch.mNow = aNow;
  dispatch.mClassServiceSeconds = aClass.mServiceSeconds;
  Refresh(dispatch);
  const PoolEstimate pool = EstimatePool(mViews, mLiveVms);
  AdmissionQuery query;
  query.mAccount = aAccount;
  query.mPriority = aClass.mPriority;
  query.mTimeLeft = ToDuration(aClass.mDeadlineSeconds);
  query.mLimitShare = 1.0 / mScenario.mVms;
  query.mLoad = { pool.mSlots,
                  pool.mInFlight,
                  pool.mSecondsPerRequest,
                  pool.mOwnInFlight,
                  pool.mOwnSlots };
  return mAdmission.Start(aSettings, query, AtSeconds(aNow));
}

void SimulatedRouter::RecordDispatch(std::uint32_t aReplica)
{
  if (mViewIndexes[aReplica] >= 0) {
    mViews[mViewIndexes[aReplica]].mOwnInFlight += 1;
  }
}

void SimulatedRouter::RecordEnd(std::uint32_t aReplica,
                                const EndpointOutcome& aOutcome,
                                double aNormalSeconds,
                                double aNow)
{
  const std::int32_t viewIndex = mViewIndexes[aReplica];
  if (viewIndex < 0) {
    return;
  }
  mViews[viewIndex].mOwnInFlight -= 1;
  mHealth[viewIndex] =
    WithOutcome(mHealth[viewIndex], aOutcome, AtSeconds(aNow));
  if (aOutcome.mSucceeded) {
    mInFlightServiceTime =
      WithServiceTime(mInFlightServiceTime, aNormalSeconds);
  } else {
    mHealth = WithEjections(mHealth, kMaxEjectedShare, AtSeconds(aNow));
  }
}

void SimulatedRouter::RecordLoadReport(std::uint32_t aReplica,
                                       std::int32_t aInFlight,
                                       std::int32_t aOwnInFlight,
                                       double aSampledAt)
{
  const std::int32_t viewIndex = mViewIndexes[aReplica];
  if (viewIndex < 0) {
    return;
  }
  mViews[viewIndex].mReportedInFlight = aInFlight;
  mViews[viewIndex].mOwnInFlightAtReport = aOwnInFlight;
  mReportedAt[viewIndex] = aSampledAt;
}

void SimulatedRouter::RecordDraining(std::uint32_t aReplica)
{
  if (mViewIndexes[aReplica] >= 0) {
    mViews[mViewIndexes[aReplica]].mLeaving = true;
  }
}

} // namespace Acaciavale::DecisionMeasure
