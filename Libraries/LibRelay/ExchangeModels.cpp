#include "Exchange.h"

#include <algorithm>
#include <xxhash.h>

namespace Acaciavale::Relay {

namespace {

/// Tokens that count as much as one that is generated, by what reading and
/// generating cost the operator.
constexpr double kReadShare = 0.25;
/// A generated token's part of an engine's time against one that is read, in
/// the batches that the engines usually run.
constexpr double kGeneratedWork = 20;
/// A generated token's part of an answer's value against a token read.
constexpr double kGeneratedWorth = 10;

} // namespace

SendWork Exchange::WorkFor(std::size_t aModel) const
{
  SendWork work;
  work.mModel =
    mRoute->mModels.empty() ? mRequest.mModel : mRoute->mModels[aModel];
  work.mPromptTokens = mRequest.mPromptTokens;
  work.mOutputTokens = mRequest.mOutputTokens;
  if (mRequest.mParts.size() > 1) {
    // NOTE: The last part belongs to this request or session alone.
    std::string shared = work.mModel;
    for (std::size_t part = 0; part + 1 < mRequest.mParts.size(); ++part) {
      work.mSharedTokens += mRequest.mParts[part].mTokens;
      shared += '/' + std::to_string(mRequest.mParts[part].mId);
    }
    work.mSharedHash = XXH3_64bits(shared.data(), shared.size());
  }
  return work;
}

ModelQuery Exchange::ModelQueryNow() const
{
  ModelQuery query;
  const Pool* const pool = FindPool(*mSettings, mPool);
  const double thousands =
    (static_cast<double>(mRequest.mOutputTokens) +
     kReadShare * static_cast<double>(mRequest.mPromptTokens)) /
    1000;
  const std::vector<double>& quality = mState->mOptions.mModelQuality;
  const std::size_t count = mRoute->mModels.size();
  for (std::size_t index = 0; index < count; ++index) {
    ModelView view;
    if (pool != nullptr) {
      for (const ModelOffer& offer : pool->mModels) {
        if (offer.mName == mRoute->mModels[index]) {
          view.mCost = offer.mCostPerThousand * thousands;
        }
      }
    }
    const std::size_t fromEnd = count - 1 - index;
    view.mQuality =
      fromEnd < quality.size() ? quality[quality.size() - 1 - fromEnd] : 0;
    const SendWork work = WorkFor(index);
    view.mFirstSeconds = mState->mBook.UsualSeconds(mPool, work);
    view.mEngineSeconds =
      mState->mBook.QuickSeconds(mPool, work) *
      (1 + kGeneratedWork * static_cast<double>(work.mOutputTokens) /
             std::max(1.0, static_cast<double>(work.mPromptTokens)));
    query.mModels.push_back(view);
  }
  query.mSends =
    mRoute->mMaxAttempts - static_cast<std::int64_t>(mSends.size());
  query.mEnginePrice = EnginePrice(mState->mBook.Strain(mPool),
                                   mState->mOptions.mEngineSecondValue);
  query.mGoalSeconds = InSeconds(mRoute->mGoal - (MonotonicNow() - mArrived));
  query.mAnswerValue =
    mState->mOptions.mAnswerValue *
    (static_cast<double>(mRequest.mPromptTokens) +
     kGeneratedWorth * static_cast<double>(mRequest.mOutputTokens)) /
    1000;
  return query;
}

void Exchange::ChooseFirstModel()
{
  if (!mRoute->mModels.empty()) {
    mModel = ChooseModel(ModelQueryNow()).mIndex;
  }
}

} // namespace Acaciavale::Relay
