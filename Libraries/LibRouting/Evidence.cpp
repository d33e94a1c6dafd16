#include <Acaciavale/LibRouting/Evidence.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

/// Standard normal quantile for a one-sided bound at 95 % confidence.
constexpr double kOneSidedQuantile = 1.645;

/// Centre and half-width of the Wilson score interval.
struct WilsonInterval
{
  double mCentre = 0;
  double mHalfWidth = 0;
};

WilsonInterval IntervalFor(double aSuccesses, double aTrials)
{
  const double share = std::clamp(aSuccesses / aTrials, 0.0, 1.0);
  const double square = kOneSidedQuantile * kOneSidedQuantile;
  const double scale = 1 + square / aTrials;
  const double variance =
    share * (1 - share) / aTrials + square / (4 * aTrials * aTrials);
  return WilsonInterval{ (share + square / (2 * aTrials)) / scale,
                         kOneSidedQuantile * std::sqrt(variance) / scale };
}

} // namespace

EvidenceCell operator+(const EvidenceCell& aLeft, const EvidenceCell& aRight)
{
  EvidenceCell sum = aLeft;
  sum.mRated += aRight.mRated;
  sum.mGood += aRight.mGood;
  sum.mAnswers += aRight.mAnswers;
  sum.mErrors += aRight.mErrors;
  sum.mEscalations += aRight.mEscalations;
  sum.mFirstTokenSeconds += aRight.mFirstTokenSeconds;
  sum.mOutputTokens += aRight.mOutputTokens;
  return sum;
}

EvidenceCell Scaled(const EvidenceCell& aCell, double aFactor)
{
  EvidenceCell scaled = aCell;
  scaled.mRated *= aFactor;
  scaled.mGood *= aFactor;
  scaled.mAnswers *= aFactor;
  scaled.mErrors *= aFactor;
  scaled.mEscalations *= aFactor;
  scaled.mFirstTokenSeconds *= aFactor;
  scaled.mOutputTokens *= aFactor;
  return scaled;
}

double LowerBound(double aSuccesses, double aTrials)
{
  if (aTrials <= 0) {
    return 0;
  }
  const WilsonInterval interval = IntervalFor(aSuccesses, aTrials);
  return std::max(0.0, interval.mCentre - interval.mHalfWidth);
}

double UpperBound(double aSuccesses, double aTrials)
{
  if (aTrials <= 0) {
    return 1;
  }
  const WilsonInterval interval = IntervalFor(aSuccesses, aTrials);
  return std::min(1.0, interval.mCentre + interval.mHalfWidth);
}

EvidenceKey CascadeEvidenceKey(const std::string& aCascade,
                               const std::vector<CascadeStage>& aStages,
                               const std::string& aKind)
{
  EvidenceKey key{ aCascade, "", aKind };
  for (const CascadeStage& stage : aStages) {
    key.mVersion += key.mVersion.empty() ? "" : ">";
    key.mVersion += stage.mModel + "/" + stage.mVersion;
  }
  return key;
}

} // namespace Acaciavale
