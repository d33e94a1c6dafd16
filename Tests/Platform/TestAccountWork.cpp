#include "StandInPlatform.h"

#include <StoreCodec.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using namespace Acaciavale::Relay;

/// The work of accounts in the snapshot queries that VMs send each other.
TEST_GROUP(AccountWork)
{
  PlatformFixture mFixture;

  /// Lists VMs that run elsewhere.
  void ListVms(int aCount)
  {
    for (int index = 0; index < aCount; ++index) {
      VmEntry vm;
      vm.mName = "vm-" + std::to_string(100 + index);
      vm.mCallerAddress = mFixture.UnusedAddress();
      vm.mPeerAddress = mFixture.UnusedAddress();
      mFixture.mStore.Put("vms/" + vm.mName, EncodeVm(vm));
    }
  }

  /// Starts the VM in a fleet, and serves a request of the account with key-1.
  void ServeARequestInAFleetOf(int aVms)
  {
    mFixture.PutSettings(1, { "key-1" });
    mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
    ListVms(aVms - 1);
    mFixture.mConfig.mName = "vm-050";
    mFixture.StartNode();
    LONGS_EQUAL(
      200,
      mFixture.Call({ "POST", "/once/x", "body", { { "Key", "key-1" } } })
        .mHead.result_int());
    mFixture.RunUntil([this] { return Ask("vm-100", {}).has_value(); });
  }

  /// The VM's answer to a snapshot query; empty if it does not answer.
  std::optional<SnapshotAnswer> Ask(const std::string& aVm,
                                    std::optional<AccountWorkReport> aWork)
  {
    SnapshotQuery query;
    query.mVmName = aVm;
    query.mAccountWork = std::move(aWork);
    const auto response = std::make_shared<Response>();
    bool hasEnded = false;
    const auto call = mFixture.StartCall(
      { "POST", std::string(kSnapshotPath), EncodeSnapshotQuery(query), {} },
      mFixture.mNode->PeerAddress(),
      response,
      [&hasEnded] { hasEnded = true; });
    mFixture.RunUntil([&hasEnded] { return hasEnded; });
    const auto answer = DecodeSnapshotAnswer(response->mBody);
    return answer ? std::optional(*answer) : std::nullopt;
  }

  static double SecondsOf(const SnapshotAnswer& aAnswer,
                          const std::string& aAccount)
  {
    double seconds = 0;
    for (const AccountWorkEntry& entry : *aAnswer.mAccountWork) {
      seconds += entry.mAccount == aAccount ? entry.mSeconds : 0;
    }
    return seconds;
  }
};

/// Guards against VMs that go by their own counts although others report, and
/// against a report that returns to its VM, which would count it twice.
TEST(AccountWork, ReaderAnswersWithTheWorkOfAllOtherVms)
{
  ServeARequestInAFleetOf(31);
  const auto first =
    Ask("vm-100", AccountWorkReport{ { "desk", "elsewhere", 5 } });
  CHECK(first->mAccountWork.has_value());
  // The VM's own work is that of one request.
  UNSIGNED_LONGS_EQUAL(1, first->mAccountWork->size());
  CHECK(first->mAccountWork->front().mSeconds > 0);
  DOUBLES_EQUAL(0, SecondsOf(*first, "elsewhere"), 0);
  const auto second =
    Ask("vm-101", AccountWorkReport{ { "desk", "elsewhere", 3 } });
  DOUBLES_EQUAL(5, SecondsOf(*second, "elsewhere"), 1);
  const auto again =
    Ask("vm-100", AccountWorkReport{ { "desk", "elsewhere", 4 } });
  DOUBLES_EQUAL(3, SecondsOf(*again, "elsewhere"), 0.6);
  const auto third = Ask("vm-102", AccountWorkReport{});
  DOUBLES_EQUAL(7, SecondsOf(*third, "elsewhere"), 1.4);
}

/// Guards against messages that builds without account work, or queries about
/// something else, do not expect; such a query leaves what is known unchanged.
TEST(AccountWork, QueryWithoutWorkIsAnsweredWithoutIt)
{
  ServeARequestInAFleetOf(31);
  Ask("vm-100", AccountWorkReport{ { "desk", "elsewhere", 5 } });
  CHECK_FALSE(Ask("vm-100", std::nullopt)->mAccountWork.has_value());
  DOUBLES_EQUAL(
    5, SecondsOf(*Ask("vm-101", AccountWorkReport{}), "elsewhere"), 1);
}

/// Guards against the exchange in a fleet in which each VM serves a large part
/// of all requests.
TEST(AccountWork, SmallFleetDoesNotShareWork)
{
  ServeARequestInAFleetOf(5);
  CHECK_FALSE(Ask("vm-100", AccountWorkReport{ { "desk", "elsewhere", 5 } })
                ->mAccountWork.has_value());
}
