#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::Platform::StandIns;

/// The entry of a VM in the store, by which callers and other VMs find it.
TEST_GROUP(Registration)
{
  PlatformFixture mFixture;

  void setup() override
  {
    mFixture.PutSettings(1);
    mFixture.StartNode();
    mFixture.RunUntil([this] { return !Keys().empty(); });
  }

  std::vector<std::string> Keys()
  {
    return mFixture.mStore.KeysWith("vms/");
  }
};

/// Guards against a VM that is ready and that nobody can find. The entry may go
/// while the VM's lease lasts: a late write of an earlier registration ties it
/// to another lease.
TEST(Registration, AnEntryThatHasGoneIsWrittenAgain)
{
  const std::string key = Keys().front();
  for (int round = 0; round < 2; ++round) {
    const std::int64_t lease = mFixture.mStore.LeaseOf(key);
    mFixture.mStore.Remove(key);
    mFixture.RunUntil([this] { return !Keys().empty(); });
    CHECK(mFixture.mStore.LeaseOf(key) != lease);
  }
}

/// Guards against registrations without need, each of which has its price.
TEST(Registration, AnEntryThatIsThereIsNotWrittenAgain)
{
  const std::string key = Keys().front();
  const std::int64_t lease = mFixture.mStore.LeaseOf(key);
  mFixture.RunFor(std::chrono::seconds(8));
  LONGS_EQUAL(lease, mFixture.mStore.LeaseOf(key));
}
