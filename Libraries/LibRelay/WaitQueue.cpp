#include <Acaciavale/LibRelay/WaitQueue.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Waiting that makes up for one rank of urgency: a quarter of the goals of the
/// deployments' long requests, so that less urgent ones still meet theirs.
constexpr double kSecondsPerUrgency = 0.5;
/// Waiting that makes up for one more start of the account lately: the starts
/// kept add up to twenty, so one that takes all of them waits for some seconds
/// longer than one that takes none.
constexpr double kSecondsPerRecentStart = 0.25;
/// What one start leaves of the starts before it.
constexpr double kRecentStartDecay = 0.95;
/// Weight of one more gap between starts.
constexpr double kIntervalWeight = 0.05;
/// How many times the time left the expected wait has to be until work is
/// turned away at once: gaps spread, and others may leave the line.
constexpr double kCannotStartFactor = 1.5;
/// Bounds of the advice to come back: sooner only repeats the refusal, later
/// is more than callers wait.
constexpr double kMinimumRetryAfterSeconds = 0.1;
constexpr double kMaximumRetryAfterSeconds = 2;

} // namespace

WaitTicket WaitQueue::Add(const WaitingRequest& aRequest)
{
  mRequests.emplace(++mLastTicket, aRequest);
  return mLastTicket;
}

void WaitQueue::Remove(WaitTicket aTicket)
{
  mRequests.erase(aTicket);
}

std::pair<double, TimePoint> WaitQueue::RankOf(const WaitingRequest& aRequest,
                                               TimePoint aNow) const
{
  const auto started = mRecentStarts.find(aRequest.mAccount);
  const double starts = started == mRecentStarts.end() ? 0 : started->second;
  return { kSecondsPerUrgency * static_cast<double>(aRequest.mUrgency) +
             kSecondsPerRecentStart * starts -
             InSeconds(aNow - aRequest.mQueuedAt),
           aRequest.mStartBy };
}

std::optional<WaitTicket> WaitQueue::Next(TimePoint aNow) const
{
  std::optional<WaitTicket> best;
  std::pair<double, TimePoint> bestRank;
  for (const auto& [ticket, work] : mRequests) {
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

std::size_t WaitQueue::CountAhead(const WaitingRequest& aRequest,
                                  TimePoint aNow) const
{
  const auto rank = RankOf(aRequest, aNow);
  return static_cast<std::size_t>(
    std::count_if(mRequests.begin(), mRequests.end(), [&](const auto& aOther) {
      return aOther.second.mStartBy >= aNow &&
             RankOf(aOther.second, aNow) < rank;
    }));
}

std::vector<WaitTicket> WaitQueue::Expired(TimePoint aNow) const
{
  std::vector<WaitTicket> expired;
  for (const auto& [ticket, work] : mRequests) {
    if (work.mStartBy < aNow) {
      expired.push_back(ticket);
    }
  }
  return expired;
}

void WaitQueue::RecordStart(const std::string& aAccount)
{
  for (auto& [account, starts] : mRecentStarts) {
    starts *= kRecentStartDecay;
  }
  mRecentStarts[aAccount] += 1;
}

StartInterval WithStart(StartInterval aInterval, bool aHasQueue, TimePoint aNow)
{
  if (!aHasQueue) {
    aInterval.mLastStart = {};
    return aInterval;
  }
  if (aInterval.mLastStart != TimePoint{}) {
    // NOTE: The mean of the gaps, and not of their inverses: two starts in one
    //       millisecond are no interval of a thousand a second.
    const double gap = InSeconds(aNow - aInterval.mLastStart);
    const double weight = aInterval.mMeanSeconds == 0 ? 1 : kIntervalWeight;
    aInterval.mMeanSeconds += weight * (gap - aInterval.mMeanSeconds);
  }
  aInterval.mLastStart = aNow;
  return aInterval;
}

double ExpectedSecondsToStart(const StartInterval& aInterval,
                              std::size_t aBefore)
{
  return aInterval.mMeanSeconds * static_cast<double>(aBefore + 1);
}

bool CannotStartInTime(const StartInterval& aInterval,
                       std::size_t aBefore,
                       double aSecondsLeft)
{
  return ExpectedSecondsToStart(aInterval, aBefore) >
         kCannotStartFactor * aSecondsLeft;
}

Duration RetryAfter(const StartInterval& aInterval,
                    std::size_t aBefore,
                    double aJitter)
{
  const double seconds =
    ExpectedSecondsToStart(aInterval, aBefore) * (1 + aJitter);
  return FromSeconds(
    std::clamp(seconds, kMinimumRetryAfterSeconds, kMaximumRetryAfterSeconds));
}

} // namespace Acaciavale::Relay
