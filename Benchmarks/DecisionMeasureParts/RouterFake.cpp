#include "RouterFake.h"

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr std::uint64_t kVmStride = 7919;
constexpr double kEjectionCeiling = 0.34;

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

RouterFake::RouterFake(const PoolScenario& aScenario,
                       std::uint32_t aVm,
                       std::uint32_t aDomain)
  : mScenario(aScenario)
  , mDomain(aDomain)
  , mLiveVms(aScenario.mVms)
  , mRandom(aScenario.mSeed * kVmStride + aVm)
  , mPositions(aScenario.mReplicas, -1)
  , mNext(mRandom.Below(aScenario.mReplicas))
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
    mPositions[replica] = static_cast<std::int32_t>(mViews.size());
    mViews.push_back(view);
  }
  mHealth.resize(mViews.size());
  mReportedAt.resize(mViews.size(), 0);
}

void RouterFake::Refresh(const DispatchFake& aDispatch)
{
  const TimePoint now = AtSeconds(aDispatch.mNow);
  for (std::size_t index = 0; index < mViews.size(); ++index) {
    EndpointView& view = mViews[index];
    const EndpointHealth& health = mHealth[index];
    view.mReportAge = ToDuration(aDispatch.mNow - mReportedAt[index]);
    view.mSecondsPerRequest =
      health.mSecondsPerRequest * aDispatch.mClassSeconds;
    view.mInFlightServiceSeconds =
      health.mSecondsPerRequest * MeanInFlightSeconds(mTurnover);
    view.mErrorRate = ExpectedErrorRate(health, now);
    view.mEjected = IsBlocked(health, view.mOwnInFlight, now);
    view.mCachedPrefixShare = 0;
    if (aDispatch.mCached != nullptr &&
        (*aDispatch.mCached)[view.mIndex][aDispatch.mPrefix] != 0) {
      view.mCachedPrefixShare = 1;
    }
  }
}

std::optional<std::uint32_t> RouterFake::ChooseOurs(
  const DispatchFake& aDispatch)
{
  Refresh(aDispatch);
  EndpointQuery query;
  query.mFailureDomain = mDomain;
  query.mLiveVms = mLiveVms;
  query.mExcluded = aDispatch.mTried;
  if (aDispatch.mCached != nullptr) {
    query.mPrefillSeconds = mScenario.mPrefillSeconds;
    query.mPrefixHash = aDispatch.mPrefixHash;
  }
  query.mReservedShare = ReservedShare(aDispatch.mPriority);
  return ChooseEndpoint(mViews, query, mRandom).mIndex;
}

std::optional<std::uint32_t> RouterFake::ChooseLeastReported()
{
  std::optional<std::uint32_t> best;
  std::int32_t least = 0;
  std::uint64_t ties = 0;
  for (const EndpointView& view : mViews) {
    if (view.mLeaving) {
      continue;
    }
    const std::int32_t load = view.mReportedInFlight;
    ties = best && load == least ? ties + 1 : 1;
    if (!best || load < least || (load == least && mRandom.Below(ties) == 0)) {
      best = view.mIndex;
      least = load;
    }
  }
  return best;
}

std::optional<std::uint32_t> RouterFake::ChooseHome(std::uint64_t aPrefixHash)
{
  std::optional<std::uint32_t> best;
  std::uint64_t highest = 0;
  for (const EndpointView& view : mViews) {
    const std::uint64_t rank = RendezvousRank(aPrefixHash, view.mKey);
    if (!best || rank > highest) {
      best = view.mIndex;
      highest = rank;
    }
  }
  return best;
}

std::optional<std::uint32_t> RouterFake::Choose(const DispatchFake& aDispatch)
{
  switch (mScenario.mPolicy) {
    case Policy::Ours:
    case Policy::OursWithoutPrefix:
      return ChooseOurs(aDispatch);
    case Policy::LeastReported:
      return ChooseLeastReported();
    case Policy::PureAffinity:
      return ChooseHome(aDispatch.mPrefixHash);
    case Policy::RoundRobin:
    case Policy::Random:
    case Policy::Oracle:
      break;
  }
  for (std::size_t tries = 0; tries < 2 * mViews.size(); ++tries) {
    const std::size_t position = mScenario.mPolicy == Policy::RoundRobin
                                   ? mNext++ % mViews.size()
                                   : mRandom.Below(mViews.size());
    if (!mViews[position].mLeaving) {
      return mViews[position].mIndex;
    }
  }
  return std::nullopt;
}

AdmissionDecision RouterFake::Admit(const std::string& aAccount,
                                    const WorkClass& aClass,
                                    const Settings& aSettings,
                                    double aNow)
{
  DispatchFake dispatch;
  dispatch.mNow = aNow;
  dispatch.mClassSeconds = aClass.mSeconds;
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

void RouterFake::NoteSent(std::uint32_t aReplica)
{
  if (mPositions[aReplica] >= 0) {
    mViews[mPositions[aReplica]].mOwnInFlight += 1;
  }
}

void RouterFake::NoteEnded(std::uint32_t aReplica,
                           const EndpointOutcome& aOutcome,
                           double aNormalSeconds,
                           double aNow)
{
  const std::int32_t position = mPositions[aReplica];
  if (position < 0) {
    return;
  }
  mViews[position].mOwnInFlight -= 1;
  mHealth[position] = WithOutcome(mHealth[position], aOutcome, AtSeconds(aNow));
  if (aOutcome.mSucceeded) {
    mTurnover = WithServiceTime(mTurnover, aNormalSeconds);
  } else {
    mHealth = WithEjections(mHealth, kEjectionCeiling, AtSeconds(aNow));
  }
}

void RouterFake::NoteReport(std::uint32_t aReplica,
                            std::int32_t aInFlight,
                            std::int32_t aOwnInFlight,
                            double aTakenAt)
{
  const std::int32_t position = mPositions[aReplica];
  if (position < 0) {
    return;
  }
  mViews[position].mReportedInFlight = aInFlight;
  mViews[position].mOwnInFlightAtReport = aOwnInFlight;
  mReportedAt[position] = aTakenAt;
}

void RouterFake::NoteLeaving(std::uint32_t aReplica)
{
  if (mPositions[aReplica] >= 0) {
    mViews[mPositions[aReplica]].mLeaving = true;
  }
}

} // namespace Acaciavale::DecisionMeasure
