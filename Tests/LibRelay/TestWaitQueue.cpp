#include <Acaciavale/LibRelay/WaitQueue.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(WaitQueue)
{
  WaitQueue mQueue;

  static TimePoint At(double aSeconds)
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  WaitTicket Add(std::int64_t aUrgency,
                 const std::string& aAccount,
                 double aSince,
                 double aStartBy)
  {
    return mQueue.Add({ aUrgency,
                        aAccount,
                        At(aSince),
                        At(aStartBy),
                        std::chrono::seconds(2) });
  }
};

TEST(WaitQueue, MostUrgentThenEarliestStartByStartsFirst)
{
  Add(1, "a", 0, 0.3);
  const WaitTicket late = Add(0, "a", 0, 0.4);
  const WaitTicket soon = Add(0, "a", 0, 0.2);
  CHECK(mQueue.Next(At(0.1)) == soon);
  mQueue.Remove(soon);
  CHECK(mQueue.Next(At(0.1)) == late);
}

TEST(WaitQueue, AccountWithRecentStartsYieldsToOthers)
{
  const WaitTicket large = Add(0, "large", 0, 0.2);
  const WaitTicket small = Add(0, "small", 0, 0.3);
  CHECK(mQueue.Next(At(0.1)) == large);
  mQueue.RecordStart("large", 0.1, At(0.1));
  CHECK(mQueue.Next(At(0.1)) == small);
}

TEST(WaitQueue, ExpiredRequestIsNotStarted)
{
  const WaitTicket ticket = Add(0, "a", 0, 0.2);
  CHECK(mQueue.Next(At(0.3)) == std::nullopt);
  CHECK(mQueue.Expired(At(0.3)) == std::vector<WaitTicket>{ ticket });
  CHECK(mQueue.Expired(At(0.1)).empty());
}

/// Guards against starvation of a small account: the demand is three times the
/// capacity, and one account sends ten times the requests of the other. A
/// first-come queue would refuse the same share of requests for both accounts.
TEST(WaitQueue, AccountWithTenTimesTheRequestsDoesNotStarveOthers)
{
  std::map<WaitTicket, std::string> queued;
  int small = 0;
  int smallStarted = 0;
  Random random(7);
  double nextStart = 0;
  for (double now = 0; now < 20; now += 0.01) {
    const std::string account = random.Below(11) > 0 ? "large" : "small";
    small += account == "small" ? 1 : 0;
    queued[Add(0, account, now, now + 2)] = account;
    for (const WaitTicket ticket : mQueue.Expired(At(now))) {
      mQueue.Remove(ticket);
    }
    if (now >= nextStart) {
      nextStart = now + 0.03;
      const auto next = mQueue.Next(At(now));
      CHECK(next.has_value());
      smallStarted += queued[*next] == "small" ? 1 : 0;
      mQueue.RecordStart(queued[*next], 0.03, At(now));
      mQueue.Remove(*next);
    }
  }
  // A first-come queue would start a third of the small account's requests.
  CHECK(smallStarted > 0.9 * small);
}

/// The demand is one and a half times the capacity, with equal shares of three
/// urgencies.
TEST(WaitQueue, BurstStartsUrgentRequestsFirstWithoutStarvation)
{
  std::map<WaitTicket, std::int64_t> queued;
  std::map<std::int64_t, int> started;
  Random random(7);
  double nextStart = 0;
  for (double now = 0; now < 20; now += 0.01) {
    const auto urgency = static_cast<std::int64_t>(random.Below(3));
    queued[Add(urgency, "one", now, now + 2)] = urgency;
    for (const WaitTicket ticket : mQueue.Expired(At(now))) {
      mQueue.Remove(ticket);
    }
    if (now >= nextStart) {
      nextStart = now + 0.015;
      const auto next = mQueue.Next(At(now));
      CHECK(next.has_value());
      started[queued[*next]] += 1;
      mQueue.Remove(*next);
    }
  }
  CHECK(started[0] > started[2]);
  CHECK(started[2] > 0);
}

