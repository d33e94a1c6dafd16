#include <Acaciavale/LibRelay/WaitQueue.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Waiting time that equals one level of urgency, as a share of the route's
/// goal for the first event. A quarter, so that less urgent requests also meet
/// their goal.
constexpr double kGoalSharePerUrgency = 0.25;
/// Waiting time that equals an average share of the account, as a multiple of
/// the goal. Requests wait for at most three quarters of the goal, so one of an
/// account with an average share comes after all of an account without recent
/// work, and accounts with slightly different shares still take turns.
constexpr double kGoalsPerAverageShare = 1;
/// Maximum of the work of a request that counts for its rank, as a share of the
/// goal: one level of urgency, so that long prompts start in time, too.
constexpr double kMaximumWorkGoalShare = kGoalSharePerUrgency;
/// Longest goal that is used for ranks, so that sums stay in the range of a
/// TimePoint. Callers do not wait for an hour.
constexpr Duration kMaximumGoal = std::chrono::hours(1);
/// Weight of a new sample in the mean interval between starts.
constexpr double kIntervalWeight = 0.05;
/// Ratio of the expected wait to the time left above which a request is refused
/// immediately. It exceeds 1 because intervals vary and queued requests may
/// leave the queue.
constexpr double kCannotStartFactor = 1.5;
/// Limits of the delay before a retry. An earlier retry would only be refused
/// again, and callers do not wait longer than the maximum.
constexpr double kMinimumRetryAfterSeconds = 0.1;
constexpr double kMaximumRetryAfterSeconds = 2;
/// Maximum random extension of the delay before a retry, as a share of it.
constexpr double kRetryAfterSpread = 0.25;

/// Waiting time that the share of an account and the work of its request equal.
Duration DelayAmongAccounts(double aGoalSeconds,
                            double aWorkSeconds,
                            double aRelativeShare)
{
  const double work =
    std::min(aWorkSeconds, kMaximumWorkGoalShare * aGoalSeconds);
  // NOTE: With equal shares, routes with a long goal are not at a disadvantage.
  return FromSeconds(
    kGoalsPerAverageShare * aGoalSeconds * (aRelativeShare - 1) + work);
}

double GoalSecondsOf(const WaitingRequest& aRequest)
{
  return InSeconds(
    std::clamp(aRequest.mFirstEventGoal, Duration{}, kMaximumGoal));
}

} // namespace

TimePoint RankWithinAccount(const WaitingRequest& aRequest)
{
  return aRequest.mQueuedAt +
         FromSeconds(kGoalSharePerUrgency * GoalSecondsOf(aRequest) *
                     static_cast<double>(aRequest.mUrgency));
}

TimePoint RankAmongAccounts(const WaitingRequest& aRequest,
                            double aRelativeShare)
{
  return RankWithinAccount(aRequest) +
         DelayAmongAccounts(
           GoalSecondsOf(aRequest), aRequest.mWorkSeconds, aRelativeShare);
}

WaitQueue::Position WaitQueue::PositionOf(const WaitingRequest& aRequest,
                                          WaitTicket aTicket) const
{
  return { RankWithinAccount(aRequest),
           aRequest.mStartBy,
           aTicket,
           GoalSecondsOf(aRequest),
           aRequest.mWorkSeconds };
}

WaitTicket WaitQueue::Add(const WaitingRequest& aRequest)
{
  if (mRequests.empty()) {
    mLongestGoal = {};
  }
  mLongestGoal = std::max(mLongestGoal, aRequest.mFirstEventGoal);
  mRequests.emplace(++mLastTicket, aRequest);
  mByAccount[aRequest.mAccount].insert(PositionOf(aRequest, mLastTicket));
  return mLastTicket;
}

void WaitQueue::Remove(WaitTicket aTicket)
{
  const auto found = mRequests.find(aTicket);
  if (found == mRequests.end()) {
    return;
  }
  const auto account = mByAccount.find(found->second.mAccount);
  account->second.erase(PositionOf(found->second, aTicket));
  if (account->second.empty()) {
    mByAccount.erase(account);
  }
  mRequests.erase(found);
}

std::optional<WaitTicket> WaitQueue::Next(TimePoint aNow) const
{
  std::optional<Position> best;
  for (const auto& [account, positions] : mByAccount) {
    // NOTE: The timers of requests remove those that are too late, so there are
    //       few of them.
    const auto first = std::find_if(
      positions.begin(), positions.end(), [aNow](const Position& aPosition) {
        return aPosition.mStartBy >= aNow;
      });
    if (first == positions.end()) {
      continue;
    }
    const Position candidate{
      first->mRank + DelayAmongAccounts(first->mGoalSeconds,
                                        first->mWorkSeconds,
                                        RelativeShareOf(Shares(aNow), account)),
      first->mStartBy,
      first->mTicket
    };
    if (!best || candidate < *best) {
      best = candidate;
    }
  }
  return best ? std::optional(best->mTicket) : std::nullopt;
}

