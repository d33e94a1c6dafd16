#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Load-balancing decision: selects the endpoint that serves one dispatch.
namespace Acaciavale {

/// Snapshot of one endpoint as input to the selection. It holds plain numbers
/// only, because one selection scores hundreds of endpoints in microseconds.
struct EndpointView
{
  std::uint32_t mIndex = 0; ///< Endpoint number assigned by the calling code.
  std::uint64_t mKey = 0;   ///< Hash of the address, equal on all VMs.
  std::uint32_t mFailureDomain = 0;
  bool mLeaving = false; ///< Draining: accepts no new requests.
  bool mEjected = false; ///< Blocked for this VM by outlier ejection.
  /// Whether long requests avoid this endpoint, so that urgent requests find a
  /// free slot even if the load reports are stale. See ReservedEndpoints.
  bool mReserved = false;
  std::int32_t mOwnInFlight = 0; ///< Requests of this VM in flight.
  std::int32_t mReportedInFlight =
    0; ///< Requests of all VMs at the last report.
  std::int32_t mOwnInFlightAtReport =
    0;                           ///< Requests of this VM at the last report.
  Duration mReportAge{};         ///< Time since the last load report.
  double mSecondsPerRequest = 0; ///< Mean service time; 0 if not measured.
  /// Mean service time of the requests in flight, which long requests dominate;
  /// 0 means mSecondsPerRequest. The two differ where short look-ups and long
  /// drafts share an endpoint.
  double mInFlightServiceSeconds = 0;
  std::int32_t mSlots = 1;       ///< Requests served concurrently.
  double mCachedPrefixShare = 0; ///< Share of the prompt in the prefix cache.
  /// Cost beyond the time until the request is served, for other requests.
  double mPreferenceSeconds = 0;
  double mErrorRate = 0; ///< Recent share of failed requests, 0 to 1.

  auto operator<=>(const EndpointView&) const = default;
};

/// Properties of the dispatch and of this VM that the selection depends on.
struct EndpointQuery
{
  std::uint32_t mFailureDomain = 0; ///< Failure domain of this VM.
  std::uint32_t mLiveVms = 1; ///< VMs that decide on the same load reports.
  double mPrefillSeconds = 0; ///< Time saved if the whole prompt is cached.
  std::optional<std::uint32_t>
    mSessionEndpoint; ///< Index of the session's last endpoint.
  std::vector<std::uint32_t> mExcluded; ///< Indices of endpoints tried before.
  /// Score penalty for an endpoint outside this VM's failure domain.
  double mCrossDomainSeconds = 0.001;
  /// Hash of the prompt's prefix; 0 if it has none. Rendezvous hashing over the
  /// endpoint keys assigns each prefix a home endpoint, the same on all VMs.
  std::uint64_t mPrefixHash = 0;
  /// Whether the home is chosen among the endpoints of this VM's failure domain
  /// if any of them is available. Each failure domain then caches its own copy
  /// of the prefix, and affinity sends no requests to another domain.
  bool mHomeInOwnDomain = false;
  /// Number of endpoints sampled at random in this VM's failure domain and in
  /// other domains. The selection scores the sample and the endpoints that the
  /// request prefers; if both numbers are 0, it scores the whole pool unless
  /// the pool is large. Without sampling, many VMs with the same reports would
  /// all select the same endpoint until the next reports.
  std::uint32_t mLocalSampleSize = 0;
  std::uint32_t mRemoteSampleSize = 0;
  /// Share of the pool that requests of this priority leave free for more
  /// urgent ones. If it is above 0, reserved endpoints get a score penalty. See
  /// ReservedShare and ReservedEndpoints.
  double mReservedShare = 0;
  /// If not empty, the indices of the only endpoints that are scored. The home
  /// of the prefix is still found among all endpoints.
  std::vector<std::uint32_t> mOnly{};
  /// Number of endpoints that the result ranks.
  std::size_t mRankedCount = 0;

  auto operator<=>(const EndpointQuery&) const = default;
};

/// An endpoint with its score.
struct ScoredEndpoint
{
  std::uint32_t mIndex = 0;
  double mScore = 0;

  auto operator<=>(const ScoredEndpoint&) const = default;
};

/// Result of a selection.
struct EndpointDecision
{
  std::optional<std::uint32_t> mIndex; ///< Empty if no endpoint is eligible.
  double mScore = 0;        ///< Expected seconds to completion, with penalties.
  std::string_view mReason; ///< Refers to a string literal.
  /// The endpoints with the lowest scores, if the query asks for them. The
  /// first one may differ from mIndex in case of equal scores.
  std::vector<ScoredEndpoint> mRanked{};

  auto operator<=>(const EndpointDecision&) const = default;
};

/// Capacity and load of a whole pool as estimated by one VM.
struct PoolEstimate
{
  std::int64_t mSlots = 0;
  std::int64_t mInFlight = 0; ///< Requests of all VMs.
  double mSecondsPerRequest = 0;
  std::int64_t mOwnInFlight = 0; ///< Requests of this VM.
  double mOwnSlots = 0;          ///< Slots per VM, divided equally.

  auto operator<=>(const PoolEstimate&) const = default;
};

/// Sums slots and load over the endpoints that accept requests. The reported
/// load is corrected by the requests that this VM has started and finished
/// since the report.
PoolEstimate EstimatePool(const std::vector<EndpointView>& aEndpoints,
                          std::uint32_t aLiveVms);

/// Returns the eligible endpoint with the lowest score. The session's endpoint
/// is kept while its score is close to the lowest one.
EndpointDecision ChooseEndpoint(const std::vector<EndpointView>& aEndpoints,
                                const EndpointQuery& aQuery,
                                Random& aRandom);

} // namespace Acaciavale
