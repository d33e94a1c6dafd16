#include "Rows.h"
#include "Table.h"

#include <Acaciavale/LibRouting/EvidenceStore.h>
#include <Acaciavale/LibRouting/VersionChoice.h>

#include <algorithm>
#include <deque>
#include <limits>
#include <map>

/// Table row for the cost at the quality target: a mix of request kinds served
/// by three models of different prices and by cascades of them.
namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kQualityTarget = 0.85;
/// Requests per period of half an hour. The first period starts without any
/// evidence.
constexpr std::size_t kRequestsPerPeriod = 100'000;
constexpr std::size_t kPeriodCount = 2;
constexpr const char* kPeriodNames[kPeriodCount] = { "first 30 min",
                                                     "next 30 min" };
constexpr double kRequestsPerSecond = 58;
constexpr double kRatedShare = 0.1;
constexpr double kRatingDelaySeconds = 30;
constexpr double kSnapshotSeconds = 1;
constexpr std::int64_t kPromptTokens = 800;
constexpr std::int64_t kOutputTokens = 200;
/// Probability that a cascade stage is confident in an answer that is good, and
/// in one that is bad.
constexpr double kConfidentIfGood = 0.85;
constexpr double kConfidentIfBad = 0.15;

constexpr std::size_t kModelCount = 3;
constexpr const char* kModelNames[kModelCount] = { "small", "medium", "large" };
constexpr std::int64_t kMicrosPerMillionTokens[kModelCount] = { 500'000,
                                                                3'000'000,
                                                                10'000'000 };
constexpr double kPriorQualities[kModelCount] = { 0.75, 0.85, 0.92 };

/// Request kind with the true quality of each model for it.
struct Kind
{
  std::string mName;
  double mQuality[kModelCount];
};

struct Mix
{
  std::string mName;
  std::vector<Kind> mKinds;
};

const std::vector<Mix>& Mixes()
{
  static const std::vector<Mix> sMixes = {
    { "jadran",
      { { "summary", { 0.72, 0.88, 0.95 } },
        { "debrief", { 0.60, 0.82, 0.93 } },
        { "check", { 0.91, 0.95, 0.97 } } } },
    { "gebeta",
      { { "layout", { 0.45, 0.74, 0.92 } },
        { "fixture", { 0.87, 0.93, 0.96 } },
        { "label", { 0.93, 0.96, 0.98 } },
        { "quote", { 0.70, 0.86, 0.95 } } } },
  };
  return sMixes;
}

Settings MakeSettings()
{
  Settings settings;
  CascadeSettings cascade{ "assistant", {}, 0.8 };
  for (std::size_t model = 0; model < kModelCount; ++model) {
    VersionSettings version;
    version.mName = "1";
    version.mInputPrice = { kMicrosPerMillionTokens[model] };
    version.mOutputPrice = { kMicrosPerMillionTokens[model] };
    version.mPriorQuality = kPriorQualities[model];
    settings.mModels[kModelNames[model]] = { kModelNames[model], { version } };
    cascade.mStages.push_back({ kModelNames[model], "1" });
  }
  settings.mCascades["assistant"] = cascade;
  ClientAccountSettings account;
  account.mModels = { "assistant" };
  account.mQualityTarget = kQualityTarget;
  settings.mAccounts["a"] = account;
  return settings;
}

std::size_t ModelOf(const CascadeStage& aStage)
{
  std::size_t model = 0;
  while (aStage.mModel != kModelNames[model]) {
    ++model;
  }
  return model;
}

double CostMicrosOf(std::size_t aModel)
{
  return static_cast<double>(
    Charge({ kMicrosPerMillionTokens[aModel] }, kPromptTokens + kOutputTokens)
      .mMicros);
}

/// Expected cost and quality of consecutive cascade stages, computed from the
/// true qualities of the models.
struct ExpectedOutcome
{
  double mCostMicros = 0;
  double mQuality = 0;
};

