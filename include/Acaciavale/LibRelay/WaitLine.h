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

struct WaitingWork
{
  std::int64_t mUrgency = 0; ///< 0 goes first.
  std::string mAccount;
  TimePoint mSince{};
  TimePoint mStartBy{}; ///< Afterwards starting it serves nobody.

  auto operator<=>(const WaitingWork&) const = default;
};

class WaitLine
{
public:
  WaitTicket Add(const WaitingWork& aWork);
  void Remove(WaitTicket aTicket);

  /// The one to start next, which stays in line until removed. Urgency, the
  /// account's starts lately and the time waited are weighed against each
  /// other, so that none starves; among equals goes who has least time left.
  std::optional<WaitTicket> Next(TimePoint aNow) const;

  /// How many would start before this work if it came now.
  std::size_t Before(const WaitingWork& aWork, TimePoint aNow) const;

  /// Those who can no longer start in time.
  std::vector<WaitTicket> Expired(TimePoint aNow) const;

  /// Notes that work of the account has started.
  void RecordStart(const std::string& aAccount);

  std::size_t size() const { return mWork.size(); }

private:
  /// What orders the line: lowest first, then who has least time left.
  std::pair<double, TimePoint> RankOf(const WaitingWork& aWork,
                                      TimePoint aNow) const;

  WaitTicket mLast = 0;
  std::map<WaitTicket, WaitingWork> mWork;
  std::map<std::string, double> mStarts; ///< By account, aged by each start.
};

/// Seconds between starts while work waits, smoothed: the pace at which places
/// come free. What starts while nothing waits tells how much is asked for.
struct StartPace
{
  double mSecondsPerStart = 0; ///< 0: not known yet.
  TimePoint mLastStart{};

  auto operator<=>(const StartPace&) const = default;
};

/// With one more start; there was a line, of this work or of other, or none.
StartPace WithStart(StartPace aPace, bool aIsLine, TimePoint aNow);

/// Expected seconds until work starts that has so many before it; 0 where the
/// pace is not known.
double SecondsToStart(const StartPace& aPace, std::size_t aBefore);

/// Whether work is turned away at once, as it will surely not start in time.
/// Answers the pattern "many more than can be served": who comes late would
/// else wait for nothing, and come back later than needed.
bool IsHopeless(const StartPace& aPace,
                std::size_t aBefore,
                double aSecondsLeft);

/// When someone refused now should come back: after the line ahead of it has
/// started at the pace seen, and spread, so that not all return at once.
Duration ReturnAfter(const StartPace& aPace,
                     std::size_t aBefore,
                     double aSpread01);

} // namespace Acaciavale::Relay
