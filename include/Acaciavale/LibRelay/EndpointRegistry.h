#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/EndpointAnnouncements.h>
#include <Acaciavale/LibRelay/EndpointPace.h>
#include <Acaciavale/LibRelay/PromptLatencyModel.h>
#include <Acaciavale/LibRelay/SizeAffinity.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// The known endpoints with the load, latency and errors that this VM observed.
namespace Acaciavale::Relay {

/// An endpoint's description of itself in the platform's list of endpoints.
struct EndpointRecord
{
  std::string mId;
  std::string mPool;
  std::string mAddress; ///< IP address and port.
  std::string mFailureDomain;
  std::string mVersion;    ///< Software version of the endpoint.
  std::int32_t mSlots = 1; ///< Requests that the endpoint runs at once.
  bool mIsDraining = false;
  /// Start of the endpoint's process as a number, which differs after a restart
  /// under the same id; 0 if the endpoint does not state it.
  std::int64_t mIncarnation = 0;
  /// How long it bears only few requests, as its caches are empty.
  Duration mColdFor{};

  auto operator<=>(const EndpointRecord&) const = default;
};

/// The work that one attempt requires from an endpoint.
struct AttemptWork
{
  std::string mModel;
  std::int64_t mPromptTokens = 0;
  /// Number of prompt tokens in the prefix that other requests share.
  std::int64_t mSharedPrefixTokens = 0;
  std::int64_t mOutputTokens = 0; ///< Expected mean.
  /// Engine memory that it is likely not to exceed: prompt and output.
  std::int64_t mMemoryTokens = 0;
  /// Hash of the shared prompt prefix and the model; 0 without such a prefix.
  std::uint64_t mSharedPrefixHash = 0;

  auto operator<=>(const AttemptWork&) const = default;
};

/// The latency of one model in a pool, smoothed over the observations of this
/// VM.
struct PoolLatencyModel
{
  PromptLatencyModel mPromptLatency;
  /// First quartile of the seconds to the first event per prompt token, which
  /// approximates an engine with little other work; 0 before the first sample.
  double mLowQuartileSecondsPerToken = 0;
  /// Smoothed time from one event of a stream to the next; 0 before the first
  /// sample.
  double mSecondsPerEvent = 0;

  auto operator<=>(const PoolLatencyModel&) const = default;
};

/// One lifetime of an endpoint. Attempts keep it alive after its removal from
/// the registry.
struct Endpoint
{
  EndpointRecord mRecord;
  EndpointAnnouncement mAnnouncement; ///< From the endpoint's own responses.
  /// Time at which no process listened at its address; zero: never.
  TimePoint mEndedAt{};
  /// The endpoint is no longer in the platform's list.
  bool mIsRemoved = false;
  std::int32_t mInFlight = 0; ///< Open attempts of this VM.
  /// Engine memory that these attempts need, in tokens.
  std::int64_t mMemoryTokens = 0;
  TimePoint mLastAttemptAt{}; ///< Start of this VM's latest attempt.
  /// Open attempts of this VM that have not received a first event.
  std::int32_t mWaitingAttempts = 0;
  SizePosition mSizePosition; ///< Among the endpoints of pool and domain.
  PlacedWork mPlacedWork;     ///< Prompts of these waiting attempts.
  EndpointHealth mHealth;
  InFlightServiceTime mTurnover;
  /// Ratio of the time to the first event to the expected time in the pool.
  double mSlowness = 1;
  TimePoint mSlownessUpdatedAt{};
  ReportedLoad mLoad; ///< Latest load that the endpoint reported.
  /// Values of mInFlight and mWaitingAttempts when the load was recorded.
  std::int32_t mInFlightAtReport = 0;
  std::int32_t mWaitingAttemptsAtReport = 0;
  TimePoint mLoadReportedAt{};
  EndpointPace mPace;     ///< Kept while later reports state no pace.
  TimePoint mColdUntil{}; ///< Latest time until which it is cold.
  PermitState mPermits;   ///< Use of this VM's permits, if there is a limit.
  /// This VM's rank for permits, and the list of VMs that it was derived from.
  std::optional<std::uint32_t> mPermitRank;
  std::uint64_t mPermitRankOfList = 0;
  /// Time of the latest attempt of this VM for each hash of a shared prefix.
  std::map<std::uint64_t, TimePoint> mSharedPrefixes;
};

EndpointLifetime LifetimeOf(const EndpointRecord& aRecord);

/// A hash of a name that is equal on all VMs.
std::uint64_t HashOf(const std::string& aText);

/// Whether no process listened at the endpoint's address a short time ago.
bool HasEnded(const Endpoint& aEndpoint, TimePoint aNow);

/// The outcome of an attempt, as evidence of the endpoint's health.
struct AttemptOutcome
{
  bool mFailed = false;
  /// False if the endpoint did not cause the end of the attempt.
  bool mCountsAsEvidence = true;
  /// Time to the response or the first event; 0 if unknown.
  double mFirstEventSeconds = 0;
  double mTotalSeconds = 0;

