#pragma once

#include "RelayState.h"

#include <Acaciavale/LibRelay/EventStreamParser.h>
#include <Acaciavale/LibRelay/ModelChoice.h>
#include <Acaciavale/LibRelay/OutboundCall.h>

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace Acaciavale::Relay {

/// One attempt of a request to an endpoint.
struct Attempt
{
  std::shared_ptr<Endpoint> mEndpoint;
  std::shared_ptr<OutboundCall> mCall;
  AttemptWork mWork;
  std::size_t mModel = 0; ///< Index among the route's models.
  TimePoint mStartedAt{};
  TimePoint mLastEventAt{};
  double mFirstEventSeconds = 0; ///< To the answer or first event; 0: not yet.
  bool mIsOver = false;
  bool mIsStream = false; ///< Its events go to the caller.
  ResponseHead mHead;
  ResponseInfo mResponseInfo;
  std::string mBody;
  EventStreamParser mEvents;
  std::unique_ptr<boost::asio::steady_timer> mSilenceTimer;
};

/// One request of a caller from its arrival to its final answer.
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

  /// A newer view of the fleet is there.
  void OnFleetView();

  /// Starts the waiting request if there is room for it now.
  bool TryLeaveQueue();

private:
  /// Why a attempt ended, as far as what comes next depends on it.
  enum class AttemptEnd
  {
    NotExecuted,   ///< Nothing of it has run or will run.
    MayHaveRun,    ///< It may have run, and there is no answer to pass on.
    EndpointError, ///< The endpoint's own answer, which says that it failed.
    Answered,
    TimedOut,  ///< Given up on for want of an answer or event.
    Cancelled, ///< Not needed any more; it says nothing of the endpoint.
  };

  // Exchange.cpp: from the arrival to a attempt, and the final answer.
  void Begin();
  void AwaitFleetView(std::string_view aWhy);
  void Admit();
  void ChoosePool();
  void ChooseFirstModel();
  ModelQuery MakeModelQuery() const;
  AttemptWork AttemptWorkFor(std::size_t aModel) const;
  void Dispatch();
  bool TryDispatch();
  EndpointSelection SelectEndpoint();
  void JoinQueue();
  void StartAttempt(const EndpointSelection& aSelection);
  void Fail();
  void OnDeadline();
  void Refuse(unsigned aStatus,
              std::string_view aReason,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void Finish(std::string_view aOutcome);
  double SecondsLeft() const;

  // ExchangeAnswers.cpp: what endpoints answer.
  void OnHead(Attempt& aAttempt, const ResponseHead& aHead);
  void OnBody(Attempt& aAttempt, std::string_view aBytes);
  void OnEnd(Attempt& aAttempt, CallResult aEnd);
  void OnEvents(Attempt& aAttempt, std::vector<StreamEvent> aEvents);
  void OnFirstEvent(Attempt& aAttempt);
  void OnSilence(Attempt& aAttempt);
  void ArmSilenceTimer(Attempt& aAttempt, Duration aTime);
  Duration FirstEventTimeout(double aExpectedSeconds) const;
  AttemptEnd Classify(const Attempt& aAttempt, CallResult aEnd) const;
  void CloseAttempt(Attempt& aAttempt, AttemptEnd aEnd);
  void CancelOthers(const Attempt* aWinner);
  void ForwardResponse(const Attempt& aAttempt);
  void RetryOrFail(AttemptEnd aEnd);
  bool MayAttemptAgain() const;
  std::int64_t AttemptsLeft() const;
  void Escalate(Attempt& aAttempt, std::size_t aModel);

  std::shared_ptr<RelayState> mState;
  std::shared_ptr<ClientSession> mSession;
  std::shared_ptr<const RelaySettings> mSettings;
  CallerRequest mRequest;
  const Route* mRoute = nullptr; ///< Of mSettings.
  const ClientAccount* mAccount = nullptr;
  std::string mPool;
  double mVersionDraw = 0;
  std::size_t mModel = 0;
  TimePoint mArrivedAt{};
  TimePoint mDeadline{};
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mQueueTimer;
  std::list<Attempt> mAttempts;
  std::vector<const Endpoint*> mTriedEndpoints;
  std::int64_t mFailedConnections = 0; ///< Sends of which nothing arrived.
  bool mMayHaveRun = false;
  bool mIsOver = false;
  bool mIsStreaming = false;
  bool mHasWaitedForView = false;
  std::optional<WaitTicket> mQueueTicket;
  std::optional<std::int64_t> mLastEventId;
  std::optional<ResponseHead>
    mErrorResponseHead; ///< An endpoint's, kept meanwhile.
  std::string mErrorResponseBody;
  std::string
    mAttemptTrace; ///< Endpoints and how each attempt ended, for the log.
  double mFirstEventMilliseconds = 0;
};

} // namespace Acaciavale::Relay
