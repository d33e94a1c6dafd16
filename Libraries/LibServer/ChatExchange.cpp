#include "ChatExchange.h"

#include "ChatProblems.h"

#include <algorithm>
#include <asio/post.hpp>

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxAnswerBytes = 8 << 20;
/// Number of bytes not yet sent to the caller above which reading from the
/// endpoint is paused.
constexpr std::size_t kHighWaterBytes = 65'536;
/// Number of bytes not yet sent to the caller below which reading resumes.
constexpr std::size_t kLowWaterBytes = 16'384;
constexpr int kMaxResumes = 2;
constexpr int kStatusOk = 200;
constexpr int kFirstClientErrorStatus = 400;
constexpr int kFirstServerErrorStatus = 500;
constexpr double kPrefillSecondsPerToken = 0.0002;
constexpr std::string_view kDoneData = "[DONE]";
constexpr std::string_view kUsageKey = "\"usage\"";
/// Every chunk has it, also one without content.
constexpr std::string_view kChoicesKey = "\"choices\"";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

/// Whether a status means that the engine found fault with the request and did
/// not run it.
bool IsRejection(int aStatus)
{
  return aStatus >= kFirstClientErrorStatus &&
         aStatus < kFirstServerErrorStatus;
}

} // namespace

void ChatExchange::Start(ServerShard& aShard,
                         CallerRequest aRequest,
                         CallerResponse aResponse)
{
  std::make_shared<ChatExchange>(
    aShard, std::move(aRequest), std::move(aResponse))
    ->Begin();
}

ChatExchange::ChatExchange(ServerShard& aShard,
                           CallerRequest aRequest,
                           CallerResponse aResponse)
  : mShard(aShard)
  , mServer(aShard.mServer)
  , mRequest(std::move(aRequest))
  , mResponse(std::move(aResponse))
{
  mDecisionRecord.mRequestId = RandomToken(mShard.mRandom);
  mDecisionRecord.mTime = CalendarNow();
}

void ChatExchange::Begin()
{
  if (auto prepared = Prepare(); !prepared) {
    Refuse(prepared.error());
    return;
  }
  const std::weak_ptr<ChatExchange> weak = weak_from_this();
  mResponse.mAddCloseCallback([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerDisconnected();
    }
  });
  RunStage();
}

tl::expected<void, Problem> ChatExchange::Prepare()
{
  mCaller =
    ACACIAVALE_TRY(Authenticate(mServer, mRequest, mDecisionRecord.mRequestId));
  mChatRequest = ACACIAVALE_TRY(ParseChatRequest(mRequest.mBody));
  mRequest.mKind = mServer.mRequestKinds.Normalize(mRequest.mKind);
  ACACIAVALE_TRY_VOID(CheckTarget());
  mSession.mId = RandomToken(mShard.mRandom);
  mSession.mAccount = mCaller.mAccount.mName;
  mSession.mIssuedAt = CalendarNow();
  if (!mRequest.mSessionToken.empty()) {
    auto session = VerifySession(mRequest.mSessionToken,
                                 mCaller.mAccount.mName,
                                 mCaller.mSettings->mDeployment);
    if (!session) {
      return tl::make_unexpected(
        Problem{ session.error().mCode == ErrorCode::Forbidden ? 403 : 400,
                 "bad-session",
                 "The session token is not valid.",
                 "Leave X-Session out to start a new session.",
                 Executed::No });
    }
    mSession = std::move(*session);
  }
  ACACIAVALE_TRY_VOID(ChooseStages());
  const auto snapshot = mServer.mEndpoints.Snapshot();
  const auto pool = snapshot->mByVersion.find(CurrentStage());
  const PoolLoad load = pool == snapshot->mByVersion.end()
                          ? PoolLoad{}
                          : EstimatePoolLoad(mServer, pool->second);
  ACACIAVALE_TRY_VOID(
    Admit(mServer, mCaller, mCaller.mAccount.mPriority, load));
  mAdmitted = true;
  return {};
}

