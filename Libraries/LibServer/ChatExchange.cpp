#include "ChatExchange.h"

#include "ChatProblems.h"

#include <algorithm>
#include <asio/post.hpp>

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxAnswerBytes = 8 << 20;
/// Bytes waiting for a slow caller above which the endpoint is not read.
constexpr std::size_t kHighWaterBytes = 65'536;
constexpr std::size_t kLowWaterBytes = 16'384;
constexpr int kMaxResumes = 2;
constexpr int kOk = 200;
constexpr double kPrefillSecondsPerToken = 0.0002;
constexpr std::string_view kDone = "[DONE]";
constexpr std::string_view kUsageMember = "\"usage\"";
constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

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
  , mParts(aShard.mParts)
  , mRequest(std::move(aRequest))
  , mResponse(std::move(aResponse))
{
  mNote.mRequest = RandomToken(mShard.mRandom);
  mNote.mTime = CalendarNow();
}

void ChatExchange::Begin()
{
  if (auto prepared = Prepare(); !prepared) {
    Refuse(prepared.error());
    return;
  }
  const std::weak_ptr<ChatExchange> weak = weak_from_this();
  mResponse.mWhenClosed([weak] {
    if (const auto self = weak.lock()) {
      self->OnCallerGone();
    }
  });
  RunStage();
}

tl::expected<void, Problem> ChatExchange::Prepare()
{
  mCaller = ACACIAVALE_TRY(Authenticate(mParts, mRequest, mNote.mRequest));
  mChat = ACACIAVALE_TRY(ParseChatRequest(mRequest.mBody));
  mRequest.mKind = mParts.mKinds.Known(mRequest.mKind);
  ACACIAVALE_TRY_VOID(CheckTarget());
  mSession.mId = RandomToken(mShard.mRandom);
  mSession.mAccount = mCaller.mAccount.mName;
  mSession.mIssued = CalendarNow();
  if (!mRequest.mSession.empty()) {
    auto session = VerifySession(mRequest.mSession,
                                 mCaller.mAccount.mName,
                                 mCaller.mSettings->mDeployment);
    if (!session) {
      return tl::make_unexpected(
        Problem{ session.error().mCode == ErrorCode::Forbidden ? 403 : 400,
                 "bad-session",
                 "The session token is not valid here.",
                 "Leave X-Session out to start a new session.",
                 Ran::No });
    }
    mSession = std::move(*session);
  }
  ACACIAVALE_TRY_VOID(Decide());
  const auto snapshot = mParts.mEndpoints.Snapshot();
  const auto pool = snapshot->mByVersion.find(Stage());
  const PoolLoad load = pool == snapshot->mByVersion.end()
                          ? PoolLoad{}
                          : LoadOf(mParts, pool->second);
  ACACIAVALE_TRY_VOID(Admit(mParts, mCaller, mCaller.mAccount.mPriority, load));
  mAdmitted = true;
  return {};
}

tl::expected<void, Problem> ChatExchange::CheckTarget() const
{
  const Settings& settings = *mCaller.mSettings;
  const bool known = settings.mModels.contains(mChat.mTarget) ||
                     settings.mCascades.contains(mChat.mTarget);
  const auto& allowed = mCaller.mAccount.mModels;
  const bool permitted =
    std::find(allowed.begin(), allowed.end(), mChat.mTarget) != allowed.end();
  // NOTE: One answer for both, so that an account learns nothing of models
  //       that are not its own.
  if (!known || !permitted) {
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
               Ran::No });
  }
  return {};
}

tl::expected<void, Problem> ChatExchange::Decide()
{
  RequestProfile& profile = mNote.mProfile;
  profile.mAccount = mCaller.mAccount.mName;
  profile.mTarget = mChat.mTarget;
  profile.mKind = mRequest.mKind;
  profile.mPromptTokens = mChat.mPromptTokens;
  profile.mExpectedOutputTokens = mChat.mMaxOutputTokens;
  profile.mTimeLeft = mCaller.mDeadline - MonotonicNow();
  profile.mPriority = mCaller.mAccount.mPriority;
  profile.mSessionVersions = mSession.mVersions;
  profile.mSessionPoint = SessionPoint(mSession);
  const auto knowledge = mParts.mKnowledge.load();
  const auto snapshot = mParts.mEndpoints.Snapshot();
  const VersionView view{ *mCaller.mSettings,
                          knowledge->mEvidence,
                          knowledge->mRollouts,
                          snapshot->mLoaded };
  mNote.mDecision = ChooseVersion(profile, view, mShard.mRandom);
  mNote.mSettingsGeneration = mCaller.mSettings->mGeneration;
  if (mNote.mDecision.mStages.empty()) {
    return tl::make_unexpected(NothingFits(mNote.mDecision));
  }
  return {};
}

