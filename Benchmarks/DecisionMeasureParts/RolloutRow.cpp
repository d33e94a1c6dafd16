#include "Rows.h"
#include "Table.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <algorithm>
#include <cmath>
#include <deque>

/// The row on roll-outs: a version that turns bad, against a canary of fixed
/// steps, and good versions that are halted all the same.
namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kShare = 0.1;
constexpr double kRatedShare = 0.1;
constexpr std::size_t kReportDelaySeconds = 3; ///< Evidence over the fleet.
constexpr std::size_t kRatingDelaySeconds = 30;
constexpr std::size_t kHaltDelaySeconds = 2; ///< Until every VM knows.
constexpr double kGoodErrors = 0.005;
constexpr double kGoodQuality = 0.9;
constexpr double kTurnedErrors = 0.3;
constexpr double kTurnedQuality = 0.7; ///< Against a target of 0.8.
constexpr std::size_t kTurnSeconds = 600;
constexpr std::size_t kLongestSeconds = 14'400;
constexpr std::size_t kTurnSeeds = 100;
constexpr std::size_t kGoodSeeds = 400;
constexpr double kGoodSeconds = 7200;
/// The canary looks at the end of each step and goes by the shares of it.
constexpr std::size_t kCanaryStepSeconds = 1800;
constexpr std::size_t kShortCanaryStepSeconds = 600;
constexpr double kCanaryMaxErrors = 0.02;
constexpr double kCanaryMinQuality = 0.8;

/// How often a version fails or answers well.
struct Truth
{
  double mErrors = kGoodErrors;
  double mQuality = kGoodQuality;
};

/// One second of one version's answers.
struct Second
{
  double mAnswers = 0;
  double mErrors = 0;
  double mRated = 0;
  double mGoodRated = 0;
  double mBad = 0; ///< Failed or not good, rated or not.
};

Second Serve(const Truth& aTruth, double aRate, Random& aRandom)
{
  Second second;
  const auto count =
    static_cast<std::size_t>(std::floor(aRate + aRandom.Unit()));
  for (std::size_t answer = 0; answer < count; ++answer) {
    second.mAnswers += 1;
    if (aRandom.Unit() < aTruth.mErrors) {
      second.mErrors += 1;
      second.mBad += 1;
      continue;
    }
    const bool isGood = aRandom.Unit() < aTruth.mQuality;
    second.mBad += isGood ? 0 : 1;
    if (aRandom.Unit() < kRatedShare) {
      second.mRated += 1;
      second.mGoodRated += isGood ? 1 : 0;
    }
  }
  return second;
}

/// A version's evidence as it reaches the judge: late, ratings later.
class DelayedEvidence
{
public:
  void Add(const Second& aSecond)
  {
    mSeconds.push_back(aSecond);
    if (mSeconds.size() > kReportDelaySeconds) {
      const Second& seen = mSeconds[mSeconds.size() - 1 - kReportDelaySeconds];
      mCell.mAnswers += seen.mAnswers;
      mCell.mErrors += seen.mErrors;
    }
    if (mSeconds.size() > kRatingDelaySeconds) {
      const Second& seen = mSeconds[mSeconds.size() - 1 - kRatingDelaySeconds];
      mCell.mRated += seen.mRated;
      mCell.mGood += seen.mGoodRated;
    }
  }

  const EvidenceCell& Cell() const { return mCell; }

private:
  std::deque<Second> mSeconds;
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

/// The judge of a roll-out as the controller runs it, once a second.
class Judge
{
public:
  explicit Judge(const RolloutSettings& aRollout)
    : mRollout(aRollout)
  {
  }

