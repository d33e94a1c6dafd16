#include "Rows.h"
#include "Table.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <algorithm>
#include <cmath>
#include <deque>

/// Table row for roll-outs: bad answers of a version that degrades, compared
/// with a canary of fixed steps, and the share of good versions halted by
/// mistake.
namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kNewVersionShare = 0.1;
constexpr double kRatedShare = 0.1;
/// Delay until evidence has propagated through the fleet.
constexpr std::size_t kReportDelaySeconds = 3;
constexpr std::size_t kRatingDelaySeconds = 30;
/// Delay until every VM has received the halt.
constexpr std::size_t kHaltDelaySeconds = 2;
constexpr double kGoodErrorRate = 0.005;
constexpr double kGoodQuality = 0.9;
constexpr double kDegradedErrorRate = 0.3;
constexpr double kDegradedQuality = 0.7; ///< The quality target is 0.8.
constexpr std::size_t kDegradedAtSeconds = 600;
constexpr std::size_t kMaxRunSeconds = 14'400;
constexpr std::size_t kDegradedSeeds = 100;
constexpr std::size_t kGoodVersionSeeds = 400;
constexpr double kGoodVersionMaxSeconds = 7200;
/// The baseline canary evaluates the error rate and quality of each step at its
/// end.
constexpr std::size_t kCanaryStepSeconds = 1800;
constexpr std::size_t kShortCanaryStepSeconds = 600;
constexpr double kCanaryMaxErrorRate = 0.02;
constexpr double kCanaryMinQuality = 0.8;

/// True error rate and answer quality of a version.
struct TrueRates
{
  double mErrorRate = kGoodErrorRate;
  double mQuality = kGoodQuality;
};

/// Outcomes of the requests that one version served in one second.
struct TrafficSecond
{
  double mAnswers = 0;
  double mErrors = 0;
  double mRated = 0;
  double mGoodRated = 0;
  double mBadAnswers =
    0; ///< Errors and answers of poor quality, also if unrated.
};

TrafficSecond Serve(const TrueRates& aRates,
                    double aRequestsPerSecond,
                    Random& aRandom)
{
  TrafficSecond second;
  const auto count =
    static_cast<std::size_t>(std::floor(aRequestsPerSecond + aRandom.Unit()));
  for (std::size_t answer = 0; answer < count; ++answer) {
    second.mAnswers += 1;
    if (aRandom.Unit() < aRates.mErrorRate) {
      second.mErrors += 1;
      second.mBadAnswers += 1;
      continue;
    }
    const bool isGood = aRandom.Unit() < aRates.mQuality;
    second.mBadAnswers += isGood ? 0 : 1;
    if (aRandom.Unit() < kRatedShare) {
      second.mRated += 1;
      second.mGoodRated += isGood ? 1 : 0;
    }
  }
  return second;
}

/// Evidence of a version as the evaluator receives it: outcomes after
/// kReportDelaySeconds, ratings after kRatingDelaySeconds.
class DelayedEvidence
{
public:
  void Add(const TrafficSecond& aTraffic)
  {
    mSeconds.push_back(aTraffic);
    if (mSeconds.size() > kReportDelaySeconds) {
      const TrafficSecond& reported =
        mSeconds[mSeconds.size() - 1 - kReportDelaySeconds];
      mCell.mAnswers += reported.mAnswers;
      mCell.mErrors += reported.mErrors;
    }
    if (mSeconds.size() > kRatingDelaySeconds) {
      const TrafficSecond& reported =
        mSeconds[mSeconds.size() - 1 - kRatingDelaySeconds];
      mCell.mRated += reported.mRated;
      mCell.mGood += reported.mGoodRated;
    }
  }

  const EvidenceCell& Cell() const { return mCell; }

private:
  std::deque<TrafficSecond> mSeconds;
  EvidenceCell mCell;
};

EvidenceCell Since(const EvidenceCell& aNow, const EvidenceCell& aStart)
{
  EvidenceCell cell;
  cell.mAnswers = aNow.mAnswers - aStart.mAnswers;
  cell.mErrors = aNow.mErrors - aStart.mErrors;
  cell.mRated = aNow.mRated - aStart.mRated;
  cell.mGood = aNow.mGood - aStart.mGood;
  return cell;
}

/// Evaluates a roll-out once per second, as the rollout controller does.
class RolloutEvaluator
{
public:
  explicit RolloutEvaluator(const RolloutSettings& aRollout)
    : mRollout(aRollout)
  {
  }

  RolloutVerdict Evaluate(const EvidenceCell& aOld, const EvidenceCell& aNew)
  {
    mWatch = UpdateChangeDetector(mRollout, std::move(mWatch), aOld, aNew);
    if (EvaluateChangeDetector(mRollout, mWatch).mVerdict ==
        RolloutVerdict::Halt) {
      return RolloutVerdict::Halt;
    }
    const RolloutVerdict verdict = EvaluateRollout(mRollout,
                                                   Since(aOld, mOldAtStep),
                                                   Since(aNew, mNewAtStep))
                                     .mVerdict;
    if (verdict == RolloutVerdict::Advance) {
      mOldAtStep = aOld;
      mNewAtStep = aNew;
    }
    return verdict;
  }

private:
  const RolloutSettings& mRollout;
  RolloutChangeDetector mWatch;
  EvidenceCell mOldAtStep;
  EvidenceCell mNewAtStep;
};

