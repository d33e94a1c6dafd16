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
constexpr std::size_t kMostHeldBytes = 8U << 20;
/// Bytes that a slow caller may leave untaken before its endpoint is not read
/// any further.
constexpr std::size_t kMostUnwritten = 256U << 10;
/// Patience with an endpoint that has not answered, as a share of the goal and
/// as a multiple of what was expected; the larger holds.
constexpr double kFirstShare = 0.6;
constexpr double kFirstMultiple = 4;
/// Pause until a send that is out of patience but may not be given up is
/// looked at again.
constexpr Duration kPatienceAgain = std::chrono::milliseconds(200);
/// The same for the gap between two events of a stream, as shares of its goal:
/// where a further send may fail too, and where it would be the last, whose
/// failure loses what the caller has.
constexpr double kGapShare = 0.7;
constexpr double kLastGapShare = 2;
/// Sends for want of patience, as a share of the requests: when many endpoints
/// seem silent the pool is full, and more sends make it fuller.
constexpr double kImpatientShare = 0.1;
/// The same a window, so that a VM with few requests may have some.
constexpr double kImpatientSlack = 3;
/// An answer that is late and took this many times the usual is an error of its
/// version: bad ones are several times slower.
constexpr double kSlowMultiple = 4;
/// Connections that one request tries in vain, beside its sends.
constexpr std::int64_t kMostNotConnected = 4;

bool IsSuccess(const AnswerHead& aHead)
{
  return http::to_status_class(aHead.result()) ==
         http::status_class::successful;
}

/// Statuses that promise that the request has not run.
bool IsPromise(unsigned aStatus)
{
  return aStatus == 408 || aStatus == 421 || aStatus == 429 || aStatus == 503;
}

} // namespace

Duration Exchange::FirstPatience(double aExpectedSeconds) const
{
  return FromSeconds(std::max(kFirstShare * InSeconds(mRoute->mGoal),
                              kFirstMultiple * aExpectedSeconds));
}

void Exchange::ArmPatience(Send& aSend, Duration aTime)
{
  if (!MayRepeat(*mRoute)) {
    return;
  }
  if (!aSend.mPatience) {
    aSend.mPatience =
      std::make_unique<boost::asio::steady_timer>(mState->mLoop);
  }
  aSend.mPatience->expires_after(aTime);
  aSend.mPatience->async_wait(
    [self = shared_from_this(), &aSend](const error_code& aError) {
      if (!aError && !self->mIsOver && !aSend.mIsOver) {
        self->OnPatience(aSend);
      }
    });
}

void Exchange::OnPatience(Send& aSend)
{
  if (!MaySendAgain()) {
    return;
  }
  const TimePoint now = MonotonicNow();
  const bool isLast = aSend.mIsStream && mIsStreaming && SendsLeft() < 2;
  const bool isEarly = isLast && InSeconds(now - aSend.mLastEventAt) <
                                   kLastGapShare * InSeconds(mRoute->mGapGoal);
  const RetryBudgetTerms impatience{ kImpatientShare,
                                     kImpatientSlack,
                                     mState->mOptions.mRetryBudget.mWindow };
  const Place place = isEarly ? Place{} : FindPlace();
  const bool may = place.mEndpoint &&
                   mState->mImpatience[mPool].TrySpend(impatience, 1, now) &&
                   mState->mBudgets[mPool].TrySpend(
                     mState->mOptions.mRetryBudget, mState->mLiveVms, now);
  if (!may) {
    ArmPatience(aSend, kPatienceAgain);
    return;
  }
  mTrace += " [" + aSend.mEndpoint->mRecord.mId + " silent]";
  if (mRoute->mKind == RequestKind::Stream) {
    // NOTE: A stream's run must have ended before another one goes on.
    mMayHaveRun = true;
    aSend.mCall->Cancel();
    CloseSend(aSend, SendEnd::Silent);
  } else {
    mState->mMetrics.Count("acaciavale_relay_hedges_total",
                           { { "pool", mPool } });
  }
  SendTo(place);
}

std::int64_t Exchange::SendsLeft() const
{
  return mRoute->mMaxAttempts -
         std::count_if(mSends.begin(), mSends.end(), [](const Send& aSend) {
           return aSend.mCall && aSend.mCall->WasWritten();
         });
}

bool Exchange::MaySendAgain() const
{
  return !mIsOver && SendsLeft() > 0 && mNotConnected <= kMostNotConnected &&
         SecondsLeft() > 0;
}

void Exchange::OnHead(Send& aSend, const AnswerHead& aHead)
{
  aSend.mHead = aHead;
  aSend.mFacts = mState->mCodec.mDecodeAnswer(aHead, mRequest);
  if (aSend.mFacts.mLoad) {
    mState->mBook.RecordLoad(
      *aSend.mEndpoint, *aSend.mFacts.mLoad, MonotonicNow());
  }
  const bool isSound = IsSuccess(aHead) && aSend.mFacts.mIsReplicas &&
                       aSend.mFacts.mIsForRequest && !aSend.mFacts.mIsEncoded;
  aSend.mIsStream = isSound && mRoute->mKind == RequestKind::Stream;
  const bool mayEscalate = aSend.mIsStream && !mIsStreaming &&
                           aSend.mFacts.mConfidence && !mRoute->mModels.empty();
  if (mayEscalate && MaySendAgain()) {
    const ModelDecision decision = ChooseEscalation(
      ModelQueryNow(), aSend.mModel, *aSend.mFacts.mConfidence);
    if (decision.mIndex != aSend.mModel) {
      Escalate(aSend, decision.mIndex);
    }
  }
}

