#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/Relay.h>
#include <Acaciavale/LibRelay/WaitLine.h>
#include <Acaciavale/LibReport/Metrics.h>

#include <deque>
#include <functional>
#include <optional>

namespace Acaciavale::Relay {

class Exchange;

/// A pool's waiting work and how fast it has been starting.
struct PoolLine
{
  WaitLine mLine;
  std::map<WaitTicket, std::weak_ptr<Exchange>> mWaiting;
  StartPace mPace;
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
  EndpointBook mBook;
  std::map<std::string, Course> mCourses;
  std::map<std::string, CourseEvidence> mEvidence; ///< By pool.
  std::map<std::string, RetryBudget> mBudgets;     ///< By pool.
  std::map<std::string, RetryBudget> mImpatience;  ///< By pool.
  std::map<std::string, PoolLine> mLines;
  std::int64_t mLiveVms = 1;
  TimePoint mAskedAt{};
  bool mReadingFails = false;
  bool mIsTold = false; ///< Whether a view has been applied at all.
  std::size_t mOpen = 0;
  Metrics mMetrics;
  /// Exchanges that wait for the next view.
  std::deque<std::weak_ptr<Exchange>> mAwaitingView;

  /// Whether keys can be told from those that were taken away.
  bool KnowsKeys() const;

  std::optional<Course> CourseOf(const std::string& aPool) const;

  /// Starts waiting work of the pool while there is room for it.
  void ServeLine(const std::string& aPool);
};

} // namespace Acaciavale::Relay
