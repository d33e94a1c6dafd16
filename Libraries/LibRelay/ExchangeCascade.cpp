#include "Exchange.h"
#include "TextMemory.h"

#include <algorithm>
#include <numeric>
#include <utility>

/// The part of Exchange that keeps the unsure answer of a smaller model while a
/// larger model is asked.
namespace Acaciavale::Relay {

namespace {

/// Room for a kept answer is taken in steps of this size, the first one before
/// the larger model is asked. Most answers need no second one.
constexpr std::size_t kKeptStepBytes = 16U << 10;

std::size_t InSteps(std::size_t aBytes)
{
  return (aBytes + kKeptStepBytes - 1) / kKeptStepBytes * kKeptStepBytes;
}

KeptAnswerState StateOf(const Attempt& aAttempt)
{
  if (aAttempt.mIsOver) {
    return KeptAnswerState::Complete;
  }
  return aAttempt.mJudged->mTiming.mEvents > 0 ? KeptAnswerState::Incomplete
                                               : KeptAnswerState::WithoutEvent;
}

} // namespace

LargerModelTimes Exchange::TimesOf(std::size_t aModel) const
{
  const TimePoint now = MonotonicNow();
  const AttemptWork work = AttemptWorkFor(aModel);
  const EndpointRegistry& registry = mState->mRegistry;
  LargerModelTimes times;
  times.mGoalLeft = InSeconds(mRoute->mFirstEventGoal - (now - mArrivedAt));
  times.mTimeLeft = SecondsLeft();
  times.mWaited = KeptAnswer() == nullptr ? 0 : InSeconds(now - mEscalatedAt);
  times.mExpectedFirstEvent = registry.ExpectedFirstEventSeconds(mPool, work);
  times.mLowQuartile = registry.LowQuartilePromptSeconds(mPool, work);
  return times;
}

/// The kept answer that is delivered if the larger model does not begin: one
/// with events, of the largest model that has any. Null if none is kept.
const Attempt* Exchange::KeptAnswer() const
{
  const auto rank = [](const Attempt& aAttempt) {
    return std::pair(StateOf(aAttempt) != KeptAnswerState::WithoutEvent,
                     aAttempt.mModel);
  };
  const Attempt* best = nullptr;
  for (const Attempt& attempt : mAttempts) {
    if (attempt.mKept && (best == nullptr || rank(*best) < rank(attempt))) {
      best = &attempt;
    }
  }
  return best;
}

void Exchange::Escalate(Attempt& aAttempt, std::size_t aModel)
{
  if (PromptDecisionNow().mVerdict != PromptVerdict::Send) {
    return;
  }
  if (!CanBeginInTime(TimesOf(aModel))) {
    mAttemptTrace +=
      " [" + aAttempt.mEndpoint->mRecord.mId + " unsure no-time]";
    return;
  }
  if (!HoldKept(aAttempt, kKeptStepBytes)) {
    RecordFallback(FallbackCause::NoRoom);
    return;
  }
  const std::size_t previousModel = mModel;
  const std::vector<const Endpoint*> previouslyTried = mTriedEndpoints;
  mModel = aModel;
  // NOTE: The engine that ran the smaller model is also a candidate for
  //       the larger model.
  std::erase(mTriedEndpoints, aAttempt.mEndpoint.get());
  const EndpointSelection selection = SelectEndpoint();
  if (!selection.mEndpoint ||
      !mState->mRetryBudgets[mPool].TrySpend(
        mState->mOptions.mRetryBudget, mState->mLiveVms, MonotonicNow())) {
    mModel = previousModel;
    mTriedEndpoints = previouslyTried;
    aAttempt.mKeptHold.Release();
    return;
  }
  mAttemptTrace += " [" + aAttempt.mEndpoint->mRecord.mId + " unsure]";
  mMayHaveRun = true;
  OnFirstEvent(aAttempt);
  CancelOthers(&aAttempt);
  aAttempt.mKept.emplace();
  aAttempt.mIsSilent = false;
  aAttempt.mSilenceTimer.reset();
  mEscalatedAt = MonotonicNow();
  StartAttempt(selection);
  ArmFallbackTimer();
}

void Exchange::ArmFallbackTimer()
{
  const Attempt* const kept = KeptAnswer();
  const auto seconds =
    kept == nullptr ? std::nullopt
                    : SecondsUntilFallback(TimesOf(mModel), StateOf(*kept));
  if (!seconds) {
    mFallbackTimer.Cancel();
    return;
  }
  mFallbackTimer.StartTimeout(
    FromSeconds(*seconds),
    [self = shared_from_this()] { self->FallBack(FallbackCause::Late); },
    kTimeToCatchUp);
}

/// Whether the kept answer is delivered before another endpoint can be expected
/// to begin the larger model's answer.
bool Exchange::IsFallbackNearer() const
{
  const Attempt* const kept = KeptAnswer();
  return kept != nullptr &&
         !MayAskAnotherEndpoint(TimesOf(mModel), StateOf(*kept));
}

/// Takes the room for aBytes of a kept answer. Returns whether there is room.
bool Exchange::HoldKept(Attempt& aAttempt, std::size_t aBytes)
{
  ByteHold& hold = aAttempt.mKeptHold;
  const std::size_t bytes = InSteps(aBytes);
  // NOTE: The answer does not wait for room, so nothing is done when there is.
  return bytes <= hold.Bytes() ||
         (HasRoomToKeep(mState->mBudget->LimitBytes(),
                        mState->mBudget->HeldBytes(),
                        bytes - hold.Bytes()) &&
          mState->mBudget->TryHoldResponse(hold, bytes, [] {}));
}

/// Keeps the events of an unsure answer. They do not advance mLastEventId, as
/// the caller does not have them.
void Exchange::KeepEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents)
{
  const bool wasWithoutEvent = aAttempt.mJudged->mTiming.mEvents == 0;
  std::string& text = aAttempt.mKept->mText;
  const std::size_t size =
    std::accumulate(aEvents.begin(),
                    aEvents.end(),
                    text.size(),
                    [](std::size_t aSum, const StreamEvent& aEvent) {
                      return aSum + aEvent.mText.size();
                    });
  const bool hasRoom = HoldKept(aAttempt, size) && !aAttempt.mCall->IsPaused();
  ReserveExactly(text, InSteps(size));
  for (const StreamEvent& event : aEvents) {
    const bool wasSent =
      event.mId && mLastEventId && *event.mId <= *mLastEventId;
    if (wasSent) {
      continue;
    }
    if (!event.mIsComment) {
      aAttempt.mJudged->mTiming.mEvents += 1;
      aAttempt.mEventsWithoutId += event.mId ? 0 : 1;
      aAttempt.mKept->mLastEventId = event.mId;
    }
    text += event.mText;
  }
  if (aAttempt.mJudged->mTiming.mEvents > 0 && wasWithoutEvent) {
    RecordSoundPrompt(aAttempt);
    for (Attempt& other : mAttempts) {
      if (other.mKept && other.mModel < aAttempt.mModel) {
        DropKept(other);
      }
    }
    ArmFallbackTimer();
  }
  aAttempt.mLastEventAt = MonotonicNow();
  if (!hasRoom) {
    FallBack(FallbackCause::NoRoom);
  }
}

