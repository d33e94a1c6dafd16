#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <boost/asio/steady_timer.hpp>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

constexpr int kEventCount = 12;
constexpr Duration kUsualEventGap = std::chrono::milliseconds(5);
constexpr Duration kSlowEventGap = std::chrono::milliseconds(40);
constexpr Duration kRequestInterval = std::chrono::milliseconds(20);

void SendEvents(boost::asio::io_context& aIoContext,
                const std::shared_ptr<Relay::ClientSession>& aSession,
                Duration aGap,
                int aEvent)
{
  const auto timer =
    std::make_shared<boost::asio::steady_timer>(aIoContext, aGap);
  timer->async_wait([=, &aIoContext](const boost::system::error_code&) {
    const std::string id = std::to_string(aEvent);
    aSession->SendChunk("id: " + id + "\ndata: " + id + "\n\n");
    if (aEvent == kEventCount) {
      aSession->EndStream();
    } else {
      SendEvents(aIoContext, aSession, aGap, aEvent + 1);
    }
    // NOTE: The handler keeps its timer alive.
    static_cast<void>(timer);
  });
}

} // namespace

/// A new version that starts to answer as fast as the old one and then
/// generates several times more slowly.
TEST_GROUP(SlowVersion)
{
  PlatformFixture mFixture;
  int mRequests = 0;

  /// Every other stream of a slow endpoint is slow.
  void AddEngine(
    const std::string& aId, const std::string& aVersion, Duration aGap)
  {
    mFixture.AddEndpoint(
      "engines",
      aId,
      [this, aGap](Replica& aSelf, const auto& aSession) {
        const bool isSlow = aSelf.mArrivals.size() % 2 == 0;
        aSession->BeginStream(aSelf.SuccessHead(*aSession));
        SendEvents(
          mFixture.mIoContext, aSession, isSlow ? aGap : kUsualEventGap, 1);
      },
      "ready",
      aVersion);
  }

  std::string StatusAfterRollout()
  {
    mFixture.PutSettings(1);
    mFixture.StartNode();
    mFixture.mStore.Put(
      "op/rollout/engines",
      R"({"service":"engines","target":"v2","duration-s":8})");
    std::vector<std::shared_ptr<Relay::OutboundCall>> calls;
    std::string status;
    while (status.find("reverted") == std::string::npos &&
           status.find("completed") == std::string::npos) {
      const std::string id = "stream-" + std::to_string(++mRequests);
      calls.push_back(mFixture.StartCall({ "POST",
                                           "/stream/x",
                                           "body",
                                           { { "Attempt-Id", id },
                                             { "Deadline-Ms", "4000" },
                                             { "Key", "key-1" } } },
                                         mFixture.mNode->CallerAddress(),
                                         std::make_shared<Response>(),
                                         [] {}));
      mFixture.RunFor(kRequestInterval);
      status = mFixture.mStore.Value("status/rollout/engines").value_or("");
    }
    return status;
  }
};

TEST(SlowVersion, AVersionWhoseEventsAreSlowIsReverted)
{
  AddEngine("i-1", "v1", kUsualEventGap);
  AddEngine("i-2", "v1", kUsualEventGap);
  AddEngine("i-3", "v2", kSlowEventGap);
  AddEngine("i-4", "v2", kSlowEventGap);
  CHECK(StatusAfterRollout().find("reverted") != std::string::npos);
}

TEST(SlowVersion, AVersionThatIsAsFastIsCompleted)
{
  AddEngine("i-1", "v1", kUsualEventGap);
  AddEngine("i-2", "v1", kUsualEventGap);
  AddEngine("i-3", "v2", kUsualEventGap);
  AddEngine("i-4", "v2", kUsualEventGap);
  CHECK(StatusAfterRollout().find("completed") != std::string::npos);
}
