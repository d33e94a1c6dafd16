#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;

/// Requests that reach a VM before its first view of the fleet, as after a loss
/// of power.
TEST_GROUP(FirstView)
{
  PlatformFixture mFixture;

  /// Calls the VM, and lets the store serve after aStoreIsBackAfter.
  Response CallBeforeTheStoreServes(Duration aStoreIsBackAfter,
                                    const std::string& aTimeLeft)
  {
    mFixture.PutSettings(1);
    mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
    mFixture.mStore.SetMode(Store::Mode::Unavailable);
    mFixture.StartNodeWithoutWaiting();
    mFixture.RunFor(std::chrono::milliseconds(50));
    Relay::Timer timer(mFixture.mIoContext);
    timer.Start(aStoreIsBackAfter,
                [this] { mFixture.mStore.SetMode(Store::Mode::Serving); });
    return mFixture.Call(
      { "POST", "/once/x", "body", { { "Deadline-Ms", aTimeLeft } } });
  }
};

// Guards against refusing what could be served a moment later: one failed read
// of the store refused all requests until the next read succeeded.
TEST(FirstView, ARequestOutlastsFailedReadsOfAStartingVm)
{
  const Response response =
    CallBeforeTheStoreServes(std::chrono::milliseconds(500), "4000");
  LONGS_EQUAL(200, response.mHead.result_int());
}

// Guards against holding a request for longer than its caller can bear.
TEST(FirstView, ARequestIsRefusedWhenAThirdOfItsTimeIsUp)
{
  const TimePoint begin = MonotonicNow();
  const Response response =
    CallBeforeTheStoreServes(std::chrono::milliseconds(1500), "900");
  LONGS_EQUAL(503, response.mHead.result_int());
  CHECK(response.mHead.count("Retry-After") == 1);
  CHECK(MonotonicNow() - begin > std::chrono::milliseconds(200));
  CHECK(MonotonicNow() - begin < std::chrono::milliseconds(900));
}