tl::expected<void, Problem> ChatExchange::CheckTarget() const
{
  const Settings& settings = *mCaller.mSettings;
  const bool exists = settings.mModels.contains(mChatRequest.mTarget) ||
                      settings.mCascades.contains(mChatRequest.mTarget);
  const auto& allowed = mCaller.mAccount.mModels;
  const bool permitted =
    std::find(allowed.begin(), allowed.end(), mChatRequest.mTarget) !=
    allowed.end();
  // NOTE: Both cases get the same answer, so that an account cannot find out
  //       which models exist beyond its own.
  if (!exists || !permitted) {
    return tl::make_unexpected(
      Problem{ 404,
               "unknown-model",
               "The account has no model or cascade of this name.",
               "Name one of: " +
                 [&allowed] {
                   std::string names;
                   for (const std::string& name : allowed) {
                     names += (names.empty() ? "" : ", ") + name;
                   }
                   return names;
                 }() +
                 ".",
               Executed::No });
  }
  return {};
}

tl::expected<void, Problem> ChatExchange::ChooseStages()
{
  RequestProfile& profile = mDecisionRecord.mProfile;
  profile.mAccount = mCaller.mAccount.mName;
  profile.mTarget = mChatRequest.mTarget;
  profile.mKind = mRequest.mKind;
  profile.mPromptTokens = mChatRequest.mPromptTokens;
  profile.mExpectedOutputTokens = mChatRequest.mMaxOutputTokens;
  profile.mTimeLeft = mCaller.mDeadline - MonotonicNow();
  profile.mPriority = mCaller.mAccount.mPriority;
  profile.mSessionVersions = mSession.mVersions;
  profile.mRolloutPosition = RolloutPosition(mSession);
  const auto routing = mServer.mRoutingSnapshot.load();
  const auto snapshot = mServer.mEndpoints.Snapshot();
  const VersionView view{ *mCaller.mSettings,
                          routing->mEvidence,
                          routing->mRollouts,
                          snapshot->mLoadedVersions };
  mDecisionRecord.mDecision = ChooseVersion(profile, view, mShard.mRandom);
  mDecisionRecord.mSettingsGeneration = mCaller.mSettings->mGeneration;
  if (mDecisionRecord.mDecision.mStages.empty()) {
    return tl::make_unexpected(NoVersionProblem(mDecisionRecord.mDecision));
  }
  return {};
}

const CascadeStage& ChatExchange::CurrentStage() const
{
  return mDecisionRecord.mDecision.mStages[mStageIndex];
}

bool ChatExchange::IsLastStage() const
{
  return mStageIndex + 1 == mDecisionRecord.mDecision.mStages.size();
}

bool ChatExchange::StreamsThisStage() const
{
  return mChatRequest.mStream && IsLastStage();
}

tl::expected<EndpointRecords, Problem> ChatExchange::Candidates() const
{
  const auto settings = mServer.CurrentSettings();
  const Exclusion exclusion =
    CheckDispatch(mDecisionRecord.mProfile, *settings, CurrentStage());
  if (exclusion != Exclusion::None) {
    return tl::make_unexpected(VersionExcludedProblem(exclusion));
  }
  const auto snapshot = mServer.mEndpoints.Snapshot();
  const auto found = snapshot->mByVersion.find(CurrentStage());
  return found == snapshot->mByVersion.end() ? EndpointRecords{}
                                             : found->second;
}

