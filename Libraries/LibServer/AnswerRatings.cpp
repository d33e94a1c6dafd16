#include "AnswerRatings.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kRememberedAnswers = 16'384;
constexpr std::size_t kMaxToSend = 4096;

} // namespace

void AnswerRatings::Note(RateableAnswer aAnswer, std::vector<EvidenceKey> aKeys)
{
  const std::lock_guard guard(mLock);
  if (mToSend.size() >= kMaxToSend) {
    // NOTE: Ratings are a sample anyway; while the service is down, answers
    //       beyond the bound go unrated.
    return;
  }
  mOrder.push_back(aAnswer.mRequest);
  mKeys[aAnswer.mRequest] = std::move(aKeys);
  mToSend.push_back(std::move(aAnswer));
  while (mOrder.size() > kRememberedAnswers) {
    mKeys.erase(mOrder.front());
    mOrder.pop_front();
  }
}

void AnswerRatings::Exchange(const RatingClient& aClient,
                             EvidenceStore& aEvidence,
                             TimePoint aNow)
{
  std::vector<RateableAnswer> toSend;
  std::uint64_t after = 0;
  {
    const std::lock_guard guard(mLock);
    toSend.swap(mToSend);
    after = mLast;
  }
  if (!toSend.empty()) {
    // A lost batch costs ratings, never a wrong one.
    (void)aClient.SendAnswers(toSend);
  }
  const auto batch = aClient.FetchRatings(after);
  if (!batch) {
    return;
  }
  const std::lock_guard guard(mLock);
  mLast = batch->mLast;
  for (const Rating& rating : batch->mRatings) {
    TakeRating(rating, aEvidence, aNow);
  }
}

void AnswerRatings::TakeRating(const Rating& aRating,
                               EvidenceStore& aEvidence,
                               TimePoint aNow)
{
  const auto found = mKeys.find(aRating.mAnswer.mRequest);
  if (found == mKeys.end()) {
    return;
  }
  for (const EvidenceKey& key : found->second) {
    aEvidence.RecordRating(key, aRating.mGood, aNow);
  }
  mKeys.erase(found);
}

} // namespace Acaciavale