void Exchange::Escalate(Send& aSend, std::size_t aModel)
{
  const std::size_t before = mModel;
  mModel = aModel;
  // NOTE: The engine that has read the prompt for the smaller model is as good
  //       as any other for the larger one.
  std::erase(mTried, aSend.mEndpoint.get());
  const Place place = FindPlace();
  if (!place.mEndpoint ||
      !mState->mBudgets[mPool].TrySpend(
        mState->mOptions.mRetryBudget, mState->mLiveVms, MonotonicNow())) {
    mModel = before;
    return;
  }
  mTrace += " [" + aSend.mEndpoint->mRecord.mId + " unsure]";
  mMayHaveRun = true;
  OnFirst(aSend);
  aSend.mCall->Cancel();
  CloseSend(aSend, SendEnd::Answer);
  SendTo(place);
}

void Exchange::OnBody(Send& aSend, std::string_view aBytes)
{
  if (aSend.mIsStream) {
    OnEvents(aSend, aSend.mEvents.Append(aBytes));
    return;
  }
  if (aSend.mBody.size() + aBytes.size() > kMostHeldBytes) {
    aSend.mCall->Cancel();
    OnEnd(aSend, CallEnd::NotHttp);
    return;
  }
  aSend.mBody += aBytes;
}

void Exchange::OnFirst(Send& aSend)
{
  if (aSend.mFirstSeconds > 0) {
    return;
  }
  const TimePoint now = MonotonicNow();
  aSend.mFirstSeconds = std::max(1e-6, InSeconds(now - aSend.mStarted));
  mState->mBook.RecordFirstEvent(
    *aSend.mEndpoint, aSend.mWork, aSend.mFirstSeconds, now);
  mState->mBook.RecordStrain(
    mPool, aSend.mFirstSeconds / std::max(0.001, InSeconds(mRoute->mGoal)));
}

void Exchange::OnEvents(Send& aSend, std::vector<EventPiece> aEvents)
{
  std::string text;
  for (EventPiece& event : aEvents) {
    const bool wasSent = event.mId && mLastEvent && *event.mId <= *mLastEvent;
    if (wasSent) {
      continue;
    }
    if (event.mId) {
      mLastEvent = event.mId;
    }
    text += event.mText;
  }
  if (text.empty()) {
    return;
  }
  OnFirst(aSend);
  aSend.mLastEventAt = MonotonicNow();
  if (!mIsStreaming) {
    mIsStreaming = true;
    mFirstMilliseconds = InSeconds(MonotonicNow() - mArrived) * 1000;
    mState->mMetrics.Observe("acaciavale_relay_first_event_seconds",
                             { { "pool", mPool } },
                             mFirstMilliseconds / 1000);
    mSession->BeginStream(mState->mCodec.mEncodeAnswer(aSend.mHead));
    mSession->OnDrained([self = weak_from_this(), call = aSend.mCall] {
      if (const auto exchange = self.lock(); exchange && !exchange->mIsOver) {
        for (Send& send : exchange->mSends) {
          if (!send.mIsOver) {
            send.mCall->SetPaused(false);
          }
        }
      }
    });
  }
  mSession->SendPiece(text);
  if (mIsOver) {
    return;
  }
  ArmPatience(aSend, FromSeconds(kGapShare * InSeconds(mRoute->mGapGoal)));
  if (mSession->Unwritten() > kMostUnwritten) {
    aSend.mCall->SetPaused(true);
  }
}

Exchange::SendEnd Exchange::Judge(const Send& aSend, CallEnd aEnd) const
{
  if (aEnd == CallEnd::NotConnected || aSend.mFacts.mNotRun) {
    return SendEnd::NotRun;
  }
  if (aEnd != CallEnd::Complete || !aSend.mFacts.mIsForRequest ||
      !aSend.mFacts.mIsReplicas || aSend.mFacts.mIsEncoded) {
    return SendEnd::MayRun;
  }
  if (aSend.mIsStream) {
    return aSend.mEvents.Rest().empty() ? SendEnd::Answer : SendEnd::MayRun;
  }
  if (IsPromise(aSend.mHead.result_int())) {
    // NOTE: Without the endpoint's word for it, the caller must not read from
    //       this status that nothing ran.
    return SendEnd::MayRun;
  }
  return aSend.mHead.result_int() >= 500 ? SendEnd::Failure : SendEnd::Answer;
}