DispatchPlan ChatExchange::PlanStage()
{
  DispatchPlan plan;
  plan.mCandidates = [self = shared_from_this()] { return self->Candidates(); };
  plan.mDeadline = mCaller.mDeadline;
  plan.mBuffered = !StreamsThisStage();
  plan.mPriority = mCaller.mAccount.mPriority;
  plan.mPrefixHash = mChatRequest.mPrefixHash;
  plan.mPrefillSeconds =
    kPrefillSecondsPerToken * static_cast<double>(mChatRequest.mPromptTokens);
  EndpointRequest& request = plan.mRequest;
  request.mMethod = "POST";
  request.mPath = "/v1/chat/completions";
  request.mHeaders = { { "Content-Type", "application/json" },
                       { "X-Request-Id", mDecisionRecord.mRequestId },
                       { "X-Model-Version", CurrentStage().mVersion } };
  if (!mRequest.mKind.empty()) {
    request.mHeaders.emplace_back("X-Request-Kind", mRequest.mKind);
  }
  if (mChunksRelayed > 0) {
    request.mHeaders.emplace_back("X-Resume-From",
                                  std::to_string(mChunksRelayed));
  }
  request.mBody =
    BuildEngineBody(mChatRequest, CurrentStage().mModel, StreamsThisStage());
  return plan;
}

void ChatExchange::RunStage()
{
  mStageStartTime = MonotonicNow();
  mAnswerBody.clear();
  mEventReader = {};
  mFinalChunk.clear();
  mDoneReceived = false;
  mStreamRejected = false;
  StageRun run;
  run.mStage = CurrentStage();
  run.mUse.mInputTokens = mChatRequest.mPromptTokens;
  run.mUse.mOutcome = StageOutcome::Failed;
  if (const VersionSettings* version = FindVersion(
        *mCaller.mSettings, CurrentStage().mModel, CurrentStage().mVersion)) {
    run.mUse.mInputPrice = version->mInputPrice;
    run.mUse.mOutputPrice = version->mOutputPrice;
  }
  mStageRuns.push_back(std::move(run));
  const auto self = shared_from_this();
  DispatchObserver observer;
  observer.mOnHeaders = [self](const EndpointResponseHeaders& aHeaders) {
    self->mAnswerBody.clear();
    self->mEventReader = {};
    self->mIsAnswer = aHeaders.mStatus == kStatusOk;
    const bool resumesAtPosition =
      self->mChunksRelayed == 0 ||
      aHeaders.mResumedFrom == std::to_string(self->mChunksRelayed);
    if (!resumesAtPosition) {
      self->AbandonResume();
    }
  };
  observer.mOnBody = [self](std::string_view aBytes) { self->OnBytes(aBytes); };
  observer.mOnDone = [self](const DispatchResult& aResult) {
    self->OnStageDone(aResult);
  };
  observer.mOnAttempt = [self](const std::string& aEndpointName,
                               std::string_view aReason,
                               const std::string& aOutcome) {
    if (aOutcome.empty()) {
      self->mDecisionRecord.mAttempts.push_back(
        { self->CurrentStage(), aEndpointName, std::string(aReason), "" });
    } else {
      self->mDecisionRecord.mAttempts.back().mOutcome = aOutcome;
    }
  };
  mDispatch = Dispatch::Start(mShard, PlanStage(), std::move(observer));
}

void ChatExchange::OnBytes(std::string_view aBytes)
{
  if (mEnded || mResumeRejected) {
    return;
  }
  if (!StreamsThisStage()) {
    if (mAnswerBody.size() + aBytes.size() <= kMaxAnswerBytes) {
      mAnswerBody.append(aBytes);
    }
    return;
  }
  if (!mIsAnswer || mStreamRejected) {
    return;
  }
  std::string out;
  const bool valid = mEventReader.Feed(
    aBytes, [&](std::string_view aEvent) { OnEvent(aEvent, out); });
  if (!out.empty()) {
    EnsureStreamStarted();
    WriteToCaller(std::move(out));
  }
  mStreamRejected = mStreamRejected || (!valid && !mDoneReceived);
  if (mStreamRejected) {
    mDispatch->RejectAnswer("sent what is no part of a stream");
  }
}