/// Handles the end of an attempt whose answer is kept.
void Exchange::OnKeptEnd(Attempt& aAttempt, AttemptEnd aEnd)
{
  if (aEnd == AttemptEnd::Answered && aAttempt.mJudged->mTiming.mEvents > 0) {
    aAttempt.mKept->mText += BytesAfterEvents(aAttempt);
  } else {
    DropKept(aAttempt);
  }
  ArmFallbackTimer();
}

void Exchange::DropKept(Attempt& aAttempt)
{
  aAttempt.mKept.reset();
  aAttempt.mKeptHold.Release();
  aAttempt.mCall->Cancel();
  CloseAttempt(aAttempt, AttemptEnd::Answered);
  DropResponse(aAttempt);
}

/// Drops the kept answers, as the larger model's stream has begun.
void Exchange::DropKeptAnswers()
{
  mFallbackTimer.Cancel();
  for (Attempt& attempt : mAttempts) {
    if (attempt.mKept) {
      DropKept(attempt);
    }
  }
}

void Exchange::RecordFallback(FallbackCause aCause)
{
  mAttemptTrace += " fallback=" + std::string(Describe(aCause));
  mState->mMetrics.Count(
    "acaciavale_relay_cascade_fallbacks_total",
    { { "cause", std::string(Describe(aCause)) }, { "pool", mPool } });
}