ExpectedOutcome ExpectedOutcomeOf(const Kind& aKind,
                                  std::size_t aFirst,
                                  std::size_t aLast)
{
  ExpectedOutcome outcome;
  double reachProbability = 1;
  for (std::size_t model = aFirst; model <= aLast; ++model) {
    const double quality = aKind.mQuality[model];
    outcome.mCostMicros += reachProbability * CostMicrosOf(model);
    if (model == aLast) {
      outcome.mQuality += reachProbability * quality;
      break;
    }
    outcome.mQuality += reachProbability * quality * kConfidentIfGood;
    reachProbability *=
      1 - quality * kConfidentIfGood - (1 - quality) * kConfidentIfBad;
  }
  return outcome;
}

double OracleCostMicros(const Kind& aKind)
{
  double minCostMicros = CostMicrosOf(kModelCount - 1);
  for (std::size_t first = 0; first < kModelCount; ++first) {
    for (std::size_t last = first; last < kModelCount; ++last) {
      const ExpectedOutcome outcome = ExpectedOutcomeOf(aKind, first, last);
      if (outcome.mQuality >= kQualityTarget) {
        minCostMicros = std::min(minCostMicros, outcome.mCostMicros);
      }
    }
  }
  return minCostMicros;
}

struct KindTotals
{
  double mRequests = 0;
  double mGood = 0;
};

struct Rating
{
  double mDueAt = 0;
  EvidenceKey mKey;
  bool mGood = false;
};

struct CostResult
{
  double mCostMicros = 0;
  double mOracleCostMicros = 0;
  double mLargestModelCostMicros = 0;
  double mWorstKindQuality = 1;
};

class CostRun
{
public:
  CostRun(const Mix& aMix, std::uint64_t aSeed)
    : mMix(aMix)
    , mRandom(aSeed)
  {
  }

  std::vector<CostResult> Run()
  {
    std::vector<CostResult> periods;
    for (std::size_t period = 0; period < kPeriodCount; ++period) {
      mResult = {};
      mTotals.clear();
      RunPeriod(period * kRequestsPerPeriod);
      periods.push_back(mResult);
    }
    return periods;
  }

private:
  void RunPeriod(std::size_t aFirst)
  {
    for (std::size_t request = aFirst; request < aFirst + kRequestsPerPeriod;
         ++request) {
      mNow = static_cast<double>(request) / kRequestsPerSecond;
      ApplyDueRatings();
      const Kind& kind = mMix.mKinds[mRandom.Below(mMix.mKinds.size())];
      Serve(kind);
      mResult.mOracleCostMicros += OracleCostMicros(kind);
      mResult.mLargestModelCostMicros += CostMicrosOf(kModelCount - 1);
    }
    for (const auto& [name, totals] : mTotals) {
      mResult.mWorstKindQuality =
        std::min(mResult.mWorstKindQuality, totals.mGood / totals.mRequests);
    }
  }

  TimePoint Now() const
  {
    return TimePoint{} + std::chrono::duration_cast<Duration>(
                           std::chrono::duration<double>(mNow));
  }

  void ApplyDueRatings()
  {
    while (!mRatings.empty() && mRatings.front().mDueAt <= mNow) {
      mStore.RecordRating(mRatings.front().mKey, mRatings.front().mGood, Now());
      mRatings.pop_front();
    }
    if (mNow >= mNextSnapshot) {
      mEvidence = mStore.Snapshot(Now());
      mNextSnapshot = mNow + kSnapshotSeconds;
    }
  }

  void Serve(const Kind& aKind)
  {
    RequestProfile profile;
    profile.mAccount = "a";
    profile.mTarget = "assistant";
    profile.mKind = aKind.mName;
    profile.mPromptTokens = kPromptTokens;
    profile.mExpectedOutputTokens = kOutputTokens;
    const VersionView view{ mSettings, mEvidence, mRollouts, mLoaded };
    const VersionDecision decision = ChooseVersion(profile, view, mRandom);
    bool isGood = false;
    std::size_t executedStages = 0;
    for (const CascadeStage& stage : decision.mStages) {
      const std::size_t model = ModelOf(stage);
      mResult.mCostMicros += CostMicrosOf(model);
      executedStages += 1;
      isGood = mRandom.Unit() < aKind.mQuality[model];
      if (mRandom.Unit() < (isGood ? kConfidentIfGood : kConfidentIfBad)) {
        break;
      }
    }
    KindTotals& totals = mTotals[aKind.mName];
    totals.mRequests += 1;
    totals.mGood += isGood ? 1 : 0;
    Record(decision, aKind, executedStages, isGood);
  }