void ChatExchange::OnEvent(std::string_view aEvent, std::string& aOut)
{
  // NOTE: A stream is complete with its end mark. What follows it may be of
  //       another response.
  if (mDoneReceived || mStreamRejected) {
    return;
  }
  const std::string_view data = EventData(aEvent);
  if (data == kDoneData) {
    mDoneReceived = true;
  } else if (IsErrorEvent(aEvent) ||
             (!data.empty() &&
              data.find(kChoicesKey) == std::string_view::npos)) {
    mStreamRejected = true;
  } else if (data.find(kUsageKey) != std::string_view::npos) {
    mFinalChunk = data;
  } else if (!data.empty()) {
    ++mChunksRelayed;
    aOut.append(aEvent);
  }
}

void ChatExchange::EnsureStreamStarted()
{
  if (mStreamStarted) {
    return;
  }
  mStreamStarted = true;
  mFirstTokenTime = MonotonicNow();
  const std::chrono::duration<double> firstTokenDelay =
    mFirstTokenTime - mCaller.mStartTime;
  mServer.mMetrics.Observe("acaciavale_first_token_seconds",
                           { { "account", mCaller.mAccount.mName },
                             { "model", CurrentStage().mModel },
                             { "version", CurrentStage().mVersion } },
                           firstTokenDelay.count());
  ResponseHeaders headers = AnswerHeaders();
  headers.emplace_back("Content-Type", "text/event-stream");
  headers.emplace_back("Cache-Control", "no-store");
  mResponse.mStartStream(kStatusOk, headers);
}

void ChatExchange::WriteToCaller(std::string aBytes)
{
  const std::size_t byteCount = aBytes.size();
  mUnwrittenBytes += byteCount;
  if (mUnwrittenBytes > kHighWaterBytes && !mDispatchPaused && mDispatch) {
    mDispatchPaused = true;
    mDispatch->Pause();
  }
  const std::weak_ptr<ChatExchange> weak = weak_from_this();
  mResponse.mWrite(std::move(aBytes), [weak, byteCount] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->mUnwrittenBytes -= byteCount;
    if (self->mDispatchPaused && self->mUnwrittenBytes < kLowWaterBytes) {
      self->mDispatchPaused = false;
      self->mDispatch->Resume();
    }
  });
}

void ChatExchange::OnStageDone(const DispatchResult& aResult)
{
  if (mEnded) {
    return;
  }
  const bool rejected = aResult.mAnswered && IsRejection(aResult.mStatus);
  if (aResult.mExecuted == Executed::Unknown ||
      (aResult.mAnswered && !rejected)) {
    mMayHaveRun = true;
  }
  if (!aResult.mSelection && mChunksRelayed == 0) {
    mStageRuns.pop_back(); // The stage was never sent to an endpoint.
    if (TryRepeatChoice(aResult.mSelection.error())) {
      RunStage();
    } else if (IsLastStage()) {
      Refuse(aResult.mSelection.error());
    } else {
      Escalate();
    }
    return;
  }
  if (aResult.mAnswered && aResult.mStatus != kStatusOk) {
    Refuse(Problem{ 422,
                    "engine-rejected",
                    "The engine rejected the request with status " +
                      std::to_string(aResult.mStatus) + ".",
                    "Change the request.",
                    Executed::No });
    return;
  }
  if (StreamsThisStage()) {
    OnStreamDone(aResult);
  } else {
    OnBufferedAnswer(aResult);
  }
}

bool ChatExchange::TryRepeatChoice(const Problem& aProblem)
{
  // NOTE: If the chosen version was withdrawn before its dispatch, the choice
  //       is repeated once, so that the withdrawal fails no request.
  if (aProblem.mReason != kVersionExcludedReason || mChoiceRepeated) {
    return false;
  }
  mChoiceRepeated = true;
  const auto settings = mServer.CurrentSettings();
  if (!settings->mAccounts.contains(mCaller.mAccount.mName)) {
    return false;
  }
  mCaller.mSettings = settings;
  mCaller.mAccount = settings->mAccounts.at(mCaller.mAccount.mName);
  mStageIndex = 0;
  return ChooseStages().has_value();
}

