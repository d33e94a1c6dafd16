#include <LibRouting/CandidateScore.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

namespace {

/// Answers that a latency from the settings counts for against measured ones.
constexpr double kPriorLatencyAnswers = 20;
/// Share of answers that go on to the next stage, before any were seen.
constexpr double kPriorEscalationShare = 0.3;
constexpr double kPriorEscalationAnswers = 20;
/// Failed answers are retried; only a share above this one counts as missing
/// quality, so that a lost failure domain does not make a version look bad.
constexpr double kToleratedErrorShare = 0.1;
constexpr double kPriorErrorAnswers = 20;
/// Most ratings that the stages' own evidence counts for in their cascade.
/// Share of a stage's bad answers that go on to the next one, before any were
/// seen: a stage is less sure of a bad answer than of a good one.
constexpr double kPriorBadAnswersEscalated = 0.5;
constexpr double kMaxCascadePriorRatings = 20;

/// Ratings, seen or assumed: a beta distribution by its two counts.
struct RatingCounts
{
  double mGood = 0;
  double mRated = 0;

  double Mean() const { return mRated > 0 ? mGood / mRated : 0; }
};

/// One stage by itself.
struct StageScore
{
  Money mCost;
  RatingCounts mQuality;
  double mRatings = 0; ///< Seen, the prior not counted.
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

/// Likelihood that the next stage runs after this one.
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

/// Quality of the answers that a stage keeps, before any were rated.
double AcceptedQuality(const StageScore& aStage)
{
  return 1 - (1 - aStage.mQuality.Mean()) * (1 - kPriorBadAnswersEscalated);
}

/// A cascade's quality starts from the mixture of its stages and moves to what
/// its own rated answers say.
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
