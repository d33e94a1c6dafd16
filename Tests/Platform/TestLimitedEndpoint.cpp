#include "StandInPlatform.h"

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

/// The operators' rule: at most this many times the limit, and some more, in
/// any such window.
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedSlack = 5;
constexpr Duration kWindow = std::chrono::seconds(4);
/// Time from the first statement of a limit until it counts.
constexpr Duration kTimeToFollow = std::chrono::seconds(3);

} // namespace

/// Endpoints that state how many requests a second they take from all VMs.
TEST_GROUP(LimitedEndpoint)
{
  PlatformFixture mFixture;
  Random mRandom{ 7 };
  Replica* mLimited = nullptr;
  std::vector<std::unique_ptr<Platform::Node>> mNodes;
  std::vector<std::shared_ptr<Response>> mResponses;

  void setup() override
  {
    mFixture.PutSettings(1);
    mLimited = &mFixture.AddEndpoint("desk", "i-1", RespondWith("answer"));
  }

  void teardown() override
  {
    mNodes.clear();
  }

  void StartNodes(int aCount)
  {
    for (int index = 1; index <= aCount; ++index) {
      auto config = mFixture.mConfig;
      config.mName = "vm-" + std::to_string(index);
      config.mPeerAddress = mFixture.UnusedAddress();
      mNodes.push_back(
        std::make_unique<Platform::Node>(mFixture.mIoContext, "", config));
      mNodes.back()->Start();
    }
    mFixture.RunFor(std::chrono::seconds(3));
  }

  /// Sends a request to each address in turn, in intervals of 10 ms.
  void SendFor(Duration aTime, const std::vector<std::string>& aAddresses)
  {
    const TimePoint end = MonotonicNow() + aTime;
    while (MonotonicNow() < end) {
      mResponses.push_back(std::make_shared<Response>());
      mFixture.StartCall(
        { "POST",
          "/once/x",
          "body",
          { { "Attempt-Id", "limit-" + std::to_string(mResponses.size()) },
            { "Deadline-Ms", "4000" },
            { "Key", "key-1" } } },
        aAddresses[mRandom.Below(aAddresses.size())],
        mResponses.back(),
        [] {});
      mFixture.RunFor(std::chrono::milliseconds(10));
    }
  }

  std::vector<std::string> Addresses() const
  {
    std::vector<std::string> addresses;
    for (const auto& node : mNodes) {
      addresses.push_back(node->CallerAddress());
    }
    return addresses;
  }

  /// The most requests that the endpoint got in a window since aSince.
  static double MostInWindow(const Replica& aReplica, TimePoint aSince)
  {
    std::ptrdiff_t most = 0;
    const auto& arrivals = aReplica.mArrivals;
    for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
      if (first->mAt >= aSince) {
        most = std::max(
          most, std::count_if(first, arrivals.end(), [&](const auto& a) {
            return a.mAt < first->mAt + kWindow;
          }));
      }
    }
    return static_cast<double>(most);
  }

  static double Allowed(double aPerSecond)
  {
    return kAllowedRatio * InSeconds(kWindow) * aPerSecond + kAllowedSlack;
  }
};

TEST(LimitedEndpoint, OneVmKeepsToTheLimit)
{
  mFixture.AddEndpoint("desk", "i-2", RespondWith("answer"));
  mLimited->SetLimit("1.2");
  mFixture.StartNode();
  const TimePoint start = MonotonicNow();
  SendFor(std::chrono::seconds(8), { mFixture.mNode->CallerAddress() });
  CHECK(MostInWindow(*mLimited, start + kTimeToFollow) <= Allowed(1.2));
}

TEST(LimitedEndpoint, EightVmsKeepToTheLimitTogether)
{
  mFixture.AddEndpoint("desk", "i-2", RespondWith("answer"));
  mLimited->SetLimit("1.2");
  StartNodes(8);
  const TimePoint start = MonotonicNow();
  SendFor(std::chrono::seconds(8), Addresses());
  CHECK(MostInWindow(*mLimited, start + kTimeToFollow) <= Allowed(1.2));
}
