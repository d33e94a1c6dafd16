#include "StandInPlatform.h"

#include <Acaciavale/LibRelay/Timer.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// The route allows pauses of 1.5 s.
constexpr Duration kCommentInterval = std::chrono::milliseconds(150);
constexpr Duration kSlowInterval = std::chrono::milliseconds(800);
constexpr Duration kLongPause = std::chrono::milliseconds(1700);

} // namespace

/// Streams that send something now and then.
TEST_GROUP(StalledStream)
{
  PlatformFixture mFixture;
  std::vector<std::unique_ptr<Relay::Timer>> mTimers;

  /// Sends the text again and again while the connection lasts.
  void SendRepeatedly(const std::shared_ptr<Relay::ClientSession>& aSession,
                      Duration aInterval,
                      int aCount,
                      const std::function<std::string(int)>& aText)
  {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(aInterval, [=, this] {
      aSession->SendChunk(aText(aCount));
      if (aCount > 1) {
        SendRepeatedly(aSession, aInterval, aCount - 1, aText);
      } else {
        aSession->EndStream();
      }
    });
  }

  Response CallWith(const Replica::Script& aScript)
  {
    mFixture.PutSettings(1);
    mFixture.AddEndpoint("engines", "i-1", aScript);
    mFixture.StartNode();
    return mFixture.Call({ "POST", "/stream/x", "body", {} });
  }

  /// Lists a sound endpoint after the first one has got the request.
  void AddOther()
  {
    mFixture.AddEndpoint("engines", "i-2", StreamEvents(3));
  }

  static std::string Event(int aId)
  {
    const std::string id = std::to_string(aId);
    return std::string("id: ") + id + "\ndata: event " + id + "\n\n";
  }
};

TEST(StalledStream, CommentsDoNotKeepAStreamAlive)
{
  const TimePoint start = MonotonicNow();
  const Response response =
    CallWith([this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->SendChunk(Event(1));
      AddOther();
      SendRepeatedly(aSession, kCommentInterval, 60, [](int) {
        return std::string(": still here\n\n");
      });
    });
  CHECK(response.mResult == CallResult::Complete);
  CHECK(response.mBody.ends_with(Event(2) + Event(3)));
  CHECK(MonotonicNow() - start < std::chrono::milliseconds(3500));
}

TEST(StalledStream, CommentsAreNoFirstEvent)
{
  const Response response =
    CallWith([this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      AddOther();
      SendRepeatedly(aSession, kCommentInterval, 60, [](int) {
        return std::string(": queued\n\n");
      });
    });
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((Event(1) + Event(2) + Event(3)).c_str(),
               response.mBody.c_str());
}

TEST(StalledStream, ASlowButSoundStreamIsNotCut)
{
  const Response response =
    CallWith([this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->SendChunk(Event(1));
      SendRepeatedly(aSession, kSlowInterval, 4, [](int aLeft) {
        return ": working\n\n" + Event(6 - aLeft);
      });
    });
  CHECK(response.mResult == CallResult::Complete);
  LONGS_EQUAL(1, mFixture.mReplicas.front()->mArrivals.size());
  CHECK(response.mBody.ends_with(": working\n\n" + Event(5)));
}

/// The body reaches the caller as the endpoint sent it.
TEST(StalledStream, CommentsAreForwardedInPlace)
{
  const std::string body =
    ": queued\n\n" + Event(1) + ": note\n\n" + Event(2) + ": end\n\n";
  const Response response =
    CallWith([&body](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->SendChunk(body);
      aSession->EndStream();
    });
  STRCMP_EQUAL(body.c_str(), response.mBody.c_str());
}

/// The other endpoints refuse, so the stream stays where it is.
TEST(StalledStream, APausedStreamGoesOnIfTheOtherEndpointsAreFull)
{
  const Response response =
    CallWith([this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->SendChunk(Event(1));
      for (const char* id : { "i-2", "i-3" }) {
        mFixture.AddEndpoint("engines", id, RefuseWith(503, true));
      }
      SendRepeatedly(
        aSession, kLongPause, 2, [](int aLeft) { return Event(4 - aLeft); });
    });
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((Event(1) + Event(2) + Event(3)).c_str(),
               response.mBody.c_str());
}

/// The other endpoints take some time to refuse.
TEST(StalledStream, APausedStreamGoesOnIfTheOtherEndpointsRefuseLate)
{
  const auto refuseLate = [this](Replica& aSelf, const auto& aSession) {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(std::chrono::milliseconds(400), [&aSelf, aSession] {
      RefuseWith(503, true)(aSelf, aSession);
    });
  };
  const Response response = CallWith([&](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    aSession->SendChunk(Event(1));
    for (const char* id : { "i-2", "i-3" }) {
      mFixture.AddEndpoint("engines", id, refuseLate);
    }
    SendRepeatedly(
      aSession, kLongPause, 2, [](int aLeft) { return Event(4 - aLeft); });
  });
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((Event(1) + Event(2) + Event(3)).c_str(),
               response.mBody.c_str());
}

/// Another endpoint has the request and says nothing for a while. Only its
/// response shows that it has not refused.
TEST(StalledStream, APausedStreamEndsWhenAnotherEndpointHasBegunIt)
{
  TimePoint goneAt{};
  TimePoint begunAt{};
  const Response response = CallWith([&](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    aSession->SendChunk(Event(1));
    aSession->OnDisconnect([&goneAt] { goneAt = MonotonicNow(); });
    mFixture.AddEndpoint(
      "engines", "i-2", [&](Replica& aOther, const auto& aRequest) {
        mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
        mTimers.back()->Start(kCommentInterval * 5,
                              [&begunAt, &aOther, aRequest] {
                                begunAt = MonotonicNow();
                                StreamEvents(3)(aOther, aRequest);
                              });
      });
  });
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((Event(1) + Event(2) + Event(3)).c_str(),
               response.mBody.c_str());
  UNSIGNED_LONGS_EQUAL(1, mFixture.mReplicas.back()->mArrivals.size());
  CHECK(begunAt != TimePoint{});
  CHECK(goneAt >= begunAt);
  CHECK(goneAt - begunAt < std::chrono::milliseconds(400));
}

/// The first endpoint and the one that was asked instead are both silent.
TEST(StalledStream, AThirdEndpointIsAskedIfTheSecondIsSilentToo)
{
  const Response response =
    CallWith([this](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->SendChunk(Event(1));
      mFixture.AddEndpoint(
        "engines", "i-2", [this](Replica& aOther, const auto& aRequest) {
          NeverRespond()(aOther, aRequest);
          mFixture.AddEndpoint("engines", "i-3", StreamEvents(3));
        });
    });
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((Event(1) + Event(2) + Event(3)).c_str(),
               response.mBody.c_str());
  mFixture.RunUntil([this] {
    return mFixture.mReplicas[0]->mDisconnectedCallers == 1 &&
           mFixture.mReplicas[1]->mDisconnectedCallers == 1;
  });
}
