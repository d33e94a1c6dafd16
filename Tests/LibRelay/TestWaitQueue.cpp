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

TEST(WaitQueue, TheMostUrgentStartsFirstThenWhoHasLeastTime)
{
  Add(1, "a", 0, 0.3);
  const WaitTicket late = Add(0, "a", 0, 0.4);
  const WaitTicket soon = Add(0, "a", 0, 0.2);
  CHECK(mQueue.Next(At(0.1)) == soon);
  mQueue.Remove(soon);
  CHECK(mQueue.Next(At(0.1)) == late);
}

TEST(WaitQueue, AnAccountThatStartsOftenLetsOthersGoBefore)
{
  const WaitTicket large = Add(0, "large", 0, 0.2);
  const WaitTicket small = Add(0, "small", 0, 0.3);
  CHECK(mQueue.Next(At(0.1)) == large);
  mQueue.RecordStart("large");
  CHECK(mQueue.Next(At(0.1)) == small);
}

TEST(WaitQueue, WhatCanNoLongerStartInTimeIsNotStarted)
{
  const WaitTicket ticket = Add(0, "a", 0, 0.2);
  CHECK(mQueue.Next(At(0.3)) == std::nullopt);
  CHECK(mQueue.Expired(At(0.3)) == std::vector<WaitTicket>{ ticket });
  CHECK(mQueue.Expired(At(0.1)).empty());
}

/// The load pattern: three times what the places serve, and one account with
/// ten times the requests of the other. A first-come line serves accounts by
/// their number of requests, so it turns the small one away as often.
TEST(WaitQueue, AnAccountWithTenTimesTheRequestsDoesNotCrowdOutOthers)
{
  std::map<WaitTicket, std::string> asked;
  int small = 0;
  int smallStarted = 0;
  Random random(7);
  double nextStart = 0;
  for (double now = 0; now < 20; now += 0.01) {
    const std::string account = random.Below(11) > 0 ? "large" : "small";
    small += account == "small" ? 1 : 0;
    asked[Add(0, account, now, now + 2)] = account;
    for (const WaitTicket ticket : mQueue.Expired(At(now))) {
      mQueue.Remove(ticket);
    }
    if (now >= nextStart) {
      nextStart = now + 0.03;
      const auto next = mQueue.Next(At(now));
      CHECK(next.has_value());
      smallStarted += asked[*next] == "small" ? 1 : 0;
      mQueue.RecordStart(asked[*next]);
      mQueue.Remove(*next);
    }
  }
  // First come, first served would start a third of them.
  CHECK(smallStarted > 0.9 * small);
}

/// The load pattern: one and a half times what the places serve, from three
/// urgencies alike.
TEST(WaitQueue, ABurstServesTheUrgentFirstAndStarvesNone)
{
  std::map<WaitTicket, std::int64_t> asked;
  std::map<std::int64_t, int> started;
  Random random(7);
  double nextStart = 0;
  for (double now = 0; now < 20; now += 0.01) {
    const auto urgency = static_cast<std::int64_t>(random.Below(3));
    asked[Add(urgency, "one", now, now + 2)] = urgency;
    for (const WaitTicket ticket : mQueue.Expired(At(now))) {
      mQueue.Remove(ticket);
    }
    if (now >= nextStart) {
      nextStart = now + 0.015;
      const auto next = mQueue.Next(At(now));
      CHECK(next.has_value());
      started[asked[*next]] += 1;
      mQueue.Remove(*next);
    }
  }
  CHECK(started[0] > started[2]);
  CHECK(started[2] > 0);
}

TEST(WaitQueue, WhoIsTurnedAwayComesBackSpreadAndAfterTheLine)
{
  const StartInterval quick{ 0.02, {} };
  CHECK(RetryAfter({ 0.01, {} }, 0, 0) >= std::chrono::milliseconds(100));
  CHECK(RetryAfter(quick, 40, 0) > RetryAfter(quick, 10, 0));
  CHECK(RetryAfter(quick, 10, 0.9) > RetryAfter(quick, 10, 0.1));
  CHECK(RetryAfter({ 1, {} }, 100000, 1) <= std::chrono::seconds(2));
}

TEST(WaitQueue, TheLineAheadCountsOnlyWhatGoesBefore)
{
  Add(0, "a", 0, 1);
  Add(2, "a", 0, 1);
  Add(0, "a", 0, 0.05); // Expired by then.
  const auto work = [](std::int64_t aUrgency) {
    return WaitingRequest{ aUrgency, "b", At(0), At(1) };
  };
  UNSIGNED_LONGS_EQUAL(1, mQueue.CountAhead(work(1), At(0.1)));
  UNSIGNED_LONGS_EQUAL(2, mQueue.CountAhead(work(3), At(0.1)));
}

/// Places come free ten a second. Who finds twenty before it will not start
/// within half a second, and is told so at once; who finds three may wait.
TEST(WaitQueue, WhatCanNotStartInTimeIsTurnedAwayAtOnce)
{
  StartInterval interval;
  for (int start = 0; start < 30; ++start) {
    interval = WithStart(interval, true, At(0.1 * start));
  }
  CHECK(CannotStartInTime(interval, 20, 0.5));
  CHECK_FALSE(CannotStartInTime(interval, 3, 0.5));
}

/// Before a burst little is asked for. That starts are rare then does not say
/// that places come free rarely: nobody is turned away for it.
TEST(WaitQueue, AQuietTimeIsNoPaceOfPlaces)
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
