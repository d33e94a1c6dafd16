#pragma once

#include "RelayState.h"

#include <Acaciavale/LibRelay/EventText.h>
#include <Acaciavale/LibRelay/ModelChoice.h>
#include <Acaciavale/LibRelay/OutboundCall.h>

#include <boost/asio/steady_timer.hpp>
#include <list>

namespace Acaciavale::Relay {

/// One send of a request to an endpoint.
struct Send
{
  std::shared_ptr<Endpoint> mEndpoint;
  std::shared_ptr<OutboundCall> mCall;
  SendWork mWork;
  std::size_t mModel = 0; ///< Index among the route's models.
  TimePoint mStarted{};
  TimePoint mLastEventAt{};
  double mFirstSeconds = 0; ///< To the answer or first event; 0: not yet.
  bool mIsOver = false;
  bool mIsStream = false; ///< Its events go to the caller.
  AnswerHead mHead;
  AnswerFacts mFacts;
  std::string mBody;
  EventText mEvents;
  std::unique_ptr<boost::asio::steady_timer> mPatience;
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
  void OnView();

  /// Starts the waiting request if there is room for it now.
  bool TryLeaveLine();

private:
  /// Why a send ended, as far as what comes next depends on it.
  enum class SendEnd
  {
    NotRun,  ///< Nothing of it has run or will run.
    MayRun,  ///< It may have run, and there is no answer to pass on.
    Failure, ///< The endpoint's own answer, which says that it failed.
    Answer,
    Silent,  ///< Given up on for want of an answer or event.
    Dropped, ///< Not needed any more; it says nothing of the endpoint.
  };

  // Exchange.cpp: from the arrival to a send, and the final answer.
  void Begin();
  void AwaitView(std::string_view aWhy);
  void Admit();
  void ChoosePool();
  void ChooseFirstModel();
  ModelQuery ModelQueryNow() const;
  SendWork WorkFor(std::size_t aModel) const;
  void Dispatch();
  bool TryDispatch();
  Place FindPlace();
  void StandInLine();
  void SendTo(const Place& aPlace);
  void GiveUp();
  void OnDeadline();
  void Refuse(unsigned aStatus,
              std::string_view aReason,
              std::optional<Duration> aRetryAfter = std::nullopt);
  void Finish(std::string_view aOutcome);
  double SecondsLeft() const;

  // ExchangeAnswers.cpp: what endpoints answer.
  void OnHead(Send& aSend, const AnswerHead& aHead);
  void OnBody(Send& aSend, std::string_view aBytes);
  void OnEnd(Send& aSend, CallEnd aEnd);
  void OnEvents(Send& aSend, std::vector<EventPiece> aEvents);
  void OnFirst(Send& aSend);
  void OnPatience(Send& aSend);
  void ArmPatience(Send& aSend, Duration aTime);
  Duration FirstPatience(double aExpectedSeconds) const;
  SendEnd Judge(const Send& aSend, CallEnd aEnd) const;
  void CloseSend(Send& aSend, SendEnd aEnd);
  void CancelOthers(const Send* aWinner);
  void PassOn(const Send& aSend);
  void TryAgain(SendEnd aEnd);
  bool MaySendAgain() const;
  std::int64_t SendsLeft() const;
  void Escalate(Send& aSend, std::size_t aModel);

  std::shared_ptr<RelayState> mState;
  std::shared_ptr<ClientSession> mSession;
  std::shared_ptr<const RelaySettings> mSettings;
  CallerRequest mRequest;
  const Route* mRoute = nullptr; ///< Of mSettings.
  const ClientAccount* mAccount = nullptr;
  std::string mPool;
  double mSideDraw = 0;
  std::size_t mModel = 0;
  TimePoint mArrived{};
  TimePoint mDeadline{};
  boost::asio::steady_timer mTimer;
  boost::asio::steady_timer mLineTimer;
  std::list<Send> mSends;
  std::vector<const Endpoint*> mTried;
  std::int64_t mNotConnected = 0; ///< Sends of which nothing arrived.
  bool mMayHaveRun = false;
  bool mIsOver = false;
  bool mIsStreaming = false;
  bool mHasView = false;
  std::optional<WaitTicket> mTicket;
  std::optional<std::int64_t> mLastEvent;
  std::optional<AnswerHead> mFailureHead; ///< An endpoint's, kept meanwhile.
  std::string mFailureBody;
  std::string mTrace; ///< Endpoints and how each send ended, for the log.
  double mFirstMilliseconds = 0;
};

} // namespace Acaciavale::Relay