const CascadeStage& ChatExchange::Stage() const
{
  return mNote.mDecision.mStages[mStageIndex];
}

bool ChatExchange::IsLastStage() const
{
  return mStageIndex + 1 == mNote.mDecision.mStages.size();
}

bool ChatExchange::StreamsThisStage() const
{
  return mChat.mStream && IsLastStage();
}

tl::expected<EndpointRecords, Problem> ChatExchange::Candidates() const
{
  const auto settings = mParts.CurrentSettings();
  const Exclusion exclusion = CheckDispatch(mNote.mProfile, *settings, Stage());
  if (exclusion != Exclusion::None) {
    return tl::make_unexpected(DispatchExcluded(exclusion));
  }
  const auto snapshot = mParts.mEndpoints.Snapshot();
  const auto found = snapshot->mByVersion.find(Stage());
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
  plan.mPrefixHash = mChat.mPrefixHash;
  plan.mPrefillSeconds =
    kPrefillSecondsPerToken * static_cast<double>(mChat.mPromptTokens);
  EndpointRequest& request = plan.mRequest;
  request.mMethod = "POST";
  request.mPath = "/v1/chat/completions";
  request.mHeaders = { { "Content-Type", "application/json" },
                       { "X-Request-Id", mNote.mRequest },
                       { "X-Model-Version", Stage().mVersion } };
  if (!mRequest.mKind.empty()) {
    request.mHeaders.emplace_back("X-Request-Kind", mRequest.mKind);
  }
  if (mChunksRelayed > 0) {
    request.mHeaders.emplace_back("X-Resume-From",
                                  std::to_string(mChunksRelayed));
  }
  request.mBody = EngineBody(mChat, Stage().mModel, StreamsThisStage());
  return plan;
}

void ChatExchange::RunStage()
{
  mStageStart = MonotonicNow();
  mBuffered.clear();
  mReader = {};
  mLastChunk.clear();
  mSawDone = false;
  StageRun run;
  run.mStage = Stage();
  run.mUse.mInputTokens = mChat.mPromptTokens;
  run.mUse.mOutcome = StageOutcome::Failed;
  if (const VersionSettings* version =
        FindVersion(*mCaller.mSettings, Stage().mModel, Stage().mVersion)) {
    run.mUse.mInputPrice = version->mInputPrice;
    run.mUse.mOutputPrice = version->mOutputPrice;
  }
  mRuns.push_back(std::move(run));
  const auto self = shared_from_this();
  DispatchObserver observer;
  observer.mOnHeaders = [self](const EndpointResponseHeaders& aHeaders) {
    self->mBuffered.clear();
    const bool resumes =
      self->mChunksRelayed == 0 ||
      aHeaders.mResumedFrom == std::to_string(self->mChunksRelayed);
    if (!resumes) {
      self->GiveUpResuming();
    }
  };
  observer.mOnBody = [self](std::string_view aBytes) { self->OnBytes(aBytes); };
  observer.mOnDone = [self](const DispatchResult& aResult) {
    self->OnStageDone(aResult);
  };
  observer.mOnAttempt = [self](const std::string& aEndpoint,
                               std::string_view aReason,
                               const std::string& aOutcome) {
    if (aOutcome.empty()) {
      self->mNote.mDispatches.push_back(
        { self->Stage(), aEndpoint, std::string(aReason), "" });
    } else {
      self->mNote.mDispatches.back().mOutcome = aOutcome;
    }
  };
  mDispatch = Dispatch::Start(mShard, PlanStage(), std::move(observer));
}

void ChatExchange::OnBytes(std::string_view aBytes)
{
  if (mEnded || mCannotResume) {
    return;
  }
  if (!StreamsThisStage()) {
    if (mBuffered.size() + aBytes.size() <= kMaxAnswerBytes) {
      mBuffered.append(aBytes);
    }
    return;
  }
  std::string out;
  mReader.Feed(aBytes, [&](std::string_view aEvent) { OnEvent(aEvent, out); });
  if (!out.empty()) {
    EnsureStreamStarted();
    WriteToCaller(std::move(out));
  }
}

