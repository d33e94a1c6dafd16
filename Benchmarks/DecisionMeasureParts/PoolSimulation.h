#pragma once

#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <vector>

/// A queueing fake of one pool of replicas, stepped by a virtual clock. The
/// routers in it decide with the real functions or with a baseline.
namespace Acaciavale::DecisionMeasure {

enum class Policy
{
  Ours,
  OursWithoutPrefix, ///< Ours, blind to prefix caches.
  RoundRobin,
  Random,
  LeastReported, ///< Least connections on the reported load.
  PureAffinity,  ///< Each prefix at its one home, whatever the load.
  Oracle,        ///< Knows the true load, speed and health of this instant.
};

enum class Fault
{
  None,
  DomainLost, ///< Connections to one failure domain hang until they time out.
  Flapping,   ///< One replica answers errors in every other two seconds.
  BlackHole,  ///< One replica answers errors at once, always.
};

/// One class of work. Times are seconds of an unhurried replica.
struct WorkClass
{
  std::string mName;
  Priority mPriority = Priority::Interactive;
  double mServiceSeconds = 1;
  double mLoad = 0.7; ///< Share of the pool's true capacity that it asks for.
  double mBurstFactor =
    1; ///< Factor on the load from the burst's start to its end.
  std::uint32_t mFirstAccount = 0;
  std::uint32_t mAccountCount = 1;
  double mDeadlineSeconds = 60;
};

struct PoolScenario
{
  Policy mPolicy = Policy::Ours;
  std::uint64_t mSeed = 1;
  std::uint32_t mReplicas = 12;
  std::uint32_t mVms = 8;
  std::uint32_t mDomains = 4;
  std::uint32_t mSlots = 8; ///< Requests that a replica serves at once.
  std::vector<WorkClass> mClasses;
  double mDurationSeconds = 90;
  double mWarmUpSeconds = 20;
  double mReportLagSeconds = 2;
  double mReportPeriodSeconds = 0.5;
  std::uint32_t mSlowReplicaInterval =
    0; ///< One replica in so many is slow; 0 is none.
  double mSlowFactor = 8;
  Fault mFault = Fault::None;
  double mFaultAtSeconds = 30;
  double mBurstStartSeconds = 30;
  double mBurstEndSeconds = 60;
  bool mUsesAdmission = false;
  bool mUsesRetries = true;
  /// Fault-blind lists drop the lost domain after this time.
  double mReplicaListLagSeconds = 10;
  std::uint32_t mPrefixes = 0;    ///< Distinct prompt prefixes; 0 is none.
  std::uint32_t mCacheSlots = 16; ///< Prefixes that a replica's cache holds.
  double mPrefillSeconds = 0.5;   ///< Of the class's seconds, saved by a hit.
  double mPrefixSkew = 0.9;       ///< Exponent of the prefixes' popularity.
  double mCacheEventLossRate = 0.1;
  /// Requests a second over the deployment that each account may send.
  double mAccountRequestsPerSecond = 1e9;
};

struct ClassResult
{
  std::vector<double> mLatencySeconds; ///< After the warm-up.
  std::vector<double>
    mBurstLatencySeconds; ///< Of those that arrived in a burst.
  std::vector<double> mQuietLatencySeconds; ///< Of those that arrived outside.
};

struct PoolResult
{
  std::vector<ClassResult> mClasses;
  double mArrivals = 0; ///< After the warm-up, all classes.
  double mDispatches = 0;
  double mAdmitted = 0;
  double mRejected = 0;
  double mFailed = 0;
  double mGood = 0; ///< Completed within the deadline.
  double mGoodWorkSeconds =
    0;                   ///< Seconds of work in those, per second and slot.
  double mCacheHits = 0; ///< Dispatches that found their prefix cached.
  double mFaultyDispatches =
    0; ///< Dispatches to the faulty replica, after the fault.
  double mDispatchesAfterFault = 0; ///< Dispatches after the fault.
  std::vector<double>
    mFailureSecondsAfterFault; ///< Also refusals; seconds after the fault.
};

PoolResult SimulatePool(const PoolScenario& aScenario);

/// Latencies of one class over all seeds.
std::vector<double> LatencySecondsOverSeeds(PoolScenario aScenario,
                                            std::size_t aClass = 0);

} // namespace Acaciavale::DecisionMeasure
