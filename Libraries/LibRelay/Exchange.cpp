#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <cmath>
#include <sstream>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Connect timeout as a share of the goal for the first event, and its limits:
/// above several round trips and below the retransmission of a lost packet.
constexpr double kConnectGoalShare = 0.5;
constexpr Duration kMinimumConnectTimeout = std::chrono::milliseconds(120);
constexpr Duration kMaximumConnectTimeout = std::chrono::milliseconds(400);
/// Factor on a VM's equal share of an endpoint's slots, because traffic is not
/// distributed evenly over the VMs. The minimum allows VMs to use endpoints
/// also when the share is small.
constexpr double kSlotShareFactor = 2;
constexpr std::int32_t kMinimumSlots = 4;

/// A number in [0, 1) derived from the text, equal on all VMs.
double DrawFromText(const std::string& aText)
{
  return static_cast<double>(XXH3_64bits(aText.data(), aText.size()) >> 11) *
         0x1.0p-53;
}

/// Maximum number of prompt parts in the log line of a request.
constexpr std::size_t kMaximumLoggedParts = 8;

} // namespace

std::string PartsText(const std::vector<PromptPart>& aParts)
{
  std::ostringstream text;
  text << std::hex;
  for (std::size_t index = 0;
       index < std::min(aParts.size(), kMaximumLoggedParts);
       ++index) {
    text << (index == 0 ? "" : ",") << aParts[index].mId;
  }
  return text.str();
}

void Exchange::Start(const std::shared_ptr<RelayState>& aState,
                     const std::shared_ptr<ClientSession>& aSession)
{
  const auto exchange = std::make_shared<Exchange>(aState, aSession);
  aSession->OnDisconnect(
    [exchange] { exchange->Finish("the caller disconnected"); });
  exchange->Begin();
}

Exchange::Exchange(std::shared_ptr<RelayState> aState,
                   std::shared_ptr<ClientSession> aSession)
  : mState(std::move(aState))
  , mSession(std::move(aSession))
  , mRequest(mState->mCodec.mDecodeRequest(mSession->OpenRequest().base()))
  , mArrivedAt(MonotonicNow())
  , mTimer(mState->mLoop)
  , mQueueTimer(mState->mLoop)
  , mFallbackTimer(mState->mLoop)
{
  mState->mExchanges.insert(this);
}

Exchange::~Exchange()
{
  mState->mExchanges.erase(this);
}

