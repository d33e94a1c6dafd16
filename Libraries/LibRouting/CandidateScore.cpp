#include <LibRouting/CandidateScore.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

/// Weight of the first-token time from the settings, as a number of measured
/// answers.
constexpr double kPriorLatencyAnswers = 20;
/// Prior share of answers that are escalated to the next stage, and its weight
/// as a number of answers.
constexpr double kPriorEscalationShare = 0.3;
constexpr double kPriorEscalationAnswers = 20;
/// Error rate up to which errors do not reduce the quality of a version. Failed
/// answers are retried, and the loss of a failure domain must not make a
/// version look bad.
constexpr double kToleratedErrorShare = 0.1;
/// Number of successful answers assumed in the error rate as a prior.
constexpr double kPriorErrorAnswers = 20;
/// Assumed share of a stage's bad answers that are escalated to the next stage.
/// Stages are less confident of bad answers than of good ones.
constexpr double kPriorBadAnswersEscalated = 0.5;
/// Maximum weight, as a number of ratings, of the stages' own evidence in the
/// quality of their cascade.
constexpr double kMaxCascadePriorRatings = 20;

/// Counts of good ratings and of all ratings, actual and prior: the parameters
/// of a beta distribution.
struct RatingCounts
{
  double mGood = 0;
  double mRated = 0;

  double Mean() const { return mRated > 0 ? mGood / mRated : 0; }
};

/// Scores of a single stage.
struct StageScore
{
  Money mCost;
  RatingCounts mQuality;
  double mRatings = 0; ///< Number of actual ratings, without the prior.
  Duration mLatency{};
};

EvidenceCell CellOf(const EvidenceView& aEvidence, const EvidenceKey& aKey)
{
  const auto found = aEvidence.find(aKey);
  return found == aEvidence.end() ? EvidenceCell{} : found->second;
}

