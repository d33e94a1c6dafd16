#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>
#include <valgrind/valgrind.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

/// Depth at which code that descends recursively runs out of stack. valgrind
/// runs the VMs and the store some twenty times slower, in the time that they
/// have for changes of the settings, and reports invalid accesses at any depth.
std::size_t GreatDepth()
{
  return RUNNING_ON_VALGRIND != 0 ? 5'000 : 100'000;
}

/// Of how many odd entries one is read by several VMs.
std::size_t EntriesPerTested(int aVms)
{
  return RUNNING_ON_VALGRIND != 0 && aVms > 1 ? 4 : 1;
}

std::string Nested(const std::string& aOpening,
                   const std::string& aClosing,
                   std::size_t aDepth = GreatDepth())
{
  std::string text;
  for (std::size_t depth = 0; depth < aDepth; ++depth) {
    text += aOpening;
  }
  text += "1";
  for (std::size_t depth = 0; depth < aDepth; ++depth) {
    text += aClosing;
  }
  return text;
}

/// Values that no field of an entry may have, as JSON texts.
std::vector<std::string> OddValues()
{
  return { "[]",
           "{}",
           "true",
           "1e300",
           "1e999",
           "-1e999",
           "NaN",
           "-5",
           "99999999999999999999999999",
           "\"\xff\xfe\"",
           "[[]]",
           R"({"a":[1,2,{"b":null}]})",
           Nested("[", "]", 100),
           Nested("{\"a\":", "}", 100) };
}

/// Further values that no field that is a whole number may have.
std::vector<std::string> OddNumbers()
{
  return { "-1",
           "0.5",
           "-9223372036854775808",
           "9223372036854775808",
           "18446744073709551615",
           "1e18",
           "\"1\"",
           "\"NaN\"" };
}

