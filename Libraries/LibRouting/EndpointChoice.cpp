#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <array>

namespace Acaciavale {

namespace {

/// Maximum number of endpoints that one selection scores, and the number that
/// it samples at random from a larger pool.
constexpr std::size_t kMaxScored = 96;
constexpr std::size_t kSampleSize = 48;
/// Service time assumed for all endpoints if none has been measured.
constexpr double kUnknownSecondsPerRequest = 1;
// The waits and penalties below are multiples of the mean service time of the
// requests in flight at the endpoint.

/// Expected wait at an endpoint whose slots all appear to be just in use.
constexpr double kFullLoadWait = 0.1;
/// Additional wait at other endpoints that long requests accept before they use
/// a reserved endpoint.
constexpr double kReservedPenalty = 1;
/// Additional wait in another failure domain that a retry accepts to avoid a
/// failure domain in which an attempt has failed.
constexpr double kTriedDomainPenalty = 1;
/// Cost of a failed attempt.
constexpr double kFailurePenalty = 2;
/// Minimum share of a prefix that its home is assumed to have cached, because
/// cache events arrive late, and a bonus for the home on top of it, because
/// copies elsewhere occupy cache memory. Both are multiples of the prefill
/// time.
constexpr double kHomePrefixShare = 0.8;
constexpr double kHomeBonus = 1;
/// Maximum score of the session's last endpoint, relative to the best score, at
/// which it is kept.
constexpr double kSessionEndpointSlack = 1.25;

/// Values computed once per selection for all endpoints.
struct ChoiceContext
{
  double mMeanServiceSeconds = kUnknownSecondsPerRequest;
  std::uint64_t mTriedDomains = 0; ///< One bit per failure domain, modulo 64.
  const EndpointView* mHome = nullptr; ///< Home of the prefix, or null.
};

std::uint64_t DomainBit(const EndpointView& aEndpoint)
{
  return 1ULL << (aEndpoint.mFailureDomain % 64);
}

bool IsTried(const EndpointView& aEndpoint, const EndpointQuery& aQuery)
{
  return std::find(aQuery.mExcluded.begin(),
                   aQuery.mExcluded.end(),
                   aEndpoint.mIndex) != aQuery.mExcluded.end();
}

bool IsEligible(const EndpointView& aEndpoint, const EndpointQuery& aQuery)
{
  return !aEndpoint.mLeaving && !aEndpoint.mEjected &&
         (aQuery.mExcluded.empty() || !IsTried(aEndpoint, aQuery));
}

/// Estimates the requests of all VMs in flight at the endpoint. The number of
/// this VM's own requests is exact. The reported number for the other VMs loses
/// weight with age, as the requests that it counted end. The rest of the weight
/// goes to the assumption that each VM has as many requests there as this one,
/// since all VMs decide by the same rules. This keeps the VMs from all
/// following the same stale report.
double EstimatedInFlight(const EndpointView& aEndpoint,
                         const EndpointQuery& aQuery,
                         double aServiceSeconds)
{
  const double reported =
    std::max(0, aEndpoint.mReportedInFlight - aEndpoint.mOwnInFlightAtReport);
  const double age =
    std::chrono::duration<double>(aEndpoint.mReportAge).count();
  // NOTE: 1 / (1 + x) approximates exp(-x) closely enough and is faster.
  const double reportWeight = aServiceSeconds / (aServiceSeconds + age);
  const double othersIfEqual =
    aEndpoint.mOwnInFlight * (std::max(1U, aQuery.mLiveVms) - 1.0);
  return aEndpoint.mOwnInFlight + reportWeight * reported +
         (1 - reportWeight) * othersIfEqual;
}

/// Expected wait as a multiple of the mean service time of the requests in
/// flight. aLoad is the number of requests per slot. At a load below 1, the
/// wait allows for the risk that the load is underestimated.
double ExpectedWait(double aLoad)
{
  const double square = aLoad * aLoad;
  const double risk = kFullLoadWait * std::min(1.0, square * square);
  return risk + std::max(0.0, aLoad - 1);
}

/// Expected seconds until a request sent to the endpoint now is complete, with
/// penalties and bonuses. The lowest score wins.
double Score(const EndpointView& aEndpoint,
             const EndpointQuery& aQuery,
             const ChoiceContext& aContext)
{
  const double seconds = aEndpoint.mSecondsPerRequest > 0
                           ? aEndpoint.mSecondsPerRequest
                           : aContext.mMeanServiceSeconds;
  const double slots = std::max(1, aEndpoint.mSlots);
  const double inFlightServiceSeconds = aEndpoint.mInFlightServiceSeconds > 0
                                          ? aEndpoint.mInFlightServiceSeconds
                                          : seconds;
  const double load =
    (EstimatedInFlight(aEndpoint, aQuery, inFlightServiceSeconds) + 1) / slots;
  double score = seconds + inFlightServiceSeconds * ExpectedWait(load) +
                 aEndpoint.mPreferenceSeconds;
  score += inFlightServiceSeconds * kFailurePenalty * aEndpoint.mErrorRate;
  if (aEndpoint.mReserved && aQuery.mReservedShare > 0) {
    score += inFlightServiceSeconds * kReservedPenalty;
  }
  if ((aContext.mTriedDomains & DomainBit(aEndpoint)) != 0) {
    score += inFlightServiceSeconds * kTriedDomainPenalty;
  }
  double prefixShare = aEndpoint.mCachedPrefixShare;
  if (aContext.mHome == &aEndpoint) {
    prefixShare = std::max(prefixShare, kHomePrefixShare) + kHomeBonus;
  }
  score -= prefixShare * aQuery.mPrefillSeconds;
  if (aEndpoint.mFailureDomain != aQuery.mFailureDomain) {
    score += aQuery.mCrossDomainSeconds;
  }
  return score;
}

/// Returns the home endpoint of the prefix, whether or not it has cached the
/// prefix yet.
const EndpointView* HomeOf(const std::vector<EndpointView>& aEndpoints,
                           const EndpointQuery& aQuery)
{
  const EndpointView* home = nullptr;
  std::uint64_t highest = 0;
  const bool onlyOwnDomain =
    aQuery.mHomeInOwnDomain &&
    std::any_of(
      aEndpoints.begin(), aEndpoints.end(), [&](const EndpointView& aEndpoint) {
        return aEndpoint.mFailureDomain == aQuery.mFailureDomain &&
               !aEndpoint.mLeaving && !aEndpoint.mEjected;
      });
  for (const EndpointView& endpoint : aEndpoints) {
    if (onlyOwnDomain && endpoint.mFailureDomain != aQuery.mFailureDomain) {
      continue;
    }
    const std::uint64_t rank =
      RendezvousRank(aQuery.mPrefixHash, endpoint.mKey);
    const bool canBeHome =
      endpoint.mKey != 0 && !endpoint.mLeaving && !endpoint.mEjected;
    if (rank >= highest && canBeHome) {
      home = &endpoint;
      highest = rank;
    }
  }
  return home;
}

/// Endpoints that one selection scores.
struct Shortlist
{
  std::array<const EndpointView*, kMaxScored> mEndpoints{};
  std::size_t mCount = 0;