Duration RoundedSeconds(double aSeconds)
{
  return Duration(
    static_cast<Duration::rep>(std::llround(aSeconds * 1'000'000'000.0)));
}

double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

Duration LatencyOf(const VersionSettings& aVersion,
                   const EvidenceCell& aCell,
                   std::int64_t aOutputTokens)
{
  const double measured = std::max(0.0, aCell.mAnswers - aCell.mErrors);
  const double sum = aCell.mFirstTokenSeconds +
                     ToSeconds(aVersion.mFirstToken) * kPriorLatencyAnswers;
  return RoundedSeconds(sum / (measured + kPriorLatencyAnswers)) +
         aVersion.mPerToken * aOutputTokens;
}

/// Share of answers that count as bad because of errors.
double QualityLossFromErrors(const EvidenceCell& aCell)
{
  const double share = aCell.mErrors / (aCell.mAnswers + kPriorErrorAnswers);
  return std::max(0.0, share - kToleratedErrorShare);
}

StageScore ScoreStage(const CascadeStage& aStage,
                      const RequestProfile& aProfile,
                      const VersionView& aView)
{
  const VersionSettings& version =
    *FindVersion(aView.mSettings, aStage.mModel, aStage.mVersion);
  const EvidenceCell cell =
    CellOf(aView.mEvidence,
           EvidenceKey{ aStage.mModel, aStage.mVersion, aProfile.mKind });
  const auto priorWeight = static_cast<double>(version.mPriorWeight);
  StageScore score;
  score.mCost = Charge(version.mInputPrice, aProfile.mPromptTokens) +
                Charge(version.mOutputPrice, aProfile.mExpectedOutputTokens);
  score.mRatings = cell.mRated;
  score.mQuality.mRated = cell.mRated + priorWeight;
  score.mQuality.mGood = cell.mGood + version.mPriorQuality * priorWeight;
  score.mQuality.mGood *= 1 - QualityLossFromErrors(cell);
  score.mLatency = LatencyOf(version, cell, aProfile.mExpectedOutputTokens);
  return score;
}

/// Probability that an answer is escalated to the next stage.
double EscalationShare(const EvidenceCell& aCell)
{
  const double escalations =
    aCell.mEscalations + kPriorEscalationShare * kPriorEscalationAnswers;
  return std::min(1.0,
                  escalations / (aCell.mAnswers + kPriorEscalationAnswers));
}

EvidenceKey EvidenceKeyOf(const VersionCandidate& aCandidate,
                          const RequestProfile& aProfile)
{
  if (aCandidate.mStages.size() == 1) {
    const CascadeStage& stage = aCandidate.mStages.front();
    return EvidenceKey{ stage.mModel, stage.mVersion, aProfile.mKind };
  }
  return CascadeEvidenceKey(
    aProfile.mTarget, aCandidate.mStages, aProfile.mKind);
}

void SetQuality(VersionCandidate& aCandidate,
                const RatingCounts& aQuality,
                double aRatings)
{
  aCandidate.mRatings = aRatings;
  aCandidate.mQualityLowerBound = LowerBound(aQuality.mGood, aQuality.mRated);
  aCandidate.mQualityMean = aQuality.Mean();
  aCandidate.mQualityUpperBound = UpperBound(aQuality.mGood, aQuality.mRated);
}

/// Expected quality of the answers that a stage does not escalate.
double AcceptedQuality(const StageScore& aStage)
{
  return 1 - (1 - aStage.mQuality.Mean()) * (1 - kPriorBadAnswersEscalated);
}

/// Fills in the scores of a cascade. The prior of its quality is the mixture of
/// its stages' qualities; ratings of the cascade's own answers gradually
/// outweigh it.
void ScoreCascade(VersionCandidate& aCandidate,
                  const std::vector<StageScore>& aScores,
                  const EvidenceCell& aCell)
{
  const double escalation = EscalationShare(aCell);
  double reachedShare = 1;
  double cost = 0;
  double latency = 0;
  double mean = 0;
  double priorRatings = kMaxCascadePriorRatings;
  for (std::size_t index = 0; index < aScores.size(); ++index) {
    const StageScore& stage = aScores[index];
    const bool isLast = index + 1 == aScores.size();
    cost += reachedShare * static_cast<double>(stage.mCost.mMicros);
    latency += reachedShare * ToSeconds(stage.mLatency);
    mean += isLast ? reachedShare * stage.mQuality.Mean()
                   : reachedShare * (1 - escalation) * AcceptedQuality(stage);
    priorRatings = std::min(priorRatings, stage.mQuality.mRated);
    aCandidate.mMaxLatency += stage.mLatency;
    reachedShare *= escalation;
  }
  aCandidate.mExpectedCost = Money{ std::llround(std::ceil(cost)) };
  aCandidate.mExpectedLatency = RoundedSeconds(latency);
  SetQuality(aCandidate,
             RatingCounts{ aCell.mGood + mean * priorRatings,
                           aCell.mRated + priorRatings },
             aCell.mRated);
}

} // namespace

VersionCandidate Scored(VersionCandidate aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView)
{
  std::vector<StageScore> scores;
  scores.reserve(aCandidate.mStages.size());
  for (const CascadeStage& stage : aCandidate.mStages) {
    scores.push_back(ScoreStage(stage, aProfile, aView));
  }
  if (scores.size() > 1) {
    ScoreCascade(aCandidate,
                 scores,
                 CellOf(aView.mEvidence, EvidenceKeyOf(aCandidate, aProfile)));
    return aCandidate;
  }
  const StageScore& only = scores.front();
  aCandidate.mExpectedCost = only.mCost;
  aCandidate.mExpectedLatency = only.mLatency;
  aCandidate.mMaxLatency = only.mLatency;
  SetQuality(aCandidate, only.mQuality, only.mRatings);
  return aCandidate;
}

double QualityShortfall(const VersionCandidate& aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView,
                        double aQualityTarget)
{
  const EvidenceCell cell =
    CellOf(aView.mEvidence, EvidenceKeyOf(aCandidate, aProfile));
  return std::max(0.0, aQualityTarget * cell.mRated - cell.mGood);
}

} // namespace Acaciavale
