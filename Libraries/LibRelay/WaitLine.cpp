#include <Acaciavale/LibRelay/WaitLine.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Waiting that makes up for one rank of urgency: a quarter of the goals of the
/// deployments' long requests, so that less urgent ones still meet theirs.
constexpr double kSecondsPerRank = 0.5;
/// Waiting that makes up for one more start of the account lately: the starts
/// kept add up to twenty, so one that takes all of them waits for some seconds
/// longer than one that takes none.
constexpr double kSecondsPerStart = 0.25;
/// What one start leaves of the starts before it.
constexpr double kStartsKept = 0.95;
/// Bounds of the advice to come back: sooner only repeats the refusal, later
/// is more than callers wait.
constexpr double kLeastReturnSeconds = 0.1;
constexpr double kMostReturnSeconds = 2;

} // namespace

WaitTicket WaitLine::Add(const WaitingWork& aWork)
{
  mWork.emplace(++mLast, aWork);
  return mLast;
}

void WaitLine::Remove(WaitTicket aTicket)
{
  mWork.erase(aTicket);
}

std::optional<WaitTicket> WaitLine::Next(TimePoint aNow) const
{
  std::optional<WaitTicket> best;
  std::pair<double, TimePoint> bestRank;
  for (const auto& [ticket, work] : mWork) {
    if (work.mStartBy < aNow) {
      continue;
    }
    const auto started = mStarts.find(work.mAccount);
    const double starts = started == mStarts.end() ? 0 : started->second;
    const double handicap =
      kSecondsPerRank * static_cast<double>(work.mUrgency) +
      kSecondsPerStart * starts - InSeconds(aNow - work.mSince);
    const std::pair<double, TimePoint> rank{ handicap, work.mStartBy };
    if (!best || rank < bestRank) {
      best = ticket;
      bestRank = rank;
    }
  }
  return best;
}

std::vector<WaitTicket> WaitLine::Expired(TimePoint aNow) const
{
  std::vector<WaitTicket> expired;
  for (const auto& [ticket, work] : mWork) {
    if (work.mStartBy < aNow) {
      expired.push_back(ticket);
    }
  }
  return expired;
}

void WaitLine::RecordStart(const std::string& aAccount)
{
  for (auto& [account, starts] : mStarts) {
    starts *= kStartsKept;
  }
  mStarts[aAccount] += 1;
}

Duration ReturnAfter(std::size_t aAhead,
                     double aStartsPerSecond,
                     double aSpread01)
{
  const double pace = std::max(1.0, aStartsPerSecond);
  const double seconds = static_cast<double>(aAhead + 1) / pace;
  const double spread = seconds * (1 + aSpread01);
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
    std::clamp(spread, kLeastReturnSeconds, kMostReturnSeconds)));
}

} // namespace Acaciavale::Relay
