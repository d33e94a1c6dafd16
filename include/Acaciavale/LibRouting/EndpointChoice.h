#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// Chooses the endpoint that serves one dispatch.
namespace Acaciavale {

/// One endpoint as this VM sees it. Plain numbers only: the choice runs in
/// microseconds over hundreds of these.
struct EndpointView
{
  std::uint32_t mIndex = 0; ///< The caller's own number for it.
  std::uint64_t mKey = 0;   ///< Hash of its address: the same on all VMs.
  std::uint32_t mFailureDomain = 0;
  bool mLeaving = false;
  bool mEjected = false;
  /// Kept free of long work, so that urgent work finds a slot at once whatever
  /// the reports say. See ReservedEndpoints.
  bool mReserved = false;
  std::int32_t mOwnInFlight = 0;      ///< This VM's requests there, right now.
  std::int32_t mReportedInFlight = 0; ///< Everybody's, as last reported.
  std::int32_t mOwnInFlightAtReport = 0; ///< This VM's, when that was reported.
  Duration mReportAge{};
  double mSecondsPerRequest = 0; ///< Measured service time; 0 is unknown.
  /// How long the requests that it holds take; 0 is as mSecondsPerRequest. Not
  /// the same where look-ups and long drafts share an endpoint.
  double mInFlightServiceSeconds = 0;
  std::int32_t mSlots = 1; ///< Requests that it serves at once.
  double mCachedPrefixShare =
    0;                   ///< Share of this prompt that it has in its cache.
  double mErrorRate = 0; ///< Recent share of failures.

  auto operator<=>(const EndpointView&) const = default;
};

/// What the choice has to know of the dispatch and of this VM.
struct EndpointQuery
{
  std::uint32_t mFailureDomain = 0; ///< This VM's own.
  std::uint32_t mLiveVms = 1;       ///< VMs that decide on the same reports.
  double mPrefillSeconds = 0;       ///< What a whole cached prefix would save.
  std::optional<std::uint32_t>
    mSessionEndpoint;                   ///< The session's last endpoint.
  std::vector<std::uint32_t> mExcluded; ///< Tried already.
  /// What leaving this VM's failure domain costs.
  double mCrossDomainSeconds = 0.001;
  /// Hash of the prompt's prefix; 0 is none. It has a home endpoint, by
  /// rendezvous hashing over the keys, that all VMs prefer alike.
  std::uint64_t mPrefixHash = 0;
  /// Whether the home is one of this VM's failure domain, where there are any:
  /// each domain then keeps a copy, and nothing is sent to another.
  bool mHomeInOwnDomain = false;
  /// Endpoints of this VM's failure domain, and of others, that are drawn at
  /// random and scored with those that the request has a reason to prefer; 0
  /// for all of a pool that is not large. Many VMs that hear the same reports
  /// would else choose the same endpoint until the next ones.
  std::uint32_t mLocalSampleSize = 0;
  std::uint32_t mRemoteSampleSize = 0;
  /// Share of the pool that this work leaves to more urgent work: above 0 it
  /// keeps off the reserved endpoints. See ReservedShare and ReservedEndpoints.
  double mReservedShare = 0;

  auto operator<=>(const EndpointQuery&) const = default;
};

/// The decision; no index means that no endpoint may take the work.
struct EndpointDecision
{
  std::optional<std::uint32_t> mIndex;
  double mScore = 0;        ///< Expected seconds until served.
  std::string_view mReason; ///< A constant.

  auto operator<=>(const EndpointDecision&) const = default;
};

/// What a whole pool looks like to one VM.
struct PoolEstimate
{
  std::int64_t mSlots = 0;
  std::int64_t mInFlight = 0; ///< Everybody's.
  double mSecondsPerRequest = 0;
  std::int64_t mOwnInFlight = 0; ///< This VM's.
  double mOwnSlots = 0; ///< This VM's part of the slots, if VMs are alike.

  auto operator<=>(const PoolEstimate&) const = default;
};

/// Sums a pool over the endpoints that take work: the last reports, corrected
/// for what this VM has started and finished since.
PoolEstimate EstimatePool(const std::vector<EndpointView>& aEndpoints,
                          std::uint32_t aLiveVms);

EndpointDecision ChooseEndpoint(const std::vector<EndpointView>& aEndpoints,
                                const EndpointQuery& aQuery,
                                Random& aRandom);

} // namespace Acaciavale
