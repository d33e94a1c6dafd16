#pragma once

#include <Acaciavale/LibPlatform/RatingClient.h>
#include <Acaciavale/LibReport/SloCounters.h>
#include <Acaciavale/LibRouting/EvidenceStore.h>

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Acaciavale {

/// What a rating of an answer counts for.
struct RatingSubject
{
  std::vector<EvidenceKey> mEvidenceKeys;
  std::string mAccount;
  std::string mTarget; ///< The model or cascade that the caller named.
};

/// Tells the rating service of this VM's answers and turns its ratings of them
/// into evidence. Ratings of other VMs' answers are left to those VMs, so that
/// each counts once. Thread-safe.
class AnswerRatings
{
public:
  /// Remembers an answer and what a rating of it is for.
  void Add(RateableAnswer aAnswer, RatingSubject aSubject);

  /// Sends what was noted and takes the ratings that have come.
  void Exchange(const RatingClient& aClient,
                EvidenceStore& aEvidence,
                SloCounters& aObjectives);

private:
  void ApplyRating(const Rating& aRating,
                   EvidenceStore& aEvidence,
                   SloCounters& aObjectives);

  std::mutex mLock;
  std::vector<RateableAnswer> mUnsentAnswers;
  std::deque<std::string> mInsertionOrder;
  std::unordered_map<std::string, RatingSubject> mSubjects;
  std::uint64_t mLastRatingNumber = 0;
};

} // namespace Acaciavale
