#include <Acaciavale/LibRelay/ModelChoice.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Expected time to the first event, as a share of the goal, up to which an
/// answer is in time and from which it is late. In between, the probability of
/// being late rises linearly, because the standard deviation of the time to the
/// first event is about as large as its mean.
constexpr double kInTimeGoalShare = 0.5;
constexpr double kLateGoalShare = 1.5;
/// Goal ratio of the first event up to which an engine second is free, and from
/// which it has its full price. The ratio is a tenth on engines with little
/// other work; at a ratio of one half, many first events are late.
constexpr double kFreeGoalRatio = 0.15;
constexpr double kFullPriceGoalRatio = 0.5;
/// Midpoint and width of the logistic function from the confidence to the
/// probability of a good answer, fitted to three models with known shares of
/// good answers (docs/measurements/platform-days.md).
constexpr double kEvenOddsConfidence = 0.4;
constexpr double kConfidenceWidth = 0.09;

/// The expected value of a good answer with the first event after aSeconds.
double ValueAfter(double aSeconds, const ModelQuery& aQuery)
{
  const double share =
    aQuery.mGoalSecondsLeft > 0 ? aSeconds / aQuery.mGoalSecondsLeft : 2;
  const double late = std::clamp(
    (share - kInTimeGoalShare) / (kLateGoalShare - kInTimeGoalShare), 0.0, 1.0);
  return aQuery.mAnswerValue * (1 - late * (1 - aQuery.mLateValueShare));
}

double PriceOf(const ModelView& aModel, const ModelQuery& aQuery)
{
  return aModel.mCost + aModel.mEngineSeconds * aQuery.mEngineSecondPrice;
}

/// The expected net value of asking the model first, and the largest model
/// after a bad answer.
double NetValueIfFirst(const ModelQuery& aQuery, std::size_t aIndex)
{
  const ModelView& model = aQuery.mModels[aIndex];
  const ModelView& largest = aQuery.mModels.back();
  const double good =
    model.mQuality * ValueAfter(model.mFirstEventSeconds, aQuery);
  const double next =
    aIndex + 1 < aQuery.mModels.size() && aQuery.mAttemptsLeft > 1
      ? std::max(0.0,
                 largest.mQuality * ValueAfter(model.mFirstEventSeconds +
                                                 largest.mFirstEventSeconds,
                                               aQuery) -
                   PriceOf(largest, aQuery))
      : 0;
  return good + (1 - model.mQuality) * next - PriceOf(model, aQuery);
}

} // namespace

double EngineSecondPrice(double aGoalRatio, double aEngineSecondValue)
{
  return aEngineSecondValue *
         std::clamp((aGoalRatio - kFreeGoalRatio) /
                      (kFullPriceGoalRatio - kFreeGoalRatio),
                    0.0,
                    1.0);
}

double GoodAnswerProbability(double aConfidence)
{
  return 1 /
         (1 + std::exp((kEvenOddsConfidence - aConfidence) / kConfidenceWidth));
}

ModelDecision ChooseModel(const ModelQuery& aQuery)
{
  ModelDecision best{ 0, 0, "There is one model." };
  for (std::size_t index = 0; index < aQuery.mModels.size(); ++index) {
    const double value = NetValueIfFirst(aQuery, index);
    if (index == 0 || value > best.mNetValue) {
      best = { index, value, "Highest expected net value." };
    }
  }
  return best;
}

ModelDecision ChooseEscalation(const ModelQuery& aQuery,
                               std::size_t aAnswered,
                               double aConfidence)
{
  // NOTE: The existing answer has no further cost and is in time.
  const double chance = GoodAnswerProbability(aConfidence);
  ModelDecision best{ aAnswered,
                      chance * ValueAfter(0, aQuery),
                      "The confidence in the answer is sufficient." };
  for (std::size_t index = aAnswered + 1; index < aQuery.mModels.size();
       ++index) {
    const ModelView& model = aQuery.mModels[index];
    // NOTE: A request that is too hard for a model is likely too hard for a
    //       slightly larger one; only the difference in quality counts.
    const double smaller = aQuery.mModels[aAnswered].mQuality;
    const double gained =
      smaller < 1 ? (model.mQuality - smaller) / (1 - smaller) : 0;
    const double quality = chance + (1 - chance) * std::max(0.0, gained);
    const double value =
      quality * ValueAfter(model.mFirstEventSeconds, aQuery) -
      PriceOf(model, aQuery);
    if (value > best.mNetValue) {
      best = { index,
               value,
               "A larger model has a higher expected net value." };
    }
  }
  return best;
}

} // namespace Acaciavale::Relay
