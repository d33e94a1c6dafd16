#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Requests that wait on this VM for a free slot at an endpoint of one pool.
///
/// The queue absorbs bursts of more requests than the pool has slots. It keeps
/// the queues of the endpoints short, so that urgent requests can overtake
/// others here, and so can requests with little time left. Requests that cannot
/// start in time are refused early.
namespace Acaciavale::Relay {

using WaitTicket = std::uint64_t;

struct WaitingRequest
{
  std::int64_t mUrgency = 0; ///< Urgency of the request; 0 is the most urgent.
  std::string mAccount;
  TimePoint mQueuedAt{};
  TimePoint mStartBy{}; ///< Latest time at which a start is useful.

  auto operator<=>(const WaitingRequest&) const = default;
};

class WaitQueue
{
public:
  WaitTicket Add(const WaitingRequest& aRequest);
  void Remove(WaitTicket aTicket);

  /// The request to start next, which stays queued until removed. Its rank
  /// combines the urgency, the recent starts of the account and the time
  /// waited, so that no request starves. Of equal ranks, the request with the
  /// earliest mStartBy is the next.
  std::optional<WaitTicket> Next(TimePoint aNow) const;

  /// Number of queued requests that would start before aRequest.
  std::size_t CountAhead(const WaitingRequest& aRequest, TimePoint aNow) const;

  /// The requests that can no longer start in time.
  std::vector<WaitTicket> Expired(TimePoint aNow) const;

  /// Records the start of a request of the account.
  void RecordStart(const std::string& aAccount);

  std::size_t size() const { return mRequests.size(); }

private:
  /// The sort key of a request; the lowest one starts first.
  std::pair<double, TimePoint> RankOf(const WaitingRequest& aRequest,
                                      TimePoint aNow) const;

  WaitTicket mLastTicket = 0;
  std::map<WaitTicket, WaitingRequest> mRequests;
  /// Recent starts by account, decayed at each start.
  std::map<std::string, double> mRecentStarts;
};

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

/// The delay after which the caller of a refused request should retry: the
/// expected time in which the queued requests start, extended by the share
/// aJitter in [0, 1], so that not all callers retry at the same time.
Duration RetryAfter(const StartInterval& aInterval,
                    std::size_t aAhead,
                    double aJitter);

} // namespace Acaciavale::Relay