std::size_t WaitQueue::CountAhead(const WaitingRequest& aRequest,
                                  TimePoint aNow) const
{
  const auto shareOf = [&](const std::string& aAccount) {
    return RelativeShareOf(Shares(aNow), aAccount);
  };
  const std::pair within{ RankWithinAccount(aRequest), aRequest.mStartBy };
  const std::pair among{
    RankAmongAccounts(aRequest, shareOf(aRequest.mAccount)), aRequest.mStartBy
  };
  // NOTE: A rank among accounts is at most a goal before that within the
  //       account.
  const TimePoint lastRelevant =
    among.first + FromSeconds(kGoalsPerAverageShare *
                              InSeconds(std::min(mLongestGoal, kMaximumGoal)));
  std::size_t ahead = 0;
  for (const auto& [account, positions] : mByAccount) {
    const bool isOwn = account == aRequest.mAccount;
    const double share = isOwn ? 0 : shareOf(account);
    for (const Position& position : positions) {
      if (isOwn ? std::pair(position.mRank, position.mStartBy) >= within
                : position.mRank > lastRelevant) {
        break;
      }
      const bool isAhead =
        isOwn ||
        std::pair(position.mRank + DelayAmongAccounts(position.mGoalSeconds,
                                                      position.mWorkSeconds,
                                                      share),
                  position.mStartBy) < among;
      ahead += isAhead && position.mStartBy >= aNow ? 1 : 0;
    }
  }
  return ahead;
}

std::vector<WaitTicket> WaitQueue::Expired(TimePoint aNow) const
{
  std::vector<WaitTicket> expired;
  for (const auto& [ticket, request] : mRequests) {
    if (request.mStartBy < aNow) {
      expired.push_back(ticket);
    }
  }
  return expired;
}

void WaitQueue::RecordStart(const std::string& aAccount,
                            double aWorkSeconds,
                            TimePoint aNow)
{
  AddWork(mOwn, aAccount, aWorkSeconds, aNow);
  mShares.reset();
}

void WaitQueue::SetWorkOfOthers(AccountWork aOthers)
{
  mOthers = std::move(aOthers);
  mShares.reset();
}

const AccountShares& WaitQueue::Shares(TimePoint aNow) const
{
  if (!mShares) {
    const bool isCurrent = aNow - mOthers.mAsOf <= kAccountWorkLifetime;
    mShares = SharesOf(mOwn, isCurrent ? mOthers : AccountWork{}, aNow);
  }
  return *mShares;
}

StartInterval WithStart(StartInterval aInterval, bool aHasQueue, TimePoint aNow)
{
  if (!aHasQueue) {
    aInterval.mLastStart = {};
    return aInterval;
  }
  if (aInterval.mLastStart != TimePoint{}) {
    // NOTE: The mean is that of the intervals, not of the rates, since two
    //       starts within a millisecond do not mean a thousand per second.
    const double gap = InSeconds(aNow - aInterval.mLastStart);
    const double weight = aInterval.mMeanSeconds == 0 ? 1 : kIntervalWeight;
    aInterval.mMeanSeconds += weight * (gap - aInterval.mMeanSeconds);
  }
  aInterval.mLastStart = aNow;
  return aInterval;
}

double ExpectedSecondsToStart(const StartInterval& aInterval,
                              std::size_t aAhead)
{
  return aInterval.mMeanSeconds * static_cast<double>(aAhead + 1);
}

bool CannotStartInTime(const StartInterval& aInterval,
                       std::size_t aAhead,
                       double aSecondsLeft)
{
  return ExpectedSecondsToStart(aInterval, aAhead) >
         kCannotStartFactor * aSecondsLeft;
}

Duration RetryAfter(RetrySchedule& aSchedule,
                    const StartInterval& aInterval,
                    std::size_t aAhead,
                    std::int64_t aUrgency,
                    double aJitter,
                    TimePoint aNow)
{
  TimePoint at =
    aNow + FromSeconds(std::max(kMinimumRetryAfterSeconds,
                                ExpectedSecondsToStart(aInterval, aAhead)));
  for (const auto& [urgency, latest] : aSchedule.mLatestReturn) {
    if (urgency <= aUrgency) {
      at = std::max(at, latest + FromSeconds(aInterval.mMeanSeconds));
    }
  }
  at = std::min(
    at,
    aNow + FromSeconds(kMaximumRetryAfterSeconds / (1 + kRetryAfterSpread)));
  aSchedule.mLatestReturn[aUrgency] = at;
  return FromSeconds(InSeconds(at - aNow) * (1 + kRetryAfterSpread * aJitter));
}

} // namespace Acaciavale::Relay
