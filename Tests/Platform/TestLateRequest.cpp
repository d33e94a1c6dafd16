#include "StandInPlatform.h"

#include <Acaciavale/LibRelay/Timer.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// Time from SIGTERM to SIGKILL. Open requests end one second before.
constexpr Duration kStopTimeout = std::chrono::milliseconds(3000);
/// Longer than twice the goal of the routes, 400 ms.
constexpr Duration kSlowWork = std::chrono::milliseconds(1000);
/// At this time since SIGTERM, less than the slow work is left until the end.
constexpr Duration kLate = std::chrono::milliseconds(1150);

} // namespace

/// Requests that a VM reads late in a planned stop.
TEST_GROUP(LateRequest)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Relay::Timer>> mTimers;
  bool mIsStopped = false;
  int mCalls = 0;

  void setup() override
  {
    mFixture.mConfig.mStopTimeout = kStopTimeout;
    mFixture.PutSettings(1);
  }

  /// Responds after the time.
  Replica::Script RespondAfter(Duration aTime)
  {
    return [this, aTime](Replica& aSelf, const auto& aSession) {
      mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
      mTimers.back()->Start(
        aTime, [&aSelf, aSession] { RespondWith("done")(aSelf, aSession); });
    };
  }

  /// Streams an event each 100 ms, for the time.
  Replica::Script StreamFor(Duration aTime)
  {
    return [this, aTime](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      SendEvent(aSession, 1, static_cast<int>(aTime / kEventInterval));
    };
  }

  void SendEvent(const std::shared_ptr<Relay::ClientSession>& aSession,
                 int aEvent,
                 int aLast)
  {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(kEventInterval, [=, this] {
      const std::string number = std::to_string(aEvent);
      aSession->SendChunk("id: " + number + "\ndata: " + number + "\n\n");
      if (aEvent < aLast) {
        SendEvent(aSession, aEvent + 1, aLast);
      } else {
        aSession->EndStream();
      }
    });
  }

  void Stop()
  {
    mFixture.mNode->Stop([this] { mIsStopped = true; });
  }

  std::shared_ptr<Response> Start(const std::string& aTarget, int& aEnded)
  {
    auto response = std::make_shared<Response>();
    mOpenCalls.push_back(mFixture.StartCall(
      { "POST",
        aTarget,
        "body",
        { { "Key", "key-1" },
          { "Deadline-Ms", "4000" },
          { "Attempt-Id", "late-" + std::to_string(++mCalls) } } },
      mFixture.mNode->CallerAddress(),
      response,
      [&aEnded] { ++aEnded; }));
    return response;
  }

  Response CallLate(const std::string& aTarget)
  {
    int ended = 0;
    const auto response = Start(aTarget, ended);
    mFixture.RunUntil([&ended] { return ended > 0; });
    CHECK(response->mResult == CallResult::Complete);
    return *response;
  }

  static constexpr Duration kEventInterval = std::chrono::milliseconds(100);
  std::vector<std::shared_ptr<Relay::OutboundCall>> mOpenCalls;
};

/// The route's answers take longer than its goal promises.
TEST(LateRequest, OfASlowRouteIsRefusedAndNotCut)
{
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", RespondAfter(kSlowWork));
  mFixture.StartNode();
  LONGS_EQUAL(
    200, mFixture.Call({ "POST", "/once/x", "body", {} }).mHead.result_int());
  Stop();
  mFixture.RunFor(kLate);
  const Response response = CallLate("/once/x");
  LONGS_EQUAL(503, response.mHead.result_int());
  CHECK(response.mHead.count("Retry-After") > 0);
  LONGS_EQUAL(1, desk.mArrivals.size());
}

/// Streams go on for long after the first event, which the goal is for.
TEST(LateRequest, OfALongStreamIsRefusedAndNotCut)
{
  Replica& engine =
    mFixture.AddEndpoint("engines", "i-1", StreamFor(kSlowWork));
  mFixture.StartNode();
  LONGS_EQUAL(
    200, mFixture.Call({ "POST", "/stream/x", "body", {} }).mHead.result_int());
  Stop();
  mFixture.RunFor(kLate);
  LONGS_EQUAL(503, CallLate("/stream/x").mHead.result_int());
  LONGS_EQUAL(1, engine.mArrivals.size());
}