  void Record(const VersionDecision& aDecision,
              const Kind& aKind,
              std::size_t aExecutedStages,
              bool aGood)
  {
    EvidenceKey key{ aDecision.mStages[0].mModel, "1", aKind.mName };
    AnswerEvidence answer;
    if (aDecision.mStages.size() > 1) {
      key = CascadeEvidenceKey("assistant", aDecision.mStages, aKind.mName);
      answer.mEscalated = aExecutedStages > 1;
    }
    mStore.RecordAnswer(key, answer, Now());
    if (mRandom.Unit() < kRatedShare) {
      mRatings.push_back({ mNow + kRatingDelaySeconds, key, aGood });
    }
  }

  const Mix& mMix;
  Random mRandom;
  const Settings mSettings = MakeSettings();
  const std::vector<RolloutView> mRollouts;
  const std::vector<CascadeStage> mLoaded =
    mSettings.mCascades.at("assistant").mStages;
  EvidenceStore mStore;
  EvidenceView mEvidence;
  std::deque<Rating> mRatings;
  std::map<std::string, KindTotals> mTotals;
  double mNow = 0;
  double mNextSnapshot = 0;
  CostResult mResult;
};

double WorstQualityOfSmallestModel(const Mix& aMix)
{
  double worst = 1;
  for (const Kind& kind : aMix.mKinds) {
    worst = std::min(worst, kind.mQuality[0]);
  }
  return worst;
}

} // namespace

namespace {

void PrintPeriod(const std::string& aSize,
                 const std::string& aPeriod,
                 const CostResult& aSum)
{
  PrintFigure("cost",
              aSize,
              "cost / always best, " + aPeriod,
              aSum.mCostMicros / aSum.mLargestModelCostMicros,
              Bound::AtMost,
              0.5);
  PrintFigure("cost",
              aSize,
              "cost / oracle, " + aPeriod,
              aSum.mCostMicros / aSum.mOracleCostMicros,
              Bound::AtMost,
              1.1);
  PrintFigure("cost",
              aSize,
              "good share, worst kind and seed, " + aPeriod,
              aSum.mWorstKindQuality,
              Bound::AtLeast,
              kQualityTarget);
  PrintFigure("cost",
              aSize,
              "oracle / always best, " + aPeriod,
              aSum.mOracleCostMicros / aSum.mLargestModelCostMicros);
}

void MeasureMix(const Mix& aMix)
{
  std::vector<CostResult> sums(kPeriodCount);
  for (const std::uint64_t seed : kSeeds) {
    const std::vector<CostResult> periods = CostRun(aMix, seed).Run();
    for (std::size_t period = 0; period < kPeriodCount; ++period) {
      CostResult& sum = sums[period];
      sum.mCostMicros += periods[period].mCostMicros;
      sum.mOracleCostMicros += periods[period].mOracleCostMicros;
      sum.mLargestModelCostMicros += periods[period].mLargestModelCostMicros;
      sum.mWorstKindQuality =
        std::min(sum.mWorstKindQuality, periods[period].mWorstKindQuality);
    }
  }
  for (std::size_t period = 0; period < kPeriodCount; ++period) {
    PrintPeriod(aMix.mName, kPeriodNames[period], sums[period]);
  }
  PrintFigure("cost",
              aMix.mName,
              "always cheapest / always best",
              CostMicrosOf(0) / CostMicrosOf(kModelCount - 1));
  PrintFigure("cost",
              aMix.mName,
              "good share, always cheapest, worst kind",
              WorstQualityOfSmallestModel(aMix));
}

} // namespace

void MeasureCost()
{
  for (const Mix& mix : Mixes()) {
    MeasureMix(mix);
  }
}

} // namespace Acaciavale::DecisionMeasure
