#include "Exchange.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>

/// The part of Exchange that handles endpoints that end while they have
/// attempts, and prompts that crash them.
namespace Acaciavale::Relay {

namespace {

/// Value of Retry-After for requests whose prompt crashes endpoints. An
/// operator has to end that.
constexpr Duration kQuarantineRetryAfter = std::chrono::seconds(60);

std::vector<std::uint64_t> PartIds(const CallerRequest& aRequest)
{
  std::vector<std::uint64_t> ids;
  ids.reserve(aRequest.mParts.size());
  for (const PromptPart& part : aRequest.mParts) {
    ids.push_back(part.mId);
  }
  return ids;
}

} // namespace

PromptDecision Exchange::PromptDecisionNow() const
{
  // NOTE: An event that was forwarded shows that the prompt is sound.
  if (mRequest.mParts.empty() || mIsStreaming) {
    return {};
  }
  return DecidePrompt(mState->mSuspectPrompts,
                      mState->mQuarantine,
                      mPool,
                      PartIds(mRequest),
                      mState->mOpenTrials,
                      mState->mTrialJitter,
                      MonotonicNow());
}

bool Exchange::IsPromptProvenSound() const
{
  return IsProvenSound(mState->mCrashEvidence, mPool, PartIds(mRequest));
}

/// Refuses the request if its prompt may crash the endpoint. Returns whether
/// it has ended.
bool Exchange::RefuseUnsafePrompt()
{
  const PromptDecision decision = PromptDecisionNow();
  mExcludedVersions = decision.mExcludedVersions;
  mTrialOf = decision.mTrialOf;
  if (decision.mVerdict == PromptVerdict::Send) {
    return false;
  }
  const bool isHeld = decision.mVerdict == PromptVerdict::Hold;
  mState->mMetrics.Count("acaciavale_relay_unsafe_prompts_total",
                         { { "verdict", isHeld ? "hold" : "refuse" } });
  mAttemptTrace += " crashes-by-prompt=" + std::to_string(decision.mCrashes);
  if (mMayHaveRun) {
    Fail();
  } else {
    Refuse(503,
           isHeld ? "a part of the prompt may crash endpoints"
                  : "the prompt crashes endpoints",
           isHeld ? decision.mRetryAfter : kQuarantineRetryAfter);
  }
  return true;
}

void Exchange::BeginTrial(Attempt& aAttempt)
{
  aAttempt.mTrialOf = mTrialOf;
  if (mTrialOf != 0) {
    mState->mOpenTrials.insert(mTrialOf);
  }
}

void Exchange::EndTrial(Attempt& aAttempt)
{
  const auto trial = mState->mOpenTrials.find(aAttempt.mTrialOf);
  if (aAttempt.mTrialOf != 0 && trial != mState->mOpenTrials.end()) {
    mState->mOpenTrials.erase(trial);
  }
  aAttempt.mTrialOf = 0;
}

/// Records that the endpoint has begun to write an answer.
void Exchange::RecordSoundPrompt(Attempt& aAttempt)
{
  if (aAttempt.mIsPromptSound || mRequest.mParts.empty()) {
    return;
  }
  aAttempt.mIsPromptSound = true;
  EndTrial(aAttempt);
  const std::vector<std::uint64_t> parts = PartIds(mRequest);
  RecordSound(mState->mCrashEvidence,
              mPool,
              aAttempt.mEndpoint->mRecord.mVersion,
              parts,
              MonotonicNow());
  const bool wasSuspect = std::any_of(
    mState->mSuspectPrompts.begin(),
    mState->mSuspectPrompts.end(),
    [&parts](const QuarantinedPrompt& aSuspect) {
      return std::find_first_of(aSuspect.mParts.begin(),
                                aSuspect.mParts.end(),
                                parts.begin(),
                                parts.end()) != aSuspect.mParts.end();
    });
  if (wasSuspect) {
    mState->mSuspectPrompts = FindSuspectPrompts(mState->mCrashEvidence);
  }
}

/// Finds out whether the endpoint has ended, after the connection of an attempt
/// was lost. Returns whether the request waits for the result.
bool Exchange::CheckLostEndpoint(Attempt& aAttempt, AttemptEnd aEnd)
{
  mMayHaveRun = true;
  const bool hadBegun = aAttempt.mHead.result_int() == 200 &&
                        aAttempt.mResponseInfo.mMatchesRequest;
  const bool isSuspect = !mRequest.mParts.empty() && !mIsStreaming &&
                         aAttempt.mJudged->mTiming.mEvents == 0;
  // NOTE: A request with a kept answer has another way to go on.
  const bool isWaiting = isSuspect && hadBegun && KeptAnswer() == nullptr;
  mState->CheckEndpoint(aAttempt.mEndpoint,
                        [self = shared_from_this(),
                         &aAttempt,
                         aEnd,
                         hadBegun,
                         isSuspect,
                         isWaiting](bool aHasEnded) {
                          if (aHasEnded && isSuspect) {
                            self->RecordCrashUnder(aAttempt, hadBegun);
                          }
                          // NOTE: Another attempt may have begun a stream or
                          // keep an answer meanwhile.
                          if (!isWaiting || self->mIsOver ||
                              self->HasOpenAttempt()) {
                            return;
                          }
                          if (aHasEnded) {
                            // NOTE: Another endpoint would most likely crash
                            // too.
                            self->mAttemptTrace += " crashed";
                            self->Fail();
                          } else {
                            self->RetryOrFail(aEnd);
                          }
                        });
  return isWaiting;
}

void Exchange::RecordCrashUnder(const Attempt& aAttempt, bool aHadBegun)
{
  const EndpointRecord& record = aAttempt.mEndpoint->mRecord;
  EndpointCrash crash;
  crash.mPool = mPool;
  crash.mEndpoint = record.mId + '@' + std::to_string(record.mIncarnation);
  crash.mVersion = record.mVersion;
  crash.mAt = MonotonicNow();
  crash.mSuspects.push_back({ PartIds(mRequest), aHadBegun });
  if (!RecordCrash(mState->mCrashEvidence, crash)) {
    return;
  }
  mState->mSuspectPrompts = FindSuspectPrompts(mState->mCrashEvidence);
  Log(LogLevel::Info,
      "relay",
      "An endpoint ended under a request before its first event.",
      { { "endpoint", crash.mEndpoint },
        { "pool", mPool },
        { "version", crash.mVersion },
        { "id", mRequest.mId },
        { "begun", aHadBegun ? "yes" : "no" },
        { "parts", PartsText(mRequest.mParts) } });
  if (mState->mOnCrashEvidence) {
    mState->mOnCrashEvidence();
  }
}

} // namespace Acaciavale::Relay
