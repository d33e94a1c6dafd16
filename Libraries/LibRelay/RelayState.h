#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/CandidateInquiry.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <Acaciavale/LibRelay/PlannedStop.h>
#include <Acaciavale/LibRelay/RecentDurations.h>
#include <Acaciavale/LibRelay/Relay.h>
#include <Acaciavale/LibRelay/Timer.h>
#include <Acaciavale/LibRelay/VersionEvidence.h>
#include <Acaciavale/LibRelay/ViewWait.h>
#include <Acaciavale/LibRelay/WaitQueue.h>
#include <Acaciavale/LibReport/Metrics.h>
#include <Acaciavale/LibRouting/PromptQuarantine.h>

#include <deque>
#include <functional>
#include <optional>
#include <set>

namespace Acaciavale::Relay {

class Exchange;

/// The queued requests of a pool and the interval between their starts.
struct PoolQueue
{
  WaitQueue mQueue;
  std::map<WaitTicket, std::weak_ptr<Exchange>> mWaiting;
  StartInterval mStartInterval;
  RetrySchedule mRetrySchedule;
  /// Serves the queue when a permit for an endpoint with a limit accrues.
  std::unique_ptr<Timer> mPermitTimer;
  TimePoint mPermitTimerAt = TimePoint::max();
};

/// The state that all exchanges of a relay share. Only one thread uses it.
struct RelayState : public std::enable_shared_from_this<RelayState>
{
  RelayState(boost::asio::io_context& aLoop,
             WireCodec aCodec,
             RelayOptions aOptions)
    : mLoop(aLoop)
    , mCodec(std::move(aCodec))
    , mOptions(std::move(aOptions))
    , mRandom(EntropySeed())
    , mTrialJitter(mRandom.Unit())
    , mBudget(
        std::make_shared<ByteBudget>(HeldBytesLimit(mOptions.mMemoryBytes)))
  {
  }

  boost::asio::io_context& mLoop;
  WireCodec mCodec;
  RelayOptions mOptions;
  Random mRandom;
  double mTrialJitter; ///< In [0, 1), constant for this VM.
  std::shared_ptr<ByteBudget> mBudget;
  std::shared_ptr<const RelaySettings> mSettings;
  EndpointRegistry mRegistry;
  /// Traffic shifts by pool.
  std::map<std::string, TrafficShift> mTrafficShifts;
  std::map<std::string, VersionEvidence> mEvidence; ///< Evidence by pool.
  std::map<std::string, RetryBudget> mRetryBudgets; ///< Budgets by pool.
  /// Budgets for the retries of silent attempts, by pool.
  std::map<std::string, RetryBudget> mSilenceBudgets;
  std::map<std::string, PoolQueue> mQueues;             ///< Queues by pool.
  std::map<std::string, InquiryTiming> mInquiryTimings; ///< By pool.
  InquiryPermits mInquiryPermits;
  HeardWork mHeardWork; ///< Work of accounts that other VMs have told.
  CrashEvidence mCrashEvidence;
  std::vector<QuarantinedPrompt> mQuarantine;
  std::vector<QuarantinedPrompt> mSuspectPrompts; ///< By mCrashEvidence.
  /// Suspect parts of the prompts of attempts that have no event yet.
  std::multiset<std::uint64_t> mOpenTrials;
  std::function<void()> mOnCrashEvidence; ///< Called after a crash.
  std::function<void()> mOnAnnouncement;  ///< Called after news of endpoints.
  /// Checks of endpoints that are under way, with those who wait for them.
  std::map<const Endpoint*, std::vector<std::function<void(bool)>>>
    mEndpointChecks;
  std::int64_t mLiveVms = 1;
  TimePoint mReadStartedAt{}; ///< FleetView::mReadStartedAt of the latest view.
  ViewReads mViewReads;
  std::optional<PlannedStop> mPlannedStop;
  std::set<Exchange*> mExchanges; ///< All that exist.
  /// See KeepSendingCall.
  std::vector<std::weak_ptr<OutboundCall>> mSendingCalls;
  std::map<std::string, RecentDurations> mDurations; ///< By route.
  Metrics mMetrics;
  /// Exchanges that wait for the next view of the fleet.
  std::deque<std::weak_ptr<Exchange>> mAwaitingFleetView;

  /// How long requests of the route last at most, by those that ended recently;
  /// empty if that is not known.
  std::optional<Duration> LongestExpectedOf(const Route& aRoute) const;

  /// Keeps account of a call that has ended while the rest of its request is
  /// sent.
  void KeepSendingCall(const std::shared_ptr<OutboundCall>& aCall);
  /// Number of these calls that still send.
  std::size_t CountSendingCalls();

  /// Unwritten bytes of a stream above which its endpoint is not read.
  std::size_t MaximumUnwrittenBytes() const;

  /// Whether the settings are recent enough to recognize revoked keys.
  bool AreKeysCurrent() const;

  /// The traffic shift of the pool, if any.
  std::optional<TrafficShift> TrafficShiftOf(const std::string& aPool) const;

  /// Checks whether the endpoint, a connection to which was lost, has ended.
  /// The callback may be called at once.
  void CheckEndpoint(const std::shared_ptr<Endpoint>& aEndpoint,
                     std::function<void(bool aHasEnded)> aCallback);

  /// Starts queued requests of the pool while endpoints have free slots.
  void ServeQueue(const std::string& aPool);

  /// The work of accounts that this VM started, by pool.
  std::map<std::string, AccountWork> OwnAccountWork() const;

  /// Updates the shares in all queues after other VMs have told their work.
  void ApplyHeardWork(TimePoint aNow);

  /// Serves the queue of the pool again at aTime, or earlier.
  void ServeQueueAt(const std::string& aPool, TimePoint aTime);
};

} // namespace Acaciavale::Relay