  RolloutVerdict Look(const EvidenceCell& aOld, const EvidenceCell& aNew)
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

/// Bad answers of the new version after it turned, until it is halted.
double BadAfterTurn(const Truth& aTurned, double aRate, std::uint64_t aSeed)
{
  RolloutSettings rollout;
  rollout.mSteps = { kShare };
  Random random(aSeed);
  Judge judge(rollout);
  DelayedEvidence old;
  DelayedEvidence next;
  double bad = 0;
  std::size_t haltedAt = kLongestSeconds;
  for (std::size_t second = 0;
       second < std::min(kLongestSeconds, haltedAt + kHaltDelaySeconds);
       ++second) {
    const bool isTurned = second >= kTurnSeconds;
    const Second served =
      Serve(isTurned ? aTurned : Truth{}, aRate * kShare, random);
    bad += isTurned ? served.mBad : 0;
    next.Add(served);
    old.Add(Serve(Truth{}, aRate * (1 - kShare), random));
    if (haltedAt == kLongestSeconds &&
        judge.Look(old.Cell(), next.Cell()) == RolloutVerdict::Halt) {
      haltedAt = second;
    }
  }
  return bad;
}

/// The same under a canary that turns bad at a random moment of its step.
double BadUnderCanary(const Truth& aTurned,
                      double aRate,
                      std::size_t aStepSeconds,
                      std::uint64_t aSeed)
{
  Random random(aSeed);
  const std::size_t turn = random.Below(aStepSeconds);
  DelayedEvidence next;
  EvidenceCell atStep;
  double bad = 0;
  for (std::size_t second = 0; second < kLongestSeconds; ++second) {
    const bool isTurned = second >= turn;
    const Second served =
      Serve(isTurned ? aTurned : Truth{}, aRate * kShare, random);
    bad += isTurned ? served.mBad : 0;
    next.Add(served);
    if ((second + 1) % aStepSeconds != 0) {
      continue;
    }
    const EvidenceCell step = Since(next.Cell(), atStep);
    atStep = next.Cell();
    if (step.mErrors > kCanaryMaxErrors * step.mAnswers ||
        step.mGood < kCanaryMinQuality * step.mRated) {
      break;
    }
  }
  return bad;
}

bool IsGoodVersionHalted(double aRate, std::uint64_t aSeed)
{
  RolloutSettings rollout;
  rollout.mSteps = { 0.01, 0.1, 0.5, 1 };
  Random random(aSeed);
  Judge judge(rollout);
  DelayedEvidence old;
  DelayedEvidence next;
  std::size_t step = 0;
  for (double second = 0; second < kGoodSeconds; ++second) {
    const double share = rollout.mSteps[step];
    next.Add(Serve({}, aRate * share, random));
    old.Add(Serve({}, aRate * (1 - share), random));
    const RolloutVerdict verdict = judge.Look(old.Cell(), next.Cell());
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

void PrintTurn(const Size& aSize,
               double aRate,
               const Truth& aTurned,
               const std::string& aName)
{
  double ours = 0;
  double canary = 0;
  double shortCanary = 0;
  for (std::uint64_t seed = 1; seed <= kTurnSeeds; ++seed) {
    ours += BadAfterTurn(aTurned, aRate, seed) / kTurnSeeds;
    canary +=
      BadUnderCanary(aTurned, aRate, kCanaryStepSeconds, seed) / kTurnSeeds;
    shortCanary +=
      BadUnderCanary(aTurned, aRate, kShortCanaryStepSeconds, seed) /
      kTurnSeeds;
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
  for (const Size& size : Sizes()) {
    if (size.mReplicas > 100) {
      continue;
    }
    const double rate = kRequestsPerReplica * size.mReplicas;
    Truth failing;
    failing.mErrors = kTurnedErrors;
    Truth poor;
    poor.mQuality = kTurnedQuality;
    PrintTurn(size, rate, failing, "errors");
    PrintTurn(size, rate, poor, "quality");
    double halted = 0;
    for (std::uint64_t seed = 1; seed <= kGoodSeeds; ++seed) {
      halted += IsGoodVersionHalted(rate, seed) ? 1.0 / kGoodSeeds : 0;
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
