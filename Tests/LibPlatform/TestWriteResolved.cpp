#include "FakeKeyValueStore.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

const CompareAndSwap kOwnWrite{ "key", "ours, nonce 1", 0, 0 };

FakeStoreFaults LostResponses(int aCount)
{
  FakeStoreFaults faults;
  faults.mLoseAnswers = aCount;
  return faults;
}

FakeStoreFaults LostRequests(int aCount)
{
  FakeStoreFaults faults;
  faults.mLoseRequests = aCount;
  return faults;
}

} // namespace

TEST_GROUP(WriteResolved){};

TEST(WriteResolved, FindsItsOwnValueAfterALostResponse)
{
  FakeKeyValueStore fake;
  fake.SetFaults(LostResponses(1));
  const auto revision = WriteResolved(fake.Store(), kOwnWrite);
  CHECK(revision.has_value());
  const auto entry = fake.Store().mRead("key");
  CHECK(entry.has_value() && *entry && (*entry)->mRevision == *revision);
  LONGS_EQUAL(1, fake.Counts().mWrites);
}

TEST(WriteResolved, WritesAgainWhenTheRequestWasLost)
{
  FakeKeyValueStore fake;
  fake.SetFaults(LostRequests(1));
  CHECK(WriteResolved(fake.Store(), kOwnWrite).has_value());
  CHECK(fake.Store().mRead("key").value()->mValue == kOwnWrite.mValue);
}

TEST(WriteResolved, FindsTheFirstWriteWhenTheSecondConflictsWithIt)
{
  // NOTE: The first write takes effect late, after the read that checks for it.
  FakeKeyValueStore fake;
  KeyValueStore store = fake.Store();
  int calls = 0;
  store.mCompareAndSwap =
    [&](const CompareAndSwap& aWrite) -> ErrorOr<std::int64_t> {
    if (++calls == 1) {
      return MakeError(ErrorCode::OutcomeUnknown, "late");
    }
    CHECK(fake.Store().mCompareAndSwap(kOwnWrite).has_value());
    return fake.Store().mCompareAndSwap(aWrite);
  };
  CHECK(WriteResolved(store, kOwnWrite).has_value());
}

TEST(WriteResolved, ReturnsConflictWhenAnotherWriterWon)
{
  FakeKeyValueStore fake;
  CHECK(fake.Store().mCompareAndSwap({ "key", "theirs", 0, 0 }).has_value());
  fake.SetFaults(LostRequests(1));
  CHECK(WriteResolved(fake.Store(), kOwnWrite).error().mCode ==
        ErrorCode::Conflict);
}

TEST(WriteResolved, ReturnsOutcomeUnknownWhenTheReadFailsToo)
{
  FakeKeyValueStore fake;
  FakeStoreFaults faults = LostResponses(1);
  faults.mFailReads = 3;
  fake.SetFaults(faults);
  CHECK(WriteResolved(fake.Store(), kOwnWrite).error().mCode ==
        ErrorCode::OutcomeUnknown);
}

TEST(WriteResolved, ReturnsUnavailableWhenNothingWasWritten)
{
  FakeKeyValueStore fake;
  fake.SetDown(true);
  CHECK(WriteResolved(fake.Store(), kOwnWrite).error().mCode ==
        ErrorCode::Unavailable);
}