TEST(WaitQueue, RetryAfterGrowsWithTheQueueAndTheJitter)
{
  const auto delay = [](double aInterval, std::size_t aAhead, double aJitter) {
    RetrySchedule schedule;
    return RetryAfter(schedule, { aInterval, {} }, aAhead, 0, aJitter, At(0));
  };
  CHECK(delay(0.01, 0, 0) >= std::chrono::milliseconds(100));
  CHECK(delay(0.02, 40, 0) > delay(0.02, 10, 0));
  CHECK(delay(0.02, 10, 0.9) > delay(0.02, 10, 0.1));
  CHECK(delay(1, 100000, 1) <= std::chrono::seconds(2));
}

/// Guards against callers that return together, and against a caller that was
/// refused later but may return earlier: the queue starts 20 requests per
/// second, 60 requests are refused in a second while it empties, of two
/// urgencies.
TEST(WaitQueue, RefusedCallersReturnOneAfterTheOtherInTheOrderOfArrival)
{
  RetrySchedule schedule;
  const StartInterval interval{ 0.05, {} };
  std::map<std::int64_t, TimePoint> latest;
  std::map<std::int64_t, int> returnsByTenth; // Of a second, urgency 0.
  for (int refusal = 0; refusal < 60; ++refusal) {
    const TimePoint now = At(refusal / 60.0);
    const std::int64_t urgency = refusal % 2;
    const auto ahead = static_cast<std::size_t>(20 - refusal / 3);
    RetrySchedule sameSchedule = schedule;
    const Duration longest =
      RetryAfter(sameSchedule, interval, ahead, urgency, 1, now);
    const Duration delay =
      RetryAfter(schedule, interval, ahead, urgency, 0, now);
    CHECK(now + delay >= latest[urgency]);
    CHECK(longest <= delay + delay / 4 + std::chrono::microseconds(1));
    CHECK(longest <= std::chrono::seconds(2));
    latest[urgency] = now + delay;
    if (urgency == 0) {
      returnsByTenth[InSeconds(now + delay - At(0)) * 10] += 1;
    }
  }
  for (const auto& [tenth, returns] : returnsByTenth) {
    CHECK(returns <= 4);
  }
  // A more urgent caller need not wait for less urgent ones.
  RetrySchedule mixed;
  const Duration idle = RetryAfter(mixed, interval, 0, 5, 0, At(0));
  CHECK(RetryAfter(mixed, interval, 0, 0, 0, At(0)) <= idle);
  CHECK(RetryAfter(mixed, interval, 0, 5, 0, At(0)) > idle);
}

TEST(WaitQueue, CountAheadIncludesOnlyRequestsThatStartEarlier)
{
  Add(0, "a", 0, 1);
  Add(2, "a", 0, 1);
  Add(0, "a", 0, 0.05); // Expired at the time of the check.
  const auto makeRequest = [](std::int64_t aUrgency) {
    return WaitingRequest{
      aUrgency, "b", At(0), At(1), std::chrono::seconds(2)
    };
  };
  UNSIGNED_LONGS_EQUAL(1, mQueue.CountAhead(makeRequest(1), At(0.1)));
  UNSIGNED_LONGS_EQUAL(2, mQueue.CountAhead(makeRequest(3), At(0.1)));
}

/// Ten slots per second become free. A request behind twenty others cannot
/// start within half a second and is refused immediately; behind three, it may
/// wait.
TEST(WaitQueue, RequestThatCannotStartInTimeIsRecognized)
{
  StartInterval interval;
  for (int start = 0; start < 30; ++start) {
    interval = WithStart(interval, true, At(0.1 * start));
  }
  CHECK(CannotStartInTime(interval, 20, 0.5));
  CHECK_FALSE(CannotStartInTime(interval, 3, 0.5));
}

