#include "StandInPlatform.h"

#include <StoreCodec.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// How VMs follow the store, themselves or by way of others.
TEST_GROUP(Readings)
{
  World mWorld;

  int StatusOf(const std::string& aKey)
  {
    return static_cast<int>(
      mWorld.Call({ "POST", "/once/x", "body", { { "Key", aKey } } })
        .mHead.result_int());
  }

  /// VMs that read for others, first by name.
  std::vector<std::unique_ptr<Platform::Node>> StartReaders()
  {
    std::vector<std::unique_ptr<Platform::Node>> readers;
    for (const char* name : { "vm-1", "vm-2" }) {
      auto file = mWorld.mFile;
      file.mName = name;
      file.mPeers = mWorld.FreeAddress();
      readers.push_back(
        std::make_unique<Platform::Node>(mWorld.mLoop, "", file));
      readers.back()->Start();
    }
    return readers;
  }

  /// What the VM answers to another one that asks for its reading.
  int StatusOfReading()
  {
    const auto answer = std::make_shared<Answer>();
    bool isAnswered = false;
    const auto call = mWorld.Begin({ "POST",
                                     std::string(kReadingPath),
                                     EncodeReadingQuery({ "vm-8", 0, {}, {} }),
                                     {} },
                                   mWorld.mNode->Peers(),
                                   answer,
                                   [&isAnswered] { isAnswered = true; });
    mWorld.Until([&isAnswered] { return isAnswered; });
    return static_cast<int>(answer->mHead.result_int());
  }
};

/// Readings are passed on: of many VMs few call the store, all follow it, and
/// one that its reader does not answer reads for itself.
TEST(Readings, VmsThatAskOthersFollowTheStore)
{
  mWorld.PutSettings(1, { "key-1" });
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.mFile.mName = "vm-9";
  auto readers = StartReaders();
  mWorld.StartNode();
  mWorld.Until([&] { return mWorld.mStore.Value("vms/vm-9").has_value(); });
  mWorld.RunFor(std::chrono::milliseconds(1500));
  const int before = mWorld.mStore.Calls();
  mWorld.RunFor(std::chrono::milliseconds(2000));
  // Two readers twice a second, and three renewals a second.
  CHECK(mWorld.mStore.Calls() - before <= 16);
  mWorld.PutSettings(2, { "key-2" });
  mWorld.Until([&] { return StatusOf("key-2") == 200; });
  readers.clear();
  mWorld.PutSettings(3, { "key-3" });
  mWorld.Until([&] { return StatusOf("key-3") == 200; });
}

/// While the store is away, all VMs ask those that read for them. An answer
/// that is too old helps none of them, and to make it takes the time that the
/// readers need to find the store again.
TEST(Readings, AReadingThatIsTooOldIsNotPassedOn)
{
  mWorld.PutSettings(1);
  mWorld.StartNode();
  LONGS_EQUAL(200, StatusOfReading());
  mWorld.mStore.SetMode(Store::Mode::Silent);
  mWorld.RunFor(std::chrono::milliseconds(2000));
  LONGS_EQUAL(503, StatusOfReading());
  mWorld.mStore.SetMode(Store::Mode::Serving);
  mWorld.Until([this] { return StatusOfReading() == 200; });
}

/// An entry that was missing right after the store's return is kept for a
/// while, and then left out, without another change in the store.
TEST(Readings, WhatDoesNotComeBackAfterAnOutageIsLeftOut)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("stays"));
  const Replica& gone = mWorld.Add("desk", "i-2", Answers("gone"));
  mWorld.mFile.mName = "vm-9";
  const auto readers = StartReaders();
  mWorld.StartNode();
  mWorld.Until([&] { return mWorld.mStore.Value("vms/vm-9").has_value(); });
  mWorld.RunFor(std::chrono::milliseconds(1500));
  mWorld.mStore.SetMode(Store::Mode::Silent);
  mWorld.RunFor(std::chrono::milliseconds(2500));
  mWorld.mStore.Remove("servers/i-2");
  mWorld.mStore.SetMode(Store::Mode::Serving);
  mWorld.RunFor(std::chrono::milliseconds(5000));
  const std::size_t before = gone.mArrivals.size();
  for (int request = 0; request < 40; ++request) {
    LONGS_EQUAL(200, StatusOf("key-1"));
  }
  UNSIGNED_LONGS_EQUAL(before, gone.mArrivals.size());
}
