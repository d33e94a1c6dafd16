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
/// Weight of one more gap between starts.
constexpr double kPaceWeight = 0.05;
/// How many times the time left the expected wait has to be until work is
/// turned away at once: gaps spread, and others may leave the line.
constexpr double kHopelessShare = 1.5;
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

std::pair<double, TimePoint> WaitLine::RankOf(const WaitingWork& aWork,
                                              TimePoint aNow) const
{
  const auto started = mStarts.find(aWork.mAccount);
  const double starts = started == mStarts.end() ? 0 : started->second;
  return { kSecondsPerRank * static_cast<double>(aWork.mUrgency) +
             kSecondsPerStart * starts - InSeconds(aNow - aWork.mSince),
           aWork.mStartBy };
}

std::optional<WaitTicket> WaitLine::Next(TimePoint aNow) const
{
  std::optional<WaitTicket> best;
  std::pair<double, TimePoint> bestRank;
  for (const auto& [ticket, work] : mWork) {
    if (work.mStartBy < aNow) {
      continue;
    }
    const auto rank = RankOf(work, aNow);
    if (!best || rank < bestRank) {
      best = ticket;
      bestRank = rank;
    }
  }
  return best;
}

std::size_t WaitLine::Before(const WaitingWork& aWork, TimePoint aNow) const
{
  const auto rank = RankOf(aWork, aNow);
  return static_cast<std::size_t>(
    std::count_if(mWork.begin(), mWork.end(), [&](const auto& aOther) {
      return aOther.second.mStartBy >= aNow &&
             RankOf(aOther.second, aNow) < rank;
    }));
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

StartPace WithStart(StartPace aPace, bool aIsLine, TimePoint aNow)
{
  if (!aIsLine) {
    aPace.mLastStart = {};
    return aPace;
  }
  if (aPace.mLastStart != TimePoint{}) {
    // NOTE: The mean of the gaps, and not of their inverses: two starts in one
    //       millisecond are no pace of a thousand a second.
    const double gap = InSeconds(aNow - aPace.mLastStart);
    const double weight = aPace.mSecondsPerStart == 0 ? 1 : kPaceWeight;
    aPace.mSecondsPerStart += weight * (gap - aPace.mSecondsPerStart);
  }
  aPace.mLastStart = aNow;
  return aPace;
}

double SecondsToStart(const StartPace& aPace, std::size_t aBefore)
{
  return aPace.mSecondsPerStart * static_cast<double>(aBefore + 1);
}

bool IsHopeless(const StartPace& aPace,
                std::size_t aBefore,
                double aSecondsLeft)
{
  return SecondsToStart(aPace, aBefore) > kHopelessShare * aSecondsLeft;
}

Duration ReturnAfter(const StartPace& aPace,
                     std::size_t aBefore,
                     double aSpread01)
{
  const double seconds = SecondsToStart(aPace, aBefore) * (1 + aSpread01);
  return FromSeconds(
    std::clamp(seconds, kLeastReturnSeconds, kMostReturnSeconds));
}

} // namespace Acaciavale::Relay
