#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <cmath>
#include <xxhash.h>

namespace Acaciavale::Relay {

using boost::system::error_code;

namespace {

/// How long a request waits for a view of the fleet that lets it go on: a VM
/// that has just started, or woken, has one within some store answers.
constexpr Duration kViewWait = std::chrono::milliseconds(400);
/// Advice to come back for what this VM can't tell yet.
constexpr Duration kReturnToOthers = std::chrono::milliseconds(250);
/// Time to set up a connection, as a share of the goal, and its bounds: above
/// some round trips, below the retransmission of a lost packet.
constexpr double kConnectShare = 0.5;
constexpr Duration kLeastConnect = std::chrono::milliseconds(120);
constexpr Duration kMostConnect = std::chrono::milliseconds(400);
/// A VM's part of an endpoint's slots, times this: VMs do not all have the
/// same traffic. At least some, so that small parts still use them.
constexpr double kSlotsShare = 2;
constexpr std::int32_t kLeastSlots = 4;
/// Share of the goal after which a request that waits in line is turned away.
constexpr double kLineShare = 0.75;

/// A number in [0, 1), the same on all VMs for the same text.
double DrawOf(const std::string& aText)
{
  return static_cast<double>(XXH3_64bits(aText.data(), aText.size()) >> 11) *
         0x1.0p-53;
}

} // namespace

void Exchange::Start(const std::shared_ptr<RelayState>& aState,
                     const std::shared_ptr<ClientSession>& aSession)
{
  const auto exchange = std::make_shared<Exchange>(aState, aSession);
  aSession->OnGone([exchange] { exchange->Finish("the caller left"); });
  exchange->Begin();
}

Exchange::Exchange(std::shared_ptr<RelayState> aState,
                   std::shared_ptr<ClientSession> aSession)
  : mState(std::move(aState))
  , mSession(std::move(aSession))
  , mRequest(mState->mCodec.mDecodeRequest(mSession->OpenRequest().base()))
  , mArrived(MonotonicNow())
  , mTimer(mState->mLoop)
  , mLineTimer(mState->mLoop)
{
  mState->mOpen += 1;
}

Exchange::~Exchange()
{
  mState->mOpen -= 1;
}

void Exchange::Begin()
{
  mSettings = mState->mSettings;
  if (!mSettings) {
    AwaitView("no settings are known yet");
    return;
  }
  mRoute = FindRoute(*mSettings, mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    Refuse(404, "no route has this host and path");
    return;
  }
  if (!mSettings->mAccounts.empty() && !mRoute->mPublic) {
    if (!mState->KnowsKeys()) {
      AwaitView("the settings may be out of date");
      return;
    }
    mAccount = FindAccount(*mSettings, mRequest.mKey);
    if (mAccount == nullptr) {
      Refuse(401, "the key is not known");
      return;
    }
  }
  Admit();
}

void Exchange::AwaitView(std::string_view aWhy)
{
  if (mHasView || mState->mReadingFails) {
    Refuse(503, aWhy, kReturnToOthers);
    return;
  }
  mState->mAwaitingView.push_back(weak_from_this());
  mTimer.expires_after(kViewWait);
  mTimer.async_wait([self = shared_from_this(),
                     why = std::string(aWhy)](const error_code& aError) {
    if (!aError && !self->mIsOver && !self->mHasView) {
      self->mHasView = true;
      self->Refuse(503, why, kReturnToOthers);
    }
  });
}

void Exchange::OnView()
{
  if (mIsOver || mHasView) {
    return;
  }
  mHasView = true;
  error_code ignored; // NOTE: A timer that ran out has answered.
  mTimer.cancel(ignored);
  Begin();
}

void Exchange::Admit()
{
  const Duration asked = mRequest.mTimeLeft.value_or(mRoute->mTimeout);
  mDeadline = mArrived + std::min(asked, mRoute->mTimeout);
  if (mDeadline <= MonotonicNow()) {
    Refuse(503, "no time is left");
    return;
  }
  mTimer.expires_at(mDeadline);
  mTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError) {
      self->OnDeadline();
    }
  });
  mLastEvent = mRequest.mLastEvent;
  mSideDraw =
    DrawOf(mRequest.mSession.empty() ? mRequest.mId : mRequest.mSession);
  ChoosePool();
  const TimePoint now = MonotonicNow();
  mState->mBudgets[mPool].RecordRequest(mState->mOptions.mRetryBudget, now);
  mState->mImpatience[mPool].RecordRequest(mState->mOptions.mRetryBudget, now);
  ChooseFirstModel();
  Dispatch();
}

void Exchange::ChoosePool()
{
  double sum = 0;
  for (const PoolShare& share : mRoute->mPools) {
    sum += share.mWeight;
  }
  double draw = mState->mRandom.Unit() * sum;
  for (const PoolShare& share : mRoute->mPools) {
    mPool = share.mPool;
    draw -= share.mWeight;
    if (draw < 0) {
      break;
    }
  }
}

void Exchange::Dispatch()
{
  if (!TryDispatch()) {
    StandInLine();
  }
}