/// Nothing is known of the route, whose answers may take as long as its
/// time limit.
TEST(LateRequest, OfAnUnmeasuredRouteIsRefused)
{
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", RespondAfter(kSlowWork));
  mFixture.StartNode();
  Stop();
  mFixture.RunFor(kLate);
  LONGS_EQUAL(503, CallLate("/once/x").mHead.result_int());
  LONGS_EQUAL(0, desk.mArrivals.size());
}

/// Another route of the same kind at the same pool tells how long it takes.
TEST(LateRequest, OfAFastRouteIsServed)
{
  mFixture.AddEndpoint("desk", "i-1", RespondWith("done"));
  mFixture.StartNode();
  for (int call = 0; call < 4; ++call) {
    mFixture.Call({ "POST", "/once/x", "body", {} });
  }
  Stop();
  mFixture.RunFor(kLate);
  LONGS_EQUAL(200, CallLate("/once/x").mHead.result_int());
  LONGS_EQUAL(200, CallLate("/short/x").mHead.result_int());
}

/// The first attempt fails when too little time is left for a second one.
TEST(LateRequest, IsNotRepeatedWithoutTimeForIt)
{
  Replica& first = mFixture.AddEndpoint("desk", "i-1", RespondAfter(kSlowWork));
  mFixture.StartNode();
  LONGS_EQUAL(
    200, mFixture.Call({ "POST", "/again/x", "body", {} }).mHead.result_int());
  first.SetScript([this](Replica&, const auto& aSession) {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(kLate, [aSession] { aSession->Abort(); });
  });
  int ended = 0;
  const auto response = Start("/again/x", ended);
  mFixture.RunUntil([&first] { return first.mArrivals.size() == 2; });
  Replica& second =
    mFixture.AddEndpoint("desk", "i-2", RespondAfter(kSlowWork));
  Stop();
  mFixture.RunUntil([&ended] { return ended == 1; });
  LONGS_EQUAL(502, response->mHead.result_int());
  LONGS_EQUAL(0, second.mArrivals.size());
}

/// The VM sends the endpoint eight requests at once. Others were not passed on
/// and are refused, so that their callers may repeat them.
TEST(LateRequest, ThatWaitsForAPlaceIsRefusedAtTheEnd)
{
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", RespondWith("done"));
  mFixture.StartNode();
  for (int call = 0; call < 4; ++call) {
    mFixture.Call({ "POST", "/open/x", "body", {} });
  }
  desk.SetScript(NeverRespond());
  Stop();
  mFixture.RunFor(std::chrono::milliseconds(1850));
  int ended = 0;
  std::vector<std::shared_ptr<Response>> responses;
  responses.reserve(12);
  for (int call = 0; call < 12; ++call) {
    responses.push_back(Start("/open/x", ended));
  }
  mFixture.RunUntil([&ended] { return ended == 12; });
  std::map<unsigned, int> statuses;
  for (const auto& response : responses) {
    CHECK(response->mResult == CallResult::Complete);
    statuses[response->mHead.result_int()] += 1;
  }
  LONGS_EQUAL(8, statuses[504]);
  LONGS_EQUAL(4, statuses[503]);
}

/// The end of the stop is an answer, which promises nothing, and no close.
TEST(LateRequest, ThatIsStillRunAtTheEndGetsAnAnswer)
{
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.StartNode();
  int ended = 0;
  const auto response = Start("/once/x", ended);
  mFixture.RunUntil([&desk] { return desk.mArrivals.size() == 1; });
  Stop();
  mFixture.RunUntil([&ended] { return ended == 1; });
  CHECK(response->mResult == CallResult::Complete);
  LONGS_EQUAL(504, response->mHead.result_int());
  mFixture.RunUntil([this] { return mIsStopped; });
}

/// The body has not arrived when the VM ends.
TEST(LateRequest, ThatIsNotWholeAtTheEndIsRefused)
{
  mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.StartNode();
  Stop();
  mFixture.RunFor(std::chrono::milliseconds(1850));
  const std::string received = mFixture.ExchangeBytes(
    mFixture.mNode->CallerAddress(),
    "POST /once/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 400\r\n"
    "Key: key-1\r\nAttempt-Id: late\r\n\r\nbody");
  STRCMP_EQUAL("HTTP/1.1 503 ", received.substr(0, 13).c_str());
  CHECK(received.find("Connection: close") != std::string::npos);
}
