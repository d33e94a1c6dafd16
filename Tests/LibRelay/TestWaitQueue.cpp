#include <Acaciavale/LibRelay/WaitQueue.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
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
    return mQueue.Add({ aUrgency, aAccount, At(aSince), At(aStartBy) });
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
  mQueue.RecordStart("large");
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
      mQueue.RecordStart(queued[*next]);
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
  const StartInterval interval{ 0.02, {} };
  CHECK(RetryAfter({ 0.01, {} }, 0, 0) >= std::chrono::milliseconds(100));
  CHECK(RetryAfter(interval, 40, 0) > RetryAfter(interval, 10, 0));
  CHECK(RetryAfter(interval, 10, 0.9) > RetryAfter(interval, 10, 0.1));
  CHECK(RetryAfter({ 1, {} }, 100000, 1) <= std::chrono::seconds(2));
}

TEST(WaitQueue, CountAheadIncludesOnlyRequestsThatStartEarlier)
{
  Add(0, "a", 0, 1);
  Add(2, "a", 0, 1);
  Add(0, "a", 0, 0.05); // Expired at the time of the check.
  const auto makeRequest = [](std::int64_t aUrgency) {
    return WaitingRequest{ aUrgency, "b", At(0), At(1) };
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