Place Exchange::FindPlace()
{
  const std::optional<Course> course = mState->CourseOf(mPool);
  const Pool* const pool = FindPool(*mSettings, mPool);
  PlaceQuery query;
  query.mPool = mPool;
  query.mWork = WorkFor(mModel);
  query.mFailureDomain = mState->mOptions.mFailureDomain;
  query.mLiveVms = static_cast<std::uint32_t>(mState->mLiveVms);
  query.mCrossDomainSeconds = InSeconds(mState->mOptions.mCrossDomainCost);
  query.mTried = mTried;
  const auto endpoints = mState->mBook.EndpointsOf(mPool);
  std::int32_t slots = 1;
  for (const auto& endpoint : endpoints) {
    slots = std::max(slots, endpoint->mRecord.mSlots);
  }
  query.mMostInFlight =
    std::max(kLeastSlots,
             static_cast<std::int32_t>(std::ceil(
               kSlotsShare * slots / static_cast<double>(mState->mLiveVms))));
  if (pool != nullptr && pool->mMaxConnections > 0) {
    query.mMostInFlight =
      std::min(query.mMostInFlight,
               std::max(1,
                        static_cast<std::int32_t>(pool->mMaxConnections /
                                                  mState->mLiveVms)));
  }
  Place place;
  const bool hasSession = !mRequest.mSession.empty();
  VersionSide first = SideOf(course, hasSession, mSideDraw);
  if (!mTried.empty()) {
    first = SideAfterFailure(
      first, course, hasSession, mIsStreaming, mTried.back()->mRecord.mVersion);
  }
  for (const VersionSide side : { first, FallbackSide(course) }) {
    query.mMayTake = [side, &course](const std::string& aVersion) {
      return MayTake(side, course, aVersion);
    };
    place = mState->mBook.Choose(query, mState->mRandom, MonotonicNow());
    if (place.mEndpoint || place.mIsFull) {
      break;
    }
  }
  return place;
}

bool Exchange::TryDispatch()
{
  const Place place = FindPlace();
  if (place.mEndpoint) {
    SendTo(place);
    return true;
  }
  if (place.mIsFull) {
    return false;
  }
  if (mSends.empty() && !mState->mIsTold) {
    AwaitView("no endpoints are known yet");
    return true;
  }
  GiveUp();
  return true;
}

void Exchange::StandInLine()
{
  PoolLine& pool = mState->mLines[mPool];
  WaitingWork work;
  work.mUrgency = UrgencyOf(*mSettings, mAccount, *mRoute);
  work.mAccount = mAccount == nullptr ? "" : mAccount->mName;
  work.mSince = MonotonicNow();
  work.mStartBy = std::min(
    mDeadline, mArrived + FromSeconds(kLineShare * InSeconds(mRoute->mGoal)));
  const double left = InSeconds(work.mStartBy - work.mSince);
  const std::size_t before = pool.mLine.Before(work, work.mSince);
  if (left <= 0 || IsHopeless(pool.mPace, before, left)) {
    GiveUp();
    return;
  }
  mTicket = pool.mLine.Add(work);
  pool.mWaiting[*mTicket] = weak_from_this();
  mLineTimer.expires_at(work.mStartBy);
  mLineTimer.async_wait([self = shared_from_this()](const error_code& aError) {
    if (!aError && !self->mIsOver && self->mTicket) {
      self->GiveUp();
    }
  });
}

bool Exchange::TryLeaveLine()
{
  if (mIsOver || !mTicket) {
    return true;
  }
  const Place place = FindPlace();
  if (!place.mEndpoint && place.mIsFull) {
    return false;
  }
  mTicket.reset();
  error_code ignored; // NOTE: A timer that ran out has answered.
  mLineTimer.cancel(ignored);
  if (place.mEndpoint) {
    SendTo(place);
  } else {
    GiveUp();
  }
  return true;
}

double Exchange::SecondsLeft() const
{
  return InSeconds(mDeadline - MonotonicNow());
}

