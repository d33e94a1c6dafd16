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

/// The evidence keys and the objective to which a rating of an answer applies.
struct RatingSubject
{
  std::vector<EvidenceKey> mEvidenceKeys;
  std::string mAccount;
  std::string mTarget; ///< Name of the requested model or cascade.
};

/// Reports the answers of this VM to the rating service and records the ratings
/// of these answers as evidence. Ratings of other VMs' answers are ignored, as
/// those VMs record them, so that each rating counts once. Thread-safe.
class AnswerRatings
{
public:
  /// Adds an answer to be reported, and the subject of its rating.
  void Add(RateableAnswer aAnswer, RatingSubject aSubject);

  /// Sends the unsent answers, then fetches and records new ratings.
  void Exchange(const RatingClient& aClient,
                EvidenceStore& aEvidence,
                SloCounters& aSloCounters);

private:
  void ApplyRating(const Rating& aRating,
                   EvidenceStore& aEvidence,
                   SloCounters& aSloCounters);

  std::mutex mLock;
  std::vector<RateableAnswer> mUnsentAnswers;
  std::deque<std::string> mInsertionOrder;
  std::unordered_map<std::string, RatingSubject> mSubjects;
  std::uint64_t mLastRatingNumber = 0;
};

} // namespace Acaciavale
