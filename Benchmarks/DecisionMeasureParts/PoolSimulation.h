#pragma once

#include <Acaciavale/LibSettings/Settings.h>

#include <cstdint>
#include <string>
#include <vector>

/// Discrete-event simulation of one pool of replicas. The simulated routers
/// select replicas with the functions of LibRouting or with a baseline policy.
namespace Acaciavale::DecisionMeasure {

enum class Policy
{
  Ours,              ///< The decision functions of LibRouting.
  OursWithoutPrefix, ///< Ours, without knowledge of the prefix caches.
  RoundRobin,
  Random,
  LeastReported, ///< Fewest requests in flight by the last report.
  PureAffinity,  ///< The home replica of the prefix, whatever its load.
  Oracle,        ///< Uses the true current load, speed and health.
};

enum class Fault
{
  None,
  DomainLost, ///< Connections to one failure domain hang until they time out.
  Flapping,   ///< One replica alternates between errors and success
              ///< every two seconds.
  BlackHole,  ///< One replica answers every request with an error
              ///< immediately.
};

/// Class of requests with the same priority and mean service time.
struct WorkClass
{
  std::string mName;
  Priority mPriority = Priority::Interactive;
  /// Mean service time at a replica of normal speed.
  double mServiceSeconds = 1;
  /// Offered load of the class, as a share of the pool's capacity.
  double mLoad = 0.7;
  /// Factor by which the load grows during the burst.
  double mBurstFactor = 1;
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
  std::uint32_t mSlots = 8; ///< Requests that a replica serves concurrently.
  std::vector<WorkClass> mClasses;
  double mDurationSeconds = 90;
  double mWarmUpSeconds = 20;
  double mReportLagSeconds = 2;
  double mReportPeriodSeconds = 0.5;
  /// Every n-th replica is slow, by mSlowFactor; 0 if no replica is slow.
  std::uint32_t mSlowReplicaInterval = 0;
  double mSlowFactor = 8;
  Fault mFault = Fault::None;
  double mFaultAtSeconds = 30;
  double mBurstStartSeconds = 30;
  double mBurstEndSeconds = 60;
  bool mUsesAdmission = false;
  bool mUsesRetries = true;
  /// Time from the loss of a failure domain until its replicas are marked as
  /// draining in the replica list, which policies without failure detection
  /// depend on.
  double mReplicaListLagSeconds = 10;
  std::uint32_t mPrefixes =
    0; ///< Number of distinct prompt prefixes; 0 for none.
  std::uint32_t mCacheSlots =
    16; ///< Capacity of a replica's prefix cache in prefixes.
  /// Part of mServiceSeconds that a prefix cache hit saves.
  double mPrefillSeconds = 0.5;
  double mPrefixSkew = 0.9; ///< Zipf exponent of the prefix popularity.
  /// Share of the prefix cache updates that never reach the routers.
  double mCacheEventLossRate = 0.1;
  /// Rate limit of each account over the whole deployment.
  double mAccountRequestsPerSecond = 1e9;
};

/// Latencies of the completed requests that arrived after the warm-up.
struct ClassResult
{
  std::vector<double> mLatencySeconds; ///< Latencies of all requests.
  /// Latencies of the requests that arrived during the burst.
  std::vector<double> mBurstLatencySeconds;
  /// Latencies of the requests that arrived before or after the burst.
  std::vector<double> mQuietLatencySeconds;
};

struct PoolResult
{
  std::vector<ClassResult> mClasses;
  double mArrivals = 0; ///< Requests of all classes after the warm-up.
  double mDispatches = 0;
  double mAdmitted = 0;
  double mRejected = 0;
  double mFailed = 0;
  double mGood = 0; ///< Requests completed within their deadlines.
  /// Sum of the mean service times of the requests in mGood.
  double mGoodWorkSeconds = 0;
  double mCacheHits = 0; ///< Requests whose prefix was in the replica's cache.
  /// Dispatches to the faulty replica since the start of the fault.
  double mFaultyDispatches = 0;
  /// Dispatches to any replica since the start of the fault.
  double mDispatchesAfterFault = 0;
  /// Time from the start of the fault to each failure or rejection; negative
  /// for a failure or rejection before the fault.
  std::vector<double> mFailureSecondsAfterFault;
};

PoolResult SimulatePool(const PoolScenario& aScenario);

/// Runs the scenario with all seeds and returns the latencies of one class.
std::vector<double> LatencySecondsOverSeeds(PoolScenario aScenario,
                                            std::size_t aClass = 0);

} // namespace Acaciavale::DecisionMeasure
