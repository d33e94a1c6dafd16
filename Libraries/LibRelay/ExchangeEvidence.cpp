#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

/// The part of Exchange that collects evidence on the versions of a roll-out.
namespace Acaciavale::Relay {

void Exchange::BeginEvidence(Attempt& aAttempt)
{
  const EndpointRegistry& registry = mState->mRegistry;
  const std::optional<TrafficShift> shift = mState->TrafficShiftOf(mPool);
  JudgedAttempt judged;
  judged.mStartedAt = aAttempt.mStartedAt;
  judged.mIsOfTarget =
    shift && aAttempt.mEndpoint->mRecord.mVersion == shift->mOrder.mTarget;
  judged.mIsStream = mRoute->mKind == RequestKind::Stream;
  judged.mUsual = { InSeconds(mRoute->mFirstEventGoal),
                    registry.ExpectedFirstEventSeconds(mPool, aAttempt.mWork),
                    registry.UsualSecondsPerEvent(mPool, aAttempt.mWork) };
  aAttempt.mJudged = std::make_shared<JudgedAttempt>(judged);
  if (shift && IsInProgress(shift->mStage)) {
    VersionEvidence& evidence = mState->mEvidence[mPool];
    RateDueAttempts(evidence, aAttempt.mStartedAt);
    evidence.mPending.push_back(aAttempt.mJudged);
  }
}

void Exchange::EndEvidence(Attempt& aAttempt, AttemptEnd aEnd)
{
  JudgedAttempt& judged = *aAttempt.mJudged;
  judged.mTiming.mSecondsSinceStart =
    InSeconds(MonotonicNow() - judged.mStartedAt);
  switch (aEnd) {
    case AttemptEnd::NotExecuted:
    case AttemptEnd::MayHaveRun:
      judged.mState = AttemptState::NoEvidence;
      break;
    case AttemptEnd::EndpointError:
      judged.mState = AttemptState::Error;
      break;
    case AttemptEnd::Answered:
      judged.mState = AttemptState::Answered;
      break;
    case AttemptEnd::TimedOut:
      judged.mState = AttemptState::Silent;
      break;
    case AttemptEnd::Cancelled:
      judged.mState = AttemptState::NotNeeded;
      break;
  }
  const std::optional<TrafficShift> shift = mState->TrafficShiftOf(mPool);
  const bool isInProgress = shift && IsInProgress(shift->mStage);
  if (isInProgress) {
    CountEnd(mState->mEvidence[mPool], judged);
  }
  const bool isError = judged.mState == AttemptState::Error;
  if (isInProgress &&
      (isError || PaceAt(judged, MonotonicNow()) == Pace::Slow)) {
    Log(
      LogLevel::Info,
      "rollout",
      "An attempt counts against its version.",
      { { "id", mRequest.mId },
        { "endpoint", aAttempt.mEndpoint->mRecord.mId },
        { "version", aAttempt.mEndpoint->mRecord.mVersion },
        { "cause", isError ? "error" : "slow" },
        { "first-s", std::to_string(judged.mTiming.mFirstEventSeconds) },
        { "whole-s", std::to_string(judged.mTiming.mSecondsSinceStart) },
        { "events", std::to_string(judged.mTiming.mEvents) },
        { "usual-event-s", std::to_string(judged.mUsual.mSecondsPerEvent) } });
  }
  // NOTE: A new version is compared with the old one, so it adds to what is
  //       usual only after it has replaced that one.
  const double seconds = SecondsPerEvent(judged.mTiming);
  const bool isUnproven = isInProgress && judged.mIsOfTarget;
  if (aEnd == AttemptEnd::Answered && seconds > 0 && !isUnproven) {
    mState->mRegistry.RecordSecondsPerEvent(mPool, aAttempt.mWork, seconds);
  }
}

} // namespace Acaciavale::Relay
