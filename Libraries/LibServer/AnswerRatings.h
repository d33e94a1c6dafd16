#pragma once

#include <Acaciavale/LibPlatform/RatingClient.h>
#include <Acaciavale/LibRouting/EvidenceStore.h>

#include <deque>
#include <mutex>
#include <string>
#include <unordered_map>
#include <vector>

namespace Acaciavale {

/// Tells the rating service of this VM's answers and turns its ratings of them
/// into evidence. Ratings of other VMs' answers are left to those VMs, so that
/// each counts once. Thread-safe.
class AnswerRatings
{
public:
  /// Remembers an answer and the evidence that a rating of it is for.
  void Note(RateableAnswer aAnswer, std::vector<EvidenceKey> aKeys);

  /// Sends what was noted and takes the ratings that have come.
  void Exchange(const RatingClient& aClient,
                EvidenceStore& aEvidence,
                TimePoint aNow);

private:
  void TakeRating(const Rating& aRating,
                  EvidenceStore& aEvidence,
                  TimePoint aNow);

  std::mutex mLock;
  std::vector<RateableAnswer> mToSend;
  std::deque<std::string> mOrder;
  std::unordered_map<std::string, std::vector<EvidenceKey>> mKeys;
  std::uint64_t mLast = 0;
};

} // namespace Acaciavale
