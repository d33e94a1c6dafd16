#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace Acaciavale::Relay {

namespace http = boost::beast::http;

namespace {

/// Timeout for the first event, as a share of its goal and as a multiple of its
/// expected time. The larger value applies.
constexpr double kFirstEventGoalShare = 0.6;
constexpr double kFirstEventMultiple = 4;
/// Timeout for the gap between two events of a stream, as a share of its goal,
/// when the next attempt would be the last one, whose failure would break off
/// the caller's stream.
constexpr double kLastAttemptGapGoalShare = 2;
/// Maximum number of attempts after a silent one, as a share of the requests.
/// If many endpoints are silent, the pool is overloaded, and further attempts
/// would add to its load.
constexpr double kSilenceRetryRatio = 0.1;
/// Additional number of attempts after a silent one per window, for VMs with
/// few requests.
constexpr double kSilenceRetrySlack = 3;
/// Maximum number of failed connections per request, in addition to its
/// attempts.
constexpr std::int64_t kMaximumFailedConnections = 4;

/// Whether the response to a request of the method may have a body.
bool MayHaveBody(const ResponseHead& aHead, http::verb aMethod)
{
  return aMethod != http::verb::head &&
         aHead.result() != http::status::no_content;
}

/// What ends the body of the response, for the log.
std::string_view FramingOf(const ResponseHead& aHead)
{
  if (EndsWithConnection(aHead)) {
    return "until-close";
  }
  return aHead.count(http::field::transfer_encoding) > 0 ? "chunked" : "length";
}

/// Whether callers conclude from a status that the request was not executed.
bool PromisesNotExecuted(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

bool IsSuccess(const ResponseHead& aHead)
{
  return http::to_status_class(aHead.result()) ==
         http::status_class::successful;
}

bool EndsWithConnection(const ResponseHead& aHead)
{
  return aHead.count(http::field::transfer_encoding) == 0 &&
         aHead.count(http::field::content_length) == 0;
}

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
    aAttempt.mSilenceTimer = std::make_unique<Timer>(mState->mLoop);
  }
  aAttempt.mSilenceTimer->StartTimeout(
    aTime,
    [self = shared_from_this(), &aAttempt] { self->OnSilence(aAttempt); },
    aTime);
}

/// Ends all other attempts, as the endpoint of aAttempt has begun the stream.
void Exchange::TakeOver(const Attempt& aAttempt)
{
  for (Attempt& other : mAttempts) {
    if (&other == &aAttempt || other.mIsOver || !other.mIsSilent) {
      continue;
    }
    mAttemptTrace += " [" + other.mEndpoint->mRecord.mId + " silent]";
    other.mCall->Cancel();
    CloseAttempt(other, AttemptEnd::TimedOut);
    DropResponse(other);
  }
  CancelOthers(&aAttempt);
}

