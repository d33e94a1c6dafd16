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

/// One chat request from its arrival to its last byte: the choice of versions,
/// the stages of a cascade, the relay of the stream, and the bill.
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
  /// One stage that was started, with what it used as far as that is known.
  struct StageRun
  {
    CascadeStage mStage;
    StageUse mUse;
  };

  void Begin();
  tl::expected<void, Problem> Prepare();
  tl::expected<void, Problem> CheckTarget() const;
  tl::expected<void, Problem> Decide();
  void RunStage();
  DispatchPlan PlanStage();
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnBytes(std::string_view aBytes);
  void OnEvent(std::string_view aEvent, std::string& aOut);
  void OnStageDone(const DispatchResult& aResult);
  bool DecidesAgain(const Problem& aProblem);
  void OnWholeAnswer(const DispatchResult& aResult);
  void OnStreamDone(const DispatchResult& aResult);
  void ResumeStream();
  void GiveUpResuming();
  void Escalate();
  void FinishWhole(const ChatUsage& aUsage, std::string aAnswer);
  void FinishStream();
  void Bill(std::function<void()> aThen);
  void NoteStage(StageOutcome aOutcome);
  void NoteRateable();
  std::vector<StageUse> Uses() const;
  void EnsureStreamStarted();
  void WriteToCaller(std::string aBytes);
  void OnCallerGone();
  void Refuse(const Problem& aProblem);
  void NoteObjectives(const std::string& aOutcome);
  void End(const std::string& aOutcome);
  bool IsLastStage() const;
  bool StreamsThisStage() const;
  const CascadeStage& Stage() const;
  ChatReceipt Receipt() const;
  Session KeptSession() const;
  ResponseHeaders AnswerHeaders() const;

  ServerShard& mShard;
  ServerParts& mParts;
  CallerRequest mRequest;
  CallerResponse mResponse;
  Caller mCaller;
  ChatRequest mChat;
  Session mSession;
  DecisionNote mNote;
  bool mAdmitted = false;
  bool mEnded = false;

  std::size_t mStageIndex = 0;
  bool mDecidedAgain = false;
  std::vector<StageRun> mRuns;
  std::shared_ptr<Dispatch> mDispatch;
  TimePoint mStageStart{};
  TimePoint mFirstToken{};

  std::string mBuffered; ///< A whole answer as it arrives.
  EventStreamReader mReader;
  std::int64_t mChunksRelayed = 0;
  std::string mLastChunk; ///< Held back until the bill is durable.
  bool mSawDone = false;
  bool mStreamStarted = false;
  int mResumes = 0;
  bool mCannotResume = false;
  std::size_t mUnwrittenBytes = 0;
  bool mPaused = false;
};

} // namespace Acaciavale
