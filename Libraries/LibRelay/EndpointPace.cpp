#include <Acaciavale/LibRelay/EndpointPace.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Smallest gap between the figures of a pair. Figures that are closer may be
/// one figure that also came from another VM, with the latency in its age.
constexpr double kMinimumGapSeconds = 0.02;
/// Weight of the earlier pairs when a new one is added: a window of about 200
/// pairs, so that the estimate follows a change within minutes on a VM that
/// hears from an endpoint a few times per second.
constexpr double kPairMemory = 0.995;
/// Sum of squared deviations from which a group of pairs counts: five pairs
/// that begin at a pace of 2. Normal paces show nothing about how long others
/// last.
constexpr double kMinimumSquares = 5 * 0.48;
/// Limits on the share of a deviation that is left, as the logarithm of shares
/// near 0 or 1 depends on a few pairs.
constexpr double kMinimumShare = 0.05;
constexpr double kMaximumShare = 0.95;
/// Upper limit of the half-life. Endpoint::mSlowness covers what lasts longer.
/// The lower limit is kInitialPaceHalfLife.
constexpr double kMaximumHalfLifeSeconds = 8;

std::size_t GroupOf(double aGapSeconds)
{
  const double doublings = std::log2(aGapSeconds / kMinimumGapSeconds);
  return std::min(static_cast<std::size_t>(std::max(0.0, doublings)),
                  PaceHistory::kGaps - 1);
}

Duration EstimateHalfLife(const PaceHistory& aHistory)
{
  double weights = 0;
  double logarithms = 0;
  for (const PacePairs& pairs : aHistory.mPairs) {
    if (pairs.mSquares < kMinimumSquares) {
      continue;
    }
    const double share = std::clamp(
      pairs.mProducts / pairs.mSquares, kMinimumShare, kMaximumShare);
    const double halvings = -std::log2(share);
    const double seconds = pairs.mGapSeconds / pairs.mSquares / halvings;
    // NOTE: The squared derivative of the share by the logarithm of the
    //       half-life: gaps near the half-life show it best.
    const double weight =
      pairs.mSquares * (halvings * share) * (halvings * share);
    weights += weight;
    logarithms += weight * std::log(seconds);
  }
  if (weights == 0) {
    return kInitialPaceHalfLife;
  }
  return FromSeconds(std::clamp(std::exp(logarithms / weights),
                                InSeconds(kInitialPaceHalfLife),
                                kMaximumHalfLifeSeconds));
}

} // namespace

PaceHistory WithPair(PaceHistory aHistory,
                     double aEarlierPace,
                     double aLaterPace,
                     Duration aGap)
{
  const double gap = InSeconds(aGap);
  const double earlier = std::log(aEarlierPace);
  const double square = earlier * earlier;
  PacePairs& pairs = aHistory.mPairs.at(GroupOf(gap));
  pairs.mSquares = kPairMemory * pairs.mSquares + square;
  pairs.mProducts =
    kPairMemory * pairs.mProducts + earlier * std::log(aLaterPace);
  pairs.mGapSeconds = kPairMemory * pairs.mGapSeconds + square * gap;
  aHistory.mHalfLife = EstimateHalfLife(aHistory);
  return aHistory;
}

EndpointPace WithFigure(EndpointPace aPace,
                        double aFigure,
                        TimePoint aReportedAt,
                        PaceHistory& aHistory)
{
  if (aPace.mPace && aReportedAt <= aPace.mReportedAt) {
    return aPace;
  }
  aPace.mPace = aFigure;
  aPace.mReportedAt = aReportedAt;
  const Duration gap = aReportedAt - aPace.mPairReportedAt;
  if (aPace.mPairPace && InSeconds(gap) < kMinimumGapSeconds) {
    return aPace;
  }
  if (aPace.mPairPace) {
    aHistory = WithPair(aHistory, *aPace.mPairPace, aFigure, gap);
  }
  aPace.mPairPace = aFigure;
  aPace.mPairReportedAt = aReportedAt;
  return aPace;
}

double PaceFactor(const EndpointPace& aPace,
                  const PaceHistory& aHistory,
                  TimePoint aNow)
{
  if (!aPace.mPace) {
    return 1;
  }
  const double age = std::max(0.0, InSeconds(aNow - aPace.mReportedAt));
  const double remainingShare = std::exp2(-age / InSeconds(aHistory.mHalfLife));
  return std::pow(*aPace.mPace, remainingShare);
}

} // namespace Acaciavale::Relay