void Exchange::CloseSend(Send& aSend, SendEnd aEnd)
{
  if (aSend.mIsOver) {
    return;
  }
  aSend.mIsOver = true;
  aSend.mPatience.reset();
  const TimePoint now = MonotonicNow();
  SendOutcome outcome;
  outcome.mFailed = aEnd != SendEnd::Answer && aEnd != SendEnd::Dropped;
  outcome.mCounts = aEnd != SendEnd::Dropped;
  outcome.mFirstSeconds = aSend.mFirstSeconds;
  outcome.mWholeSeconds = InSeconds(now - aSend.mStarted);
  mState->mBook.RecordEnd(
    *aSend.mEndpoint, aSend.mWork, aSend.mFirstSeconds > 0, outcome, now);
  const std::optional<Course> course = mState->CourseOf(mPool);
  const bool tells = aEnd == SendEnd::Answer || aEnd == SendEnd::Failure ||
                     aEnd == SendEnd::Silent;
  if (course && tells) {
    CourseEvidence& evidence = mState->mEvidence[mPool];
    const bool isNew =
      aSend.mEndpoint->mRecord.mVersion == course->mOrder.mTarget;
    EvidenceCell& cell = isNew ? evidence.mNew : evidence.mOld;
    cell.mAnswers += 1;
    // NOTE: Only what the endpoint itself says is an error of its version;
    //       connections break, and a silent endpoint is one that is slow.
    const bool isSlow =
      aSend.mFirstSeconds >
      std::max(InSeconds(mRoute->mGoal),
               kSlowMultiple * mState->mBook.UsualSeconds(mPool, aSend.mWork));
    cell.mErrors += aEnd == SendEnd::Failure || isSlow ? 1 : 0;
    if (aEnd != SendEnd::Failure) {
      cell.mFirstTokenSeconds +=
        aSend.mFirstSeconds > 0 ? aSend.mFirstSeconds : outcome.mWholeSeconds;
    }
  }
  // NOTE: Not from here: the line may start sends, and this may be within one.
  boost::asio::post(mState->mLoop,
                    [state = mState, pool = mPool] { state->ServeLine(pool); });
}

void Exchange::CancelOthers(const Send* aWinner)
{
  for (Send& send : mSends) {
    if (&send != aWinner && !send.mIsOver) {
      send.mCall->Cancel();
      CloseSend(send, SendEnd::Dropped);
    }
  }
}

void Exchange::PassOn(const Send& aSend)
{
  mFirstMilliseconds = InSeconds(MonotonicNow() - mArrived) * 1000;
  mSession->Send(mState->mCodec.mEncodeAnswer(aSend.mHead), aSend.mBody);
  Finish("answered");
}

void Exchange::OnEnd(Send& aSend, CallEnd aEnd)
{
  if (mIsOver || aSend.mIsOver) {
    return;
  }
  const SendEnd end = Judge(aSend, aEnd);
  if (end == SendEnd::Answer) {
    OnFirst(aSend);
  }
  mTrace += " [" + aSend.mEndpoint->mRecord.mId + ' ' +
            std::string(Describe(aEnd)) + ' ' +
            std::to_string(aSend.mHead.result_int());
  if (aSend.mFacts.mConfidence) {
    mTrace += " model " + std::to_string(aSend.mModel) + " sure " +
              std::to_string(*aSend.mFacts.mConfidence).substr(0, 4);
  }
  mTrace += ']';
  CloseSend(aSend, end);
  if (aEnd == CallEnd::NotConnected) {
    mNotConnected += 1;
  }
  if (end == SendEnd::Answer) {
    CancelOthers(&aSend);
    if (aSend.mIsStream) {
      if (!mIsStreaming) {
        mIsStreaming = true;
        mSession->BeginStream(mState->mCodec.mEncodeAnswer(aSend.mHead));
      }
      mSession->EndStream();
      Finish("streamed");
    } else {
      PassOn(aSend);
    }
    return;
  }
  if (end == SendEnd::Failure && !mIsStreaming) {
    mFailureHead = aSend.mHead;
    mFailureBody = aSend.mBody;
  }
  TryAgain(end);
}

void Exchange::TryAgain(SendEnd aEnd)
{
  mMayHaveRun = mMayHaveRun || aEnd != SendEnd::NotRun;
  const bool othersRun =
    std::any_of(mSends.begin(), mSends.end(), [](const Send& aSend) {
      return !aSend.mIsOver;
    });
  if (othersRun) {
    return;
  }
  const bool mayRepeat = aEnd == SendEnd::NotRun || MayRepeat(*mRoute);
  // NOTE: What never arrived anywhere draws on no budget.
  const bool isFirst =
    std::none_of(mSends.begin(), mSends.end(), [](const Send& aSend) {
      return aSend.mCall->WasWritten();
    });
  const bool may =
    mayRepeat && MaySendAgain() &&
    (isFirst || mState->mBudgets[mPool].TrySpend(mState->mOptions.mRetryBudget,
                                                 mState->mLiveVms,
                                                 MonotonicNow()));
  if (may) {
    Dispatch();
  } else {
    GiveUp();
  }
}

} // namespace Acaciavale::Relay