void ChatExchange::OnBufferedAnswer(const DispatchResult& aResult)
{
  const auto answer = ParseEngineAnswer(mAnswerBody);
  if (!aResult.mAnswered || !answer) {
    RecordStage(StageOutcome::Failed);
    if (IsLastStage()) {
      Refuse(EngineFailedProblem(Executed::No));
    } else {
      Escalate();
    }
    return;
  }
  StageUsage& use = mStageRuns.back().mUse;
  use.mInputTokens = answer->mPromptTokens;
  use.mOutputTokens = answer->mCompletionTokens;
  if (!IsLastStage() &&
      answer->mConfidence < mDecisionRecord.mDecision.mAcceptConfidence) {
    RecordStage(StageOutcome::Escalated);
    Escalate();
    return;
  }
  RecordStage(StageOutcome::Answered);
  FinishBufferedAnswer(*answer, std::move(mAnswerBody));
}

void ChatExchange::Escalate()
{
  ++mStageIndex;
  RunStage();
}

void ChatExchange::OnStreamDone(const DispatchResult& aResult)
{
  const auto answer = ParseEngineAnswer(mFinalChunk);
  if (aResult.mAnswered && mDoneReceived && answer) {
    mStageRuns.back().mUse.mInputTokens = answer->mPromptTokens;
    mStageRuns.back().mUse.mOutputTokens = answer->mCompletionTokens;
    RecordStage(StageOutcome::Answered);
    FinishStream();
    return;
  }
  RecordStage(StageOutcome::Failed);
  if (!mStreamStarted) {
    Refuse(EngineFailedProblem(Executed::No));
    return;
  }
  ResumeStream();
}

void ChatExchange::ResumeStream()
{
  const bool canResume = !mResumeRejected && mResumeCount < kMaxResumes &&
                         MonotonicNow() < mCaller.mDeadline;
  if (!canResume) {
    Refuse(EngineFailedProblem(Executed::Unknown));
    return;
  }
  ++mResumeCount;
  mServer.mMetrics.Count("acaciavale_resumes_total", {});
  mStageRuns.pop_back();
  RunStage();
}

void ChatExchange::AbandonResume()
{
  // NOTE: An engine that does not resume starts over and may generate different
  //       text, so its stream cannot continue the one already relayed.
  mResumeRejected = true;
  asio::post(mShard.mContext, [self = shared_from_this()] {
    if (!self->mEnded) {
      self->mDispatch->Cancel();
      self->Refuse(EngineFailedProblem(Executed::Unknown));
    }
  });
}

void ChatExchange::FinishBufferedAnswer(const EngineAnswer& aAnswer,
                                        std::string aBody)
{
  Bill([this, answer = aAnswer, body = std::move(aBody)] {
    const ChatReceipt receipt = Receipt();
    if (mChatRequest.mStream) {
      EnsureStreamStarted();
      WriteToCaller(BuildEventStream(answer, receipt));
      mResponse.mFinish();
    } else {
      ResponseHeaders headers = AnswerHeaders();
      headers.emplace_back("Content-Type", "application/json");
      headers.emplace_back("X-Acaciavale-Cost-Micros",
                           std::to_string(receipt.mCostMicros));
      mResponse.mSend(kStatusOk, headers, AddReceipt(body, receipt));
    }
    RecordRateableAnswer();
    End("answered");
  });
}

void ChatExchange::FinishStream()
{
  Bill([this] {
    EnsureStreamStarted();
    std::string last = "data: " + AddReceipt(mFinalChunk, Receipt()) + "\n\n";
    last.append(kDoneEvent);
    WriteToCaller(std::move(last));
    mResponse.mFinish();
    RecordRateableAnswer();
    End("answered");
  });
}

std::vector<StageUsage> ChatExchange::StageUses() const
{
  std::vector<StageUsage> uses;
  for (const StageRun& run : mStageRuns) {
    uses.push_back(run.mUse);
  }
  return uses;
}

