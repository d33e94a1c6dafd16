#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

/// Which of a route's models answers, where the choice is the router's.
namespace Acaciavale::Relay {

/// A model as the choice sees it; all of one request, smallest first.
struct ModelView
{
  double mCost = 0;    ///< Of the whole answer, in the operator's money.
  double mQuality = 1; ///< Expected share of good answers.
  double mFirstEventSeconds = 0; ///< Expected, to its first event.
  double mEngineSeconds = 0;     ///< That it keeps an engine from other work.

  auto operator<=>(const ModelView&) const = default;
};

struct ModelQuery
{
  std::vector<ModelView> mModels;
  double mGoalSecondsLeft = 1;    ///< Left until the first event is late.
  double mAnswerValue = 1;        ///< Of a good answer in time, in money.
  double mLateValueShare = 0.3;   ///< What a late answer keeps of its value.
  std::int64_t mAttemptsLeft = 1; ///< That the request may still take.
  double mEngineSecondPrice = 0;  ///< Of an engine's second: what others lose.

  auto operator<=>(const ModelQuery&) const = default;
};

struct ModelDecision
{
  std::size_t mIndex = 0;
  double mNetValue = 0;
  std::string_view mReason;

  auto operator<=>(const ModelDecision&) const = default;
};

/// The price of an engine's second at a strain (EndpointRegistry). Nothing
/// where engines have time to spare; from there it rises to what requests of
/// the usual mix are worth for each second that an engine works on them.
double EngineSecondPrice(double aGoalRatio, double aEngineSecondValue);

/// The chance that an answer is good of which its model is that sure, 0 to 1.
double GoodAnswerProbability(double aConfidence);

/// The model to ask first, with the most expected value after its cost, where a
/// bad answer is dropped and the largest model asked. Answers the pattern
/// "more asked than the large model's engines can give": its expected time
/// grows until a smaller one is worth more.
ModelDecision ChooseModel(const ModelQuery& aQuery);

/// Whether to drop an answer of which the caller has nothing yet, and ask a
/// larger model: the confidence is the model's own opinion of its answer.
/// The index is the larger model, or the one that has answered.
ModelDecision ChooseEscalation(const ModelQuery& aQuery,
                               std::size_t aAnswered,
                               double aConfidence);

} // namespace Acaciavale::Relay
