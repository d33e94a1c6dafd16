#include "StandInFixture.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(HttpKeyValueClient)
{
  StandInFixture mStandIns;
  HttpKeyValueClient mClient{ mStandIns.ClientOptions() };
  KeyValueStore mStore = mClient.Store();
};

TEST(HttpKeyValueClient, ReadsWritesListsAndRemoves)
{
  CHECK(!mStore.mRead("a/1").value());
  const auto first = mStore.mCompareAndSwap({ "a/1", "one\n\"é", 0, 0 });
  CHECK(mStore.mCompareAndSwap({ "a/2", "two", 0, 0 }).has_value());
  CHECK(mStore.mRead("a/1").value()->mValue == "one\n\"é");
  CHECK(mStore.mCompareAndSwap({ "a/1", "other", 0, 0 }).error().mCode ==
        ErrorCode::Conflict);
  LONGS_EQUAL(2, mStore.mList("a/").value().size());
  CHECK(mStore.mRemove("a/1", *first).has_value());
  CHECK(mStore.mRemove("a/1", *first).error().mCode == ErrorCode::Conflict);
  LONGS_EQUAL(1, mStore.mList("a/").value().size());
}

TEST(HttpKeyValueClient, WatchReturnsOnAMatchingWriteOrOnTimeout)
{
  std::thread writer([&] {
    CHECK(mStore.mCompareAndSwap({ "w/1", "new", 0, 0 }).has_value());
  });
  const auto changed = mStore.mWatch("w/", 0, seconds(20));
  writer.join();
  LONGS_EQUAL(1, changed.value().size());
  STRCMP_EQUAL("new", changed.value()[0].mValue.c_str());
  const std::int64_t after = changed.value()[0].mRevision;
  CHECK(mStore.mWatch("w/", after, milliseconds(1)).value().empty());
}

TEST(HttpKeyValueClient, LostResponseIsResolvedToOneWrite)
{
  mStandIns.SetFault(R"({"part":"key-value","lose_answers":1})");
  const CompareAndSwap write{ "k", "v, nonce 1", 0, 0 };
  CHECK(mStore.mCompareAndSwap(write).error().mCode ==
        ErrorCode::OutcomeUnknown);
  CHECK(mStore.mCompareAndSwap(write).error().mCode == ErrorCode::Conflict);
  CHECK(WriteResolved(mStore, { "l", "v, nonce 2", 0, 0 }).has_value());
  LONGS_EQUAL(2, mStandIns.mWorld.KeyValue().History().size());
}

TEST(HttpKeyValueClient, NeverSendsAWriteTwiceOnADeadConnection)
{
  // NOTE: By default, libcurl resends a request when a reused connection is
  //       closed without a response.
  CHECK(mStore.mRead("k").has_value());
  mStandIns.SetFault(R"({"part":"key-value","lose_answers":1})");
  CHECK(mStore.mCompareAndSwap({ "k", "v", 0, 0 }).error().mCode ==
        ErrorCode::OutcomeUnknown);
  mStandIns.SetFault(R"({"part":"key-value","lose_answers":0})");
  const std::int64_t revision = mStore.mRead("k").value()->mRevision;
  mStandIns.SetFault(R"({"part":"key-value","lose_answers":1})");
  CHECK(mStore.mRemove("k", revision).error().mCode ==
        ErrorCode::OutcomeUnknown);
  LONGS_EQUAL(2, mStandIns.mWorld.KeyValue().CallCounts().mWrites);
}

TEST(HttpKeyValueClient, ReadsAreUnavailableWhileTheServiceIsDown)
{
  mStandIns.SetFault(R"({"part":"key-value","down_ms":600000})");
  CHECK(mStore.mRead("k").error().mCode == ErrorCode::Unavailable);
  CHECK(mStore.mList("k").error().mCode == ErrorCode::Unavailable);
  CHECK(mStore.mWatch("k", 0, seconds(1)).error().mCode ==
        ErrorCode::Unavailable);
  LONGS_EQUAL(3, mClient.Counts().mFailures);
  CHECK(mStore.mCompareAndSwap({ "k", "v", 0, 0 }).error().mCode ==
        ErrorCode::Unavailable);
  LONGS_EQUAL(1, mClient.Counts().mRefusedByBreaker);
}

TEST(HttpKeyValueClient, WriteToAnUnreachableServiceIsUnavailable)
{
  KeyValueClientOptions options = mStandIns.ClientOptions();
  options.mAddress = "127.0.0.1:1";
  HttpKeyValueClient client(options);
  CHECK(client.Store().mCompareAndSwap({ "k", "v", 0, 0 }).error().mCode ==
        ErrorCode::Unavailable);
}

TEST(HttpKeyValueClient, TimedOutWriteHasAnUnknownOutcome)
{
  mStandIns.SetFault(R"({"part":"key-value","delay_ms":600000})");
  KeyValueClientOptions options = mStandIns.ClientOptions();
  options.mTimeout = milliseconds(50);
  HttpKeyValueClient client(options);
  CHECK(client.Store().mCompareAndSwap({ "k", "v", 0, 0 }).error().mCode ==
        ErrorCode::OutcomeUnknown);
}

TEST(HttpKeyValueClient, CountsEveryCallAndRefusesCallsOverTheBudget)
{
  KeyValueClientOptions options = mStandIns.ClientOptions();
  options.mCallsPerSecond = 1e-6;
  options.mCallBurst = 2;
  HttpKeyValueClient client(options);
  CHECK(client.Store().mRead("k").has_value());
  CHECK(client.Store().mWatch("k", 0, milliseconds(1)).has_value());
  CHECK(client.Store().mRead("k").error().mCode == ErrorCode::Unavailable);
  CHECK(client.Counts() == (KeyValueClientCounts{ 2, 0, 0, 1, 0 }));
  const auto calls = mStandIns.mWorld.KeyValue().CallCounts();
  LONGS_EQUAL(2, calls.mReads + calls.mWatches);
}

TEST(HttpKeyValueClient, RevokingALeaseRemovesItsKeys)
{
  const std::int64_t lease = mStore.mGrantLease(seconds(600)).value();
  CHECK(mStore.mKeepLease(lease).has_value());
  CHECK(mStore.mCompareAndSwap({ "k", "v", 0, lease }).has_value());
  CHECK(mStore.mRevokeLease(lease).has_value());
  CHECK(!mStore.mRead("k").value());
  CHECK(mStore.mKeepLease(lease).error().mCode == ErrorCode::NotFound);
  CHECK(mStore.mCompareAndSwap({ "k", "v", 0, lease }).error().mCode ==
        ErrorCode::Conflict);
}

TEST(HttpKeyValueClient, LeaseThatIsNotKeptAliveExpires)
{
  const std::int64_t lease = mStore.mGrantLease(milliseconds(1)).value();
  while (mStore.mKeepLease(lease).has_value()) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  CHECK(mStore.mCompareAndSwap({ "k", "v", 0, lease }).error().mCode ==
        ErrorCode::Conflict);
}