/// Guards against refusals after a period of low demand: rare starts from an
/// empty queue do not mean that slots rarely become free.
TEST(WaitQueue, StartsFromAnEmptyQueueAreNotCounted)
{
  StartInterval interval;
  for (int start = 0; start < 30; ++start) {
    interval = WithStart(interval, false, At(2 * start));
  }
  CHECK_FALSE(CannotStartInTime(interval, 50, 0.5));
  interval = WithStart(interval, true, At(60.0));
  interval = WithStart(interval, true, At(60.1));
  DOUBLES_EQUAL(0.1, ExpectedSecondsToStart(interval, 0), 1e-6);
}

/// Guards against a queue in which a level of urgency is worth the goal of one
/// deployment: with a goal of 0.4 s, a request that waits a quarter of it goes
/// before a newer one that is more urgent by one level.
TEST(WaitQueue, LevelOfUrgencyIsWorthAQuarterOfTheGoal)
{
  const auto add = [this](std::int64_t aUrgency, double aSince) {
    return mQueue.Add({ aUrgency,
                        "a",
                        At(aSince),
                        At(aSince + 0.3),
                        std::chrono::milliseconds(400) });
  };
  const WaitTicket old = add(1, 0);
  const WaitTicket urgent = add(0, 0.09);
  CHECK(mQueue.Next(At(0.1)) == urgent);
  mQueue.Remove(urgent);
  add(0, 0.11);
  CHECK(mQueue.Next(At(0.2)) == old);
}

/// Guards against an account that other VMs serve as well, and has the first
/// slot at each of them. Old reports no longer count.
TEST(WaitQueue, WorkThatOtherVmsStartedCounts)
{
  const WaitTicket large = Add(0, "large", 0, 30);
  const WaitTicket small = Add(0, "small", 0.5, 30);
  mQueue.RecordStart("large", 0.1, At(1));
  mQueue.RecordStart("small", 0.1, At(1));
  CHECK(mQueue.Next(At(1)) == large);
  mQueue.SetWorkOfOthers({ { { "large", 5.0 } }, At(1) });
  CHECK(mQueue.Next(At(1)) == small);
  mQueue.RecordStart("large", 0.1, At(20));
  mQueue.RecordStart("small", 0.1, At(20));
  CHECK(mQueue.Next(At(20)) == large);
}

/// Guards against a changed order where accounts do not compete: neither shares
/// nor the work of requests count if only one account waits.
TEST(WaitQueue, OneAccountIsServedInTheOrderOfAQueueWithoutAccounts)
{
  Random random(7);
  WaitQueue plain;
  std::map<WaitTicket, WaitTicket> plainTickets;
  for (int index = 0; index < 200; ++index) {
    WaitingRequest request;
    request.mUrgency = static_cast<std::int64_t>(random.Below(3));
    request.mQueuedAt = At(0.01 * index);
    request.mStartBy = At(5 + random.Unit());
    request.mFirstEventGoal = std::chrono::seconds(2);
    const WaitTicket plainTicket = plain.Add(request);
    request.mAccount = "one";
    request.mWorkSeconds = random.Unit();
    plainTickets[mQueue.Add(request)] = plainTicket;
    mQueue.RecordStart(index % 2 == 0 ? "one" : "idle", 0.1, At(0.01 * index));
  }
  while (const auto next = mQueue.Next(At(3))) {
    CHECK(plain.Next(At(3)) == plainTickets[*next]);
    plain.Remove(plainTickets[*next]);
    mQueue.Remove(*next);
  }
  UNSIGNED_LONGS_EQUAL(0, plain.size());
}

