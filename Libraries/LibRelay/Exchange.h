#pragma once

#include "RelayState.h"

#include <Acaciavale/LibRelay/CascadeFallback.h>
#include <Acaciavale/LibRelay/EventStreamParser.h>
#include <Acaciavale/LibRelay/ModelChoice.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <Acaciavale/LibRelay/SecondResponse.h>
#include <Acaciavale/LibRelay/Timer.h>

#include <list>

namespace Acaciavale::Relay {

/// The events of an unsure answer that the caller does not have yet.
struct KeptStream
{
  std::string mText;
  std::optional<std::int64_t> mLastEventId;
};

/// One attempt of a request at an endpoint.
struct Attempt
{
  std::shared_ptr<Endpoint> mEndpoint;
  std::shared_ptr<OutboundCall> mCall;
  AttemptWork mWork;
  std::size_t mModel = 0; ///< Index among the route's models.
  TimePoint mStartedAt{};
  TimePoint mLastEventAt{};
  /// Time to the response or the first event; 0 before it.
  double mFirstEventSeconds = 0;
  bool mIsOver = false;
  /// The attempt as evidence on its version; also kept if there is no roll-out.
  std::shared_ptr<JudgedAttempt> mJudged;
  bool mIsStream =
    false; ///< Whether the events of the response are forwarded to the caller.
  ResponseHead mHead;
  std::size_t mHeadBytes = 0; ///< Memory that mHead needs.
  ResponseInfo mResponseInfo;
  /// Body of a response that is no stream, or what was received of a stream
  /// that only the end of its connection ends.
  std::string mBody;
  /// Largest size of the body: the stated one, or a limit.
  std::size_t mMaximumBodyBytes = 0;
  ByteHold mBodyHold;             ///< For all that is kept of the response.
  bool mIsAwaitingRoom = false;   ///< Not read, as there is no room for more.
  bool mIsAwaitingCaller = false; ///< Not read, as the caller does not read.
  /// What a second response behind the body tells about the first one.
  std::optional<FirstResponse> mFirstResponse;
  EventStreamParser mEventParser;
  std::int64_t mEventsWithoutId = 0; ///< Forwarded events that have no id.
  /// Comments from before the first event, which goes out after them.
  std::string mHeldComments;
  std::unique_ptr<Timer> mSilenceTimer;
  /// Whether another endpoint was asked to take the stream over, as this one is
  /// silent.
  bool mIsSilent = false;
  /// Larger model to which the request moves with the first event.
  std::optional<std::size_t> mModelAfterFirstEvent;
  /// Suspect part of the prompt that the attempt is a trial of; 0: none.
  std::uint64_t mTrialOf = 0;
  bool mIsPromptSound = false; ///< An answer has begun.
  /// What has arrived of an answer that is kept until the stream of a larger
  /// model has begun. It is complete if the attempt is over.
  std::optional<KeptStream> mKept;
  /// Why the answer was rejected; empty: it was not, or its call tells.
  std::string mRejection;
  ByteHold mKeptHold; ///< Until the kept text is written to the caller.
};

/// The queries of candidates before the first attempt of a request.
struct Inquiry
{
  struct Candidate
  {
    std::shared_ptr<Endpoint> mEndpoint;
    std::shared_ptr<OutboundCall> mCall;
    InquiryAnswer mAnswer = InquiryAnswer::Open;
    std::optional<double> mPace{};
    std::string mFailure{}; ///< Why the answer is broken; empty: it is not.
  };

  explicit Inquiry(boost::asio::io_context& aLoop)
    : mTimer(aLoop)
  {
  }

  std::vector<Candidate> mCandidates; ///< In the order of their first ranking.
  TimePoint mStartedAt{};
  Duration mLimit{};
  Timer mTimer;
  bool mIsOver = false;
  /// The only endpoints that SelectEndpoint considers; empty: all.
  std::vector<const Endpoint*> mOnly;
};

/// Value of Retry-After for requests that are refused for lack of a current
/// view or because of a stop.
inline constexpr Duration kDefaultRetryAfter = std::chrono::milliseconds(250);

/// Delay until a silent attempt that could not be replaced is checked again.
inline constexpr Duration kSilenceRecheckDelay = std::chrono::milliseconds(200);

/// Whether only the end of the connection ends the body. An endpoint that ends
/// then looks like one that has answered.
bool EndsWithConnection(const ResponseHead& aHead);

/// Whether the status states success.
bool IsSuccess(const ResponseHead& aHead);

/// The ids of the first parts of a prompt, in the notation of the wire.
std::string PartsText(const std::vector<PromptPart>& aParts);

/// One request of a caller, from its arrival to its final response.
class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  static void Start(const std::shared_ptr<RelayState>& aState,
                    const std::shared_ptr<ClientSession>& aSession);

  Exchange(std::shared_ptr<RelayState> aState,
           std::shared_ptr<ClientSession> aSession);
  ~Exchange();
  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /// Continues the request with a newer view of the fleet.
  void OnFleetView();

