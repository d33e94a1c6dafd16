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
      vm.mFailureDomain = mFixture.mConfig.mFailureDomain;
      mFixture.mStore.Put("vms/" + vm.mName, EncodeVm(vm));
    }
  }

  /// Starts the VM in a fleet, and serves a request of the account with key-1.
  void ServeARequestInAFleetOf(int aVms, const std::string& aName = "vm-050")
  {
    mFixture.PutSettings(1, { "key-1" });
    mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
    ListVms(aVms - 1);
    mFixture.mConfig.mName = aName;
    mFixture.StartNode();
    LONGS_EQUAL(
      200,
      mFixture.Call({ "POST", "/once/x", "body", { { "Key", "key-1" } } })
        .mHead.result_int());
    mFixture.RunUntil([this] { return Ask("vm-100", {}).has_value(); });
  }

  /// The VM's answer to a snapshot query; empty if it does not answer.
  std::optional<SnapshotAnswer> Ask(const std::string& aVm,
                                    std::optional<AccountWorkReport> aWork,
                                    const std::string& aAddress = {})
  {
    SnapshotQuery query;
    query.mVmName = aVm;
    query.mAccountWork = std::move(aWork);
    const auto response = std::make_shared<Response>();
    bool hasEnded = false;
    const auto call = mFixture.StartCall(
      { "POST", std::string(kSnapshotPath), EncodeSnapshotQuery(query), {} },
      aAddress.empty() ? mFixture.mNode->PeerAddress() : aAddress,
      response,
      [&hasEnded] { hasEnded = true; });
    mFixture.RunUntil([&hasEnded] { return hasEnded; });
    const auto answer = DecodeSnapshotAnswer(response->mBody);
    return answer ? std::optional(*answer) : std::nullopt;
  }

  /// Largest share of an account in the pool by which the VM's queue goes.
  double LargestShare()
  {
    const std::string text =
      mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics").mBody;
    const std::string name =
      "acaciavale_relay_largest_account_share{pool=\"desk\"} ";
    const std::size_t at = text.find(name);
    return at == std::string::npos ? 1
                                   : std::stod(text.substr(at + name.size()));
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

/// Guards against reports that reach the reader but not the queues of the VMs
/// that query it. The VM has served one account, whose share is 1 by its own
/// counts; by those of another VM, two other accounts have half of the work
/// each.
TEST(AccountWork, VmThatQueriesAReaderGoesByTheSumOfTheReader)
{
  mFixture.mConfig.mLinkMbps = 0;
  mFixture.PutSettings(1, { "key-1" });
  auto config = mFixture.mConfig;
  config.mName = "vm-001";
  config.mPeerAddress = mFixture.UnusedAddress();
  Platform::Node reader(mFixture.mIoContext, "", config);
  reader.Start();
  // In a large fleet, not all VMs list themselves.
  mFixture.RunUntil(
    [this] { return mFixture.mStore.Value("vms/vm-001").has_value(); });
  ServeARequestInAFleetOf(31, "vm-500");
  DOUBLES_EQUAL(1, LargestShare(), 0.001);
  mFixture.RunUntil([&] {
    Ask("vm-101",
        AccountWorkReport{ { "desk", "b", 5 }, { "desk", "c", 5 } },
        reader.PeerAddress());
    return LargestShare() < 0.6;
  });
  DOUBLES_EQUAL(0.5, LargestShare(), 0.05);
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
