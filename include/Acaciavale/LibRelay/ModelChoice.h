#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Chooses among the models of a route for requests that leave the choice to
/// the router.
namespace Acaciavale::Relay {

/// A candidate model with its expected cost, quality and latency for one
/// request. Candidates are ordered from the smallest model to the largest.
struct ModelView
{
  double mCost = 0;    ///< Cost of a whole answer, in the operator's currency.
  double mQuality = 1; ///< Expected share of good answers, 0 to 1.
  double mFirstEventSeconds = 0; ///< Expected time to the first event.
  double mEngineSeconds = 0;     ///< Engine time that the answer uses.

  auto operator<=>(const ModelView&) const = default;
};

struct ModelQuery
{
  std::vector<ModelView> mModels;
  double mGoalSecondsLeft = 1;  ///< Time until the first event is late.
  double mAnswerValue = 1;      ///< Value of a good answer in time, as mCost.
  double mLateValueShare = 0.3; ///< Share of its value that a late answer has.
  std::int64_t mAttemptsLeft = 1; ///< Attempts that the request may still make.
  double mEngineSecondPrice = 0;  ///< Cost to other requests per engine second.

  auto operator<=>(const ModelQuery&) const = default;
};

struct ModelDecision
{
  std::size_t mIndex = 0; ///< Index in ModelQuery::mModels.
  double mNetValue = 0;
  std::string_view mReason;

  auto operator<=>(const ModelDecision&) const = default;
};

/// The price of an engine second at a first event goal ratio (see
/// EndpointRegistry). It is 0 while engines have spare capacity and rises up to
/// aEngineSecondValue, the value of the average request per engine second.
double EngineSecondPrice(double aGoalRatio, double aEngineSecondValue);

/// The probability that an answer is good, given its model's confidence in it,
/// 0 to 1.
double GoodAnswerProbability(double aConfidence);

/// Chooses the model for the first attempt: the one with the highest expected
/// value minus cost, given that the largest model is asked after a bad answer.
/// When demand exceeds the engine capacity for the large model, its expected
/// latency grows until a smaller model has the higher net value.
ModelDecision ChooseModel(const ModelQuery& aQuery);

/// Decides whether to discard an answer that has not been forwarded to the
/// caller and to ask a larger model. aConfidence is the model's confidence in
/// its answer. The returned index is that of the larger model, or aAnswered to
/// keep the answer.
ModelDecision ChooseEscalation(const ModelQuery& aQuery,
                               std::size_t aAnswered,
                               double aConfidence);

} // namespace Acaciavale::Relay
