#include <Acaciavale/LibRelay/ModelChoice.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Expected time to the first event, as shares of the goal, at which an answer
/// begins to be at risk of being late, and at which it is surely late. Times
/// to the first event spread about their mean by as much as the mean.
constexpr double kSafeShare = 0.5;
constexpr double kLateShare = 1.5;

double ValueOf(const ModelView& aModel,
               const ModelQuery& aQuery,
               double aQuality)
{
  const double share =
    aQuery.mGoalSeconds > 0 ? aModel.mFirstSeconds / aQuery.mGoalSeconds : 2;
  const double late =
    std::clamp((share - kSafeShare) / (kLateShare - kSafeShare), 0.0, 1.0);
  const double kept = 1 - late * (1 - aQuery.mLateShare);
  return aQuality * kept * aQuery.mAnswerValue - aModel.mCost;
}

} // namespace

ModelDecision ChooseModel(const ModelQuery& aQuery)
{
  ModelDecision best{ 0, 0, "There is one model." };
  for (std::size_t index = 0; index < aQuery.mModels.size(); ++index) {
    const ModelView& model = aQuery.mModels[index];
    const double value = ValueOf(model, aQuery, model.mQuality);
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
  ModelDecision best{ aAnswered,
                      aConfidence * aQuery.mAnswerValue,
                      "The answer is sure enough." };
  for (std::size_t index = aAnswered + 1; index < aQuery.mModels.size();
       ++index) {
    const ModelView& model = aQuery.mModels[index];
    const double value =
      ValueOf(model, aQuery, std::max(model.mQuality, aConfidence));
    if (value > best.mNetValue) {
      best = { index, value, "A larger model is worth its cost." };
    }
  }
  return best;
}

} // namespace Acaciavale::Relay