  auto operator<=>(const AttemptOutcome&) const = default;
};

/// The latest load of an endpoint, as VMs exchange it.
struct LoadReport
{
  std::string mEndpointId;
  ReportedLoad mLoad;
  Duration mAge{}; ///< Time since the endpoint reported the load.

  auto operator<=>(const LoadReport&) const = default;
};

/// The constraints on the selection of an endpoint for an attempt.
struct EndpointSelectionQuery
{
  std::string mPool;
  AttemptWork mWork;
  std::string mFailureDomain; ///< Failure domain of this VM.
  std::uint32_t mLiveVms = 1;
  /// Cost of an attempt in another failure domain, as time.
  double mCrossDomainSeconds = 0;
  std::vector<const Endpoint*> mTriedEndpoints; ///< Endpoints to exclude.
  /// Whether an endpoint of a version may run the work; if empty, any may.
  std::function<bool(const std::string& aVersion)> mAcceptsVersion;
  /// Maximum number of open attempts of this VM per endpoint; 0 for no limit.
  std::int32_t mMaximumInFlight = 0;
  /// Memory of an engine of the pool, in tokens; 0 if not known.
  std::int64_t mEngineMemoryTokens = 0;
  /// If not empty, the only endpoints that are considered.
  std::vector<const Endpoint*> mOnly;
  std::size_t mRankedCount = 0; ///< Number of endpoints to rank.
};

/// The prompt's size among those of its pool, and the cost of the endpoint that
/// was chosen for it under the preference by size.
struct SizePlacement
{
  bool mIsLong = false;
  double mSeconds = 0; ///< 0 at the endpoints that it prefers.

  auto operator<=>(const SizePlacement&) const = default;
};

/// An endpoint with its score in a selection.
struct RankedEndpoint
{
  std::shared_ptr<Endpoint> mEndpoint;
  double mScore = 0; ///< The lowest one is best.
};

/// The indices of the listed endpoints among all. If the list is not empty and
/// none of it is there, an index that no endpoint has.
std::vector<std::uint32_t> IndicesOf(
  const std::vector<const Endpoint*>& aOnly,
  const std::vector<std::shared_ptr<Endpoint>>& aAll);

struct EndpointSelection
{
  std::shared_ptr<Endpoint> mEndpoint; ///< Null if no endpoint is available.
  bool mIsFull = false; ///< All usable endpoints are at their limit.
  /// Earliest end of the quiet times, if all endpoints that may
  /// run the work want quiet.
  std::optional<TimePoint> mQuietUntil;
  /// The endpoints that only their limits keep from being selected, if all
  /// that may run the work have limits or are full.
  LimitedEndpoints mLimited;
  bool mIsAnyFull = false; ///< Some of them are at their limit of attempts.
  /// Endpoints that only lack memory for the work.
  std::uint32_t mWithoutMemory = 0;
  double mExpectedFirstEventSeconds = 0;
  /// How the prompt's size affected the choice; empty while it does not.
  std::optional<SizePlacement> mSizePlacement;
  std::string_view mReason;
  std::vector<RankedEndpoint> mRanked; ///< As many as the query asks for.
};

struct CostBasis;
struct EndpointPermit;

class EndpointRegistry
{
public:
  /// Replaces the endpoints by the platform's list. The observations of an
  /// endpoint that was not restarted are kept.
  void Replace(const std::vector<EndpointRecord>& aRecords, TimePoint aNow);

  /// Sets the live VMs, which divide the limits of endpoints, and this VM's
  /// name among them.
  void SetLiveVms(const std::string& aSelf,
                  const std::vector<std::string>& aNames);

  /// Sets the requests a second that cold endpoints bear, by pool; none for a
  /// pool whose endpoints bear as many as ever.
  void SetColdRates(std::map<std::string, double> aRates);

  /// Sets the failure domains whose endpoints get no more requests.
  void SetEvacuatedDomains(std::set<std::string> aDomains);

  /// Records that the endpoint has stated in a response that it is about to
  /// stop. It is not selected again. Returns whether this is news.
  bool RecordLeaving(Endpoint& aEndpoint, TimePoint aNow);

  /// Records that no process listens at the endpoint's address. It is not
  /// selected until the platform's list has had time to drop it.
  static void RecordEnded(Endpoint& aEndpoint, TimePoint aNow);

  /// Records that the endpoint has turned a request away and asked for quiet.
  /// aJitter is a random number in [0, 1). Returns whether this is news.
  bool RecordQuietTime(Endpoint& aEndpoint,
                       Duration aAsked,
                       double aJitter,
                       TimePoint aNow);

  /// Records the limit that a response of the endpoint stated, or that it
  /// stated none. Returns whether this is news.
  bool RecordLimit(Endpoint& aEndpoint,
                   std::optional<double> aPerSecond,
                   TimePoint aNow);

  /// What endpoints have stated to this or another VM, for other VMs.
  std::vector<AnnouncementReport> Announcements() const;
  /// Applies what endpoints have stated to other VMs. Returns whether this is
  /// news.
  bool ApplyAnnouncements(const std::vector<AnnouncementReport>& aReports,
                          TimePoint aNow);

