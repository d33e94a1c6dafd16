#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/AccountShares.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Requests that wait on this VM for a free slot at an endpoint of one pool.
///
/// The queue absorbs bursts of more requests than the pool has slots. It keeps
/// the queues of the endpoints short, so that urgent requests can overtake
/// others here, and so can requests of accounts that had less than others.
/// Requests that cannot start in time are refused early.
namespace Acaciavale::Relay {

using WaitTicket = std::uint64_t;

struct WaitingRequest
{
  std::int64_t mUrgency = 0; ///< Urgency of the request; 0 is the most urgent.
  std::string mAccount;
  TimePoint mQueuedAt{};
  TimePoint mStartBy{}; ///< Latest time at which a start is useful.
  /// The route's goal for the first event.
  Duration mFirstEventGoal = std::chrono::seconds(1);
  double mWorkSeconds = 0; ///< Expected prompt work.

  auto operator<=>(const WaitingRequest&) const = default;
};

/// The order has two levels. Requests of one account are ordered by urgency and
/// time waited, where a level of urgency equals a quarter of the route's goal;
/// of equal ones, the request with the earliest mStartBy is the next. Among the
/// first requests of the accounts, the account's share of the recent work and
/// the work of the request count as well. The order only decides who goes
/// first: an account that waits alone gets all slots, in the order of a queue
/// without accounts. No request starves, as the time waited counts.
class WaitQueue
{
public:
  WaitTicket Add(const WaitingRequest& aRequest);
  void Remove(WaitTicket aTicket);

  /// The request to start next, which stays queued until removed. Takes time in
  /// proportion to the waiting accounts, not to the waiting requests.
  std::optional<WaitTicket> Next(TimePoint aNow) const;

  /// Number of queued requests that would start before aRequest by the present
  /// shares.
  std::size_t CountAhead(const WaitingRequest& aRequest, TimePoint aNow) const;

  /// The requests that can no longer start in time.
  std::vector<WaitTicket> Expired(TimePoint aNow) const;

  /// Records the start of a request of the account.
  void RecordStart(const std::string& aAccount,
                   double aWorkSeconds,
                   TimePoint aNow);

  /// Replaces what is known of the work that other VMs started.
  void SetWorkOfOthers(AccountWork aOthers);

  /// The work that this VM started.
  const AccountWork& OwnWork() const { return mOwn; }

  /// Shares in the work of this VM and the others.
  const AccountShares& Shares(TimePoint aNow) const;

  std::size_t size() const { return mRequests.size(); }

private:
  /// Position among the requests of an account; the lowest one starts first.
  struct Position
  {
    TimePoint mRank{};
    TimePoint mStartBy{};
    WaitTicket mTicket = 0;
    /// What the rank among accounts depends on as well.
    double mGoalSeconds = 0;
    double mWorkSeconds = 0;

    auto operator<=>(const Position&) const = default;
  };

  Position PositionOf(const WaitingRequest& aRequest, WaitTicket aTicket) const;

  WaitTicket mLastTicket = 0;
  std::map<WaitTicket, WaitingRequest> mRequests;
  std::map<std::string, std::set<Position>> mByAccount;
  /// Longest goal of the requests since the queue was empty.
  Duration mLongestGoal{};
  AccountWork mOwn;
  AccountWork mOthers;
  /// Computed when needed; empty after a change. Its ratios do not change with
  /// time, since all counts decay alike.
  mutable std::optional<AccountShares> mShares;
};

/// The place of a request among the first ones of all accounts, the lowest of
/// which starts first. aRelativeShare is that of its account.
TimePoint RankAmongAccounts(const WaitingRequest& aRequest,
                            double aRelativeShare);

/// The place of a request among those of its account.
TimePoint RankWithinAccount(const WaitingRequest& aRequest);

/// The smoothed interval between two starts while requests wait, which is the
/// interval at which slots become free. Starts from an empty queue are not
/// counted, since they measure the demand instead.
struct StartInterval
{
  double mMeanSeconds = 0; ///< Mean interval; 0 before the first measurement.
  TimePoint mLastStart{};

  auto operator<=>(const StartInterval&) const = default;
};

/// Returns the interval after one more start. aHasQueue states whether any
/// request waited, including the started one.
StartInterval WithStart(StartInterval aInterval,
                        bool aHasQueue,
                        TimePoint aNow);

/// Expected seconds until the start of a request with aAhead requests before
/// it; 0 if the interval is unknown.
double ExpectedSecondsToStart(const StartInterval& aInterval,
                              std::size_t aAhead);

/// Whether a request is refused immediately because it will almost certainly
/// not start in time. Under overload, it would otherwise wait in vain, and the
/// caller would retry later than necessary.
bool CannotStartInTime(const StartInterval& aInterval,
                       std::size_t aAhead,
                       double aSecondsLeft);

/// The latest time of return that refused callers were told, by urgency.
struct RetrySchedule
{
  std::map<std::int64_t, TimePoint> mLatestReturn;

  bool operator==(const RetrySchedule&) const = default;
};

/// The delay after which the caller of a refused request should retry. Returns
/// follow one another at the rate at which the queue starts requests, after the
/// time in which the queued requests start. Apart from the random spread, a
/// caller is never told an earlier time than one of the same or a higher
/// urgency that was refused before, until the longest delay is reached; callers
/// then keep the distance with which they were refused. The delay is extended
/// by up to a quarter, by aJitter in [0, 1], as other VMs refuse requests at
/// the same time.
Duration RetryAfter(RetrySchedule& aSchedule,
                    const StartInterval& aInterval,
                    std::size_t aAhead,
                    std::int64_t aUrgency,
                    double aJitter,
                    TimePoint aNow);

} // namespace Acaciavale::Relay
