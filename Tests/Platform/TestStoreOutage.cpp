#include "StandInPlatform.h"

#include <Acaciavale/LibRelay/StoreReaders.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// What a VM concludes from entries that are missing when it reads the store
/// again: their leases may have lapsed in an outage of the store, or their
/// endpoints have left.
TEST_GROUP(StoreOutage)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Platform::Node>> mOtherVms;

  int RequestStatus(const std::string& aKey)
  {
    return static_cast<int>(
      mFixture.Call({ "POST", "/once/x", "body", { { "Key", aKey } } })
        .mHead.result_int());
  }

  Platform::Node& StartVm(const std::string& aName)
  {
    auto config = mFixture.mConfig;
    config.mName = aName;
    config.mPeerAddress = mFixture.UnusedAddress();
    mOtherVms.push_back(
      std::make_unique<Platform::Node>(mFixture.mIoContext, "", config));
    mOtherVms.back()->Start();
    RunUntilRegistered(aName);
    return *mOtherVms.back();
  }

  void RunUntilRegistered(const std::string& aVm)
  {
    mFixture.RunUntil(
      [&] { return mFixture.mStore.Value("vms/" + aVm).has_value(); });
  }

  void CutOff(Platform::Node & aVm, const std::string& aName)
  {
    auto config = mFixture.mConfig;
    config.mName = aName;
    config.mStoreAddress = mFixture.UnusedAddress();
    aVm.SetConfig(config);
  }

  void Reconnect(Platform::Node & aVm, const std::string& aName)
  {
    auto config = mFixture.mConfig;
    config.mName = aName;
    aVm.SetConfig(config);
  }

  /// Lists the VM at an address where no process listens. Returns the entry
  /// that it had.
  std::string MakeUnreachable(const std::string& aName)
  {
    const std::string key = "vms/" + aName;
    std::string entry = *mFixture.mStore.Value(key);
    auto vm = DecodeVm(aName, entry);
    vm->mPeerAddress = mFixture.UnusedAddress();
    mFixture.mStore.Put(key, EncodeVm(*vm));
    mFixture.RunFor(std::chrono::milliseconds(1500));
    return entry;
  }

  /// Returns the arrivals at the endpoint while 40 requests are sent.
  std::size_t ArrivalsOfNewRequests(const Replica& aReplica,
                                    const std::string& aKey)
  {
    const std::size_t before = aReplica.mArrivals.size();
    for (int request = 0; request < 40; ++request) {
      LONGS_EQUAL(200, RequestStatus(aKey));
    }
    return aReplica.mArrivals.size() - before;
  }
};

/// The store served all the while, so the endpoint's entry did not lapse in an
/// outage.
TEST(StoreOutage, AVmThatWasCutOffDropsAnEndpointThatLeftMeanwhile)
{
  mFixture.PutSettings(1, { "key-1" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("stays"));
  const Replica& left =
    mFixture.AddEndpoint("desk", "i-2", RespondWith("left"));
  mFixture.StartNode();
  RunUntilRegistered("vm-1");
  StartVm("vm-2");
  const std::string entry = MakeUnreachable("vm-2");
  CutOff(*mFixture.mNode, "vm-1");
  mFixture.RunFor(std::chrono::milliseconds(1000));
  mFixture.mStore.Remove("servers/i-2");
  mFixture.mStore.Put("vms/vm-2", entry);
  mFixture.PutSettings(2, { "key-2" });
  mFixture.RunFor(std::chrono::milliseconds(2000));
  Reconnect(*mFixture.mNode, "vm-1");
  mFixture.RunUntil([&] { return RequestStatus("key-2") == 200; });
  mFixture.RunFor(std::chrono::milliseconds(200));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsOfNewRequests(left, "key-2"));
}

/// All VMs were without the store, so the entry may have lapsed meanwhile.
TEST(StoreOutage, AnEndpointWhoseEntryLapsedIsKeptForTheGracePeriod)
{
  mFixture.PutSettings(1, { "key-1" });
  const Replica& lapsed =
    mFixture.AddEndpoint("desk", "i-1", RespondWith("alive"));
  mFixture.StartNode();
  RunUntilRegistered("vm-1");
  StartVm("vm-2");
  mFixture.RunFor(std::chrono::milliseconds(2500));
  mFixture.mStore.SetMode(Store::Mode::Unresponsive);
  mFixture.RunFor(std::chrono::milliseconds(2500));
  const std::string entry = *mFixture.mStore.Value("servers/i-1");
  mFixture.mStore.Remove("servers/i-1");
  mFixture.PutSettings(2, { "key-2" });
  mFixture.mStore.SetMode(Store::Mode::Serving);
  mFixture.RunUntil([&] { return RequestStatus("key-2") == 200; });
  UNSIGNED_LONGS_EQUAL(40, ArrivalsOfNewRequests(lapsed, "key-2"));
  mFixture.mStore.Put("servers/i-1", entry);
  mFixture.RunFor(std::chrono::milliseconds(2500));
  UNSIGNED_LONGS_EQUAL(40, ArrivalsOfNewRequests(lapsed, "key-2"));
}

/// An entry that was there after the outage has not lapsed in it.
TEST(StoreOutage, AnEndpointThatLeavesAfterTheOutageIsDropped)
{
  mFixture.PutSettings(1, { "key-1" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("stays"));
  const Replica& left =
    mFixture.AddEndpoint("desk", "i-2", RespondWith("left"));
  mFixture.StartNode();
  mFixture.RunUntilStoreRead();
  mFixture.mStore.SetMode(Store::Mode::Unresponsive);
  mFixture.RunFor(std::chrono::milliseconds(2500));
  mFixture.PutSettings(2, { "key-2" });
  mFixture.mStore.SetMode(Store::Mode::Serving);
  mFixture.RunUntil([&] { return RequestStatus("key-2") == 200; });
  mFixture.mStore.Remove("servers/i-2");
  mFixture.RunFor(std::chrono::milliseconds(900));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsOfNewRequests(left, "key-2"));
}

/// The reader that a VM queries returns from a cut. The VM itself had snapshots
/// all the while.
TEST(StoreOutage, AVmDoesNotAdoptTheOutageOfAnotherVm)
{
  mFixture.PutSettings(1, { "key-1" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("stays"));
  const Replica& left =
    mFixture.AddEndpoint("desk", "i-2", RespondWith("left"));
  StartVm("vm-1");
  StartVm("vm-2");
  const std::string& domain = mFixture.mConfig.mFailureDomain;
  const std::vector<Relay::ListedVm> readers{ { "vm-1", domain },
                                              { "vm-2", domain } };
  const Relay::ListedVm self{ "vm-9", domain };
  const std::string reader =
    *Relay::ReaderFor({ readers[0], readers[1], self }, readers, self, 0);
  Platform::Node& readerVm = *mOtherVms[reader == "vm-1" ? 0 : 1];
  mFixture.mConfig.mName = "vm-9";
  mFixture.StartNode();
  RunUntilRegistered("vm-9");
  MakeUnreachable(reader == "vm-1" ? "vm-2" : "vm-1");
  CutOff(readerVm, reader);
  mFixture.RunFor(std::chrono::milliseconds(3000));
  Reconnect(readerVm, reader);
  mFixture.RunFor(std::chrono::milliseconds(1200));
  mFixture.mStore.Remove("servers/i-2");
  mFixture.RunFor(std::chrono::milliseconds(1300));
  UNSIGNED_LONGS_EQUAL(0, ArrivalsOfNewRequests(left, "key-1"));
}