/// Ends the larger model's attempts and delivers the kept answer.
void Exchange::FallBack(FallbackCause aCause)
{
  const Attempt* const kept = KeptAnswer();
  if (mIsOver || kept == nullptr) {
    return;
  }
  mFallbackTimer.Cancel();
  LeaveQueue();
  RecordFallback(aCause);
  const TimePoint now = MonotonicNow();
  for (Attempt& attempt : mAttempts) {
    if (&attempt == kept) {
      continue;
    }
    if (attempt.mKept) {
      DropKept(attempt);
    } else if (!attempt.mIsOver) {
      // NOTE: An endpoint that had less time than others have is not judged.
      const bool isSilent =
        now - attempt.mStartedAt >=
        FirstEventTimeout(attempt.mJudged->mUsual.mFirstEventSeconds);
      mAttemptTrace += " [" + attempt.mEndpoint->mRecord.mId +
                       (isSilent ? " silent]" : " not begun]");
      attempt.mCall->Cancel();
      CloseAttempt(attempt,
                   isSilent ? AttemptEnd::TimedOut : AttemptEnd::Cancelled);
      DropResponse(attempt);
    }
  }
  const auto own =
    std::find_if(mAttempts.begin(),
                 mAttempts.end(),
                 [kept](const Attempt& aAttempt) { return &aAttempt == kept; });
  Deliver(*own);
}

/// Delivers the kept answer. If it is incomplete, its attempt goes on as that
/// of any stream.
void Exchange::Deliver(Attempt& aAttempt)
{
  KeptStream answer = std::move(*aAttempt.mKept);
  aAttempt.mKept.reset();
  mModel = aAttempt.mModel;
  mTriedEndpoints.push_back(aAttempt.mEndpoint.get());
  if (answer.mLastEventId) {
    mLastEventId = answer.mLastEventId;
  }
  answer.mText.insert(0, std::exchange(aAttempt.mHeldComments, {}));
  if (aAttempt.mIsOver) {
    RecordDuration();
    BeginCallerStream(aAttempt);
    // NOTE: The room is held until the text is written, which may be after the
    //       end of this exchange.
    mSession->OnDrained([hold = std::make_shared<ByteHold>(std::move(
                           aAttempt.mKeptHold))] { hold->Release(); });
    mSession->SendChunk(answer.mText);
    mSession->EndStream();
    Finish("streamed");
  } else if (aAttempt.mJudged->mTiming.mEvents > 0) {
    BeginCallerStream(aAttempt);
    SendEvents(aAttempt, answer.mText);
  } else {
    aAttempt.mHeldComments = std::move(answer.mText);
    aAttempt.mKeptHold.Release();
    ArmSilenceTimer(aAttempt, FirstEventTimeout(0));
  }
}

/// Delivers a kept answer that is complete. Returns whether there was one.
bool Exchange::DeliverCompleteAnswer(FallbackCause aCause)
{
  const Attempt* const kept = KeptAnswer();
  if (kept == nullptr || StateOf(*kept) != KeptAnswerState::Complete) {
    return false;
  }
  FallBack(aCause);
  return true;
}

} // namespace Acaciavale::Relay
