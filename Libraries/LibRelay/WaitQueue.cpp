#include <Acaciavale/LibRelay/WaitQueue.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Waiting time that equals one level of urgency: a quarter of the goal of the
/// deployments' long requests, so that less urgent requests also meet their
/// goal.
constexpr double kSecondsPerUrgency = 0.5;
/// Waiting time that equals one recent start of the account. The decayed starts
/// add up to at most twenty, so a request of an account with all starts waits
/// some seconds longer than a request of an account without any.
constexpr double kSecondsPerRecentStart = 0.25;
/// Factor on the recorded starts at each new start.
constexpr double kRecentStartDecay = 0.95;
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
  for (const auto& [ticket, request] : mRequests) {
    if (request.mStartBy < aNow) {
      continue;
    }
    const auto rank = RankOf(request, aNow);
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
  for (const auto& [ticket, request] : mRequests) {
    if (request.mStartBy < aNow) {
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

Duration RetryAfter(const StartInterval& aInterval,
                    std::size_t aAhead,
                    double aJitter)
{
  const double seconds =
    ExpectedSecondsToStart(aInterval, aAhead) * (1 + aJitter);
  return FromSeconds(
    std::clamp(seconds, kMinimumRetryAfterSeconds, kMaximumRetryAfterSeconds));
}

} // namespace Acaciavale::Relay