  void Add(const EndpointView& aEndpoint, const EndpointQuery& aQuery)
  {
    if (mCount < kMaxScored && IsEligible(aEndpoint, aQuery)) {
      mEndpoints[mCount++] = &aEndpoint;
    }
  }
};

/// Adds the endpoints that this request prefers: the session's last endpoint
/// and those with a cached prefix.
void AddPreferred(Shortlist& aShortlist,
                  const std::vector<EndpointView>& aEndpoints,
                  const EndpointQuery& aQuery)
{
  if (!aQuery.mSessionEndpoint && aQuery.mPrefillSeconds <= 0) {
    return;
  }
  for (const EndpointView& endpoint : aEndpoints) {
    if (endpoint.mCachedPrefixShare > 0 ||
        aQuery.mSessionEndpoint == endpoint.mIndex) {
      aShortlist.Add(endpoint, aQuery);
    }
  }
}

/// Adds a random sample of aCount endpoints from this VM's failure domain or
/// from the other domains.
void AddSampled(Shortlist& aShortlist,
                const std::vector<EndpointView>& aEndpoints,
                const EndpointQuery& aQuery,
                bool aIsLocal,
                std::uint32_t aCount,
                Random& aRandom)
{
  std::vector<const EndpointView*> endpoints;
  for (const EndpointView& endpoint : aEndpoints) {
    const bool isLocal = endpoint.mFailureDomain == aQuery.mFailureDomain;
    if (isLocal == aIsLocal && IsEligible(endpoint, aQuery)) {
      endpoints.push_back(&endpoint);
    }
  }
  for (std::uint32_t draw = 0; draw < aCount && !endpoints.empty(); ++draw) {
    const auto index = aRandom.Below(endpoints.size());
    aShortlist.Add(*endpoints[index], aQuery);
    endpoints[index] = endpoints.back();
    endpoints.pop_back();
  }
}

/// Returns all endpoints of a small pool. For a large pool, returns a random
/// sample and the endpoints that the request prefers. Sampling takes less time
/// and keeps VMs from selecting the same endpoint.
Shortlist ShortlistOf(const std::vector<EndpointView>& aEndpoints,
                      const EndpointQuery& aQuery,
                      const EndpointView* aHome,
                      Random& aRandom)
{
  Shortlist shortlist;
  if (!aQuery.mOnly.empty()) {
    for (const EndpointView& endpoint : aEndpoints) {
      if (std::find(aQuery.mOnly.begin(),
                    aQuery.mOnly.end(),
                    endpoint.mIndex) != aQuery.mOnly.end()) {
        shortlist.Add(endpoint, aQuery);
      }
    }
    return shortlist;
  }
  const bool isSampled = aQuery.mLocalSampleSize + aQuery.mRemoteSampleSize > 0;
  if (isSampled || aEndpoints.size() > kMaxScored) {
    if (isSampled) {
      AddSampled(
        shortlist, aEndpoints, aQuery, true, aQuery.mLocalSampleSize, aRandom);
      AddSampled(shortlist,
                 aEndpoints,
                 aQuery,
                 false,
                 aQuery.mRemoteSampleSize,
                 aRandom);
    } else {
      for (std::size_t draw = 0; draw < kSampleSize; ++draw) {
        shortlist.Add(aEndpoints[aRandom.Below(aEndpoints.size())], aQuery);
      }
    }
    if (aHome != nullptr) {
      shortlist.Add(*aHome, aQuery);
    }
    AddPreferred(shortlist, aEndpoints, aQuery);
  }
  if (shortlist.mCount == 0) {
    for (const EndpointView& endpoint : aEndpoints) {
      shortlist.Add(endpoint, aQuery);
    }
  }
  return shortlist;
}

std::uint64_t TriedDomains(const std::vector<EndpointView>& aEndpoints,
                           const EndpointQuery& aQuery)
{
  std::uint64_t domains = 0;
  if (aQuery.mExcluded.empty()) {
    return domains;
  }
  for (const EndpointView& endpoint : aEndpoints) {
    domains |= IsTried(endpoint, aQuery) ? DomainBit(endpoint) : 0;
  }
  return domains;
}

double MeanServiceSeconds(const Shortlist& aShortlist)
{
  double sum = 0;
  double known = 0;
  for (std::size_t index = 0; index < aShortlist.mCount; ++index) {
    const double seconds = aShortlist.mEndpoints[index]->mSecondsPerRequest;
    sum += seconds;
    known += seconds > 0 ? 1 : 0;
  }
  return known > 0 ? sum / known : kUnknownSecondsPerRequest;
}

/// Adds the endpoint to those with the lowest scores, in ascending order. An
/// endpoint may be on the shortlist twice.
void AddRanked(std::vector<ScoredEndpoint>& aRanked,
               const ScoredEndpoint& aEndpoint,
               std::size_t aCount)
{
  const auto isSame = [&aEndpoint](const ScoredEndpoint& aOther) {
    return aOther.mIndex == aEndpoint.mIndex;
  };
  if (std::any_of(aRanked.begin(), aRanked.end(), isSame)) {
    return;
  }
  const auto place = std::upper_bound(
    aRanked.begin(),
    aRanked.end(),
    aEndpoint,
    [](const ScoredEndpoint& aLeft, const ScoredEndpoint& aRight) {
      return aLeft.mScore < aRight.mScore;
    });
  aRanked.insert(place, aEndpoint);
  aRanked.resize(std::min(aRanked.size(), aCount));
}

} // namespace

EndpointDecision ChooseEndpoint(const std::vector<EndpointView>& aEndpoints,
                                const EndpointQuery& aQuery,
                                Random& aRandom)
{
  EndpointDecision best{
    std::nullopt, 0, "No endpoint may take the work.", {}
  };
  std::optional<double> preferred;
  ChoiceContext context;
  if (aQuery.mPrefixHash != 0) {
    context.mHome = HomeOf(aEndpoints, aQuery);
  }
  const Shortlist shortlist =
    ShortlistOf(aEndpoints, aQuery, context.mHome, aRandom);
  context.mMeanServiceSeconds = MeanServiceSeconds(shortlist);
  context.mTriedDomains = TriedDomains(aEndpoints, aQuery);
  std::uint64_t ties = 0;
  std::vector<ScoredEndpoint> ranked;
  for (std::size_t index = 0; index < shortlist.mCount; ++index) {
    const EndpointView& endpoint = *shortlist.mEndpoints[index];
    const double score = Score(endpoint, aQuery, context);
    if (aQuery.mRankedCount > 0) {
      AddRanked(ranked, { endpoint.mIndex, score }, aQuery.mRankedCount);
    }
    if (aQuery.mSessionEndpoint == endpoint.mIndex) {
      preferred = score;
    }
    ties = best.mIndex && score == best.mScore ? ties + 1 : 1;
    const bool wins = !best.mIndex || score < best.mScore ||
                      (score == best.mScore && aRandom.Below(ties) == 0);
    if (wins) {
      best = {
        endpoint.mIndex, score, "Least expected time until served.", {}
      };
    }
  }
  if (preferred && *preferred <= best.mScore * kSessionEndpointSlack) {
    return { aQuery.mSessionEndpoint,
             *preferred,
             "The session's last endpoint.",
             std::move(ranked) };
  }
  best.mRanked = std::move(ranked);
  return best;
}

} // namespace Acaciavale
