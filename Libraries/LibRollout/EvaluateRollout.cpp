#include <Acaciavale/LibRollout/RolloutProgress.h>

#include "BinomialTest.h"
#include "EvidenceDifference.h"

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

/// Probabilities of halting a good version over a whole roll-out. Their sum is
/// below 1 %.
constexpr double kErrorRisk = 0.003;
constexpr double kRatingRisk = 0.003;
constexpr double kExposureRisk = 0.001; ///< For errors and ratings each.
/// Minimum mean number of batches between two false alarms of a detector.
constexpr double kMinBatchesToFalseAlarm = 100'000;
/// Standard errors added to the old version's rate, because that rate is
/// estimated from a sample as well.
constexpr double kOldRateStandardErrors = 2;
/// Latency has no sequential test; a margin of this many standard errors
/// compensates for repeated evaluation.
constexpr double kLatencyStandardErrors = 4;
/// Maximum ratio of the standard deviation of the time to the first token to
/// its mean.
constexpr double kMaxLatencyVariation = 2;
constexpr double kMinLatencySamples = 50;
/// A step is not passed while LogMixture of errors or bad ratings exceeds this
/// value.
constexpr double kMaxLogMixtureToAdvance = 1;
/// Number of ratings of the new version required to pass a step, if the old
/// version has at least as many.
constexpr double kMinRatings = 20;

BinomialCount Errors(const EvidenceCell& aCell)
{
  return { aCell.mErrors, aCell.mAnswers };
}

BinomialCount BadRatings(const EvidenceCell& aCell)
{
  return { aCell.mRated - aCell.mGood, aCell.mRated };
}

double ErrorBound(const RolloutSettings& aRollout, const EvidenceCell& aOld)
{
  return UpperRate(Errors(aOld), kOldRateStandardErrors) +
         aRollout.mMaxErrorIncrease;
}

double RatingBound(const RolloutSettings& aRollout, const EvidenceCell& aOld)
{
  return UpperRate(BadRatings(aOld), kOldRateStandardErrors) +
         aRollout.mMaxQualityDrop;
}

double SuccessfulAnswers(const EvidenceCell& aCell)
{
  return aCell.mAnswers - aCell.mErrors;
}

/// Returns the logarithm of the ratio of the mean latencies, reduced by the
/// given number of standard errors, or 0 without enough samples.
double LogLatencyRatio(const EvidenceCell& aOld,
                       const EvidenceCell& aNew,
                       double aStandardErrors)
{
  const double oldAnswers = SuccessfulAnswers(aOld);
  const double newAnswers = SuccessfulAnswers(aNew);
  const bool hasSamples =
    oldAnswers >= kMinLatencySamples && newAnswers >= kMinLatencySamples &&
    aOld.mFirstTokenSeconds > 0 && aNew.mFirstTokenSeconds > 0;
  if (!hasSamples) {
    return 0;
  }
  const double ratio = (aNew.mFirstTokenSeconds / newAnswers) /
                       (aOld.mFirstTokenSeconds / oldAnswers);
  const double error =
    kMaxLatencyVariation * std::sqrt(1 / newAnswers + 1 / oldAnswers);
  return std::log(ratio) - aStandardErrors * error;
}

/// Estimated number of bad answers in excess of those that the old version
/// would have given.
double ExcessBadAnswers(const BinomialCount& aOld,
                        const BinomialCount& aNew,
                        double aAnswerCount)
{
  if (aNew.mTrials <= 0 || aOld.mTrials <= 0) {
    return 0;
  }
  // NOTE: Ratings cover only a sample of the answers, so their excess is
  //       extrapolated to all answers.
  const double scale = aAnswerCount / aNew.mTrials;
  return scale * (aNew.mBad - aNew.mTrials * aOld.mBad / aOld.mTrials);
}

/// Whether the exposure budget is exceeded. This also requires that the new
/// version is significantly worse, because a few bad ratings, extrapolated to
/// all answers, would otherwise exceed any budget.
bool ExceedsBudget(const BinomialCount& aOld,
                   const BinomialCount& aNew,
                   double aAnswerCount,
                   std::int64_t aBudget)
{
  return ExcessBadAnswers(aOld, aNew, aAnswerCount) >
           static_cast<double>(aBudget) &&
         LogMixture(aNew, UpperRate(aOld, kOldRateStandardErrors)) >
           -std::log(kExposureRisk);
}

/// Returns why the roll-out must be halted, or an empty string.
std::string ReasonToHalt(const RolloutSettings& aRollout,
                         const EvidenceCell& aOld,
                         const EvidenceCell& aNew)
{
  if (LogMixture(Errors(aNew), ErrorBound(aRollout, aOld)) >
      -std::log(kErrorRisk)) {
    return "The new version fails more often than allowed.";
  }
  if (LogMixture(BadRatings(aNew), RatingBound(aRollout, aOld)) >
      -std::log(kRatingRisk)) {
    return "The new version is rated worse than allowed.";
  }
  if (LogLatencyRatio(aOld, aNew, kLatencyStandardErrors) >
      std::log(aRollout.mMaxLatencyRatio)) {
    return "The new version is slower than allowed.";
  }
  const std::int64_t budget = aRollout.mExposureBudget;
  const bool spent =
    ExceedsBudget(Errors(aOld), Errors(aNew), aNew.mAnswers, budget) ||
    ExceedsBudget(
      BadRatings(aOld), BadRatings(aNew), SuccessfulAnswers(aNew), budget);
  return spent ? "The exposure budget is used up." : "";
}

