#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <array>

namespace Acaciavale {

namespace {

/// Endpoints that one choice scores at most, and how many of a larger pool it
/// draws at random.
constexpr std::size_t kMaxScored = 96;
constexpr std::size_t kSampleSize = 48;
/// Speed assumed of an endpoint when none of the pool was measured.
constexpr double kUnknownSecondsPerRequest = 1;
/// Wait in turnovers at an endpoint whose slots all seem just taken.
constexpr double kFullLoadWait = 0.1;
/// Wait in turnovers that long work accepts elsewhere before it takes a
/// reserved endpoint.
constexpr double kReservedPenalty = 1;
/// Wait in turnovers that a retry accepts to leave a failure domain in which an
/// attempt has failed.
constexpr double kTriedDomainPenalty = 1;
/// Wait in turnovers that a failed attempt costs.
constexpr double kFailurePenalty = 2;
/// Share of a prefix that its home is taken to have, as the cache's events come
/// late, and what a home counts for beyond that: copies elsewhere cost room.
constexpr double kHomePrefixShare = 0.8;
constexpr double kHomeBonus = 1;
/// How much longer than the best the session's own endpoint may take.
constexpr double kSessionEndpointSlack = 1.25;

/// What is worked out once for all endpoints of a choice.
struct ChoiceContext
{
  double mMeanServiceSeconds = kUnknownSecondsPerRequest;
  std::uint64_t mTriedDomains = 0;     ///< A bit for each failure domain.
  const EndpointView* mHome = nullptr; ///< Of the prompt's prefix, or null.
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

/// Everybody's requests there now. This VM's own are known. A report on the
/// others' is reportWeight less the more of what it counted has since ended;
/// what is missing is taken to be as this VM's own, since all VMs decide
/// othersIfEqual. So the VMs do not chase one stale report together.
double EstimatedInFlight(const EndpointView& aEndpoint,
                         const EndpointQuery& aQuery,
                         double aServiceSeconds)
{
  const double reported =
    std::max(0, aEndpoint.mReportedInFlight - aEndpoint.mOwnInFlightAtReport);
  const double age =
    std::chrono::duration<double>(aEndpoint.mReportAge).count();
  // NOTE: 1 / (1 + x) in the place of exp(-x): near enough, and quicker.
  const double reportWeight = aServiceSeconds / (aServiceSeconds + age);
  const double othersIfEqual =
    aEndpoint.mOwnInFlight * (std::max(1U, aQuery.mLiveVms) - 1.0);
  return aEndpoint.mOwnInFlight + reportWeight * reported +
         (1 - reportWeight) * othersIfEqual;
}

/// Expected wait in turnovers at a load, 1 being every slot taken. Below 1 it
/// is the risk that the estimate is too low.
double ExpectedWait(double aLoad)
{
  const double square = aLoad * aLoad;
  const double risk = kFullLoadWait * std::min(1.0, square * square);
  return risk + std::max(0.0, aLoad - 1);
}

/// Expected seconds until a request sent there now is served.
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
  double score = seconds + inFlightServiceSeconds * ExpectedWait(load);
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

/// The endpoint that a prefix belongs to, whether or not it has it by now.
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

/// The endpoints that a choice scores.
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

/// Adds the endpoints that this request has a reason to prefer.
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

/// Adds so many of those in this VM's failure domain or in others, at random.
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

/// All endpoints of a small pool. Of a large one a random sample, which costs
/// less time and keeps VMs apart, and those with a reason.
Shortlist ShortlistOf(const std::vector<EndpointView>& aEndpoints,
                      const EndpointQuery& aQuery,
                      const EndpointView* aHome,
                      Random& aRandom)
{
  Shortlist shortlist;
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

} // namespace

EndpointDecision ChooseEndpoint(const std::vector<EndpointView>& aEndpoints,
                                const EndpointQuery& aQuery,
                                Random& aRandom)
{
  EndpointDecision best{ std::nullopt, 0, "No endpoint may take the work." };
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
  for (std::size_t index = 0; index < shortlist.mCount; ++index) {
    const EndpointView& endpoint = *shortlist.mEndpoints[index];
    const double score = Score(endpoint, aQuery, context);
    if (aQuery.mSessionEndpoint == endpoint.mIndex) {
      preferred = score;
    }
    ties = best.mIndex && score == best.mScore ? ties + 1 : 1;
    const bool wins = !best.mIndex || score < best.mScore ||
                      (score == best.mScore && aRandom.Below(ties) == 0);
    if (wins) {
      best = { endpoint.mIndex, score, "Least expected time until served." };
    }
  }
  if (preferred && *preferred <= best.mScore * kSessionEndpointSlack) {
    return { aQuery.mSessionEndpoint,
             *preferred,
             "The session's last endpoint." };
  }
  return best;
}

} // namespace Acaciavale
