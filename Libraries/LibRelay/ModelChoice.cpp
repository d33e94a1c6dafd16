#include <Acaciavale/LibRelay/ModelChoice.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Expected time to the first event, as shares of the goal, at which an answer
/// begins to be at risk of being late, and at which it is surely late. Times
/// to the first event spread about their mean by as much as the mean.
constexpr double kSafeShare = 0.5;
constexpr double kLateShare = 1.5;
/// FirstEventGoalRatio up to which an engine's second is free, and at which it
/// has its full price. First events wait for a tenth of their goals where
/// little else runs; at half of them, many are late.
constexpr double kFreeGoalRatio = 0.15;
constexpr double kFullPriceGoalRatio = 0.5;
/// Confidence at which an answer is as often good as not, and how far from it
/// one has to go until it is sure: fitted to the confidences of three models
/// whose shares of good answers were known
/// (docs/measurements/platform-days.md).
constexpr double kEvenOddsConfidence = 0.4;
constexpr double kConfidenceWidth = 0.09;

/// What an answer is worth that is there after the seconds given.
double ValueAfter(double aSeconds, const ModelQuery& aQuery)
{
  const double share =
    aQuery.mGoalSecondsLeft > 0 ? aSeconds / aQuery.mGoalSecondsLeft : 2;
  const double late =
    std::clamp((share - kSafeShare) / (kLateShare - kSafeShare), 0.0, 1.0);
  return aQuery.mAnswerValue * (1 - late * (1 - aQuery.mLateValueShare));
}

double PriceOf(const ModelView& aModel, const ModelQuery& aQuery)
{
  return aModel.mCost + aModel.mEngineSeconds * aQuery.mEngineSecondPrice;
}

/// Net value of asking the model first, and the largest one where the answer
/// turns out to be bad.
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
      best = { index, value, "Most expected value after its cost." };
    }
  }
  return best;
}

ModelDecision ChooseEscalation(const ModelQuery& aQuery,
                               std::size_t aAnswered,
                               double aConfidence)
{
  // NOTE: The answer that is there has been paid for and is in time.
  const double chance = GoodAnswerProbability(aConfidence);
  ModelDecision best{ aAnswered,
                      chance * ValueAfter(0, aQuery),
                      "The answer is sure enough." };
  for (std::size_t index = aAnswered + 1; index < aQuery.mModels.size();
       ++index) {
    const ModelView& model = aQuery.mModels[index];
    // NOTE: What is too hard for one model is likely so for one little larger:
    //       only the share that it does better counts.
    const double smaller = aQuery.mModels[aAnswered].mQuality;
    const double gained =
      smaller < 1 ? (model.mQuality - smaller) / (1 - smaller) : 0;
    const double quality = chance + (1 - chance) * std::max(0.0, gained);
    const double value =
      quality * ValueAfter(model.mFirstEventSeconds, aQuery) -
      PriceOf(model, aQuery);
    if (value > best.mNetValue) {
      best = { index, value, "A larger model is worth its cost." };
    }
  }
  return best;
}

} // namespace Acaciavale::Relay