/// Further values that no address may have.
std::vector<std::string> OddAddresses()
{
  return { R"("")",
           R"("127.0.0.1")",
           R"("127.0.0.1:")",
           R"("127.0.0.1:0")",
           R"("127.0.0.1:-1")",
           R"("127.0.0.1:99999")",
           R"("127.0.0.1:80 ")",
           R"("localhost:80")",
           R"("999.0.0.1:80")",
           R"("0.0.0.0:80")",
           R"(":80")",
           R"("127.0.0.1:80\r\nX: y")",
           "\"fe80::1%" + std::string(70'000, '0') + ":80\"",
           '"' + std::string(70'000, 'x') + '"' };
}

/// A kind of entry: a valid one, and its fields of each type.
struct EntryKind
{
  std::string mPrefix;                                      ///< Of the key.
  std::vector<std::pair<std::string, std::string>> mFields; ///< As JSON texts.
  std::vector<std::string> mNumbers;   ///< Names of whole numbers.
  std::vector<std::string> mAddresses; ///< Names of addresses.
};

std::string EntryText(const EntryKind& aKind,
                      const std::string& aField,
                      const std::string& aValue)
{
  std::string text;
  for (const auto& [name, value] : aKind.mFields) {
    text += (text.empty() ? "{\"" : ",\"") + name +
            "\":" + (name == aField ? aValue : value);
  }
  return text + '}';
}

/// All odd entries of the kind.
std::vector<std::string> OddEntries(const EntryKind& aKind)
{
  std::vector<std::string> entries = OddValues();
  entries.insert(entries.end(),
                 { "",
                   "\xff\xfe",
                   "null",
                   "\"text\"",
                   "17",
                   Nested("[", "]"),
                   Nested("{\"a\":", "}", GreatDepth() / 10) });
  const auto add = [&](const std::string& aField,
                       const std::vector<std::string>& aValues) {
    for (const std::string& value : aValues) {
      entries.push_back(EntryText(aKind, aField, value));
    }
  };
  for (const auto& [name, value] : aKind.mFields) {
    add(name, OddValues());
  }
  for (const std::string& name : aKind.mNumbers) {
    add(name, OddNumbers());
  }
  for (const std::string& name : aKind.mAddresses) {
    add(name, OddAddresses());
  }
  return entries;
}

EntryKind EndpointKind(const std::string& aAddress)
{
  return { "servers/",
           { { "service", "\"desk\"" },
             { "address", '"' + aAddress + '"' },
             { "zone", "\"zone-a\"" },
             { "version", "\"v1\"" },
             { "slots", "4" },
             { "state", "\"ready\"" },
             { "born", "1700000000000" } },
           { "slots", "born" },
           { "address" } };
}

EntryKind VmKind(const std::string& aAddress)
{
  return { "vms/",
           { { "callers", '"' + aAddress + '"' },
             { "peers", '"' + aAddress + '"' },
             { "failure-domain", "\"zone-a\"" },
             { "region", "\"region\"" },
             { "link-mbps", "1000" } },
           {},
           { "callers", "peers" } };
}

/// Roll-outs of a pool that no route names, their stages and evidence.
std::vector<EntryKind> RolloutKinds()
{
  return {
    { "op/rollout/",
      { { "service", "\"other\"" },
        { "target", "\"v2\"" },
        { "duration-s", "20" } },
      {},
      {} },
    { "courses/",
      { { "order", "2" }, { "stage", "1" }, { "begun-ms", "1700000000000" } },
      { "order", "stage", "begun-ms" },
      {} },
    { "status/rollout/",
      { { "state", "\"completed\"" }, { "target", "\"v2\"" } },
      {},
      {} },
    { "evidence/desk/",
      { { "order", "2" }, { "old", "[1,0,1,1,1]" }, { "new", "[1,0,1,1,1]" } },
      { "order" },
      {} },
    { "evidence/", { { "order", "2" } }, { "order" }, {} },
    { "op/evacuate/", { { "domain", "\"other\"" } }, {}, {} }
  };
}

std::vector<EntryKind> CrashKinds()
{
  return { { "quarantine/desk/",
             { { "pool", "\"desk\"" },
               { "parts", "[1,2]" },
               { "versions", "[\"v1\"]" },
               { "crashes", "2" },
               { "age-ms", "1000" },
               { "last-crash-ms", "1700000000000" } },
             { "crashes", "age-ms", "last-crash-ms" },
             {} },
           { "recent-crashes/",
             { { "crashes", R"([["desk","i-1","v1",1000,[[true,[1]]]]])" },
               { "sound", R"([[1,"desk","v1",1000]])" },
               { "quarantine", "[]" },
               { "written-ms", "1700000000000" } },
             { "written-ms" },
             {} } };
}

} // namespace

/// Entries of the store that another writer left among those of the platform.
/// An odd entry names nothing to use, and harms nothing else.
TEST_GROUP(OddEntries)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Platform::Node>> mOtherNodes;
  std::size_t mOddEntries = 0;

  void setup() override
  {
    mFixture.PutSettings(1, { "key-1" });
    mFixture.AddEndpoint("desk", "i-1", RespondWith("stays"));
    mFixture.AddEndpoint("desk", "i-2", RespondWith("leaves"));
  }

  void PutOddEntries(const EntryKind& aKind, int aVms)
  {
    const std::vector<std::string> entries = OddEntries(aKind);
    const std::size_t step = EntriesPerTested(aVms);
    for (std::size_t entry = mOddEntries % step; entry < entries.size();
         entry += step) {
      ++mOddEntries;
      mFixture.mStore.Put(aKind.mPrefix + "a" + std::to_string(mOddEntries),
                          entries[entry]);
    }
    // Keys of odd form, with values that are odd too.
    for (const std::string& key :
         { std::string(), std::string("a b/%&=\r\n") }) {
      mFixture.mStore.Put(aKind.mPrefix + key, "[[[");
    }
  }

  /// Starts one VM, or several of which the last queries the others.
  void Start(int aVms)
  {
    if (aVms == 1) {
      mFixture.StartNode();
      return;
    }
    mOtherNodes = mFixture.StartNodes(aVms);
    mFixture.mNode = std::move(mOtherNodes.back());
    mOtherNodes.pop_back();
  }

  int Status(const std::string& aKey)
  {
    return static_cast<int>(
      mFixture.Call({ "POST", "/once/x", "body", { { "Key", aKey } } })
        .mHead.result_int());
  }

  /// Checks that requests are served in the usual time, and that changes of the
  /// settings and of an endpoint are followed within the limit of each.
  void CheckIsFollowed(std::int64_t aVersion)
  {
    const std::string oldKey = "key-" + std::to_string(aVersion - 1);
    const std::string newKey = "key-" + std::to_string(aVersion);
    for (int request = 0; request < 20; ++request) {
      const TimePoint before = MonotonicNow();
      LONGS_EQUAL(200, Status(oldKey));
      CHECK(MonotonicNow() - before < std::chrono::seconds(1));
    }
    const Replica& leaving = *mFixture.mReplicas[1];
    mFixture.PutSettings(aVersion, { newKey });
    mFixture.SetEndpointState(leaving, "desk", "draining");
    mFixture.RunFor(mFixture.mConfig.mDrainPropagationLimit);
    const std::size_t arrivals = leaving.mArrivals.size();
    LONGS_EQUAL(401, Status(oldKey));
    for (int request = 0; request < 20; ++request) {
      LONGS_EQUAL(200, Status(newKey));
    }
    UNSIGNED_LONGS_EQUAL(arrivals, leaving.mArrivals.size());
    mFixture.SetEndpointState(leaving, "desk", "ready");
    mFixture.RunFor(mFixture.mConfig.mDrainPropagationLimit);
  }

  /// Entries that are there when VMs start, and those that come later.
  void CheckKinds(const std::vector<EntryKind>& aKinds, int aVms)
  {
    for (const EntryKind& kind : aKinds) {
      PutOddEntries(kind, aVms);
    }
    Start(aVms);
    CheckIsFollowed(2);
    for (const EntryKind& kind : aKinds) {
      PutOddEntries(kind, aVms);
    }
    mFixture.RunFor(std::chrono::seconds(1));
    CheckIsFollowed(3);
  }

  void CheckEndpoints(int aVms)
  {
    const Replica& odd =
      mFixture.AddEndpoint("none", "i-0", RespondWith("odd"));
    CheckKinds({ EndpointKind(odd.Address()) }, aVms);
    UNSIGNED_LONGS_EQUAL(0, odd.mArrivals.size());
  }
};

TEST(OddEntries, OfEndpoints)
{
  CheckEndpoints(1);
}

TEST(OddEntries, OfEndpointsInTheSnapshotOfAnotherVm)
{
  CheckEndpoints(3);
}

TEST(OddEntries, OfVms)
{
  CheckKinds({ VmKind(mFixture.UnusedAddress()) }, 1);
}

TEST(OddEntries, OfVmsInTheSnapshotOfAnotherVm)
{
  CheckKinds({ VmKind(mFixture.UnusedAddress()) }, 3);
}

TEST(OddEntries, OfRollouts)
{
  CheckKinds(RolloutKinds(), 1);
}

TEST(OddEntries, OfRolloutsInTheSnapshotOfAnotherVm)
{
  CheckKinds(RolloutKinds(), 3);
}

TEST(OddEntries, OfCrashes)
{
  CheckKinds(CrashKinds(), 1);
}

TEST(OddEntries, OfCrashesInTheSnapshotOfAnotherVm)
{
  CheckKinds(CrashKinds(), 3);
}

/// The odd VM would be the first reader, and the first in the directory.
TEST(OddEntries, OfAVmWithTheWidestLink)
{
  const std::string tooLong = '"' + std::string(70'000, 'x') + '"';
  mFixture.mStore.Put(
    "vms/a", EntryText(VmKind(mFixture.UnusedAddress()), "peers", tooLong));
  Start(3);
  LONGS_EQUAL(200, Status("key-1"));
  const Response page =
    mFixture.FetchPage(mFixture.mNode->DirectoryAddress(),
                       "/api/resolve?name=a.example&zone=zone-a");
  const std::string own = mFixture.mNode->CallerAddress();
  const auto addresses =
    nlohmann::json::parse(page.mBody).at("addresses").size();
  CHECK(page.mBody.find(own) != std::string::npos);
  UNSIGNED_LONGS_EQUAL(3, addresses);
}

/// Each odd value counts once, however often the entry is read or rewritten.
TEST(OddEntries, AreCountedOnce)
{
  auto config = mFixture.mConfig;
  config.mMetricsAddress = mFixture.UnusedAddress();
  mFixture.mConfig = config;
  mFixture.StartNode();
  const auto isCounted = [&](int aCount) {
    return mFixture.FetchPage(config.mMetricsAddress, "/metrics")
             .mBody.find("acaciavale_relay_undecodable_entries_total " +
                         std::to_string(aCount)) != std::string::npos;
  };
  mFixture.mStore.Put("servers/odd", "[[");
  mFixture.RunUntil([&] { return isCounted(1); });
  for (int rewrite = 0; rewrite < 3; ++rewrite) {
    mFixture.mStore.Put("servers/odd", "[[");
    mFixture.RunUntilStoreRead();
  }
  CHECK(isCounted(1));
  mFixture.mStore.Put("servers/odd", "[[[");
  mFixture.RunUntil([&] { return isCounted(2); });
}

/// Settings that cannot be used leave those in force, until better ones follow.
TEST(OddEntries, OfSettings)
{
  const EntryKind kind{ "op/config",
                        { { "version", "4" },
                          { "routes", "[]" },
                          { "services", "[]" },
                          { "limits", "{}" },
                          { "tenants", "[]" } },
                        {},
                        {} };
  Start(1);
  const std::vector<std::string> entries{
    Nested("[", "]"),
    EntryText(kind, "limits", Nested("{\"a\":", "}")),
    EntryText(kind, "tenants", Nested("[", "]")),
    EntryText(kind, "version", "1e300"),
    EntryText(kind, "limits", R"({"max-header-bytes":-1})"),
    EntryText(kind, "limits", R"({"max-header-bytes":4294967297})"),
    EntryText(kind, "limits", R"({"max-body-bytes":0.5})"),
  };
  for (const std::string& entry : entries) {
    mFixture.mStore.Put("op/config", entry);
    mFixture.RunUntilStoreRead();
    LONGS_EQUAL(200, Status("key-1"));
  }
  CheckIsFollowed(2);
}
