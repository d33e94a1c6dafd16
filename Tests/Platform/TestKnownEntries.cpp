#include <Acaciavale/LibCore/Random.h>
#include <KnownEntries.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;

namespace {

/// A store that some VMs read, each at its own moments.
struct TestStore
{
  std::map<std::string, StoreEntry> mEntries;
  std::int64_t mRevision = 1;

  void Put(const std::string& aKey, const std::string& aValue)
  {
    mRevision += 1;
    mEntries[aKey] = { aKey, aValue, mRevision };
  }
  void Remove(const std::string& aKey)
  {
    mRevision += 1;
    mEntries.erase(aKey);
  }
  std::vector<StoreEntry> List() const
  {
    std::vector<StoreEntry> list;
    for (const auto& [key, entry] : mEntries) {
      list.push_back(entry);
    }
    return list;
  }
  void ReadInto(KnownEntries& aKnown) const
  {
    aKnown.Replace(List(), mRevision);
  }
};

std::string EndpointText(int aHeartbeat, const std::string& aState)
{
  return R"({"service":"desk","address":"127.0.0.1:1","zone":"a",)"
         R"("version":"v1","slots":4,"state":")" +
         aState + R"(","seq-no":)" + std::to_string(aHeartbeat) + "}";
}

} // namespace

TEST_GROUP(KnownEntries)
{
  TestStore mStore;
  KnownEntries mReader;
  KnownEntries mOther;

  ReadingAnswer Ask() const
  {
    return mReader.ChangesSince(mOther.AsOf());
  }
};

TEST(KnownEntries, OnlyWhatChangedIsPassedOn)
{
  mStore.Put("op/config", "1");
  mStore.Put("vms/vm-1", "one");
  mStore.Put("vms/vm-2", "two");
  mStore.ReadInto(mReader);
  const ReadingAnswer whole = Ask();
  CHECK(whole.mIsWhole);
  CHECK(mOther.Take(whole) == ReadingFit::Changed);
  mStore.Put("op/config", "2");
  mStore.Remove("vms/vm-2");
  mStore.ReadInto(mReader);
  const ReadingAnswer changes = Ask();
  CHECK_FALSE(changes.mIsWhole);
  UNSIGNED_LONGS_EQUAL(1, changes.mEntries.size());
  UNSIGNED_LONGS_EQUAL(1, changes.mRemoved.size());
  CHECK(mOther.Take(changes) == ReadingFit::Changed);
  CHECK(mOther.List() == mStore.List());
}

/// After an outage of the store all VMs read it, each at another moment. Were
/// these then sent the whole, their readers would be busy with it for seconds.
TEST(KnownEntries, WhoHasReadTheStoreNeedsChangesOnly)
{
  mStore.Put("op/config", "1");
  mStore.ReadInto(mReader);
  mStore.Put("vms/vm-1", "one");
  mStore.ReadInto(mOther);
  mStore.Put("vms/vm-2", "two");
  mStore.ReadInto(mReader);
  const ReadingAnswer answer = Ask();
  CHECK_FALSE(answer.mIsWhole);
  CHECK(mOther.Take(answer) == ReadingFit::Changed);
  CHECK(mOther.List() == mStore.List());
}

TEST(KnownEntries, AnOlderReadingChangesNothing)
{
  mStore.Put("op/config", "1");
  mStore.ReadInto(mReader);
  mStore.Put("op/config", "2");
  mStore.ReadInto(mOther);
  CHECK(mOther.Take(Ask()) == ReadingFit::Unchanged);
  CHECK(mOther.List() == mStore.List());
}

TEST(KnownEntries, AHeartbeatIsNoChangeButALeavingIs)
{
  mStore.Put("servers/i-1", EndpointText(1, "ready"));
  mStore.ReadInto(mReader);
  mStore.ReadInto(mOther);
  mStore.Put("servers/i-1", EndpointText(2, "ready"));
  mStore.ReadInto(mReader);
  CHECK(Ask().mEntries.empty());
  CHECK(mOther.Take(Ask()) == ReadingFit::Unchanged);
  mStore.Put("servers/i-1", EndpointText(3, "draining"));
  mStore.ReadInto(mReader);
  UNSIGNED_LONGS_EQUAL(1, Ask().mEntries.size());
  CHECK(mOther.Take(Ask()) == ReadingFit::Changed);
}

/// An entry came and went between two readings of the reader; the other VM read
/// it in between. It can't be told that it went, so it has to notice.
TEST(KnownEntries, WhatTheReaderNeverSawIsNoticed)
{
  mStore.Put("op/config", "1");
  mStore.ReadInto(mReader);
  mStore.Put("vms/vm-1", "one");
  mStore.ReadInto(mOther);
  mStore.Remove("vms/vm-1");
  mStore.ReadInto(mReader);
  CHECK(mOther.Take(Ask()) == ReadingFit::Misfit);
  UNSIGNED_LONGS_EQUAL(2, mOther.List().size());
}

/// Readings by three VMs at random moments, of random changes: one that takes
/// an answer over has what its reader has, or says that it does not fit.
TEST(KnownEntries, AnAnswerThatFitsLeadsToTheReadersEntries)
{
  Random random(7);
  int fits = 0;
  int misfits = 0;
  for (int step = 0; step < 4000; ++step) {
    const std::string key = "vms/vm-" + std::to_string(random.Below(40));
    switch (random.Below(4)) {
      case 0:
        mStore.Put(key, "value");
        break;
      case 1:
        mStore.Remove(key);
        break;
      case 2:
        mStore.ReadInto(mReader);
        break;
      default:
        if (random.Below(20) == 0) {
          mStore.ReadInto(mOther);
        }
    }
    const ReadingAnswer answer = Ask();
    const bool isNewer = mReader.AsOf() > mOther.AsOf();
    const ReadingFit fit = mOther.Take(answer);
    if (fit == ReadingFit::Misfit) {
      misfits += 1;
      mStore.ReadInto(mOther);
    } else if (isNewer) {
      fits += 1;
      CHECK(mOther.List() == mReader.List());
    }
  }
  CHECK(fits > 500);
  CHECK(misfits < fits / 20);
}