  /// Starts the queued request if an endpoint has a free slot. Returns false if
  /// the request stays queued.
  bool TryLeaveQueue();

  /// Ends the request with a final response, or breaks its stream off, because
  /// the VM stops.
  void EndForStop();

private:
  /// The end of an attempt, which decides about the next step of the request.
  enum class AttemptEnd
  {
    NotExecuted,   ///< The request was not executed.
    MayHaveRun,    ///< The request may have run; no valid response.
    EndpointError, ///< The endpoint responded with a server error.
    Answered,      ///< The endpoint responded without a server error.
    TimedOut,      ///< The endpoint sent no response or event in time.
    Cancelled,     ///< The attempt is not needed any more.
  };

  // Exchange.cpp: admission, start of attempts, and the end.
  // ExchangeModels.cpp: the work of an attempt and the choice of a model.
  void Begin();
  void AwaitFleetView(std::string_view aReason);
  void Admit();
  void ChoosePool();
  void ChooseFirstModel();
  ModelQuery MakeModelQuery() const;
  AttemptWork AttemptWorkFor(std::size_t aModel) const;
  void Dispatch();
  bool TryDispatch();
  EndpointSelection SelectEndpoint();
  void StartAttempt(const EndpointSelection& aSelection);
  void Fail();
  void OnDeadline();
  /// Notes whether an open attempt may run the request.
  void NoteOpenAttempts();
  void Refuse(unsigned aStatus,
              std::string_view aReason,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void Finish(std::string_view aOutcome);
  double SecondsLeft() const;

  // ExchangePlacement.cpp: what decided about the choice of an endpoint.
  void NoteMemory(const EndpointSelection& aSelection);
  void NotePlacement(const EndpointSelection& aSelection);
  // ExchangeInquiry.cpp: queries of candidates before the first attempt.
  /// Whether the selection is to rank candidates for an inquiry.
  bool MayInquire() const;
  /// Begins an inquiry if it is of use. Returns whether it did; the request is
  /// then placed when the inquiry ends.
  bool BeginInquiry(const EndpointSelection& aSelection);
  void QueryCandidate(std::size_t aIndex, const std::string& aHealthPath);
  void OnInquiryAnswer(std::size_t aIndex, const HealthAnswer& aAnswer);
  void ContinueInquiry(bool aIsTimeUp);
  void EndInquiry(std::string_view aOutcome);
  // ExchangeQueue.cpp: waiting for a free slot, and refusals for lack of one.
  void JoinQueue();
  void LeaveQueue();
  /// Expected prompt work, in which shares of accounts are measured.
  double PromptSeconds(const AttemptWork& aWork) const;
  /// Counts the work that starts toward the account's share in the pool.
  void RecordWork(const AttemptWork& aWork, TimePoint aNow);
  void RefuseForCapacity();

  // ExchangeStop.cpp: requests that are open while the VM stops.
  bool IsCutByStop() const;
  bool RefuseLate();
  void RecordDuration();

  // ExchangeResponses.cpp: handling of the endpoints' responses.
  void OnHead(Attempt& aAttempt, ResponseHead aHead);
  void OnEnd(Attempt& aAttempt, CallResult aResult);
  /// Ends the attempt, as its answer is not valid.
  void RejectAnswer(Attempt& aAttempt, std::string_view aReason);
  void CountBrokenAnswer(const std::string& aReason);
  void OnSilence(Attempt& aAttempt);
  void TakeOver(const Attempt& aAttempt);
  void ArmSilenceTimer(Attempt& aAttempt, Duration aTime);
  void ArmGapTimer(Attempt& aAttempt);
  void Resume(Attempt& aAttempt);
  Duration FirstEventTimeout(double aExpectedSeconds) const;
  AttemptEnd Classify(const Attempt& aAttempt, CallResult aResult) const;
  void CloseAttempt(Attempt& aAttempt, AttemptEnd aEnd);
  static void DropResponse(Attempt& aAttempt);
  // ExchangeBodies.cpp: bodies of responses that are no streams.
  void OnBody(Attempt& aAttempt, std::string_view aBytes);
  void HoldStatedLength(Attempt& aAttempt);
  void HoldNextRead(Attempt& aAttempt);
  /// Takes the room for aBodyBytes of the body beside what else is kept of the
  /// response, or pauses the attempt until there is room.
  void HoldResponse(Attempt& aAttempt, std::size_t aBodyBytes);
  static void UpdatePause(Attempt& aAttempt);
  // ExchangeStreams.cpp: the events of a stream.
  bool HasEventOutOfPlace(const std::vector<StreamEvent>& aEvents) const;
  void OnStreamBytes(Attempt& aAttempt, std::string_view aBytes);
  void OnEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents);
  void ForwardComments(Attempt& aAttempt, const std::string& aText);
  void OnFirstEvent(Attempt& aAttempt);
  void BeginCallerStream(const Attempt& aAttempt);
  void SendEvents(Attempt& aAttempt, const std::string& aText);
  void SendToCaller(Attempt& aAttempt, const std::string& aText);
  // ExchangeSecondResponses.cpp: endpoints that respond to a request twice.
  bool MayHoldSecondResponse(const Attempt& aAttempt) const;
  void CutSecondResponse(Attempt& aAttempt);
  std::string_view BytesAfterEvents(const Attempt& aAttempt) const;
  bool IsRefusalDoubtful(const Attempt& aAttempt) const;
  // ExchangeAnnouncements.cpp: what endpoints state about themselves.
  void OnEndpointLeaving(const Attempt& aAttempt);
  void OnEndpointQuiet(const Attempt& aAttempt);
  void OnEndpointLimit(const Attempt& aAttempt);
  void LogEndOfQuiet(const Endpoint& aEndpoint) const;
  void RefuseUntilQuietEnds(TimePoint aEnd);
  void RefuseUntilPermit(std::size_t aAhead);
  // ExchangeCrashes.cpp: endpoints that end, and prompts that crash them.
  PromptDecision PromptDecisionNow() const;
  bool RefuseUnsafePrompt();
  bool IsPromptProvenSound() const;
  void BeginTrial(Attempt& aAttempt);
  void EndTrial(Attempt& aAttempt);
  void RecordSoundPrompt(Attempt& aAttempt);
  bool CheckLostEndpoint(Attempt& aAttempt, AttemptEnd aEnd);
  void RecordCrashUnder(const Attempt& aAttempt, bool aHadBegun);
  // ExchangeEvidence.cpp: evidence on the versions of a roll-out.
  void BeginEvidence(Attempt& aAttempt);
  void EndEvidence(Attempt& aAttempt, AttemptEnd aEnd);
  void CancelOthers(const Attempt* aNeeded);
  void ForwardResponse(Attempt& aAttempt);
  bool HasOpenAttempt() const;
  void RetryOrFail(AttemptEnd aEnd);
  bool MayAttemptAgain() const;
  std::int64_t AttemptsLeft() const;
  // ExchangeCascade.cpp: unsure answers of smaller models.
  LargerModelTimes TimesOf(std::size_t aModel) const;
  const Attempt* KeptAnswer() const;
  void Escalate(Attempt& aAttempt, std::size_t aModel);
  void ArmFallbackTimer();
  bool IsFallbackNearer() const;
  bool HoldKept(Attempt& aAttempt, std::size_t aBytes);
  void KeepEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents);
  void OnKeptEnd(Attempt& aAttempt, AttemptEnd aEnd);
  void DropKept(Attempt& aAttempt);
  void DropKeptAnswers();
  void RecordFallback(FallbackCause aCause);
  void FallBack(FallbackCause aCause);
  void Deliver(Attempt& aAttempt);
  bool DeliverCompleteAnswer(FallbackCause aCause);

  std::shared_ptr<RelayState> mState;
  std::shared_ptr<ClientSession> mSession;
  std::shared_ptr<const RelaySettings> mSettings;
  CallerRequest mRequest;
  const Route* mRoute = nullptr; ///< Route of the request in mSettings.
  const ClientAccount* mAccount = nullptr; ///< Client account in mSettings.
  std::string mPool;
  double mVersionDraw = 0; ///< Draw in [0, 1) for SideOf.
  std::size_t mModel = 0;  ///< Index among the route's models.
  TimePoint mArrivedAt{};
  TimePoint mDeadline{};
  /// Limits the wait for a view of the fleet, then the whole request.
  Timer mTimer;
  Timer mQueueTimer;
  Timer mFallbackTimer; ///< Ends the wait for a larger model.
  TimePoint mEscalatedAt{};
  std::list<Attempt> mAttempts;
  std::vector<const Endpoint*> mTriedEndpoints;
  std::int64_t mFailedConnections = 0; ///< Attempts that could not connect.
  bool mMayHaveRun = false;
  bool mIsOver = false;
  bool mIsStreaming = false;
  bool mIsAwaitingView = false; ///< Waits for a view of the fleet.
  std::optional<WaitTicket> mQueueTicket;
  std::unique_ptr<Inquiry> mInquiry; ///< Kept after its end; at most one.
  /// Versions whose endpoints the prompt crashes.
  std::vector<std::string> mExcludedVersions;
  std::uint64_t mTrialOf = 0; ///< For the next attempt; see Attempt.
  std::optional<std::int64_t> mLastEventId;
  /// Earliest end of the quiet times, if all endpoints wanted quiet.
  std::optional<TimePoint> mQuietUntil;
  /// The endpoints whose limits kept the request waiting at the last selection,
  /// and whether others were full.
  LimitedEndpoints mLimited;
  bool mIsAnyEndpointFull = false;
  bool mHasLackedMemory = false; ///< At an engine, in an earlier selection.
  /// Latest error response of an endpoint, for the caller if no retry succeeds.
  std::optional<ResponseHead> mErrorResponseHead;
  std::shared_ptr<const std::string> mErrorResponseBody;
  /// Endpoint and result of each attempt, for the log.
  std::string mAttemptTrace;
  double mFirstEventMilliseconds = 0;
};

} // namespace Acaciavale::Relay
