#pragma once

#include "Deployment.h"
#include "Exchange.h"
#include "Faults.h"
#include "RunLog.h"
#include "SlotQueue.h"

#include <deque>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

/// What all engines share.
struct EngineWorld
{
  const Deployment& mDeployment;
  FaultBoard& mFaults;
  RunLog& mRuns;
  std::uint64_t mSeed = 0;
};

/// One model engine, OpenAI-shaped: continuous batching in slots, a prefix
/// cache, load reports with a lag and orders with fencing numbers. Its part of
/// the faults is its name. Thread-safe.
class Engine
{
public:
  Engine(EngineWorld aWorld, EngineSetup aSetup);

  Task Serve(Exchange& aExchange);
  /// The listing as of now, without the address.
  EndpointListing Listing() const;

private:
  struct Job;
  struct PrefixEvent
  {
    std::uint64_t mNumber = 0;
    bool mStored = false;
    std::uint64_t mPrefix = 0;
  };

  Task Complete(Exchange& aExchange);
  Task Run(Exchange& aExchange, const Job& aJob);
  Task Generate(Exchange& aExchange, const Job& aJob, RunOutcome& aOutcome);
  Task Order(Exchange& aExchange);
  std::string TakeOrder(const std::string& aBody, int& aStatus);
  std::string LoadReport();
  Job JobOf(const Request& aRequest);
  bool HasLoaded(const LoadedVersion& aVersion) const;
  bool TouchPrefix(std::uint64_t aPrefix);
  void AddPrefixEvent(std::uint64_t aPrefix, bool aStored);
  bool IsLeaving() const;

  EngineWorld mWorld;
  EngineSetup mSetup;
  SlotQueue mSlots;
  mutable std::mutex mMutex;
  std::set<LoadedVersion> mLoaded;
  std::set<std::string> mOrders;
  std::int64_t mFence = 0;
  bool mDraining = false;
  std::deque<std::uint64_t> mPrefixes; ///< Least recently used first.
  std::deque<PrefixEvent> mPrefixEvents;
  std::uint64_t mLastPrefixEvent = 0;
  std::string mReport;
  TimePoint mReportTime{};
};

} // namespace Acaciavale::StandIns