void ChatExchange::Bill(std::function<void()> aOnRecorded)
{
  BillEntry entry;
  entry.mRequestId = mDecisionRecord.mRequestId;
  entry.mAccount = mCaller.mAccount.mName;
  entry.mModel = CurrentStage().mModel;
  entry.mVersion = CurrentStage().mVersion;
  const ChargedTokens tokens = TokensOfRequest(StageUses());
  entry.mInputTokens = tokens.mInputTokens;
  entry.mOutputTokens = tokens.mOutputTokens;
  entry.mCharge = ChargeOfRequest(StageUses());
  entry.mTime = CalendarNow();
  mDecisionRecord.mCharge = entry.mCharge;
  mDispatch.reset();
  const auto self = shared_from_this();
  mServer.mBilling->Record(
    std::move(entry),
    [self, onRecorded = std::move(aOnRecorded)](bool aDurable) {
      asio::post(self->mShard.mContext, [self, onRecorded, aDurable] {
        if (self->mEnded) {
          return;
        }
        // NOTE: An entry that is not durable yet is kept by this VM and charged
        //       once the store answers, so the answer is sent anyway.
        if (!aDurable) {
          self->mServer.mMetrics.Count("acaciavale_bills_not_durable_total",
                                       {});
        }
        onRecorded();
      });
    });
}

void ChatExchange::RecordStage(StageOutcome aOutcome)
{
  StageUsage& use = mStageRuns.back().mUse;
  use.mOutcome = aOutcome;
  const TimePoint now = MonotonicNow();
  const TimePoint firstTokenTime =
    mFirstTokenTime > mStageStartTime ? mFirstTokenTime : now;
  AnswerEvidence evidence;
  evidence.mFailed = aOutcome == StageOutcome::Failed;
  evidence.mEscalated = aOutcome == StageOutcome::Escalated;
  evidence.mFirstTokenSeconds =
    std::chrono::duration<double>(firstTokenTime - mStageStartTime).count();
  evidence.mOutputTokens = static_cast<double>(use.mOutputTokens);
  mServer.mEvidenceStore.RecordAnswer(
    { CurrentStage().mModel, CurrentStage().mVersion, mRequest.mKind },
    evidence,
    now);
  mServer.mMetrics.Count(
    "acaciavale_stages_total",
    { { "model", CurrentStage().mModel },
      { "version", CurrentStage().mVersion },
      { "outcome",
        evidence.mFailed
          ? "failed"
          : (evidence.mEscalated ? "escalated" : "answered") } });
}

void ChatExchange::RecordRateableAnswer()
{
  RatingSubject subject;
  subject.mAccount = mCaller.mAccount.mName;
  subject.mTarget = mChatRequest.mTarget;
  subject.mEvidenceKeys = {
    { CurrentStage().mModel, CurrentStage().mVersion, mRequest.mKind }
  };
  if (mDecisionRecord.mDecision.mStages.size() > 1) {
    subject.mEvidenceKeys.push_back(CascadeEvidenceKey(
      mChatRequest.mTarget, mDecisionRecord.mDecision.mStages, mRequest.mKind));
  }
  mServer.mAnswerRatings.Add({ mDecisionRecord.mRequestId,
                               CurrentStage().mModel,
                               CurrentStage().mVersion,
                               mRequest.mKind },
                             std::move(subject));
}

ChatReceipt ChatExchange::Receipt() const
{
  ChatReceipt receipt;
  receipt.mRequestId = mDecisionRecord.mRequestId;
  receipt.mModel = CurrentStage().mModel;
  receipt.mVersion = CurrentStage().mVersion;
  for (const StageRun& run : mStageRuns) {
    receipt.mStages +=
      (receipt.mStages.empty() ? "" : " ") + NameOf(run.mStage);
  }
  receipt.mCostMicros = mDecisionRecord.mCharge.mMicros;
  receipt.mCurrency = mCaller.mSettings->mDeployment.mCurrency;
  return receipt;
}