namespace {

/// The defined order, by a scan of all waiting requests.
std::optional<WaitTicket> NextByScan(
  const std::map<WaitTicket, WaitingRequest>& aRequests,
  const AccountShares& aShares,
  TimePoint aNow)
{
  using Place = std::tuple<TimePoint, TimePoint, WaitTicket>;
  std::map<std::string, Place> firsts;
  for (const auto& [ticket, request] : aRequests) {
    const Place place{ RankWithinAccount(request), request.mStartBy, ticket };
    if (request.mStartBy >= aNow && (!firsts.contains(request.mAccount) ||
                                     place < firsts[request.mAccount])) {
      firsts[request.mAccount] = place;
    }
  }
  std::optional<Place> best;
  for (const auto& [account, first] : firsts) {
    const WaitTicket ticket = std::get<2>(first);
    const WaitingRequest& request = aRequests.at(ticket);
    const Place place{ RankAmongAccounts(request,
                                         RelativeShareOf(aShares, account)),
                       request.mStartBy,
                       ticket };
    if (!best || place < *best) {
      best = place;
    }
  }
  return best ? std::optional(std::get<2>(*best)) : std::nullopt;
}

std::size_t CountAheadByScan(
  const std::map<WaitTicket, WaitingRequest>& aRequests,
  const WaitingRequest& aRequest,
  const AccountShares& aShares,
  TimePoint aNow)
{
  const auto among = [&aShares](const WaitingRequest& aOther) {
    return std::pair(
      RankAmongAccounts(aOther, RelativeShareOf(aShares, aOther.mAccount)),
      aOther.mStartBy);
  };
  const auto within = [](const WaitingRequest& aOther) {
    return std::pair(RankWithinAccount(aOther), aOther.mStartBy);
  };
  std::size_t ahead = 0;
  for (const auto& [ticket, other] : aRequests) {
    const bool isAhead = other.mAccount == aRequest.mAccount
                           ? within(other) < within(aRequest)
                           : among(other) < among(aRequest);
    ahead += isAhead && other.mStartBy >= aNow ? 1 : 0;
  }
  return ahead;
}

} // namespace

/// Guards against an index that differs from the requests that wait, after any
/// sequence of arrivals, starts, expiries, removals and reports.
TEST(WaitQueue, OrderIsThatOfAScanOfAllRequests)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Random random(seed);
    WaitQueue queue;
    std::map<WaitTicket, WaitingRequest> requests;
    double now = 0;
    for (int step = 0; step < 600; ++step) {
      now += 0.02 * random.Unit();
      WaitingRequest request;
      request.mUrgency = static_cast<std::int64_t>(random.Below(4));
      request.mAccount =
        std::string(1, static_cast<char>('a' + random.Below(7)));
      request.mQueuedAt = At(now);
      // Few values, so that ranks and times are often equal.
      request.mFirstEventGoal =
        std::chrono::milliseconds(300 * (1 + random.Below(3)));
      request.mStartBy = At(now + 0.25 * static_cast<double>(random.Below(6)));
      request.mWorkSeconds = random.Unit();
      UNSIGNED_LONGS_EQUAL(
        CountAheadByScan(requests, request, queue.Shares(At(now)), At(now)),
        queue.CountAhead(request, At(now)));
      requests[queue.Add(request)] = request;
      if (random.Below(10) == 0) {
        queue.SetWorkOfOthers(
          { { { "a", random.Unit() }, { "c", random.Unit() } }, At(now) });
      }
      if (random.Below(3) == 0) {
        for (const WaitTicket ticket : queue.Expired(At(now))) {
          queue.Remove(ticket);
          requests.erase(ticket);
        }
      }
      const auto next = queue.Next(At(now));
      CHECK(next == NextByScan(requests, queue.Shares(At(now)), At(now)));
      if (next && random.Below(2) == 0) {
        queue.RecordStart(
          requests[*next].mAccount, requests[*next].mWorkSeconds, At(now));
        queue.Remove(*next);
        requests.erase(*next);
      }
      UNSIGNED_LONGS_EQUAL(requests.size(), queue.size());
    }
  }
}