void Exchange::SendTo(const Place& aPlace)
{
  const TimePoint now = MonotonicNow();
  PoolLine& line = mState->mLines[mPool];
  line.mPace = WithStart(line.mPace, line.mLine.size() > 0, now);
  line.mLine.RecordStart(mAccount == nullptr ? "" : mAccount->mName);
  Send& send = mSends.emplace_back();
  send.mEndpoint = aPlace.mEndpoint;
  send.mModel = mModel;
  send.mWork = WorkFor(mModel);
  send.mStarted = now;
  mTried.push_back(send.mEndpoint.get());
  mState->mBook.RecordSend(*send.mEndpoint, send.mWork, now);

  SendTerms terms;
  terms.mTimeLeft = mDeadline - now;
  terms.mEndpoint = send.mEndpoint->mRecord.mId;
  terms.mAddress = send.mEndpoint->mRecord.mAddress;
  terms.mAccount = mAccount == nullptr ? "" : mAccount->mName;
  terms.mModel = mRoute->mModels.empty() ? "" : send.mWork.mModel;
  terms.mLastEvent = mLastEvent;
  const Pool* const pool = FindPool(*mSettings, mPool);
  if (pool != nullptr && pool->mHasEngines) {
    terms.mUrgency = UrgencyOf(*mSettings, mAccount, *mRoute);
  }
  const ClientSession::Request& request = mSession->OpenRequest();
  terms.mBodyBytes = request.body().size();
  CallTerms call;
  call.mAddress = terms.mAddress;
  call.mHead = mState->mCodec.mEncodeSend(request.base(), terms);
  call.mBody = request.body();
  call.mConnectTimeout =
    std::clamp(FromSeconds(kConnectShare * InSeconds(mRoute->mGoal)),
               kLeastConnect,
               kMostConnect);
  CallHandlers handlers;
  handlers.mOnHead = [self = shared_from_this(), &send](
                       const AnswerHead& aHead) { self->OnHead(send, aHead); };
  handlers.mOnBody = [self = shared_from_this(), &send](
                       std::string_view aBytes) { self->OnBody(send, aBytes); };
  handlers.mOnEnd = [self = shared_from_this(), &send](CallEnd aEnd) {
    self->OnEnd(send, aEnd);
  };
  send.mCall =
    OutboundCall::Start(mState->mLoop, std::move(call), std::move(handlers));
  ArmPatience(send, FirstPatience(aPlace.mExpectedSeconds));
}

void Exchange::GiveUp()
{
  if (mFailureHead) {
    mFirstMilliseconds = InSeconds(MonotonicNow() - mArrived) * 1000;
    mSession->Send(mState->mCodec.mEncodeAnswer(*mFailureHead), mFailureBody);
    Finish("the endpoint failed it");
    return;
  }
  if (mIsStreaming) {
    mSession->Break();
    Finish("broken off");
    return;
  }
  if (mMayHaveRun) {
    Refuse(502, "the endpoints gave no answer");
    return;
  }
  const PoolLine& line = mState->mLines[mPool];
  Refuse(503,
         mTicket ? "no place came free in time" : "no endpoint took it",
         ReturnAfter(line.mPace, line.mLine.size(), mState->mRandom.Unit()));
}

void Exchange::OnDeadline()
{
  if (mIsOver) {
    return;
  }
  for (const Send& send : mSends) {
    mMayHaveRun = mMayHaveRun || (!send.mIsOver && send.mCall->WasWritten());
  }
  if (mIsStreaming) {
    mSession->Break();
    Finish("broken off at its deadline");
  } else if (mMayHaveRun) {
    Refuse(504, "the time was up before the answer");
  } else {
    Refuse(503, "the time was up before a place came free");
  }
}

void Exchange::Refuse(unsigned aStatus,
                      std::string_view aReason,
                      std::optional<Duration> aRetryAfter)
{
  if (mIsOver) {
    return;
  }
  const Refusal refusal{ aStatus, std::string(aReason), aRetryAfter };
  mTrace += " refused=" + std::to_string(aStatus);
  mState->mMetrics.Count("acaciavale_relay_refusals_total",
                         { { "status", std::to_string(aStatus) } });
  mSession->Send(mState->mCodec.mEncodeRefusal(refusal, mRequest),
                 std::string(aReason) + "\n");
  Finish(aReason);
}

void Exchange::Finish(std::string_view aOutcome)
{
  if (mIsOver) {
    return;
  }
  mIsOver = true;
  error_code ignored; // NOTE: The answer is given either way.
  mTimer.cancel(ignored);
  mLineTimer.cancel(ignored);
  if (mTicket) {
    PoolLine& line = mState->mLines[mPool];
    line.mLine.Remove(*mTicket);
    line.mWaiting.erase(*mTicket);
    mTicket.reset();
  }
  for (const Send& send : mSends) {
    if (!send.mIsOver) {
      mTrace += " [" + send.mEndpoint->mRecord.mId + " open]";
    }
  }
  CancelOthers(nullptr);
  const double milliseconds = InSeconds(MonotonicNow() - mArrived) * 1000;
  const std::string route = mRoute == nullptr ? "" : mRoute->mName;
  mState->mMetrics.Observe("acaciavale_relay_request_seconds",
                           { { "pool", mPool } },
                           milliseconds / 1000);
  Log(
    LogLevel::Info,
    "request",
    aOutcome,
    { { "id", mRequest.mId },
      { "route", route },
      { "account", mAccount == nullptr ? "" : mAccount->mName },
      { "settings", mSettings ? std::to_string(mSettings->mVersion) : "none" },
      { "view-ms",
        std::to_string(static_cast<std::int64_t>(
          InSeconds(SuspendAwareNow() - mState->mAskedAt) * 1000)) },
      { "first-ms",
        std::to_string(static_cast<std::int64_t>(mFirstMilliseconds)) },
      { "strain", std::to_string(mState->mBook.Strain(mPool)).substr(0, 4) },
      { "whole-ms", std::to_string(static_cast<std::int64_t>(milliseconds)) },
      { "sends", mTrace } });
}

} // namespace Acaciavale::Relay
