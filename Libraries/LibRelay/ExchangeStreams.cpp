#include "Exchange.h"
#include "TextMemory.h"

#include <algorithm>
#include <utility>

/// The part of Exchange that forwards the events of a stream.
namespace Acaciavale::Relay {

namespace {

/// Timeout for the gap between two events of a stream, as a share of its goal.
constexpr double kGapGoalShare = 0.7;

} // namespace

void Exchange::OnStreamBytes(Attempt& aAttempt, std::string_view aBytes)
{
  if (EndsWithConnection(aAttempt.mHead) &&
      aAttempt.mBody.size() <= kMaximumComparedBytes) {
    aAttempt.mBody += aBytes;
  }
  std::vector<StreamEvent> events = aAttempt.mEventParser.Append(aBytes);
  if (HasEventOutOfPlace(events)) {
    RejectAnswer(aAttempt, "event without an id");
    return;
  }
  OnEvents(aAttempt, std::move(events));
  if (aAttempt.mIsOver) {
    return;
  }
  const bool isBroken =
    aAttempt.mEventParser.IsEventTooLarge() ||
    (aAttempt.mEventParser.IsInvalid() && !MayHoldSecondResponse(aAttempt));
  if (isBroken) {
    RejectAnswer(aAttempt, "invalid event");
    return;
  }
  HoldResponse(aAttempt, aAttempt.mBody.capacity());
}

/// Whether an event has no id, and the caller has events that have one, which
/// may be those of another endpoint.
bool Exchange::HasEventOutOfPlace(const std::vector<StreamEvent>& aEvents) const
{
  return mIsStreaming && mLastEventId != mRequest.mLastEventId &&
         std::any_of(
           aEvents.begin(), aEvents.end(), [](const StreamEvent& aEvent) {
             return !aEvent.mIsComment && !aEvent.mId;
           });
}

void Exchange::OnFirstEvent(Attempt& aAttempt)
{
  if (aAttempt.mFirstEventSeconds > 0) {
    return;
  }
  const TimePoint now = MonotonicNow();
  aAttempt.mFirstEventSeconds =
    std::max(1e-6, InSeconds(now - aAttempt.mStartedAt));
  aAttempt.mJudged->mTiming.mFirstEventSeconds = aAttempt.mFirstEventSeconds;
  mState->mRegistry.RecordFirstEvent(*aAttempt.mEndpoint,
                                     aAttempt.mWork,
                                     aAttempt.mFirstEventSeconds,
                                     now,
                                     aAttempt.mResponseInfo.mLoad
                                       ? aAttempt.mResponseInfo.mLoad->mPace
                                       : std::nullopt);
  mState->mRegistry.RecordFirstEventGoalRatio(
    mPool,
    aAttempt.mFirstEventSeconds /
      std::max(0.001, InSeconds(mRoute->mFirstEventGoal)));
}

void Exchange::OnEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents)
{
  const bool hasEvent =
    std::any_of(aEvents.begin(), aEvents.end(), [](const StreamEvent& aEvent) {
      return !aEvent.mIsComment;
    });
  if (aAttempt.mModelAfterFirstEvent && hasEvent) {
    const std::size_t model = *aAttempt.mModelAfterFirstEvent;
    aAttempt.mModelAfterFirstEvent.reset();
    RecordSoundPrompt(aAttempt);
    if (!mIsStreaming && MayAttemptAgain()) {
      Escalate(aAttempt, model);
    }
  }
  if (aAttempt.mKept) {
    KeepEvents(aAttempt, std::move(aEvents));
    return;
  }
  std::string text;
  bool isProgress = false;
  for (StreamEvent& event : aEvents) {
    if (event.mIsComment) {
      text += event.mText;
      continue;
    }
    const bool wasSent =
      event.mId && mLastEventId && *event.mId <= *mLastEventId;
    if (wasSent) {
      continue;
    }
    if (event.mId) {
      mLastEventId = event.mId;
    } else {
      aAttempt.mEventsWithoutId += 1;
    }
    text += event.mText;
    aAttempt.mJudged->mTiming.mEvents += 1;
    isProgress = true;
  }
  if (!isProgress) {
    ForwardComments(aAttempt, text);
    return;
  }
  if (aAttempt.mIsSilent) {
    aAttempt.mIsSilent = false;
    CancelOthers(&aAttempt);
  }
  DropKeptAnswers();
  text.insert(0, std::exchange(aAttempt.mHeldComments, {}));
  OnFirstEvent(aAttempt);
  RecordSoundPrompt(aAttempt);
  aAttempt.mLastEventAt = MonotonicNow();
  if (!mIsStreaming) {
    BeginCallerStream(aAttempt);
  }
  SendEvents(aAttempt, text);
}

void Exchange::BeginCallerStream(const Attempt& aAttempt)
{
  mIsStreaming = true;
  mFirstEventMilliseconds = InSeconds(MonotonicNow() - mArrivedAt) * 1000;
  mState->mMetrics.Observe("acaciavale_relay_first_event_seconds",
                           { { "pool", mPool } },
                           mFirstEventMilliseconds / 1000);
  mSession->BeginStream(mState->mCodec.mEncodeResponse(aAttempt.mHead));
  mSession->OnDrained([self = weak_from_this(), call = aAttempt.mCall] {
    if (const auto exchange = self.lock(); exchange && !exchange->mIsOver) {
      for (Attempt& attempt : exchange->mAttempts) {
        attempt.mKeptHold.Release();
        if (!attempt.mIsOver && attempt.mIsAwaitingCaller) {
          exchange->Resume(attempt);
        }
      }
    }
  });
}

void Exchange::SendEvents(Attempt& aAttempt, const std::string& aText)
{
  SendToCaller(aAttempt, aText);
  if (!mIsOver) {
    ArmGapTimer(aAttempt);
  }
}

/// Sends bytes of a stream that has begun. While the caller is behind, the
/// attempt is not read.
void Exchange::SendToCaller(Attempt& aAttempt, const std::string& aText)
{
  mSession->SendChunk(aText);
  if (mIsOver) {
    return;
  }
  if (mSession->UnwrittenBytes() > mState->MaximumUnwrittenBytes()) {
    aAttempt.mIsAwaitingCaller = true;
    UpdatePause(aAttempt);
  }
}

/// Reads on after the caller has read.
void Exchange::Resume(Attempt& aAttempt)
{
  aAttempt.mLastEventAt = MonotonicNow();
  ArmGapTimer(aAttempt);
  aAttempt.mIsAwaitingCaller = false;
  UpdatePause(aAttempt);
}

void Exchange::ArmGapTimer(Attempt& aAttempt)
{
  ArmSilenceTimer(
    aAttempt, FromSeconds(kGapGoalShare * InSeconds(mRoute->mEventGapGoal)));
}

/// Forwards comments. They are no progress: an endpoint that sends nothing else
/// is silent. Those from before the first event wait for it, as another
/// endpoint may send it.
void Exchange::ForwardComments(Attempt& aAttempt, const std::string& aText)
{
  const bool isFirst = aAttempt.mJudged->mTiming.mEvents == 0;
  if (!isFirst && !aText.empty()) {
    SendToCaller(aAttempt, aText);
    return;
  }
  AppendInSteps(aAttempt.mHeldComments, aText);
  if (aAttempt.mHeldComments.size() > EventStreamParser::kMaximumEventBytes) {
    RejectAnswer(aAttempt, "comments too large");
  }
}

} // namespace Acaciavale::Relay
