#include <Acaciavale/LibRelay/StoreReaders.h>
#include <Acaciavale/LibRelay/ViewWait.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

using std::chrono::milliseconds;

constexpr TimePoint kStart{ std::chrono::seconds(100) };

/// A VM that started at kStart and whose reads have failed since.
ViewReads FailingSinceStart()
{
  return WithFailedRead({}, kStart + milliseconds(100), kStart);
}

ViewWaitDecision Decide(const ViewReads& aReads,
                        Duration aTimeLeft,
                        Duration aSinceStart,
                        Duration aWaited = {})
{
  return DecideViewWait(aReads, aTimeLeft, aWaited, 0, kStart + aSinceStart);
}

} // namespace

TEST_GROUP(ViewWait){};

// Guards against refusing all requests of VMs that start together, because one
// of their first reads failed.
TEST(ViewWait, AFailedReadOfAStartingVmKeepsRequestsWaiting)
{
  const auto decision =
    Decide(FailingSinceStart(), milliseconds(4000), milliseconds(50));
  CHECK(decision.mWait > milliseconds(1000));
}

// Guards against waits that use up the time for the work and a repeat.
TEST(ViewWait, WaitsForAThirdOfTheCallersTime)
{
  const auto decision = Decide({}, milliseconds(1500), {});
  CHECK(decision.mWait == milliseconds(500));
  CHECK(Decide({}, std::chrono::seconds(60), {}).mWait <=
        std::chrono::seconds(2));
  CHECK(Decide({}, milliseconds(1000), {}, milliseconds(500)).mWait ==
        Duration{});
}

// Guards against holding requests through an outage of the store.
TEST(ViewWait, RefusesAtOnceWhenReadsHaveFailedForLong)
{
  const auto decision =
    Decide(FailingSinceStart(), std::chrono::seconds(20), milliseconds(2100));
  CHECK(decision.mWait == Duration{});
  CHECK(decision.mRetryAfter >= milliseconds(1000));
}

// Guards against holding requests at a VM that is cut off while others serve.
TEST(ViewWait, AVmThatHadAViewRefusesAtOnceWhenReadsFail)
{
  const ViewReads reads =
    WithFailedRead({ true, std::nullopt, {} }, kStart, kStart);
  CHECK(Decide(reads, std::chrono::seconds(20), {}).mWait == Duration{});
}

// Guards against callers that return before the next read, only to be refused
// again.
TEST(ViewWait, CallersReturnAfterTheNextRead)
{
  const ViewReads reads = WithFailedRead(
    { true, std::nullopt, {} }, kStart + milliseconds(900), kStart);
  const auto decision = Decide(reads, std::chrono::seconds(20), {});
  CHECK(decision.mRetryAfter > milliseconds(900));
}

// Guards against a start of the count at each failed read.
TEST(ViewWait, TheFirstFailureCounts)
{
  const ViewReads reads = WithFailedRead(FailingSinceStart(),
                                         kStart + milliseconds(500),
                                         kStart + milliseconds(400));
  CHECK(reads.mFailingSince == kStart);
  CHECK(reads.mNextReadAt == kStart + milliseconds(500));
}

// Guards against VMs that keep the store at its limit when they start.
TEST(ViewWait, FirstReadsAreRepeatedSoonerAndSpread)
{
  CHECK(FirstReadRetryDelay(1, 0) < RetryDelay(1));
  CHECK(FirstReadRetryDelay(1, 0) < FirstReadRetryDelay(1, 0.9));
  CHECK(FirstReadRetryDelay(2, 0) > FirstReadRetryDelay(1, 0));
  CHECK(FirstReadRetryDelay(50, 0.9) == RetryDelay(50));
}