void Exchange::Begin()
{
  mSettings = mState->mSettings;
  if (!mSettings) {
    AwaitFleetView("no settings are known yet");
    return;
  }
  mRoute = FindRoute(*mSettings, mRequest.mHost, mRequest.mPath);
  if (mRoute == nullptr) {
    Refuse(404, "no route has this host and path");
    return;
  }
  if (mSettings->mRequiresKeys && !mRoute->mPublic) {
    if (!mState->AreKeysCurrent()) {
      AwaitFleetView("the settings may be out of date");
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

/// Waits for a view of the fleet, or refuses the request if that is no use.
void Exchange::AwaitFleetView(std::string_view aReason)
{
  const TimePoint now = MonotonicNow();
  const Duration waited = now - mArrivedAt;
  std::optional<Duration> timeLeft = mRequest.mTimeLeft;
  if (timeLeft) {
    *timeLeft -= waited;
  }
  const ViewWaitDecision decision = DecideViewWait(
    mState->mViewReads, timeLeft, waited, mState->mRandom.Unit(), now);
  if (decision.mWait <= Duration{}) {
    mState->mMetrics.Count("acaciavale_relay_view_waits_total",
                           { { "outcome", "refused" } });
    Refuse(503, aReason, decision.mRetryAfter);
    return;
  }
  mIsAwaitingView = true;
  mState->mAwaitingFleetView.push_back(weak_from_this());
  mTimer.StartTimeout(
    decision.mWait,
    [self = shared_from_this()] { self->OnFleetView(); },
    kTimeToCatchUp);
}

void Exchange::OnFleetView()
{
  if (mIsOver || !mIsAwaitingView) {
    return;
  }
  mIsAwaitingView = false;
  mTimer.Cancel();
  Begin();
  if (!mIsOver && !mIsAwaitingView) {
    mState->mMetrics.Count("acaciavale_relay_view_waits_total",
                           { { "outcome", "admitted" } });
  }
}

void Exchange::Admit()
{
  const Duration asked = mRequest.mTimeLeft.value_or(mRoute->mTimeout);
  mDeadline = mArrivedAt + std::min(asked, mRoute->mTimeout);
  if (mDeadline <= MonotonicNow()) {
    Refuse(503, "no time is left");
    return;
  }
  if (RefuseLate()) {
    return;
  }
  mTimer.StartTimeout(
    mDeadline - MonotonicNow(),
    [self = shared_from_this()] { self->OnDeadline(); },
    kTimeToCatchUp);
  mLastEventId = mRequest.mLastEventId;
  mVersionDraw =
    DrawFromText(mRequest.mSession.empty() ? mRequest.mId : mRequest.mSession);
  ChoosePool();
  const TimePoint now = MonotonicNow();
  mState->mRetryBudgets[mPool].RecordRequest(mState->mOptions.mRetryBudget,
                                             now);
  mState->mSilenceBudgets[mPool].RecordRequest(mState->mOptions.mRetryBudget,
                                               now);
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
    JoinQueue();
  }
}

EndpointSelection Exchange::SelectEndpoint()
{
  const std::optional<TrafficShift> shift = mState->TrafficShiftOf(mPool);
  const Pool* const pool = FindPool(*mSettings, mPool);
  EndpointSelectionQuery query;
  query.mPool = mPool;
  query.mWork = AttemptWorkFor(mModel);
  query.mFailureDomain = mState->mOptions.mFailureDomain;
  query.mLiveVms = static_cast<std::uint32_t>(mState->mLiveVms);
  query.mCrossDomainSeconds = InSeconds(mState->mOptions.mCrossDomainCost);
  query.mTriedEndpoints = mTriedEndpoints;
  query.mRankedCount = MayInquire() ? kMaximumInquired : 0;
  if (mInquiry) {
    query.mOnly = mInquiry->mOnly;
  }
  const auto endpoints = mState->mRegistry.EndpointsOf(mPool);
  std::int32_t slots = 1;
  for (const auto& endpoint : endpoints) {
    slots = std::max(slots, endpoint->mRecord.mSlots);
  }
  query.mMaximumInFlight = std::max(
    kMinimumSlots,
    static_cast<std::int32_t>(std::ceil(
      kSlotShareFactor * slots / static_cast<double>(mState->mLiveVms))));
  query.mEngineMemoryTokens = pool == nullptr ? 0 : pool->mEngineCacheTokens;
  if (pool != nullptr && pool->mMaxConnections > 0) {
    query.mMaximumInFlight =
      std::min(query.mMaximumInFlight,
               std::max(1,
                        static_cast<std::int32_t>(pool->mMaxConnections /
                                                  mState->mLiveVms)));
  }
  EndpointSelection selection;
  const bool hasSession = !mRequest.mSession.empty();
  VersionSide preferred = SideOf(shift, hasSession, mVersionDraw);
  if (!mTriedEndpoints.empty()) {
    preferred = SideAfterFailure(preferred,
                                 shift,
                                 hasSession,
                                 mIsStreaming,
                                 mTriedEndpoints.back()->mRecord.mVersion);
  }
  for (const VersionSide side : { preferred, FallbackSide(shift) }) {
    query.mAcceptsVersion = [this, side, &shift](const std::string& aVersion) {
      return AcceptsVersion(side, shift, aVersion) &&
             std::find(mExcludedVersions.begin(),
                       mExcludedVersions.end(),
                       aVersion) == mExcludedVersions.end();
    };
    selection =
      mState->mRegistry.Choose(query, mState->mRandom, MonotonicNow());
    // NOTE: A session waits for its version. Other requests rather run on
    //       another version than wait for an endpoint with a limit.
    const bool isLimited = selection.mLimited.mCount > 0;
    if (selection.mEndpoint || (isLimited ? hasSession : selection.mIsFull)) {
      break;
    }
  }
  mQuietUntil = selection.mQuietUntil;
  mLimited = selection.mLimited;
  mIsAnyEndpointFull = selection.mIsAnyFull;
  NoteMemory(selection);
  return selection;
}

bool Exchange::TryDispatch()
{
  if (RefuseUnsafePrompt() || RefuseLate()) {
    return true;
  }
  const EndpointSelection selection = SelectEndpoint();
  if (selection.mEndpoint) {
    if (!BeginInquiry(selection)) {
      StartAttempt(selection);
    }
    return true;
  }
  if (selection.mIsFull) {
    return false;
  }
  if (mAttempts.empty() && !mState->mViewReads.mHasHadView) {
    AwaitFleetView("no endpoints are known yet");
    return true;
  }
  Fail();
  return true;
}

double Exchange::SecondsLeft() const
{
  return InSeconds(mDeadline - MonotonicNow());
}

void Exchange::StartAttempt(const EndpointSelection& aSelection)
{
  const TimePoint now = MonotonicNow();
  PoolQueue& queue = mState->mQueues[mPool];
  queue.mStartInterval =
    WithStart(queue.mStartInterval, queue.mQueue.size() > 0, now);
  Attempt& attempt = mAttempts.emplace_back();
  attempt.mEndpoint = aSelection.mEndpoint;
  attempt.mModel = mModel;
  attempt.mWork = AttemptWorkFor(mModel);
  RecordWork(attempt.mWork, now);
  attempt.mStartedAt = now;
  attempt.mEventParser = EventStreamParser(mState->mCodec.mEventFields);
  LogEndOfQuiet(*attempt.mEndpoint);
  NotePlacement(aSelection);
  BeginEvidence(attempt);
  BeginTrial(attempt);
  mTriedEndpoints.push_back(attempt.mEndpoint.get());
  mState->mRegistry.RecordAttempt(*attempt.mEndpoint, attempt.mWork, now);

  AttemptOptions options;
  options.mTimeLeft = mDeadline - now;
  options.mEndpointId = attempt.mEndpoint->mRecord.mId;
  options.mAddress = attempt.mEndpoint->mRecord.mAddress;
  options.mAccount = mAccount == nullptr ? "" : mAccount->mName;
  options.mModel = mRoute->mModels.empty() ? "" : attempt.mWork.mModel;
  options.mLastEventId = mLastEventId;
  const Pool* const pool = FindPool(*mSettings, mPool);
  if (pool != nullptr && pool->mHasEngines) {
    options.mUrgency = UrgencyOf(*mSettings, mAccount, *mRoute);
  }
  const ClientSession::Request& request = mSession->OpenRequest();
  options.mBodyBytes = mSession->OpenBody()->size();
  CallOptions call;
  call.mAddress = options.mAddress;
  call.mHead = mState->mCodec.mEncodeAttempt(request.base(), options);
  call.mBody = mSession->OpenBody();
  call.mConnectTimeout = std::clamp(
    FromSeconds(kConnectGoalShare * InSeconds(mRoute->mFirstEventGoal)),
    kMinimumConnectTimeout,
    kMaximumConnectTimeout);
  call.mStallTimeout = mSettings->mBounds.mIdleTimeout;
  CallHandlers handlers;
  handlers.mOnHead = [self = shared_from_this(), &attempt](ResponseHead aHead) {
    self->OnHead(attempt, std::move(aHead));
  };
  handlers.mOnBody = [self = shared_from_this(),
                      &attempt](std::string_view aBytes) {
    self->OnBody(attempt, aBytes);
  };
  handlers.mOnEnd = [self = shared_from_this(), &attempt](CallResult aResult) {
    self->OnEnd(attempt, aResult);
  };
  attempt.mCall =
    OutboundCall::Start(mState->mLoop, std::move(call), std::move(handlers));
  ArmSilenceTimer(attempt,
                  FirstEventTimeout(aSelection.mExpectedFirstEventSeconds));
}

void Exchange::Fail()
{
  if (KeptAnswer() != nullptr) {
    FallBack(FallbackCause::Failed);
    return;
  }
  if (mIsStreaming) {
    mSession->Abort();
    Finish("the stream was aborted");
    return;
  }
  if (mErrorResponseHead) {
    mFirstEventMilliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
    mSession->Send(mState->mCodec.mEncodeResponse(*mErrorResponseHead),
                   mErrorResponseBody);
    Finish("the endpoint responded with an error");
    return;
  }
  if (mMayHaveRun) {
    Refuse(502, "the endpoints gave no answer");
    return;
  }
  if (mQuietUntil) {
    RefuseUntilQuietEnds(*mQuietUntil);
    return;
  }
  if (mLimited.mCount > 0 && !mIsAnyEndpointFull) {
    RefuseUntilPermit(mState->mQueues[mPool].mQueue.size());
    return;
  }
  RefuseForCapacity();
}

void Exchange::NoteOpenAttempts()
{
  for (const Attempt& attempt : mAttempts) {
    mMayHaveRun =
      mMayHaveRun || (!attempt.mIsOver && attempt.mCall->WasWritten());
  }
}

void Exchange::OnDeadline()
{
  if (mIsOver) {
    return;
  }
  NoteOpenAttempts();
  if (DeliverCompleteAnswer(FallbackCause::Deadline)) {
    return;
  }
  RecordDuration();
  if (mIsStreaming) {
    mSession->Abort();
    Finish("the stream was aborted at the deadline");
  } else if (mMayHaveRun) {
    Refuse(504, "the time was up before the answer");
  } else if (mQueueTicket) {
    RefuseForCapacity();
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
  mAttemptTrace += " refused=" + std::to_string(aStatus);
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
  mTimer.Cancel();
  EndInquiry(kAbandonedInquiry);
  mFallbackTimer.Cancel();
  LeaveQueue();
  for (const Attempt& attempt : mAttempts) {
    if (!attempt.mIsOver) {
      mAttemptTrace += " [" + attempt.mEndpoint->mRecord.mId + " open]";
    }
  }
  CancelOthers(nullptr);
  for (Attempt& attempt : mAttempts) {
    DropResponse(attempt);
    attempt.mKept.reset();
    attempt.mKeptHold.Release();
  }
  const double milliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
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
      { "parts", PartsText(mRequest.mParts) },
      { "settings", mSettings ? std::to_string(mSettings->mVersion) : "none" },
      { "view-ms",
        std::to_string(static_cast<std::int64_t>(
          InSeconds(SuspendAwareNow() - mState->mReadStartedAt) * 1000)) },
      { "first-ms",
        std::to_string(static_cast<std::int64_t>(mFirstEventMilliseconds)) },
      { "strain",
        std::to_string(mState->mRegistry.FirstEventGoalRatio(mPool))
          .substr(0, 4) },
      { "whole-ms", std::to_string(static_cast<std::int64_t>(milliseconds)) },
      { "sends", mAttemptTrace } });
}

} // namespace Acaciavale::Relay
