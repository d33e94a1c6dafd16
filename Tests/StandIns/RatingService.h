#pragma once

#include "AnswerQuality.h"
#include "Exchange.h"

#include <deque>
#include <mutex>
#include <vector>

namespace Acaciavale::StandIns {

/// The service that rates a sample of the answers and publishes the ratings
/// with a delay. Its fault target is "ratings"; a delay set there applies to
/// each response. Thread-safe.
class RatingService
{
public:
  RatingService(const Deployment& aDeployment,
                FaultInjector& aFaults,
                std::uint64_t aSeed);

  Task Serve(Exchange& aExchange);

private:
  struct Rating
  {
    AnswerKey mAnswer;
    bool mGood = false;
    TimePoint mVisibleFrom{};
  };

  void AcceptAnswers(const std::string& aBody);
  std::string RatingsAfter(std::size_t aNumber) const;

  const Deployment& mDeployment;
  FaultInjector& mFaults;
  std::uint64_t mSeed;
  mutable std::mutex mMutex;
  std::vector<Rating> mRatings; ///< A rating's number is its index plus 1.
};

} // namespace Acaciavale::StandIns
