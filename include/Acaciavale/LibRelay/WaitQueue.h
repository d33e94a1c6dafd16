#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

/// Work that waits on this VM for a place at an endpoint of one pool.
///
/// It answers bursts: more requests at once than the pool's places. An
/// endpoint's own queue stays short, so that what is urgent and what is short
/// overtakes here, and what can't start in time leaves at once.
namespace Acaciavale::Relay {

using WaitTicket = std::uint64_t;

struct WaitingRequest
{
  std::int64_t mUrgency = 0; ///< 0 goes first.
  std::string mAccount;
  TimePoint mQueuedAt{};
  TimePoint mStartBy{}; ///< Afterwards starting it serves nobody.

  auto operator<=>(const WaitingRequest&) const = default;
};

class WaitQueue
{
public:
  WaitTicket Add(const WaitingRequest& aRequest);
  void Remove(WaitTicket aTicket);

  /// The one to start next, which stays in line until removed. Urgency, the
  /// account's starts lately and the time waited are weighed against each
  /// other, so that none starves; among equals goes who has least time left.
  std::optional<WaitTicket> Next(TimePoint aNow) const;

  /// How many would start before this work if it came now.
  std::size_t CountAhead(const WaitingRequest& aRequest, TimePoint aNow) const;

  /// Those who can no longer start in time.
  std::vector<WaitTicket> Expired(TimePoint aNow) const;

  /// Notes that work of the account has started.
  void RecordStart(const std::string& aAccount);

  std::size_t size() const { return mRequests.size(); }

private:
  /// What orders the line: lowest first, then who has least time left.
  std::pair<double, TimePoint> RankOf(const WaitingRequest& aRequest,
                                      TimePoint aNow) const;

  WaitTicket mLastTicket = 0;
  std::map<WaitTicket, WaitingRequest> mRequests;
  std::map<std::string, double>
    mRecentStarts; ///< By account, aged by each start.
};

/// Seconds between starts while work waits, smoothed: the interval at which
/// places come free. What starts while nothing waits tells how much is asked
/// for.
struct StartInterval
{
  double mMeanSeconds = 0; ///< 0: not known yet.
  TimePoint mLastStart{};

  auto operator<=>(const StartInterval&) const = default;
};

/// With one more start; there was a line, of this work or of other, or none.
StartInterval WithStart(StartInterval aInterval,
                        bool aHasQueue,
                        TimePoint aNow);

/// Expected seconds until work starts that has so many before it; 0 where the
/// interval is not known.
double ExpectedSecondsToStart(const StartInterval& aInterval,
                              std::size_t aBefore);

/// Whether work is turned away at once, as it will surely not start in time.
/// Answers the pattern "many more than can be served": who comes late would
/// else wait for nothing, and come back later than needed.
bool CannotStartInTime(const StartInterval& aInterval,
                       std::size_t aBefore,
                       double aSecondsLeft);

/// When someone refused now should come back: after the line ahead of it has
/// started at the interval seen, and spread, so that not all return at once.
Duration RetryAfter(const StartInterval& aInterval,
                    std::size_t aBefore,
                    double aJitter);

} // namespace Acaciavale::Relay
