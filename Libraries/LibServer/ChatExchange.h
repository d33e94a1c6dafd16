#pragma once

#include "Caller.h"
#include "ChatRequest.h"
#include "Dispatch.h"
#include "EventStreamReader.h"

#include <Acaciavale/LibBilling/BillingRules.h>
#include <memory>
#include <string>
#include <vector>

namespace Acaciavale {

/// Handles a chat request until its answer is complete: chooses the versions,
/// runs the stages of a cascade, relays the stream, and bills the request.
class ChatExchange : public std::enable_shared_from_this<ChatExchange>
{
public:
  static void Start(ServerShard& aShard,
                    CallerRequest aRequest,
                    CallerResponse aResponse);
  ChatExchange(ServerShard& aShard,
               CallerRequest aRequest,
               CallerResponse aResponse);

private:
  /// A stage that was started, with its token usage as far as it is known.
  struct StageRun
  {
    CascadeStage mStage;
    StageUsage mUse;
  };

  void Begin();
  tl::expected<void, Problem> Prepare();
  tl::expected<void, Problem> CheckTarget() const;
  tl::expected<void, Problem> ChooseStages();
  void RunStage();
  DispatchPlan PlanStage();
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnBytes(std::string_view aBytes);
  void OnEvent(std::string_view aEvent, std::string& aOut);
  void OnStageDone(const DispatchResult& aResult);
  bool TryRepeatChoice(const Problem& aProblem);
  void OnBufferedAnswer(const DispatchResult& aResult);
  void OnStreamDone(const DispatchResult& aResult);
  void ResumeStream();
  void AbandonResume();
  void Escalate();
  void FinishBufferedAnswer(const EngineAnswer& aAnswer, std::string aBody);
  void FinishStream();
  void Bill(std::function<void()> aOnRecorded);
  void RecordStage(StageOutcome aOutcome);
  void RecordRateableAnswer();
  std::vector<StageUsage> StageUses() const;
  void EnsureStreamStarted();
  void WriteToCaller(std::string aBytes);
  void OnCallerDisconnected();
  void Refuse(const Problem& aProblem);
  void RecordSloSample(const std::string& aOutcome);
  void End(const std::string& aOutcome);
  bool IsLastStage() const;
  bool StreamsThisStage() const;
  const CascadeStage& CurrentStage() const;
  ChatReceipt Receipt() const;
  Session UpdatedSession() const;
  ResponseHeaders AnswerHeaders() const;

  ServerShard& mShard;
  ServerState& mServer;
  CallerRequest mRequest;
  CallerResponse mResponse;
  Caller mCaller;
  ChatRequest mChatRequest;
  Session mSession;
  DecisionRecord mDecisionRecord;
  bool mAdmitted = false;
  bool mEnded = false;

  std::size_t mStageIndex = 0;
  bool mChoiceRepeated = false;
  std::vector<StageRun> mStageRuns;
  std::shared_ptr<Dispatch> mDispatch;
  TimePoint mStageStartTime{};
  TimePoint mFirstTokenTime{};

  std::string mAnswerBody; ///< Body received so far of a buffered answer.
  EventStreamReader mEventReader;
  std::int64_t mChunksRelayed = 0;
  /// Last chunk of the stream, which contains the usage; sent after billing.
  std::string mFinalChunk;
  bool mDoneReceived = false;
  /// The attempt's status is 200; other answers are no streams.
  bool mIsAnswer = false;
  /// The attempt sent what is no part of a stream; the rest is dropped.
  bool mStreamRejected = false;
  bool mStreamStarted = false;
  /// Whether an attempt that was lost, or an earlier stage, may have run.
  bool mMayHaveRun = false;
  int mResumeCount = 0;
  bool mResumeRejected = false;
  std::size_t mUnwrittenBytes = 0;
  bool mDispatchPaused = false;
};

} // namespace Acaciavale
