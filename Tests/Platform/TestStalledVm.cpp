#include "StandInPlatform.h"

#include <Acaciavale/LibRelay/Timer.h>
#include <StoreClient.h>

#include <CppUTest/TestHarness.h>
#include <thread>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// Longer than the time-outs of the VM for which the test waits.
constexpr Duration kStall = std::chrono::milliseconds(2400);

void SendEvents(Relay::ClientSession& aSession, int aFrom, int aTo)
{
  for (int event = aFrom; event <= aTo; ++event) {
    const std::string id = std::to_string(event);
    std::string text = "id: ";
    text += id;
    text += "\ndata: ";
    text += id;
    text += "\n\n";
    aSession.SendChunk(text);
  }
}

} // namespace

/// A VM that stands still for seconds: what arrived meanwhile counts, and the
/// time is not the silence of others. The VM and its peers share the event loop
/// of the test, which stands still.
TEST_GROUP(StalledVm)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Relay::Timer>> mTimers;

  void After(Duration aTime, std::function<void()> aAction)
  {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(aTime, std::move(aAction));
  }

  std::size_t Arrivals() const
  {
    std::size_t arrivals = 0;
    for (const auto& replica : mFixture.mReplicas) {
      arrivals += replica->mArrivals.size();
    }
    return arrivals;
  }

  Response CallWith(const Replica::Script& aScript, const std::string& aTarget)
  {
    mFixture.PutSettings(1);
    for (const char* pool : { "engines", "desk" }) {
      for (const char* id : { "1", "2", "3" }) {
        mFixture.AddEndpoint(pool, std::string(pool) + id, aScript);
      }
    }
    mFixture.StartNode();
    return mFixture.Call({ "POST", aTarget, "body", {} });
  }
};

/// The endpoint ends its stream while the VM stands still.
TEST(StalledVm, ReadsAStreamThatEndedMeanwhile)
{
  const Response response = CallWith(
    [this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      SendEvents(*aSession, 1, 1);
      After(std::chrono::milliseconds(100), [aSession] {
        SendEvents(*aSession, 2, 40);
        aSession->EndStream();
        std::this_thread::sleep_for(kStall);
      });
    },
    "/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  LONGS_EQUAL(1, Arrivals());
}

/// The endpoint goes on after the VM has woken.
TEST(StalledVm, DoesNotTakeItsOwnTimeForSilence)
{
  const Response response = CallWith(
    [this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      SendEvents(*aSession, 1, 1);
      After(std::chrono::milliseconds(100), [this, aSession] {
        std::this_thread::sleep_for(kStall);
        After(std::chrono::milliseconds(60), [aSession] {
          SendEvents(*aSession, 2, 3);
          aSession->EndStream();
        });
      });
    },
    "/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  LONGS_EQUAL(1, Arrivals());
}

TEST(StalledVm, WaitsForTheFirstEventAsLongAsBefore)
{
  const Response response = CallWith(
    [this](Replica& aSelf, const auto& aSession) {
      After(std::chrono::milliseconds(20), [this, &aSelf, aSession] {
        std::this_thread::sleep_for(kStall);
        After(std::chrono::milliseconds(60), [&aSelf, aSession] {
          aSession->BeginStream(aSelf.SuccessHead(*aSession));
          SendEvents(*aSession, 1, 3);
          aSession->EndStream();
        });
      });
    },
    "/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  LONGS_EQUAL(1, Arrivals());
}

/// The answer has arrived before the route's time is up (300 ms).
TEST(StalledVm, DeliversAnAnswerThatArrivedMeanwhile)
{
  const Response response = CallWith(
    [this](Replica& aSelf, const auto& aSession) {
      After(std::chrono::milliseconds(50), [&aSelf, aSession] {
        aSession->Send(aSelf.SuccessHead(*aSession), "answer");
        std::this_thread::sleep_for(kStall);
      });
    },
    "/short/x");
  LONGS_EQUAL(200, response.mHead.result_int());
}

/// A call to the store whose response goes on after the VM has woken.
TEST(StalledVm, DoesNotGiveACallToTheStoreUp)
{
  mFixture.PutSettings(1);
  StoreClient client(mFixture.mIoContext, mFixture.mStore.Address());
  mFixture.mStore.SetReadDelay(std::chrono::milliseconds(120));
  std::optional<ErrorOr<StorePage>> page;
  client.ReadRange({ "op/", "", false, "" },
                   [&page](const auto& aPage) { page = aPage; });
  After(std::chrono::milliseconds(60),
        [] { std::this_thread::sleep_for(kStall); });
  mFixture.RunUntil([&page] { return page.has_value(); });
  CHECK(page->has_value());
}
