#include "AnswerRatings.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxTrackedAnswers = 16'384;
constexpr std::size_t kMaxUnsentAnswers = 4096;

} // namespace

void AnswerRatings::Add(RateableAnswer aAnswer, RatingSubject aSubject)
{
  const std::lock_guard guard(mLock);
  if (mUnsentAnswers.size() >= kMaxUnsentAnswers) {
    // NOTE: The service rates only a sample of the answers anyway. While it is
    //       down, answers beyond the limit are not reported.
    return;
  }
  mInsertionOrder.push_back(aAnswer.mRequestId);
  mSubjects[aAnswer.mRequestId] = std::move(aSubject);
  mUnsentAnswers.push_back(std::move(aAnswer));
  while (mInsertionOrder.size() > kMaxTrackedAnswers) {
    mSubjects.erase(mInsertionOrder.front());
    mInsertionOrder.pop_front();
  }
}

void AnswerRatings::Exchange(const RatingClient& aClient,
                             EvidenceStore& aEvidence,
                             SloCounters& aSloCounters)
{
  std::vector<RateableAnswer> answers;
  std::uint64_t after = 0;
  {
    const std::lock_guard guard(mLock);
    answers.swap(mUnsentAnswers);
    after = mLastRatingNumber;
  }
  if (!answers.empty()) {
    // A lost batch results in missing ratings, never in wrong ones.
    (void)aClient.SendAnswers(answers);
  }
  const auto batch = aClient.FetchRatings(after);
  if (!batch) {
    return;
  }
  const std::lock_guard guard(mLock);
  mLastRatingNumber = batch->mLastNumber;
  for (const Rating& rating : batch->mRatings) {
    ApplyRating(rating, aEvidence, aSloCounters);
  }
}

void AnswerRatings::ApplyRating(const Rating& aRating,
                                EvidenceStore& aEvidence,
                                SloCounters& aSloCounters)
{
  const auto found = mSubjects.find(aRating.mAnswer.mRequestId);
  if (found == mSubjects.end()) {
    return;
  }
  const RatingSubject& subject = found->second;
  for (const EvidenceKey& key : subject.mEvidenceKeys) {
    aEvidence.RecordRating(key, aRating.mGood, MonotonicNow());
  }
  aSloCounters.RecordRating(
    subject.mAccount, subject.mTarget, aRating.mGood, CalendarNow());
  mSubjects.erase(found);
}

} // namespace Acaciavale