void Exchange::OnSilence(Attempt& aAttempt)
{
  if (aAttempt.mCall->IsPaused() || aAttempt.mKept) {
    // NOTE: The VM does not read, as the caller does not. The timer starts
    //       again when it reads on. No caller waits for a kept answer.
    return;
  }
  const bool isReplaced =
    aAttempt.mIsSilent &&
    std::any_of(
      mAttempts.begin(), mAttempts.end(), [&aAttempt](const Attempt& aOther) {
        return !aOther.mIsOver && aOther.mStartedAt > aAttempt.mStartedAt;
      });
  if (isReplaced) {
    ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
    return;
  }
  if (!MayAttemptAgain()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const bool isLast = aAttempt.mIsStream && mIsStreaming && AttemptsLeft() < 2;
  const bool isEarly =
    isLast && InSeconds(now - aAttempt.mLastEventAt) <
                kLastAttemptGapGoalShare * InSeconds(mRoute->mEventGapGoal);
  const RetryBudgetOptions silenceBudget{
    kSilenceRetryRatio,
    kSilenceRetrySlack,
    mState->mOptions.mRetryBudget.mWindow
  };
  const bool isUnsafe = PromptDecisionNow().mVerdict != PromptVerdict::Send;
  const EndpointSelection selection = isEarly || isUnsafe || IsFallbackNearer()
                                        ? EndpointSelection{}
                                        : SelectEndpoint();
  const bool isAllowed =
    selection.mEndpoint &&
    mState->mSilenceBudgets[mPool].TrySpend(silenceBudget, 1, now) &&
    mState->mRetryBudgets[mPool].TrySpend(
      mState->mOptions.mRetryBudget, mState->mLiveVms, now);
  if (!isAllowed) {
    ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
    return;
  }
  mState->mMetrics.Count("acaciavale_relay_hedges_total",
                         { { "pool", mPool } });
  StartAttempt(selection);
  if (mRoute->mKind == RequestKind::Stream) {
    // NOTE: The other endpoint may refuse the stream at any time until it has
    //       begun it, and the silent one go on.
    mMayHaveRun = true;
    aAttempt.mIsSilent = true;
    ArmSilenceTimer(aAttempt, kSilenceRecheckDelay);
  } else {
    mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + " silent]";
  }
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
  // NOTE: Nothing tells another endpoint where a stream without ids goes on.
  const bool hasBegunWithoutIds =
    mIsStreaming && mLastEventId == mRequest.mLastEventId;
  return !mIsOver && !hasBegunWithoutIds && AttemptsLeft() > 0 &&
         mFailedConnections <= kMaximumFailedConnections && SecondsLeft() > 0;
}

void Exchange::OnHead(Attempt& aAttempt, ResponseHead aHead)
{
  aAttempt.mHead = std::move(aHead);
  aAttempt.mHeadBytes = aAttempt.mCall->HeadBytes();
  const ResponseHead& head = aAttempt.mHead;
  aAttempt.mResponseInfo = mState->mCodec.mDecodeResponse(head, mRequest);
  if (aAttempt.mResponseInfo.mLoad) {
    mState->mRegistry.RecordLoad(
      *aAttempt.mEndpoint, *aAttempt.mResponseInfo.mLoad, MonotonicNow());
  }
  if (aAttempt.mResponseInfo.mIsEndpointLeaving) {
    OnEndpointLeaving(aAttempt);
  }
  const QuietTime& quiet = aAttempt.mResponseInfo.mQuietTime;
  if (quiet.mDuration > Duration{} || !quiet.mProblem.empty()) {
    OnEndpointQuiet(aAttempt);
  }
  OnEndpointLimit(aAttempt);
  const bool isValid = IsSuccess(head) &&
                       aAttempt.mResponseInfo.mHasEndpointStamp &&
                       aAttempt.mResponseInfo.mMatchesRequest &&
                       !aAttempt.mResponseInfo.mNotExecuted &&
                       !aAttempt.mResponseInfo.mIsContentEncoded;
  aAttempt.mIsStream = isValid && mRoute->mKind == RequestKind::Stream &&
                       !aAttempt.mResponseInfo.mIsOtherThanEvents &&
                       MayHaveBody(head, mSession->OpenRequest().method());
  if (aAttempt.mIsStream) {
    TakeOver(aAttempt);
    HoldResponse(aAttempt, 0);
  } else {
    HoldStatedLength(aAttempt);
  }
  const bool mayEscalate = aAttempt.mIsStream && !mIsStreaming &&
                           aAttempt.mResponseInfo.mConfidence &&
                           !mRoute->mModels.empty();
  if (mayEscalate && MayAttemptAgain()) {
    const ModelDecision decision = ChooseEscalation(
      MakeModelQuery(), aAttempt.mModel, *aAttempt.mResponseInfo.mConfidence);
    const bool isLarger = decision.mIndex != aAttempt.mModel;
    if (isLarger && IsPromptProvenSound()) {
      Escalate(aAttempt, decision.mIndex);
    } else if (isLarger) {
      // NOTE: The endpoint may crash under the prompt also after the attempt is
      //       cancelled. Its first event shows that it does not.
      aAttempt.mModelAfterFirstEvent = decision.mIndex;
    }
  }
}

Exchange::AttemptEnd Exchange::Classify(const Attempt& aAttempt,
                                        CallResult aResult) const
{
  if (aResult == CallResult::NotConnected) {
    return AttemptEnd::NotExecuted;
  }
  if (aAttempt.mResponseInfo.mNotExecuted) {
    return IsRefusalDoubtful(aAttempt) ? AttemptEnd::MayHaveRun
                                       : AttemptEnd::NotExecuted;
  }
  if (aResult != CallResult::Complete ||
      aAttempt.mHead.result() == http::status::switching_protocols ||
      aAttempt.mFirstResponse.value_or(FirstResponse::Complete) !=
        FirstResponse::Complete ||
      !aAttempt.mResponseInfo.mMatchesRequest ||
      !aAttempt.mResponseInfo.mHasEndpointStamp ||
      aAttempt.mResponseInfo.mIsContentEncoded) {
    return AttemptEnd::MayHaveRun;
  }
  if (aAttempt.mIsStream) {
    const bool isReplay = mIsStreaming && aAttempt.mEventParser.LastId();
    const bool hasNoEvent = !isReplay &&
                            aAttempt.mJudged->mTiming.mEvents == 0 &&
                            EndsWithConnection(aAttempt.mHead);
    const bool endsBetweenEvents = BytesAfterEvents(aAttempt).find_first_not_of(
                                     "\r\n") == std::string_view::npos;
    return hasNoEvent || !endsBetweenEvents ? AttemptEnd::MayHaveRun
                                            : AttemptEnd::Answered;
  }
  if (PromisesNotExecuted(aAttempt.mHead.result_int())) {
    // NOTE: The endpoint did not state that the request was not executed, so
    //       the caller must not conclude it from this status.
    return AttemptEnd::MayHaveRun;
  }
  // NOTE: A response of another kind cannot follow the events of a stream.
  return aAttempt.mHead.result_int() >= 500 || mIsStreaming
           ? AttemptEnd::EndpointError
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
  // NOTE: An endpoint that asks for quiet is well. Ejecting it would prolong
  //       the time that it asked for.
  outcome.mCountsAsEvidence =
    aEnd != AttemptEnd::Cancelled &&
    aAttempt.mResponseInfo.mQuietTime.mDuration == Duration{};
  outcome.mFirstEventSeconds = aAttempt.mFirstEventSeconds;
  outcome.mTotalSeconds = InSeconds(now - aAttempt.mStartedAt);
  mState->mRegistry.RecordEnd(*aAttempt.mEndpoint,
                              aAttempt.mWork,
                              aAttempt.mFirstEventSeconds > 0,
                              outcome,
                              now);
  EndEvidence(aAttempt, aEnd);
  EndTrial(aAttempt);
  // NOTE: The call is posted, because the queue may start attempts and this
  //       function may be called while an attempt is started.
  boost::asio::post(
    mState->mLoop, [state = mState, pool = mPool] { state->ServeQueue(pool); });
}

/// Frees what is kept of the response to an attempt that is over.
void Exchange::DropResponse(Attempt& aAttempt)
{
  // NOTE: An assignment would keep the memory of the texts.
  const auto free = [](auto& aValue) {
    const auto freed = std::exchange(aValue, {});
  };
  free(aAttempt.mHead);
  free(aAttempt.mBody);
  free(aAttempt.mEventParser);
  free(aAttempt.mHeldComments);
  aAttempt.mHeadBytes = 0;
  aAttempt.mBodyHold.Release();
}

/// Cancels the attempts other than aNeeded. Kept answers stay, unless no
/// attempt is needed.
void Exchange::CancelOthers(const Attempt* aNeeded)
{
  for (Attempt& attempt : mAttempts) {
    const bool isKept = aNeeded != nullptr && attempt.mKept;
    if (&attempt != aNeeded && !attempt.mIsOver && !isKept) {
      attempt.mCall->Cancel();
      CloseAttempt(attempt, AttemptEnd::Cancelled);
      DropResponse(attempt);
    }
  }
}

void Exchange::ForwardResponse(Attempt& aAttempt)
{
  mFirstEventMilliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
  mSession->Send(
    mState->mCodec.mEncodeResponse(aAttempt.mHead),
    ShareText(std::move(aAttempt.mBody), std::move(aAttempt.mBodyHold)));
  Finish("answered");
}

void Exchange::RejectAnswer(Attempt& aAttempt, std::string_view aReason)
{
  aAttempt.mCall->Cancel();
  aAttempt.mRejection = std::string(aReason);
  OnEnd(aAttempt, CallResult::InvalidHttp);
}

void Exchange::CountBrokenAnswer(const std::string& aReason)
{
  mState->mMetrics.Count("acaciavale_relay_broken_answers_total",
                         { { "pool", mPool }, { "reason", aReason } });
}

void Exchange::OnEnd(Attempt& aAttempt, CallResult aResult)
{
  if (mIsOver || aAttempt.mIsOver) {
    return;
  }
  if (aResult == CallResult::Complete || aAttempt.mResponseInfo.mNotExecuted) {
    CutSecondResponse(aAttempt);
  }
  const AttemptEnd end = Classify(aAttempt, aResult);
  if (aAttempt.mResponseInfo.mNotExecuted) {
    aAttempt.mCall->Cancel();
  } else if (aAttempt.mCall->IsSending()) {
    mState->KeepSendingCall(aAttempt.mCall);
    mState->mMetrics.Count("acaciavale_relay_early_answers_total",
                           { { "pool", mPool } });
    mAttemptTrace += " early-answer";
  }
  if (end == AttemptEnd::Answered) {
    OnFirstEvent(aAttempt);
  }
  mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + ' ' +
                   std::string(Describe(aResult));
  if (IsBroken(aResult)) {
    const std::string reason = aAttempt.mRejection.empty()
                                 ? BreakReason(*aAttempt.mCall)
                                 : aAttempt.mRejection;
    CountBrokenAnswer(reason);
    mAttemptTrace += " (" + reason + ')';
  }
  if (aResult != CallResult::InvalidHttp || aAttempt.mHeadBytes > 0) {
    mAttemptTrace += ' ' + std::to_string(aAttempt.mHead.result_int());
  }
  if (aResult == CallResult::Complete || aResult == CallResult::Truncated) {
    mAttemptTrace += ' ' + std::string(FramingOf(aAttempt.mHead));
  }
  if (aAttempt.mIsStream) {
    mAttemptTrace +=
      " events=" + std::to_string(aAttempt.mJudged->mTiming.mEvents) +
      " without-id=" + std::to_string(aAttempt.mEventsWithoutId);
  }
  if (end == AttemptEnd::MayHaveRun && aAttempt.mJudged->mTiming.mEvents == 0) {
    mAttemptTrace += " without an event";
  }
  if (aAttempt.mResponseInfo.mConfidence) {
    mAttemptTrace +=
      " model " + std::to_string(aAttempt.mModel) + " confidence " +
      std::to_string(*aAttempt.mResponseInfo.mConfidence).substr(0, 4);
  }
  mAttemptTrace += ']';
  CloseAttempt(aAttempt, end);
  if (aResult == CallResult::NotConnected) {
    mFailedConnections += 1;
  }
  if (end == AttemptEnd::Answered) {
    const bool isSuccess = IsSuccess(aAttempt.mHead);
    if (isSuccess) {
      RecordSoundPrompt(aAttempt);
    }
    if (aAttempt.mKept) {
      OnKeptEnd(aAttempt, end);
      return;
    }
    const bool isAnswer = isSuccess && !(aAttempt.mIsStream && !mIsStreaming);
    if (!isAnswer && KeptAnswer() != nullptr) {
      FallBack(isSuccess ? FallbackCause::NoAnswer : FallbackCause::Failed);
      return;
    }
    DropKeptAnswers();
    if (isSuccess) {
      RecordDuration();
    }
    CancelOthers(&aAttempt);
    if (aAttempt.mIsStream) {
      if (!mIsStreaming) {
        mIsStreaming = true;
        mSession->BeginStream(mState->mCodec.mEncodeResponse(aAttempt.mHead));
      }
      mSession->SendChunk(aAttempt.mHeldComments);
      mSession->SendChunk(BytesAfterEvents(aAttempt));
      mSession->EndStream();
      Finish("streamed");
    } else {
      ForwardResponse(aAttempt);
    }
    return;
  }
  const bool isLost =
    end == AttemptEnd::MayHaveRun &&
    (aResult == CallResult::NoResponse || aResult == CallResult::Truncated ||
     EndsWithConnection(aAttempt.mHead));
  if (end == AttemptEnd::EndpointError && !mIsStreaming) {
    mErrorResponseHead = std::move(aAttempt.mHead);
    mErrorResponseBody =
      ShareText(std::move(aAttempt.mBody), std::move(aAttempt.mBodyHold));
  }
  const bool isWaiting = isLost && CheckLostEndpoint(aAttempt, end);
  DropResponse(aAttempt);
  if (isWaiting) {
    return;
  }
  if (aAttempt.mKept) {
    OnKeptEnd(aAttempt, end);
    return;
  }
  RetryOrFail(end);
}

/// Whether an attempt is open whose answer is not merely kept.
bool Exchange::HasOpenAttempt() const
{
  return std::any_of(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return !aAttempt.mIsOver && !aAttempt.mKept;
    });
}

void Exchange::RetryOrFail(AttemptEnd aEnd)
{
  mMayHaveRun = mMayHaveRun || aEnd != AttemptEnd::NotExecuted;
  if (HasOpenAttempt()) {
    return;
  }
  if (KeptAnswer() != nullptr && IsFallbackNearer()) {
    FallBack(FallbackCause::Failed);
    return;
  }
  const bool mayRepeat = aEnd == AttemptEnd::NotExecuted || MayRepeat(*mRoute);
  // NOTE: A request that was not written to any endpoint uses no retry budget.
  const bool isFirst = std::none_of(
    mAttempts.begin(), mAttempts.end(), [](const Attempt& aAttempt) {
      return aAttempt.mCall->WasWritten();
    });
  const bool isAllowed =
    mayRepeat && MayAttemptAgain() &&
    (isFirst ||
     mState->mRetryBudgets[mPool].TrySpend(
       mState->mOptions.mRetryBudget, mState->mLiveVms, MonotonicNow()));
  if (isAllowed) {
    Dispatch();
  } else {
    Fail();
  }
}

} // namespace Acaciavale::Relay
