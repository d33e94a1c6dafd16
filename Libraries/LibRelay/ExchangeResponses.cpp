#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <boost/asio/post.hpp>

namespace Acaciavale::Relay {

using boost::system::error_code;
namespace http = boost::beast::http;

namespace {

/// Bytes of an answer that are held until it is whole. Larger ones than a
/// deployment's services give are failures, not data.
constexpr std::size_t kMaximumBufferedBytes = 8U << 20;
/// Bytes that a slow caller may leave untaken before its endpoint is not read
/// any further.
constexpr std::size_t kMaximumUnwrittenBytes = 256U << 10;
/// Patience with an endpoint that has not answered, as a share of the goal and
/// as a multiple of what was expected; the larger holds.
constexpr double kFirstEventGoalShare = 0.6;
constexpr double kFirstEventMultiple = 4;
/// Pause until a attempt that is out of patience but may not be given up is
/// looked at again.
constexpr Duration kSilenceRecheckDelay = std::chrono::milliseconds(200);
/// The same for the gap between two events of a stream, as shares of its goal:
/// where a further attempt may fail too, and where it would be the last, whose
/// failure loses what the caller has.
constexpr double kGapGoalShare = 0.7;
constexpr double kLastAttemptGapGoalShare = 2;
/// Sends for want of patience, as a share of the requests: when many endpoints
/// seem silent the pool is full, and more sends make it fuller.
constexpr double kSilenceRetryRatio = 0.1;
/// The same a window, so that a VM with few requests may have some.
constexpr double kSilenceRetrySlack = 3;
/// An answer that is late and took this many times the usual is an error of its
/// version: bad ones are several times slower.
constexpr double kSlowResponseMultiple = 4;
/// Connections that one request tries in vain, beside its sends.
constexpr std::int64_t kMaximumFailedConnections = 4;

bool IsSuccess(const ResponseHead& aHead)
{
  return http::to_status_class(aHead.result()) ==
         http::status_class::successful;
}

/// Statuses that promise that the request has not run.
bool PromisesNotExecuted(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

Duration Exchange::FirstEventTimeout(double aExpectedSeconds) const
{
  return FromSeconds(
    std::max(kFirstEventGoalShare * InSeconds(mRoute->mFirstEventGoal),
             kFirstEventMultiple * aExpectedSeconds));
}

void Exchange::ArmSilenceTimer(Attempt& aAttempt, Duration aTime)
{
  if (!MayRepeat(*mRoute)) {
    return;
  }
  if (!aAttempt.mSilenceTimer) {
    aAttempt.mSilenceTimer =
      std::make_unique<boost::asio::steady_timer>(mState->mLoop);
  }
  aAttempt.mSilenceTimer->expires_after(aTime);
  aAttempt.mSilenceTimer->async_wait(
    [self = shared_from_this(), &aAttempt](const error_code& aError) {
      if (!aError && !self->mIsOver && !aAttempt.mIsOver) {
        self->OnSilence(aAttempt);
      }
    });
}

void Exchange::OnSilence(Attempt& aAttempt)
{
  if (!MayAttemptAgain()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const bool isLast = aAttempt.mIsStream && mIsStreaming && AttemptsLeft() < 2;
  const bool isEarly =
    isLast && InSeconds(now - aAttempt.mLastEventAt) <
                kLastAttemptGapGoalShare * InSeconds(mRoute->mEventGapGoal);
  const RetryBudgetOptions impatience{ kSilenceRetryRatio,
                                       kSilenceRetrySlack,
                                       mState->mOptions.mRetryBudget.mWindow };
  const EndpointSelection selection =
    isEarly ? EndpointSelection{} : SelectEndpoint();
  const bool may =
    selection.mEndpoint &&
    mState->mSilenceBudgets[mPool].TrySpend(impatience, 1, now) &&
    mState->mRetryBudgets[mPool].TrySpend(
      mState->mOptions.mRetryBudget, mState->mLiveVms, now);
  if (!may) {
    ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
    return;
  }
  mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + " silent]";
  if (mRoute->mKind == RequestKind::Stream) {
    // NOTE: A stream's run must have ended before another one goes on.
    mMayHaveRun = true;
    aAttempt.mCall->Cancel();
    CloseAttempt(aAttempt, AttemptEnd::TimedOut);
  } else {
    mState->mMetrics.Count("acaciavale_relay_hedges_total",
                           { { "pool", mPool } });
  }
  StartAttempt(selection);
}

std::int64_t Exchange::AttemptsLeft() const
{
  return mRoute->mMaxAttempts -
         std::count_if(
           mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
             return aAttempt.mCall && aAttempt.mCall->WasWritten();
           });
}

bool Exchange::MayAttemptAgain() const
{
  return !mIsOver && AttemptsLeft() > 0 &&
         mFailedConnections <= kMaximumFailedConnections && SecondsLeft() > 0;
}

void Exchange::OnHead(Attempt& aAttempt, const ResponseHead& aHead)
{
  aAttempt.mHead = aHead;
  aAttempt.mResponseInfo = mState->mCodec.mDecodeResponse(aHead, mRequest);
  if (aAttempt.mResponseInfo.mLoad) {
    mState->mRegistry.RecordLoad(
      *aAttempt.mEndpoint, *aAttempt.mResponseInfo.mLoad, MonotonicNow());
  }
  const bool isSound = IsSuccess(aHead) &&
                       aAttempt.mResponseInfo.mHasEndpointStamp &&
                       aAttempt.mResponseInfo.mMatchesRequest &&
                       !aAttempt.mResponseInfo.mIsContentEncoded;
  aAttempt.mIsStream = isSound && mRoute->mKind == RequestKind::Stream;
  const bool mayEscalate = aAttempt.mIsStream && !mIsStreaming &&
                           aAttempt.mResponseInfo.mConfidence &&
                           !mRoute->mModels.empty();
  if (mayEscalate && MayAttemptAgain()) {
    const ModelDecision decision = ChooseEscalation(
      MakeModelQuery(), aAttempt.mModel, *aAttempt.mResponseInfo.mConfidence);
    if (decision.mIndex != aAttempt.mModel) {
      Escalate(aAttempt, decision.mIndex);
    }
  }
}

void Exchange::Escalate(Attempt& aAttempt, std::size_t aModel)
{
  const std::size_t before = mModel;
  mModel = aModel;
  // NOTE: The engine that has read the prompt for the smaller model is as good
  //       as any other for the larger one.
  std::erase(mTriedEndpoints, aAttempt.mEndpoint.get());
  const EndpointSelection selection = SelectEndpoint();
  if (!selection.mEndpoint ||
      !mState->mRetryBudgets[mPool].TrySpend(
        mState->mOptions.mRetryBudget, mState->mLiveVms, MonotonicNow())) {
    mModel = before;
    return;
  }
  mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + " unsure]";
  mMayHaveRun = true;
  OnFirstEvent(aAttempt);
  aAttempt.mCall->Cancel();
  CloseAttempt(aAttempt, AttemptEnd::Answered);
  StartAttempt(selection);
}

void Exchange::OnBody(Attempt& aAttempt, std::string_view aBytes)
{
  if (aAttempt.mIsStream) {
    OnEvents(aAttempt, aAttempt.mEvents.Append(aBytes));
    return;
  }
  if (aAttempt.mBody.size() + aBytes.size() > kMaximumBufferedBytes) {
    aAttempt.mCall->Cancel();
    OnEnd(aAttempt, CallResult::InvalidHttp);
    return;
  }
  aAttempt.mBody += aBytes;
}

void Exchange::OnFirstEvent(Attempt& aAttempt)
{
  if (aAttempt.mFirstEventSeconds > 0) {
    return;
  }
  const TimePoint now = MonotonicNow();
  aAttempt.mFirstEventSeconds =
    std::max(1e-6, InSeconds(now - aAttempt.mStartedAt));
  mState->mRegistry.RecordFirstEvent(
    *aAttempt.mEndpoint, aAttempt.mWork, aAttempt.mFirstEventSeconds, now);
  mState->mRegistry.RecordFirstEventGoalRatio(
    mPool,
    aAttempt.mFirstEventSeconds /
      std::max(0.001, InSeconds(mRoute->mFirstEventGoal)));
}

void Exchange::OnEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents)
{
  std::string text;
  for (StreamEvent& event : aEvents) {
    const bool wasSent =
      event.mId && mLastEventId && *event.mId <= *mLastEventId;
    if (wasSent) {
      continue;
    }
    if (event.mId) {
      mLastEventId = event.mId;
    }
    text += event.mText;
  }
  if (text.empty()) {
    return;
  }
  OnFirstEvent(aAttempt);
  aAttempt.mLastEventAt = MonotonicNow();
  if (!mIsStreaming) {
    mIsStreaming = true;
    mFirstEventMilliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
    mState->mMetrics.Observe("acaciavale_relay_first_event_seconds",
                             { { "pool", mPool } },
                             mFirstEventMilliseconds / 1000);
    mSession->BeginStream(mState->mCodec.mEncodeResponse(aAttempt.mHead));
    mSession->OnDrained([self = weak_from_this(), call = aAttempt.mCall] {
      if (const auto exchange = self.lock(); exchange && !exchange->mIsOver) {
        for (Attempt& attempt : exchange->mAttempts) {
          if (!attempt.mIsOver) {
            attempt.mCall->SetPaused(false);
          }
        }
      }
    });
  }
  mSession->SendChunk(text);
  if (mIsOver) {
    return;
  }
  ArmSilenceTimer(
    aAttempt, FromSeconds(kGapGoalShare * InSeconds(mRoute->mEventGapGoal)));
  if (mSession->UnwrittenBytes() > kMaximumUnwrittenBytes) {
    aAttempt.mCall->SetPaused(true);
  }
}

Exchange::AttemptEnd Exchange::Classify(const Attempt& aAttempt,
                                        CallResult aEnd) const
{
  if (aEnd == CallResult::NotConnected || aAttempt.mResponseInfo.mNotExecuted) {
    return AttemptEnd::NotExecuted;
  }
  if (aEnd != CallResult::Complete || !aAttempt.mResponseInfo.mMatchesRequest ||
      !aAttempt.mResponseInfo.mHasEndpointStamp ||
      aAttempt.mResponseInfo.mIsContentEncoded) {
    return AttemptEnd::MayHaveRun;
  }
  if (aAttempt.mIsStream) {
    return aAttempt.mEvents.IncompleteEvent().empty() ? AttemptEnd::Answered
                                                      : AttemptEnd::MayHaveRun;
  }
  if (PromisesNotExecuted(aAttempt.mHead.result_int())) {
    // NOTE: Without the endpoint's word for it, the caller must not read from
    //       this status that nothing ran.
    return AttemptEnd::MayHaveRun;
  }
  return aAttempt.mHead.result_int() >= 500 ? AttemptEnd::EndpointError
                                            : AttemptEnd::Answered;
}

void Exchange::CloseAttempt(Attempt& aAttempt, AttemptEnd aEnd)
{
  if (aAttempt.mIsOver) {
    return;
  }
  aAttempt.mIsOver = true;
  aAttempt.mSilenceTimer.reset();
  const TimePoint now = MonotonicNow();
  AttemptOutcome outcome;
  outcome.mFailed =
    aEnd != AttemptEnd::Answered && aEnd != AttemptEnd::Cancelled;
  outcome.mCountsAsEvidence = aEnd != AttemptEnd::Cancelled;
  outcome.mFirstEventSeconds = aAttempt.mFirstEventSeconds;
  outcome.mWholeSeconds = InSeconds(now - aAttempt.mStartedAt);
  mState->mRegistry.RecordEnd(*aAttempt.mEndpoint,
                              aAttempt.mWork,
                              aAttempt.mFirstEventSeconds > 0,
                              outcome,
                              now);
  const std::optional<TrafficShift> shift = mState->TrafficShiftOf(mPool);
  const bool tells = aEnd == AttemptEnd::Answered ||
                     aEnd == AttemptEnd::EndpointError ||
                     aEnd == AttemptEnd::TimedOut;
  if (shift && tells) {
    TrafficShiftEvidence& evidence = mState->mEvidence[mPool];
    const bool isNew =
      aAttempt.mEndpoint->mRecord.mVersion == shift->mOrder.mTarget;
    EvidenceCell& cell = isNew ? evidence.mNew : evidence.mOld;
    cell.mAnswers += 1;
    // NOTE: Only what the endpoint itself says is an error of its version;
    //       connections break, and a silent endpoint is one that is slow.
    const bool isSlow = aAttempt.mFirstEventSeconds >
                        std::max(InSeconds(mRoute->mFirstEventGoal),
                                 kSlowResponseMultiple *
                                   mState->mRegistry.ExpectedFirstEventSeconds(
                                     mPool, aAttempt.mWork));
    cell.mErrors += aEnd == AttemptEnd::EndpointError || isSlow ? 1 : 0;
    if (aEnd != AttemptEnd::EndpointError) {
      cell.mFirstTokenSeconds += aAttempt.mFirstEventSeconds > 0
                                   ? aAttempt.mFirstEventSeconds
                                   : outcome.mWholeSeconds;
    }
  }
  // NOTE: Not from here: the line may start sends, and this may be within one.
  boost::asio::post(
    mState->mLoop, [state = mState, pool = mPool] { state->ServeQueue(pool); });
}

void Exchange::CancelOthers(const Attempt* aWinner)
{
  for (Attempt& attempt : mAttempts) {
    if (&attempt != aWinner && !attempt.mIsOver) {
      attempt.mCall->Cancel();
      CloseAttempt(attempt, AttemptEnd::Cancelled);
    }
  }
}

void Exchange::ForwardResponse(const Attempt& aAttempt)
{
  mFirstEventMilliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
  mSession->Send(mState->mCodec.mEncodeResponse(aAttempt.mHead),
                 aAttempt.mBody);
  Finish("answered");
}

void Exchange::OnEnd(Attempt& aAttempt, CallResult aEnd)
{
  if (mIsOver || aAttempt.mIsOver) {
    return;
  }
  const AttemptEnd end = Classify(aAttempt, aEnd);
  if (end == AttemptEnd::Answered) {
    OnFirstEvent(aAttempt);
  }
  mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + ' ' +
                   std::string(Describe(aEnd)) + ' ' +
                   std::to_string(aAttempt.mHead.result_int());
  if (aAttempt.mResponseInfo.mConfidence) {
    mAttemptTrace +=
      " model " + std::to_string(aAttempt.mModel) + " sure " +
      std::to_string(*aAttempt.mResponseInfo.mConfidence).substr(0, 4);
  }
  mAttemptTrace += ']';
  CloseAttempt(aAttempt, end);
  if (aEnd == CallResult::NotConnected) {
    mFailedConnections += 1;
  }
  if (end == AttemptEnd::Answered) {
    CancelOthers(&aAttempt);
    if (aAttempt.mIsStream) {
      if (!mIsStreaming) {
        mIsStreaming = true;
        mSession->BeginStream(mState->mCodec.mEncodeResponse(aAttempt.mHead));
      }
      mSession->EndStream();
      Finish("streamed");
    } else {
      ForwardResponse(aAttempt);
    }
    return;
  }
  if (end == AttemptEnd::EndpointError && !mIsStreaming) {
    mErrorResponseHead = aAttempt.mHead;
    mErrorResponseBody = aAttempt.mBody;
  }
  RetryOrFail(end);
}

void Exchange::RetryOrFail(AttemptEnd aEnd)
{
  mMayHaveRun = mMayHaveRun || aEnd != AttemptEnd::NotExecuted;
  const bool othersAreOpen =
    std::any_of(mAttempts.begin(),
                mAttempts.end(),
                [](const Attempt& aAttempt) { return !aAttempt.mIsOver; });
  if (othersAreOpen) {
    return;
  }
  const bool mayRepeat = aEnd == AttemptEnd::NotExecuted || MayRepeat(*mRoute);
  // NOTE: What never arrived anywhere draws on no budget.
  const bool isFirst = std::none_of(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return aAttempt.mCall->WasWritten();
    });
  const bool may =
    mayRepeat && MayAttemptAgain() &&
    (isFirst ||
     mState->mRetryBudgets[mPool].TrySpend(
       mState->mOptions.mRetryBudget, mState->mLiveVms, MonotonicNow()));
  if (may) {
    Dispatch();
  } else {
    Fail();
  }
}

} // namespace Acaciavale::Relay
