#include "Exchange.h"

#include <Acaciavale/LibRelay/OutputEstimate.h>

#include <algorithm>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Cost of a prompt token to the operator, relative to a generated token.
constexpr double kPromptTokenCostShare = 0.25;
/// Engine time of a generated token relative to a prompt token, in the typical
/// batches of the engines.
constexpr double kGeneratedTokenWork = 20;
/// Value of a generated token relative to a prompt token.
constexpr double kGeneratedTokenValue = 10;

} // namespace

AttemptWork Exchange::AttemptWorkFor(std::size_t aModel) const
{
  AttemptWork work;
  work.mModel =
    mRoute->mModels.empty() ? mRequest.mModel : mRoute->mModels[aModel];
  work.mPromptTokens = mRequest.mPromptTokens;
  work.mOutputTokens = ExpectedOutputTokens(mRequest.mOutputTokens,
                                            mRequest.mExpectedOutputTokens);
  work.mMemoryTokens = work.mPromptTokens + LikelyMaximumOutputTokens(
                                              mRequest.mOutputTokens,
                                              mRequest.mExpectedOutputTokens);
  if (mRequest.mParts.size() > 1) {
    // NOTE: Only this request or session uses the last part of the prompt.
    std::string shared = work.mModel;
    for (std::size_t part = 0; part + 1 < mRequest.mParts.size(); ++part) {
      work.mSharedPrefixTokens += mRequest.mParts[part].mTokens;
      shared += '/' + std::to_string(mRequest.mParts[part].mId);
    }
    work.mSharedPrefixHash = XXH3_64bits(shared.data(), shared.size());
  }
  return work;
}

ModelQuery Exchange::MakeModelQuery() const
{
  ModelQuery query;
  const Pool* const pool = FindPool(*mSettings, mPool);
  const auto outputTokens = static_cast<double>(ExpectedOutputTokens(
    mRequest.mOutputTokens, mRequest.mExpectedOutputTokens));
  const double thousandTokens =
    (outputTokens +
     kPromptTokenCostShare * static_cast<double>(mRequest.mPromptTokens)) /
    1000;
  const std::vector<double>& quality = mState->mOptions.mModelQuality;
  const std::size_t count = mRoute->mModels.size();
  for (std::size_t index = 0; index < count; ++index) {
    ModelView view;
    if (pool != nullptr) {
      for (const ModelOffer& offer : pool->mModels) {
        if (offer.mName == mRoute->mModels[index]) {
          view.mCost = offer.mCostPerThousandTokens * thousandTokens;
        }
      }
    }
    const std::size_t fromEnd = count - 1 - index;
    view.mQuality =
      fromEnd < quality.size() ? quality[quality.size() - 1 - fromEnd] : 0;
    const AttemptWork work = AttemptWorkFor(index);
    view.mFirstEventSeconds =
      mState->mRegistry.ExpectedFirstEventSeconds(mPool, work);
    view.mEngineSeconds =
      mState->mRegistry.LowQuartilePromptSeconds(mPool, work) *
      (1 + kGeneratedTokenWork * static_cast<double>(work.mOutputTokens) /
             std::max(1.0, static_cast<double>(work.mPromptTokens)));
    query.mModels.push_back(view);
  }
  query.mAttemptsLeft =
    mRoute->mMaxAttempts - static_cast<std::int64_t>(mAttempts.size());
  query.mEngineSecondPrice =
    EngineSecondPrice(mState->mRegistry.FirstEventGoalRatio(mPool),
                      mState->mOptions.mEngineSecondValue);
  query.mGoalSecondsLeft =
    InSeconds(mRoute->mFirstEventGoal - (MonotonicNow() - mArrivedAt));
  query.mAnswerValue = mState->mOptions.mAnswerValue *
                       (static_cast<double>(mRequest.mPromptTokens) +
                        kGeneratedTokenValue * outputTokens) /
                       1000;
  return query;
}

void Exchange::ChooseFirstModel()
{
  if (!mRoute->mModels.empty()) {
    mModel = ChooseModel(MakeModelQuery()).mIndex;
  }
}

} // namespace Acaciavale::Relay