  std::vector<std::shared_ptr<Endpoint>> EndpointsOf(
    const std::string& aPool) const;

  EndpointSelection Choose(const EndpointSelectionQuery& aQuery,
                           Random& aRandom,
                           TimePoint aNow);

  void RecordAttempt(Endpoint& aEndpoint,
                     const AttemptWork& aWork,
                     TimePoint aNow);
  /// aPace is the pace that the endpoint reported with its response.
  void RecordFirstEvent(Endpoint& aEndpoint,
                        const AttemptWork& aWork,
                        double aSeconds,
                        TimePoint aNow,
                        std::optional<double> aPace = std::nullopt);
  void RecordLoad(Endpoint& aEndpoint,
                  const ReportedLoad& aLoad,
                  TimePoint aNow);
  /// The loads that endpoints reported to this or another VM within aAge.
  std::vector<LoadReport> LoadReportsWithin(Duration aAge,
                                            TimePoint aNow) const;
  /// Applies the loads that endpoints reported to other VMs, if newer.
  void ApplyLoadReports(const std::vector<LoadReport>& aReports,
                        TimePoint aNow);
  /// Whether any endpoint of the pool has reported its pace.
  bool ReportsPace(const std::string& aPool) const;
  /// Records the end of an attempt.
  void RecordEnd(Endpoint& aEndpoint,
                 const AttemptWork& aWork,
                 bool aHadFirstEvent,
                 const AttemptOutcome& aOutcome,
                 TimePoint aNow);

  /// Expected seconds to the first event on an endpoint of the pool with
  /// average speed and no backlog. Without samples, the prior of
  /// PromptLatencyModel.
  double ExpectedFirstEventSeconds(const std::string& aPool,
                                   const AttemptWork& aWork) const;

  /// Expected seconds that an engine with little other work needs to read the
  /// prompt.
  double LowQuartilePromptSeconds(const std::string& aPool,
                                  const AttemptWork& aWork) const;

  /// Usual time from one event of a stream to the next; 0: not known.
  double UsualSecondsPerEvent(const std::string& aPool,
                              const AttemptWork& aWork) const;
  void RecordSecondsPerEvent(const std::string& aPool,
                             const AttemptWork& aWork,
                             double aSeconds);

  /// Smoothed ratio of the time to the first event to its goal in the pool. It
  /// shows whether the engines have spare capacity.
  double FirstEventGoalRatio(const std::string& aPool) const;
  void RecordFirstEventGoalRatio(const std::string& aPool, double aGoalRatio);

private:
  /// What the registry knows of the cost of the query's work.
  CostBasis CostBasisOf(const EndpointSelectionQuery& aQuery) const;
  /// The permit for the endpoint; empty if its requests are not bounded.
  std::optional<EndpointPermit> PermitOf(Endpoint& aEndpoint,
                                         TimePoint aNow) const;
  /// The latency model of the pool and the work's model; an empty one without
  /// samples.
  PoolLatencyModel LatencyModelOf(const std::string& aPool,
                                  const AttemptWork& aWork) const;
  /// This VM's share in the limit of the endpoint; empty if it holds none.
  std::optional<PermitShare> PermitShareOf(Endpoint& aEndpoint,
                                           const RateBound& aBound) const;
  /// The bound on the requests to the endpoint at aNow; empty: none.
  std::optional<RateBound> BoundOf(const Endpoint& aEndpoint,
                                   TimePoint aNow) const;
  /// Adds the prompt of an attempt that starts to the endpoint's unread ones.
  void PlacePrompt(Endpoint& aEndpoint,
                   const AttemptWork& aWork,
                   TimePoint aNow);
  /// Records the pace that an endpoint reported, if any.
  void RecordPace(Endpoint& aEndpoint,
                  const ReportedLoad& aLoad,
                  TimePoint aNow);
  /// The factor of the endpoint's current pace on the time that work takes.
  double PaceFactorOf(const Endpoint& aEndpoint, TimePoint aNow) const;
  /// Ejects endpoints of the pool that fail often.
  void Eject(const std::string& aPool, TimePoint aNow);

  /// Endpoints by id.
  std::map<std::string, std::shared_ptr<Endpoint>> mEndpoints;
  AnnouncementMemory mAnnouncements;
  std::map<std::string, double> mColdRates; ///< Requests a second, by pool.
  std::set<std::string> mEvacuatedDomains;
  std::uint64_t mSelfKey = 0;             ///< Hash of this VM's name.
  std::vector<std::uint64_t> mLiveVmKeys; ///< Hashes of the VMs' names.
  std::uint64_t mLiveVmsList = 0;         ///< Number of the list of VMs.
  /// Latency models by pool and model.
  std::map<std::pair<std::string, std::string>, PoolLatencyModel>
    mLatencyModels;
  std::map<std::string, PromptWorkMix> mPromptWork;    ///< Prompt work by pool.
  std::map<std::string, PaceHistory> mPaceHistories;   ///< Histories by pool.
  std::map<std::string, double> mFirstEventGoalRatios; ///< Goal ratios by pool.
};

} // namespace Acaciavale::Relay
