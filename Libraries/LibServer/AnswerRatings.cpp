#include "AnswerRatings.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kRememberedAnswers = 16'384;
constexpr std::size_t kMaxToSend = 4096;

} // namespace

void AnswerRatings::Note(RateableAnswer aAnswer, RatedFor aFor)
{
  const std::lock_guard guard(mLock);
  if (mToSend.size() >= kMaxToSend) {
    // NOTE: Ratings are a sample anyway; while the service is down, answers
    //       beyond the bound go unrated.
    return;
  }
  mOrder.push_back(aAnswer.mRequest);
  mRatedFor[aAnswer.mRequest] = std::move(aFor);
  mToSend.push_back(std::move(aAnswer));
  while (mOrder.size() > kRememberedAnswers) {
    mRatedFor.erase(mOrder.front());
    mOrder.pop_front();
  }
}

void AnswerRatings::Exchange(const RatingClient& aClient,
                             EvidenceStore& aEvidence,
                             SloCounters& aObjectives)
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
    TakeRating(rating, aEvidence, aObjectives);
  }
}

void AnswerRatings::TakeRating(const Rating& aRating,
                               EvidenceStore& aEvidence,
                               SloCounters& aObjectives)
{
  const auto found = mRatedFor.find(aRating.mAnswer.mRequest);
  if (found == mRatedFor.end()) {
    return;
  }
  const RatedFor& rated = found->second;
  for (const EvidenceKey& key : rated.mKeys) {
    aEvidence.RecordRating(key, aRating.mGood, MonotonicNow());
  }
  aObjectives.RecordRating(
    rated.mAccount, rated.mTarget, aRating.mGood, CalendarNow());
  mRatedFor.erase(found);
}

} // namespace Acaciavale
