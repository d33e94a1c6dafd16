#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/PromptLatencyModel.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

/// The endpoints that this VM knows, and what it has seen of each.
namespace Acaciavale::Relay {

/// An endpoint as it describes itself in the platform's list.
struct EndpointRecord
{
  std::string mId;
  std::string mPool;
  std::string mAddress; ///< IP number and port.
  std::string mFailureDomain;
  std::string mVersion; ///< Of its software.
  std::int32_t mSlots = 1;
  bool mIsDraining = false;
  /// Start of this lifetime, so that a restart under the same id is seen;
  /// 0 where it is not said.
  std::int64_t mIncarnation = 0;

  auto operator<=>(const EndpointRecord&) const = default;
};

/// What one send asks of an endpoint.
struct AttemptWork
{
  std::string mModel;
  std::int64_t mPromptTokens = 0;
  std::int64_t mSharedPrefixTokens =
    0; ///< Of these, in parts that others share.
  std::int64_t mOutputTokens = 0;
  /// Of the shared parts and the model; 0 where there are none.
  std::uint64_t mSharedPrefixHash = 0;

  auto operator<=>(const AttemptWork&) const = default;
};

/// How long work takes in a pool, smoothed over what this VM saw.
struct PoolLatencyModel
{
  PromptLatencyModel mPromptLatency;
  double mLowQuartileSecondsPerToken =
    0; ///< Seconds a token where little else runs.

  auto operator<=>(const PoolLatencyModel&) const = default;
};

/// One lifetime of an endpoint. Sends hold it beyond its place in the book.
struct Endpoint
{
  EndpointRecord mRecord;
  bool mIsRemoved = false; ///< No longer in the platform's list.
  std::int32_t mInFlight = 0;
  std::int32_t mWaitingAttempts = 0; ///< Of these, without a first event yet.
  std::int64_t mWaitingPromptTokens = 0; ///< In their prompts.
  EndpointHealth mHealth;
  Turnover mTurnover;
  double mSlowness = 1; ///< Against the pool's latency.
  TimePoint mSlownessUpdatedAt{};
  ReportedLoad mLoad;
  std::int32_t mInFlightAtReport = 0;
  std::int32_t mWaitingAttemptsAtReport = 0;
  TimePoint mLoadReportedAt{};
  /// Shared parts that this VM sent there, and when it last did.
  std::map<std::uint64_t, TimePoint> mSharedPrefixes;
};

/// How a send ended, for the evidence.
struct AttemptOutcome
{
  bool mFailed = false;
  bool mCountsAsEvidence =
    true; ///< False where the endpoint had no part in the end.
  double mFirstEventSeconds =
    0; ///< To the answer or first event; 0 is unknown.
  double mWholeSeconds = 0;

  auto operator<=>(const AttemptOutcome&) const = default;
};

/// What an endpoint told of its load, to be passed on among VMs.
struct LoadReport
{
  std::string mEndpointId;
  ReportedLoad mLoad;
  Duration mAge{};

  auto operator<=>(const LoadReport&) const = default;
};

/// Which endpoint to take.
struct EndpointSelectionQuery
{
  std::string mPool;
  AttemptWork mWork;
  std::string mFailureDomain; ///< This VM's.
  std::uint32_t mLiveVms = 1;
  double mCrossDomainSeconds = 0;
  std::vector<const Endpoint*> mTriedEndpoints;
  /// Whether a version may take the work; all where it is empty.
  std::function<bool(const std::string& aVersion)> mAcceptsVersion;
  /// Most sends of this VM that one endpoint has at once.
  std::int32_t mMaximumInFlight = 0;
};

struct EndpointSelection
{
  std::shared_ptr<Endpoint> mEndpoint; ///< Null where none may take the work.
  bool mIsFull = false; ///< Endpoints there are, but none has room.
  double mExpectedFirstEventSeconds = 0;
  std::string_view mReason;
};

class EndpointRegistry
{
public:
  /// Takes over the platform's list; what was seen of a lifetime stays.
  void Replace(const std::vector<EndpointRecord>& aRecords);

  std::vector<std::shared_ptr<Endpoint>> EndpointsOf(
    const std::string& aPool) const;

  EndpointSelection Choose(const EndpointSelectionQuery& aQuery,
                           Random& aRandom,
                           TimePoint aNow);

  void RecordAttempt(Endpoint& aEndpoint,
                     const AttemptWork& aWork,
                     TimePoint aNow);
  void RecordFirstEvent(Endpoint& aEndpoint,
                        const AttemptWork& aWork,
                        double aSeconds,
                        TimePoint aNow);
  void RecordLoad(Endpoint& aEndpoint,
                  const ReportedLoad& aLoad,
                  TimePoint aNow);
  /// What endpoints have told within the time given, here or elsewhere.
  std::vector<LoadReport> LoadReportsWithin(Duration aAge,
                                            TimePoint aNow) const;
  /// Takes over what endpoints told other VMs, where it is newer.
  void ApplyLoadReports(const std::vector<LoadReport>& aReports,
                        TimePoint aNow);
  /// Ends a send; it had its first event or not.
  void RecordEnd(Endpoint& aEndpoint,
                 const AttemptWork& aWork,
                 bool aHadFirstEvent,
                 const AttemptOutcome& aOutcome,
                 TimePoint aNow);

  /// Expected seconds to the first event in the pool, on an endpoint at the
  /// pool's latency; 0 where nothing is known.
  double ExpectedFirstEventSeconds(const std::string& aPool,
                                   const AttemptWork& aWork) const;

  /// Seconds that the work's prompt takes an engine where little else runs.
  double LowQuartilePromptSeconds(const std::string& aPool,
                                  const AttemptWork& aWork) const;

  /// Smoothed share of their goals that requests wait for their first event in
  /// the pool: what tells whether its engines have time to spare.
  double FirstEventGoalRatio(const std::string& aPool) const;
  void RecordFirstEventGoalRatio(const std::string& aPool, double aShareOfGoal);

private:
  /// The latency of the work's model; that of none where nothing is known.
  PoolLatencyModel LatencyModelOf(const std::string& aPool,
                                  const AttemptWork& aWork) const;
  void Eject(const std::string& aPool, TimePoint aNow);

  std::map<std::string, std::shared_ptr<Endpoint>> mEndpoints;
  std::map<std::pair<std::string, std::string>, PoolLatencyModel>
    mLatencyModels;
  std::map<std::string, double> mFirstEventGoalRatios; ///< By pool.
};

} // namespace Acaciavale::Relay
