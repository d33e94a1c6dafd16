#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/Relay.h>
#include <Acaciavale/LibRelay/WaitQueue.h>
#include <Acaciavale/LibReport/Metrics.h>

#include <deque>
#include <functional>
#include <optional>

namespace Acaciavale::Relay {

class Exchange;

/// A pool's waiting work and how fast it has been starting.
struct PoolQueue
{
  WaitQueue mQueue;
  std::map<WaitTicket, std::weak_ptr<Exchange>> mWaiting;
  StartInterval mStartInterval;
};

/// What all exchanges of one relay share. One thread uses it.
struct RelayState : public std::enable_shared_from_this<RelayState>
{
  RelayState(boost::asio::io_context& aLoop,
             WireCodec aCodec,
             RelayOptions aOptions)
    : mLoop(aLoop)
    , mCodec(std::move(aCodec))
    , mOptions(std::move(aOptions))
    , mRandom(EntropySeed())
  {
  }

  boost::asio::io_context& mLoop;
  WireCodec mCodec;
  RelayOptions mOptions;
  Random mRandom;
  std::shared_ptr<const RelaySettings> mSettings;
  EndpointRegistry mRegistry;
  std::map<std::string, TrafficShift> mTrafficShifts;
  std::map<std::string, TrafficShiftEvidence> mEvidence; ///< By pool.
  std::map<std::string, RetryBudget> mRetryBudgets;      ///< By pool.
  std::map<std::string, RetryBudget> mSilenceBudgets;    ///< By pool.
  std::map<std::string, PoolQueue> mQueues;
  std::int64_t mLiveVms = 1;
  TimePoint mReadStartedAt{};
  bool mSnapshotFailed = false;
  bool mHasFleetView = false; ///< Whether a view has been applied at all.
  std::size_t mOpenRequests = 0;
  Metrics mMetrics;
  /// Exchanges that wait for the next view.
  std::deque<std::weak_ptr<Exchange>> mAwaitingFleetView;

  /// Whether keys can be told from those that were taken away.
  bool AreKeysCurrent() const;

  std::optional<TrafficShift> TrafficShiftOf(const std::string& aPool) const;

  /// Starts waiting work of the pool while there is room for it.
  void ServeQueue(const std::string& aPool);
};

} // namespace Acaciavale::Relay