/// Counts the bad answers of the new version from its degradation until the
/// roll-out is halted.
double BadAnswersUntilHalt(const TrueRates& aDegraded,
                           double aRequestsPerSecond,
                           std::uint64_t aSeed)
{
  RolloutSettings rollout;
  rollout.mSteps = { kNewVersionShare };
  Random random(aSeed);
  RolloutEvaluator evaluator(rollout);
  DelayedEvidence oldVersion;
  DelayedEvidence newVersion;
  double badAnswers = 0;
  std::size_t haltedAt = kMaxRunSeconds;
  for (std::size_t second = 0;
       second < std::min(kMaxRunSeconds, haltedAt + kHaltDelaySeconds);
       ++second) {
    const bool isDegraded = second >= kDegradedAtSeconds;
    const TrafficSecond traffic = Serve(isDegraded ? aDegraded : TrueRates{},
                                        aRequestsPerSecond * kNewVersionShare,
                                        random);
    badAnswers += isDegraded ? traffic.mBadAnswers : 0;
    newVersion.Add(traffic);
    oldVersion.Add(
      Serve(TrueRates{}, aRequestsPerSecond * (1 - kNewVersionShare), random));
    if (haltedAt == kMaxRunSeconds &&
        evaluator.Evaluate(oldVersion.Cell(), newVersion.Cell()) ==
          RolloutVerdict::Halt) {
      haltedAt = second;
    }
  }
  return badAnswers;
}

/// Counts the bad answers of the new version from its degradation, at a random
/// time within the first step, until the baseline canary stops it.
double BadAnswersUnderCanary(const TrueRates& aDegraded,
                             double aRequestsPerSecond,
                             std::size_t aStepSeconds,
                             std::uint64_t aSeed)
{
  Random random(aSeed);
  const std::size_t degradedAt = random.Below(aStepSeconds);
  DelayedEvidence newVersion;
  EvidenceCell evidenceAtStep;
  double badAnswers = 0;
  for (std::size_t second = 0; second < kMaxRunSeconds; ++second) {
    const bool isDegraded = second >= degradedAt;
    const TrafficSecond traffic = Serve(isDegraded ? aDegraded : TrueRates{},
                                        aRequestsPerSecond * kNewVersionShare,
                                        random);
    badAnswers += isDegraded ? traffic.mBadAnswers : 0;
    newVersion.Add(traffic);
    if ((second + 1) % aStepSeconds != 0) {
      continue;
    }
    const EvidenceCell step = Since(newVersion.Cell(), evidenceAtStep);
    evidenceAtStep = newVersion.Cell();
    if (step.mErrors > kCanaryMaxErrorRate * step.mAnswers ||
        step.mGood < kCanaryMinQuality * step.mRated) {
      break;
    }
  }
  return badAnswers;
}

bool IsGoodVersionHalted(double aRequestsPerSecond, std::uint64_t aSeed)
{
  RolloutSettings rollout;
  rollout.mSteps = { 0.01, 0.1, 0.5, 1 };
  Random random(aSeed);
  RolloutEvaluator evaluator(rollout);
  DelayedEvidence oldVersion;
  DelayedEvidence newVersion;
  std::size_t step = 0;
  for (double second = 0; second < kGoodVersionMaxSeconds; ++second) {
    const double share = rollout.mSteps[step];
    newVersion.Add(Serve({}, aRequestsPerSecond * share, random));
    oldVersion.Add(Serve({}, aRequestsPerSecond * (1 - share), random));
    const RolloutVerdict verdict =
      evaluator.Evaluate(oldVersion.Cell(), newVersion.Cell());
    if (verdict == RolloutVerdict::Halt) {
      return true;
    }
    if (verdict == RolloutVerdict::Advance) {
      step += 1;
    }
    if (step == rollout.mSteps.size()) {
      return false;
    }
  }
  return false;
}

void PrintDegradedVersion(const DeploymentSize& aSize,
                          double aRequestsPerSecond,
                          const TrueRates& aDegraded,
                          const std::string& aName)
{
  double ours = 0;
  double canary = 0;
  double shortCanary = 0;
  for (std::uint64_t seed = 1; seed <= kDegradedSeeds; ++seed) {
    ours +=
      BadAnswersUntilHalt(aDegraded, aRequestsPerSecond, seed) / kDegradedSeeds;
    canary += BadAnswersUnderCanary(
                aDegraded, aRequestsPerSecond, kCanaryStepSeconds, seed) /
              kDegradedSeeds;
    shortCanary +=
      BadAnswersUnderCanary(
        aDegraded, aRequestsPerSecond, kShortCanaryStepSeconds, seed) /
      kDegradedSeeds;
  }
  const std::string& size = aSize.mName;
  PrintFigure("rollout", size, aName + ", bad answers, ours", ours);
  PrintFigure("rollout",
              size,
              aName + ", bad / canary of 30 min steps",
              ours / canary,
              Bound::AtMost,
              0.1);
  PrintFigure("rollout",
              size,
              aName + ", bad / canary of 10 min steps",
              ours / shortCanary);
}

} // namespace

void MeasureRollout()
{
  constexpr double kRequestsPerReplica = 4.8;
  for (const DeploymentSize& size : DeploymentSizes()) {
    if (size.mReplicas > 100) {
      continue;
    }
    const double rate = kRequestsPerReplica * size.mReplicas;
    TrueRates failing;
    failing.mErrorRate = kDegradedErrorRate;
    TrueRates lowQuality;
    lowQuality.mQuality = kDegradedQuality;
    PrintDegradedVersion(size, rate, failing, "errors");
    PrintDegradedVersion(size, rate, lowQuality, "quality");
    double halted = 0;
    for (std::uint64_t seed = 1; seed <= kGoodVersionSeeds; ++seed) {
      halted += IsGoodVersionHalted(rate, seed) ? 1.0 / kGoodVersionSeeds : 0;
    }
    PrintFigure("rollout",
                size.mName,
                "good versions halted, share of 400 seeds",
                halted,
                Bound::AtMost,
                0.01);
  }
}

} // namespace Acaciavale::DecisionMeasure