double BadRate(const BinomialCount& aCount)
{
  return aCount.mTrials > 0 ? aCount.mBad / aCount.mTrials : 0;
}

/// Returns why the current step is not passed yet, or an empty string.
std::string ReasonToStay(const RolloutSettings& aRollout,
                         const EvidenceCell& aOld,
                         const EvidenceCell& aNew)
{
  if (aNew.mAnswers < static_cast<double>(aRollout.mMinimumSamples)) {
    return "The new version has too few answers yet.";
  }
  if (aOld.mRated >= kMinRatings && aNew.mRated < kMinRatings) {
    return "The new version has too few ratings yet.";
  }
  const bool doubtful =
    LogMixture(Errors(aNew), ErrorBound(aRollout, aOld)) >
      kMaxLogMixtureToAdvance ||
    LogMixture(BadRatings(aNew), RatingBound(aRollout, aOld)) >
      kMaxLogMixtureToAdvance;
  const bool worse =
    BadRate(Errors(aNew)) >
      BadRate(Errors(aOld)) + aRollout.mMaxErrorIncrease ||
    (aOld.mRated > 0 &&
     BadRate(BadRatings(aNew)) >
       BadRate(BadRatings(aOld)) + aRollout.mMaxQualityDrop) ||
    LogLatencyRatio(aOld, aNew, 0) > std::log(aRollout.mMaxLatencyRatio);
  return doubtful || worse ? "The evidence is not conclusive yet." : "";
}

bool IsAlarm(const std::vector<double>& aDetectors)
{
  return !aDetectors.empty() &&
         LogMeanExp(aDetectors) > std::log(kMinBatchesToFalseAlarm);
}

} // namespace

RolloutDecision EvaluateRollout(const RolloutSettings& aRollout,
                                const EvidenceCell& aOld,
                                const EvidenceCell& aNew)
{
  const std::string halt = ReasonToHalt(aRollout, aOld, aNew);
  if (!halt.empty()) {
    return { RolloutVerdict::Halt, halt };
  }
  const std::string stay = ReasonToStay(aRollout, aOld, aNew);
  if (!stay.empty()) {
    return { RolloutVerdict::Stay, stay };
  }
  return { RolloutVerdict::Advance,
           "The new version performs as well as the old version." };
}

RolloutChangeDetector UpdateChangeDetector(const RolloutSettings& aRollout,
                                           RolloutChangeDetector aDetector,
                                           const EvidenceCell& aOld,
                                           const EvidenceCell& aNew)
{
  const EvidenceCell batch = EvidenceDifference(aNew, aDetector.mProcessedNew);
  aDetector.mProcessedOld = aOld;
  aDetector.mProcessedNew = aNew;
  if (batch.mAnswers > 0) {
    aDetector.mErrorDetectors =
      UpdateDetectors(std::move(aDetector.mErrorDetectors),
                      Errors(batch),
                      ErrorBound(aRollout, aOld));
  }
  if (batch.mRated > 0) {
    aDetector.mRatingDetectors =
      UpdateDetectors(std::move(aDetector.mRatingDetectors),
                      BadRatings(batch),
                      RatingBound(aRollout, aOld));
  }
  return aDetector;
}

RolloutDecision EvaluateChangeDetector(const RolloutSettings&,
                                       const RolloutChangeDetector& aDetector)
{
  if (IsAlarm(aDetector.mErrorDetectors)) {
    return { RolloutVerdict::Halt,
             "The new version has started to fail more often than allowed." };
  }
  if (IsAlarm(aDetector.mRatingDetectors)) {
    return { RolloutVerdict::Halt, "The new version's ratings have dropped." };
  }
  return { RolloutVerdict::Stay, "No change is detected." };
}

RolloutView ViewOf(const RolloutSettings& aRollout,
                   const RolloutProgress& aProgress)
{
  RolloutView view;
  view.mModel = aRollout.mModel;
  view.mFrom = aRollout.mFrom;
  view.mTo = aRollout.mTo;
  view.mHalted = aProgress.mPhase == RolloutPhase::Halted;
  if (aProgress.mPhase == RolloutPhase::Done) {
    view.mShare = 1;
  } else if (!view.mHalted && !aRollout.mSteps.empty()) {
    // NOTE: A paused roll-out keeps its share, so that the distribution of
    //       sessions does not change.
    const std::size_t last = aRollout.mSteps.size() - 1;
    view.mShare = aRollout.mSteps[std::min(aProgress.mStep, last)];
  }
  return view;
}

} // namespace Acaciavale