void ChatExchange::OnEvent(std::string_view aEvent, std::string& aOut)
{
  const std::string_view data = EventData(aEvent);
  if (data == kDone) {
    mSawDone = true;
  } else if (data.find(kUsageMember) != std::string_view::npos) {
    mLastChunk = data;
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
  mFirstToken = MonotonicNow();
  const std::chrono::duration<double> wait = mFirstToken - mCaller.mStart;
  mParts.mMetrics.Observe("acaciavale_first_token_seconds",
                          { { "account", mCaller.mAccount.mName },
                            { "model", Stage().mModel },
                            { "version", Stage().mVersion } },
                          wait.count());
  ResponseHeaders headers = AnswerHeaders();
  headers.emplace_back("Content-Type", "text/event-stream");
  headers.emplace_back("Cache-Control", "no-store");
  mResponse.mStartStream(kOk, headers);
}

void ChatExchange::WriteToCaller(std::string aBytes)
{
  const std::size_t size = aBytes.size();
  mUnwrittenBytes += size;
  if (mUnwrittenBytes > kHighWaterBytes && !mPaused && mDispatch) {
    mPaused = true;
    mDispatch->Pause();
  }
  const std::weak_ptr<ChatExchange> weak = weak_from_this();
  mResponse.mWrite(std::move(aBytes), [weak, size] {
    const auto self = weak.lock();
    if (!self) {
      return;
    }
    self->mUnwrittenBytes -= size;
    if (self->mPaused && self->mUnwrittenBytes < kLowWaterBytes) {
      self->mPaused = false;
      self->mDispatch->Resume();
    }
  });
}

void ChatExchange::OnStageDone(const DispatchResult& aResult)
{
  if (mEnded) {
    return;
  }
  if (!aResult.mRefused && mChunksRelayed == 0) {
    mRuns.pop_back(); // It was never sent.
    if (DecidesAgain(aResult.mRefused.error())) {
      RunStage();
    } else if (IsLastStage()) {
      Refuse(aResult.mRefused.error());
    } else {
      Escalate();
    }
    return;
  }
  if (aResult.mAnswered && aResult.mStatus != kOk) {
    Refuse(Problem{ 422,
                    "engine-rejected",
                    "The engine rejected the request with status " +
                      std::to_string(aResult.mStatus) + ".",
                    "Change the request.",
                    Ran::No });
    return;
  }
  if (StreamsThisStage()) {
    OnStreamDone(aResult);
  } else {
    OnWholeAnswer(aResult);
  }
}

bool ChatExchange::DecidesAgain(const Problem& aProblem)
{
  // NOTE: The chosen version was withdrawn between the choice and its dispatch.
  //       That must harm no caller, so the choice is made again, once.
  if (aProblem.mReason != kVersionExcluded || mDecidedAgain) {
    return false;
  }
  mDecidedAgain = true;
  const auto settings = mParts.CurrentSettings();
  if (!settings->mAccounts.contains(mCaller.mAccount.mName)) {
    return false;
  }
  mCaller.mSettings = settings;
  mCaller.mAccount = settings->mAccounts.at(mCaller.mAccount.mName);
  mStageIndex = 0;
  return Decide().has_value();
}

void ChatExchange::OnWholeAnswer(const DispatchResult& aResult)
{
  const auto usage = ParseUsage(mBuffered);
  if (!aResult.mAnswered || !usage) {
    NoteStage(StageOutcome::Failed);
    if (IsLastStage()) {
      Refuse(EngineFailed(aResult.mRan));
    } else {
      Escalate();
    }
    return;
  }
  StageUse& use = mRuns.back().mUse;
  use.mInputTokens = usage->mPromptTokens;
  use.mOutputTokens = usage->mCompletionTokens;
  if (!IsLastStage() &&
      usage->mConfidence < mNote.mDecision.mAcceptConfidence) {
    NoteStage(StageOutcome::Escalated);
    Escalate();
    return;
  }
  NoteStage(StageOutcome::Answered);
  FinishWhole(*usage, std::move(mBuffered));
}

void ChatExchange::Escalate()
{
  ++mStageIndex;
  RunStage();
}

void ChatExchange::OnStreamDone(const DispatchResult& aResult)
{
  const auto usage = ParseUsage(mLastChunk);
  if (aResult.mAnswered && mSawDone && usage) {
    mRuns.back().mUse.mInputTokens = usage->mPromptTokens;
    mRuns.back().mUse.mOutputTokens = usage->mCompletionTokens;
    NoteStage(StageOutcome::Answered);
    FinishStream();
    return;
  }
  NoteStage(StageOutcome::Failed);
  if (!mStreamStarted) {
    Refuse(EngineFailed(aResult.mRan));
    return;
  }
  ResumeStream();
}

void ChatExchange::ResumeStream()
{
  const bool canResume = !mCannotResume && mResumes < kMaxResumes &&
                         MonotonicNow() < mCaller.mDeadline;
  if (!canResume) {
    Refuse(EngineFailed(Ran::Unknown));
    return;
  }
  ++mResumes;
  mParts.mMetrics.Count("acaciavale_resumes_total", {});
  mRuns.pop_back();
  RunStage();
}

void ChatExchange::GiveUpResuming()
{
  // NOTE: An engine that does not resume starts over, and nothing says that it
  //       would write the same words again, so its stream is not spliced on.
  mCannotResume = true;
  asio::post(mShard.mContext, [self = shared_from_this()] {
    if (!self->mEnded) {
      self->mDispatch->Cancel();
      self->Refuse(EngineFailed(Ran::Unknown));
    }
  });
}

void ChatExchange::FinishWhole(const ChatUsage& aUsage, std::string aAnswer)
{
  Bill([this, usage = aUsage, answer = std::move(aAnswer)] {
    const ChatReceipt receipt = Receipt();
    if (mChat.mStream) {
      EnsureStreamStarted();
      WriteToCaller(AsEvents(usage, receipt));
      mResponse.mFinish();
    } else {
      ResponseHeaders headers = AnswerHeaders();
      headers.emplace_back("Content-Type", "application/json");
      headers.emplace_back("X-Acaciavale-Cost-Micros",
                           std::to_string(receipt.mCostMicros));
      mResponse.mSend(kOk, headers, WithReceipt(answer, receipt));
    }
    NoteRateable();
    End("answered");
  });
}

void ChatExchange::FinishStream()
{
  Bill([this] {
    EnsureStreamStarted();
    std::string last = "data: " + WithReceipt(mLastChunk, Receipt()) + "\n\n";
    last.append(kDoneEvent);
    WriteToCaller(std::move(last));
    mResponse.mFinish();
    NoteRateable();
    End("answered");
  });
}

std::vector<StageUse> ChatExchange::Uses() const
{
  std::vector<StageUse> uses;
  for (const StageRun& run : mRuns) {
    uses.push_back(run.mUse);
  }
  return uses;
}

void ChatExchange::Bill(std::function<void()> aThen)
{
  BillEntry entry;
  entry.mRequest = mNote.mRequest;
  entry.mAccount = mCaller.mAccount.mName;
  entry.mModel = Stage().mModel;
  entry.mVersion = Stage().mVersion;
  const ChargedTokens tokens = TokensOfRequest(Uses());
  entry.mInputTokens = tokens.mInputTokens;
  entry.mOutputTokens = tokens.mOutputTokens;
  entry.mCharge = ChargeOfRequest(Uses());
  entry.mTime = CalendarNow();
  mNote.mCharge = entry.mCharge;
  mDispatch.reset();
  const auto self = shared_from_this();
  mParts.mBilling->Record(
    std::move(entry), [self, then = std::move(aThen)](bool aDurable) {
      asio::post(self->mShard.mContext, [self, then, aDurable] {
        if (self->mEnded) {
          return;
        }
        // NOTE: An entry that is not durable yet stays with this VM until the
        //       store answers, and is charged then. So the answer goes out.
        if (!aDurable) {
          self->mParts.mMetrics.Count("acaciavale_bills_not_durable_total", {});
        }
        then();
      });
    });
}

void ChatExchange::NoteStage(StageOutcome aOutcome)
{
  StageUse& use = mRuns.back().mUse;
  use.mOutcome = aOutcome;
  const TimePoint now = MonotonicNow();
  const TimePoint first = mFirstToken > mStageStart ? mFirstToken : now;
  AnswerEvidence evidence;
  evidence.mFailed = aOutcome == StageOutcome::Failed;
  evidence.mEscalated = aOutcome == StageOutcome::Escalated;
  evidence.mFirstTokenSeconds =
    std::chrono::duration<double>(first - mStageStart).count();
  evidence.mOutputTokens = static_cast<double>(use.mOutputTokens);
  mParts.mEvidence.RecordAnswer(
    { Stage().mModel, Stage().mVersion, mRequest.mKind }, evidence, now);
  mParts.mMetrics.Count(
    "acaciavale_stages_total",
    { { "model", Stage().mModel },
      { "version", Stage().mVersion },
      { "outcome",
        evidence.mFailed
          ? "failed"
          : (evidence.mEscalated ? "escalated" : "answered") } });
}

void ChatExchange::NoteRateable()
{
  RatedFor rated;
  rated.mAccount = mCaller.mAccount.mName;
  rated.mTarget = mChat.mTarget;
  rated.mKeys = { { Stage().mModel, Stage().mVersion, mRequest.mKind } };
  if (mNote.mDecision.mStages.size() > 1) {
    rated.mKeys.push_back(CascadeEvidenceKey(
      mChat.mTarget, mNote.mDecision.mStages, mRequest.mKind));
  }
  mParts.mRatings.Note(
    { mNote.mRequest, Stage().mModel, Stage().mVersion, mRequest.mKind },
    std::move(rated));
}

ChatReceipt ChatExchange::Receipt() const
{
  ChatReceipt receipt;
  receipt.mRequest = mNote.mRequest;
  receipt.mModel = Stage().mModel;
  receipt.mVersion = Stage().mVersion;
  for (const StageRun& run : mRuns) {
    receipt.mStages +=
      (receipt.mStages.empty() ? "" : " ") + NameOf(run.mStage);
  }
  receipt.mCostMicros = mNote.mCharge.mMicros;
  receipt.mCurrency = mCaller.mSettings->mDeployment.mCurrency;
  return receipt;
}

Session ChatExchange::KeptSession() const
{
  const auto settings = mParts.CurrentSettings();
  Session session = mSession;
  // NOTE: A version that may not be used any more is let go, so that the token
  //       names the one that took its place.
  std::erase_if(session.mVersions, [&](const CascadeStage& aHeld) {
    const VersionSettings* version =
      FindVersion(*settings, aHeld.mModel, aHeld.mVersion);
    return version == nullptr || version->mState == VersionState::Withdrawn;
  });
  for (const CascadeStage& stage : mNote.mDecision.mStages) {
    if (std::find(session.mVersions.begin(), session.mVersions.end(), stage) ==
        session.mVersions.end()) {
      session.mVersions.push_back(stage);
    }
  }
  return session;
}

ResponseHeaders ChatExchange::AnswerHeaders() const
{
  const Session session = KeptSession();
  const ChatReceipt receipt = Receipt();
  return { { "X-Request-Id", receipt.mRequest },
           { "X-Acaciavale-Model", receipt.mModel },
           { "X-Acaciavale-Version", receipt.mVersion },
           { "X-Acaciavale-Stages", receipt.mStages },
           { "X-Session",
             SignSession(session, mCaller.mSettings->mDeployment) } };
}

void ChatExchange::OnCallerGone()
{
  if (mEnded) {
    return;
  }
  if (mDispatch) {
    mDispatch->Cancel();
  }
  // NOTE: The caller is charged for what was handed to it, no more: the chunks
  //       relayed. A request that got nothing costs nothing.
  if (mStreamStarted && mDispatch) {
    mRuns.back().mUse.mOutcome = StageOutcome::CutByCaller;
    mRuns.back().mUse.mOutputTokens = mChunksRelayed;
    Bill([this] { End("caller gone, charged for what was relayed"); });
    return;
  }
  End("caller gone");
}

void ChatExchange::Refuse(const Problem& aProblem)
{
  if (mStreamStarted) {
    WriteToCaller(ErrorEvent(aProblem, mNote.mRequest));
    mResponse.mFinish();
  } else {
    SendProblem(mResponse, aProblem, mNote.mRequest);
  }
  End("refused: " + aProblem.mReason);
}

void ChatExchange::NoteObjectives(const std::string& aOutcome)
{
  if (!mAdmitted) {
    return;
  }
  SloSample sample;
  sample.mAccount = mCaller.mAccount.mName;
  sample.mModel = mChat.mTarget;
  // A caller that goes away is not a failure of ours.
  sample.mAnswered = aOutcome.rfind("refused", 0) != 0;
  if (mStreamStarted) {
    sample.mFirstToken = mFirstToken - mCaller.mStart;
    if (mChunksRelayed > 1) {
      sample.mBetweenTokens =
        (MonotonicNow() - mFirstToken) / (mChunksRelayed - 1);
    }
  }
  mParts.mObjectives.Record(
    FindObjective(*mCaller.mSettings, sample.mAccount, sample.mModel),
    sample,
    CalendarNow());
}

void ChatExchange::End(const std::string& aOutcome)
{
  mEnded = true;
  if (mAdmitted) {
    FinishAdmission(mParts, mCaller.mAccount.mName);
  }
  mParts.mMetrics.Count("acaciavale_requests_total",
                        { { "account", mCaller.mAccount.mName },
                          { "target", mChat.mTarget },
                          { "outcome", aOutcome } });
  Log(LogLevel::Debug,
      "chat",
      "Request ended.",
      { { "request", mNote.mRequest },
        { "account", mCaller.mAccount.mName },
        { "outcome", aOutcome } });
  NoteObjectives(aOutcome);
  mNote.mOutcome = aOutcome;
  mDispatch.reset();
  mParts.mDecisions.Add(std::move(mNote));
}

} // namespace Acaciavale