Session ChatExchange::UpdatedSession() const
{
  const auto settings = mServer.CurrentSettings();
  Session session = mSession;
  // NOTE: Withdrawn versions are removed, so that the token names the versions
  //       that replaced them.
  std::erase_if(session.mVersions, [&](const CascadeStage& aStage) {
    const VersionSettings* version =
      FindVersion(*settings, aStage.mModel, aStage.mVersion);
    return version == nullptr || version->mState == VersionState::Withdrawn;
  });
  for (const CascadeStage& stage : mDecisionRecord.mDecision.mStages) {
    if (std::find(session.mVersions.begin(), session.mVersions.end(), stage) ==
        session.mVersions.end()) {
      session.mVersions.push_back(stage);
    }
  }
  return session;
}

ResponseHeaders ChatExchange::AnswerHeaders() const
{
  const Session session = UpdatedSession();
  const ChatReceipt receipt = Receipt();
  return { { "X-Request-Id", receipt.mRequestId },
           { "X-Acaciavale-Model", receipt.mModel },
           { "X-Acaciavale-Version", receipt.mVersion },
           { "X-Acaciavale-Stages", receipt.mStages },
           { "X-Session",
             SignSession(session, mCaller.mSettings->mDeployment) } };
}

void ChatExchange::OnCallerDisconnected()
{
  if (mEnded) {
    return;
  }
  if (mDispatch) {
    mDispatch->Cancel();
  }
  // NOTE: The caller is charged for the relayed chunks only. A request that
  //       received nothing is free.
  if (mStreamStarted && mDispatch) {
    mStageRuns.back().mUse.mOutcome = StageOutcome::CancelledByCaller;
    mStageRuns.back().mUse.mOutputTokens = mChunksRelayed;
    Bill([this] { End("caller gone, charged for what was relayed"); });
    return;
  }
  End("caller gone");
}

void ChatExchange::Refuse(const Problem& aProblem)
{
  const Problem problem =
    WithEarlierRun(aProblem, mMayHaveRun || mStreamStarted);
  if (mStreamStarted) {
    WriteToCaller(ErrorEvent(problem, mDecisionRecord.mRequestId));
    mResponse.mFinish();
  } else {
    SendProblem(mResponse, problem, mDecisionRecord.mRequestId);
  }
  End("refused: " + aProblem.mReason);
}

void ChatExchange::RecordSloSample(const std::string& aOutcome)
{
  if (!mAdmitted) {
    return;
  }
  SloSample sample;
  sample.mAccount = mCaller.mAccount.mName;
  sample.mModel = mChatRequest.mTarget;
  // A request that its caller abandoned does not count as a failure.
  sample.mAnswered = aOutcome.rfind("refused", 0) != 0;
  if (mStreamStarted) {
    sample.mFirstToken = mFirstTokenTime - mCaller.mStartTime;
    if (mChunksRelayed > 1) {
      sample.mBetweenTokens =
        (MonotonicNow() - mFirstTokenTime) / (mChunksRelayed - 1);
    }
  }
  mServer.mSloCounters.Record(
    FindObjective(*mCaller.mSettings, sample.mAccount, sample.mModel),
    sample,
    CalendarNow());
}

void ChatExchange::End(const std::string& aOutcome)
{
  mEnded = true;
  if (mAdmitted) {
    FinishAdmission(mServer, mCaller.mAccount.mName);
  }
  mServer.mMetrics.Count("acaciavale_requests_total",
                         { { "account", mCaller.mAccount.mName },
                           { "target", mChatRequest.mTarget },
                           { "outcome", aOutcome } });
  Log(LogLevel::Debug,
      "chat",
      "Request ended.",
      { { "request", mDecisionRecord.mRequestId },
        { "account", mCaller.mAccount.mName },
        { "outcome", aOutcome } });
  RecordSloSample(aOutcome);
  mDecisionRecord.mOutcome = aOutcome;
  mDispatch.reset();
  mServer.mDecisionLog.Add(std::move(mDecisionRecord));
}

} // namespace Acaciavale
