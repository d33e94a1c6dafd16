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

/// State that all engines share.
struct EngineContext
{
  const Deployment& mDeployment;
  FaultInjector& mFaults;
  RunLog& mRuns;
  std::uint64_t mSeed = 0;
};

/// A model engine with an OpenAI-compatible API: continuous batching in slots,
/// a prefix cache, load reports with a lag and orders with fencing numbers. Its
/// fault target is its name. Thread-safe.
class Engine
{
public:
  Engine(EngineContext aContext, EngineSetup aSetup);

  Task Serve(Exchange& aExchange);
  /// Returns the current listing, without the address.
  EndpointListing Listing() const;

private:
  struct Job;
  struct PrefixEvent
  {
    std::uint64_t mNumber = 0;
    bool mStored = false;
    std::uint64_t mPrefixHash = 0;
  };

  Task ServeCompletion(Exchange& aExchange);
  Task RunJob(Exchange& aExchange, const Job& aJob);
  Task Generate(Exchange& aExchange, const Job& aJob, RunOutcome& aOutcome);
  Task ServeOrder(Exchange& aExchange);
  std::string ApplyOrder(const std::string& aBody, int& aStatus);
  std::string LoadReport();
  Job ParseJob(const Request& aRequest);
  bool HasLoaded(const LoadedVersion& aVersion) const;
  bool TouchPrefix(std::uint64_t aPrefixHash);
  void AddPrefixEvent(std::uint64_t aPrefixHash, bool aStored);
  bool IsLeaving() const;

  EngineContext mContext;
  EngineSetup mSetup;
  SlotQueue mSlots;
  mutable std::mutex mMutex;
  std::set<LoadedVersion> mLoaded;
  std::set<std::string> mAppliedOrderIds;
  std::int64_t mHighestFence = 0;
  bool mDraining = false;
  std::deque<std::uint64_t> mCachedPrefixes; ///< Least recently used first.
  std::deque<PrefixEvent> mPrefixEvents;
  std::uint64_t mLastPrefixEvent = 0;
  std::string mCachedReport;
  TimePoint mReportTime{};
};

} // namespace Acaciavale::StandIns
