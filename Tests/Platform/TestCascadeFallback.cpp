#include "RawEndpoint.h"

#include <Acaciavale/LibRelay/Timer.h>

#include <numeric>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// The goal of the route is 400 ms. An answer that waits for the deadline, 4 s
/// after the arrival, is far later than this.
constexpr Duration kSoon = std::chrono::milliseconds(1500);
/// Responses that state this length take all room that responses have with the
/// least memory, three at once.
constexpr std::size_t kThirdOfRoom = 2U << 20;

std::string Event(int aId, const std::string& aText)
{
  return "id: " + std::to_string(aId) + "\ndata: " + aText + "\n\n";
}

} // namespace

/// Requests whose smaller model is unsure of its answer, and that a larger
/// model gets as well.
TEST_GROUP_BASE(CascadeFallback, RawEndpointTest)
{
  std::vector<std::unique_ptr<Relay::Timer>> mTimers;
  std::unique_ptr<RawEndpoint> mFiller;
  Duration mTook{};
  std::string mMetrics;

  void After(Duration aDelay, const std::function<void()>& aAction)
  {
    mTimers.push_back(std::make_unique<Relay::Timer>(mFixture.mIoContext));
    mTimers.back()->Start(aDelay, aAction);
  }

  /// Begins the stream of a model with this confidence, in hundredths.
  static void Begin(Replica & aSelf,
                    const std::shared_ptr<Relay::ClientSession>& aSession,
                    const std::string& aConfidence,
                    const std::string& aText)
  {
    auto head = aSelf.SuccessHead(*aSession);
    head.set("Confidence", aConfidence);
    aSession->BeginStream(std::move(head));
    aSession->SendChunk(aText);
  }

  /// A whole answer of the smaller model.
  static void AnswerUnsurely(
    Replica & aSelf, const std::shared_ptr<Relay::ClientSession>& aSession)
  {
    Begin(aSelf, aSession, "5", Event(1, "small") + Event(2, "small"));
    aSession->EndStream();
  }

  static void AnswerSurely(
    Replica & aSelf, const std::shared_ptr<Relay::ClientSession>& aSession)
  {
    Begin(aSelf, aSession, "90", Event(1, "large") + Event(2, "large"));
    aSession->EndStream();
  }

  /// Starts a VM with two engines that run both models.
  void StartWith(const Replica::Script& aSmall, const Replica::Script& aLarge)
  {
    mFixture.PutSettings(1);
    const auto script = [=](Replica& aSelf, const auto& aSession) {
      const bool isSmall = aSession->OpenRequest()["Model"] == "small";
      (isSmall ? aSmall : aLarge)(aSelf, aSession);
    };
    mFixture.AddEndpoint("engines", "i-1", script);
    mFixture.AddEndpoint("engines", "i-2", script);
    mFixture.StartNode();
  }

  void StartWithLittleMemory(const Replica::Script& aSmall,
                             const Replica::Script& aLarge)
  {
    mFixture.mConfig.mMemoryBytes = 16U << 20;
    mFiller = std::make_unique<RawEndpoint>(
      mFixture.mIoContext,
      std::vector<RawEndpoint::Write>{ { RawHead(
        "HTTP/1.1 200 OK",
        "Content-Length: " + std::to_string(kThirdOfRoom) + "\r\n") } },
      RawEndpoint::End::KeepOpen);
    List("i-3", "desk", *mFiller);
    StartWith(aSmall, aLarge);
  }

  /// Begins responses that take room and do not end.
  void TakeThirdsOfRoom(int aCount)
  {
    for (int call = 0; call < aCount; ++call) {
      mFixture.StartCall(
        { "POST",
          "/once/x",
          "body",
          { { "Key", "key-1" },
            { "Attempt-Id", "held-" + std::to_string(call) } } },
        mFixture.mNode->CallerAddress(),
        std::make_shared<Response>(),
        [] {});
    }
    mFixture.RunUntil([&] { return mFiller->Arrivals() == aCount; });
    mFixture.RunFor(std::chrono::milliseconds(100));
  }

  Response CallSized(const std::string& aDeadlineMs = "4000")
  {
    const TimePoint start = MonotonicNow();
    Response response = mFixture.Call({ "POST",
                                        "/sized/x",
                                        "body",
                                        { { "Model", "*" },
                                          { "Token-Usage", "4000,200" },
                                          { "Deadline-Ms", aDeadlineMs } } });
    mTook = MonotonicNow() - start;
    mMetrics =
      mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics").mBody;
    return response;
  }

  std::shared_ptr<Relay::OutboundCall> StartSized(
    const std::string& aDeadlineMs,
    const std::string& aTokens,
    const std::shared_ptr<Response>& aResponse,
    const std::function<void()>& aOnEnd)
  {
    return mFixture.StartCall({ "POST",
                                "/sized/x",
                                "body",
                                { { "Key", "key-1" },
                                  { "Attempt-Id", "sized" },
                                  { "Deadline-Ms", aDeadlineMs },
                                  { "Model", "*" },
                                  { "Token-Usage", aTokens } } },
                              mFixture.mNode->CallerAddress(),
                              aResponse,
                              aOnEnd);
  }

  bool HasFallenBack(const std::string& aCause) const
  {
    return mMetrics.find("acaciavale_relay_cascade_fallbacks_total{cause=\"" +
                         aCause + "\",pool=\"engines\"} 1") !=
           std::string::npos;
  }

  std::size_t ArrivalsFor(const std::string& aModel) const
  {
    std::size_t count = 0;
    for (const auto& replica : mFixture.mReplicas) {
      for (const auto& arrival : replica->mArrivals) {
        count += arrival.mHead["Model"] == aModel ? 1 : 0;
      }
    }
    return count;
  }

  int Disconnects() const
  {
    return std::accumulate(mFixture.mReplicas.begin(),
                           mFixture.mReplicas.end(),
                           0,
                           [](int aSum, const auto& aReplica) {
                             return aSum + aReplica->mDisconnectedCallers;
                           });
  }

  static void CheckIsSmall(const Response& aResponse)
  {
    CHECK(aResponse.mResult == CallResult::Complete);
    LONGS_EQUAL(200, aResponse.mHead.result_int());
    STRCMP_EQUAL((Event(1, "small") + Event(2, "small")).c_str(),
                 aResponse.mBody.c_str());
  }

  static void CheckIsLarge(const Response& aResponse)
  {
    CHECK(aResponse.mResult == CallResult::Complete);
    STRCMP_EQUAL((Event(1, "large") + Event(2, "large")).c_str(),
                 aResponse.mBody.c_str());
  }
};

/// Guards against an available answer that is dropped while the endpoint of the
/// larger model says nothing, so that the caller gets 504 at the deadline.
TEST(CascadeFallback, ASilentLargerEndpointDoesNotCostTheAnswer)
{
  StartWith(AnswerUnsurely, NeverRespond());
  const Response response = CallSized();
  CheckIsSmall(response);
  CHECK(mTook < kSoon);
  CHECK(HasFallenBack("late"));
  mFixture.RunUntil([this] { return Disconnects() == 1; });
}

/// Guards against a refusal or an error of the larger model that reaches the
/// caller although an answer is available.
TEST(CascadeFallback, ALargerEndpointThatRefusesDoesNotCostTheAnswer)
{
  StartWith(AnswerUnsurely, RefuseWith(503, true));
  CheckIsSmall(CallSized());
  CHECK(mTook < kSoon);
  CHECK(HasFallenBack("failed"));
}

/// Guards against an unsure answer while another endpoint could still give the
/// better one in time.
TEST(CascadeFallback, AnotherEndpointIsAskedAfterARefusal)
{
  mFixture.mRouteGoalMs = 3000;
  int calls = 0;
  StartWith(AnswerUnsurely, [&calls](Replica& aSelf, const auto& aSession) {
    calls += 1;
    if (calls == 1) {
      RefuseWith(503, true)(aSelf, aSession);
    } else {
      AnswerSurely(aSelf, aSession);
    }
  });
  CheckIsLarge(CallSized());
  LONGS_EQUAL(2, ArrivalsFor("large"));
}

/// Guards against a stream that is aborted at the end of its time in the queue,
/// after a kept answer was delivered from there.
TEST(CascadeFallback, AnAnswerDeliveredFromTheQueueIsWhole)
{
  std::string answer;
  mFixture.mRouteGoalMs = 3000;
  StartWithLittleMemory(
    [this, &answer](Replica& aSelf, const auto& aSession) {
      const auto id = aSession->OpenRequest()["Attempt-Id"];
      if (id.starts_with("filler")) {
        return;
      }
      Begin(aSelf, aSession, "5", "");
      After(std::chrono::milliseconds(300), [&answer, aSession] {
        for (int event = 1; event <= 30; ++event) {
          answer += Event(event, std::string(kThirdOfRoom / 20, 'x'));
          aSession->SendChunk(
            Event(event, std::string(kThirdOfRoom / 20, 'x')));
        }
      });
      After(std::chrono::milliseconds(2600), [&answer, aSession] {
        answer += Event(31, "end");
        aSession->SendChunk(Event(31, "end"));
        aSession->EndStream();
      });
    },
    RefuseWith(503, true));
  TakeThirdsOfRoom(2);
  for (int filler = 0; filler < 14; ++filler) {
    mFixture.StartCall({ "POST",
                         "/sized/x",
                         "body",
                         { { "Key", "key-1" },
                           { "Attempt-Id", "filler-" + std::to_string(filler) },
                           { "Deadline-Ms", "4000" },
                           { "Model", "*" },
                           { "Token-Usage", "4000,200" } } },
                       mFixture.mNode->CallerAddress(),
                       std::make_shared<Response>(),
                       [] {});
  }
  mFixture.RunUntil([this] { return ArrivalsFor("small") == 14; });
  const Response response = CallSized();
  CHECK(response.mResult == CallResult::Complete);
  CHECK(response.mBody == answer);
  CHECK(HasFallenBack("no-room"));
}

TEST(CascadeFallback, ALargerEndpointThatFailsDoesNotCostTheAnswer)
{
  StartWith(AnswerUnsurely, BreakConnection());
  CheckIsSmall(CallSized());
  CHECK(HasFallenBack("failed"));
}

/// Guards against an empty stream of the larger model in place of the answer.
TEST(CascadeFallback, AnEmptyStreamOfTheLargerModelIsNoAnswer)
{
  StartWith(AnswerUnsurely, [](Replica& aSelf, const auto& aSession) {
    Begin(aSelf, aSession, "90", "");
    aSession->EndStream();
  });
  CheckIsSmall(CallSized());
  CHECK(HasFallenBack("no-answer"));
}

/// Guards against a fallback while the larger model is in time, against parts
/// of two streams at the caller, and against a kept answer that is cut before
/// the larger model's stream has begun.
TEST(CascadeFallback, ALargerModelInTimeReplacesTheKeptAnswer)
{
  TimePoint begunAt{};
  TimePoint goneAt{};
  StartWith(
    [&goneAt](Replica& aSelf, const auto& aSession) {
      Begin(aSelf, aSession, "5", Event(1, "small"));
      aSession->OnDisconnect([&goneAt] { goneAt = MonotonicNow(); });
    },
    [this, &begunAt](Replica& aSelf, const auto& aSession) {
      After(std::chrono::milliseconds(100), [&begunAt, &aSelf, aSession] {
        begunAt = MonotonicNow();
        AnswerSurely(aSelf, aSession);
      });
    });
  CheckIsLarge(CallSized());
  CHECK(mMetrics.find("cascade_fallbacks") == std::string::npos);
  mFixture.RunUntil([&goneAt] { return goneAt != TimePoint{}; });
  CHECK(goneAt >= begunAt);
}

/// Guards against the delivery of an incomplete answer whose rest is lost, and
/// against a fallback to an answer that is no longer there.
TEST(CascadeFallback, AKeptAnswerThatBreaksOffIsNoAnswer)
{
  StartWith(
    [](Replica& aSelf, const auto& aSession) {
      Begin(aSelf, aSession, "5", Event(1, "small"));
      aSession->OnDrained([aSession] { aSession->Abort(); });
    },
    [this](Replica& aSelf, const auto& aSession) {
      After(std::chrono::milliseconds(500),
            [&aSelf, aSession] { AnswerSurely(aSelf, aSession); });
    });
  CheckIsLarge(CallSized());
  CHECK(mMetrics.find("cascade_fallbacks") == std::string::npos);
}

/// Guards against a fallback that ends with the events kept so far, and against
/// events of a larger model that begins after the fallback.
TEST(CascadeFallback, TheRestOfAnIncompleteAnswerFollows)
{
  StartWith(
    [this](Replica& aSelf, const auto& aSession) {
      Begin(aSelf, aSession, "5", Event(1, "small"));
      After(std::chrono::milliseconds(600), [aSession] {
        aSession->SendChunk(Event(2, "small"));
        aSession->EndStream();
      });
    },
    [this](Replica& aSelf, const auto& aSession) {
      After(std::chrono::milliseconds(500),
            [&aSelf, aSession] { AnswerSurely(aSelf, aSession); });
    });
  CheckIsSmall(CallSized());
  CHECK(HasFallenBack("late"));
  LONGS_EQUAL(1, ArrivalsFor("small"));
}

/// Guards against engines that go on for a caller that has left.
TEST(CascadeFallback, BothEndpointsAreLeftWhenTheCallerLeaves)
{
  StartWith(
    [](Replica& aSelf, const auto& aSession) {
      Begin(aSelf, aSession, "5", Event(1, "small"));
    },
    NeverRespond());
  const auto call =
    StartSized("4000", "4000,200", std::make_shared<Response>(), [] {});
  mFixture.RunUntil([this] { return ArrivalsFor("large") == 1; });
  LONGS_EQUAL(0, Disconnects());
  call->Cancel();
  mFixture.RunUntil([this] { return Disconnects() == 2; });
}

/// Guards against 504 in place of an answer that is complete, where the time
/// limit is shorter than the goal.
TEST(CascadeFallback, AnAnswerIsDeliveredBeforeTheDeadline)
{
  StartWith(AnswerUnsurely, NeverRespond());
  CheckIsSmall(CallSized("320"));
  CHECK(HasFallenBack("late"));
}

/// Guards against answers that are held beyond the byte budget.
TEST(CascadeFallback, WithoutRoomTheAnswerIsDeliveredInPlaceOfTheEscalation)
{
  StartWithLittleMemory(AnswerUnsurely, AnswerSurely);
  TakeThirdsOfRoom(3);
  CheckIsSmall(CallSized());
  CHECK(HasFallenBack("no-room"));
  LONGS_EQUAL(0, ArrivalsFor("large"));
}

/// Guards against a kept answer that grows beyond the byte budget, and against
/// a loss of events where it is delivered while its endpoint still sends.
TEST(CascadeFallback, AnAnswerThatOutgrowsTheRoomIsDeliveredWhole)
{
  std::string answer;
  mFixture.mRouteGoalMs = 3000;
  StartWithLittleMemory(
    [&answer](Replica& aSelf, const auto& aSession) {
      Begin(aSelf, aSession, "5", "");
      for (int id = 1; id <= 30; ++id) {
        const std::string event =
          Event(id, std::string(kThirdOfRoom / 20, 'x'));
        answer += event;
        aSession->SendChunk(event);
      }
      aSession->EndStream();
    },
    NeverRespond());
  TakeThirdsOfRoom(2);
  const Response response = CallSized();
  CHECK(response.mResult == CallResult::Complete);
  CHECK(response.mBody == answer);
  CHECK(HasFallenBack("no-room"));
  LONGS_EQUAL(1, ArrivalsFor("large"));
}

/// Guards against 504 in place of an answer that is complete, where the VM
/// stops while the larger model may still begin.
TEST(CascadeFallback, ACompleteAnswerIsDeliveredWhenTheVmStops)
{
  // The requests that are open end 200 ms after the stop began.
  mFixture.mConfig.mStopTimeout = std::chrono::milliseconds(1200);
  mFixture.mRouteGoalMs = 4500;
  StartWith(AnswerUnsurely, NeverRespond());
  const auto response = std::make_shared<Response>();
  bool hasEnded = false;
  // The expected time of such a prompt is 1.2 s before there are samples.
  const auto call =
    StartSized("4000", "40000,200", response, [&hasEnded] { hasEnded = true; });
  mFixture.RunUntil([this] { return ArrivalsFor("large") == 1; });
  mFixture.RunFor(std::chrono::milliseconds(50));
  CHECK_FALSE(hasEnded);
  bool hasStopped = false;
  mFixture.mNode->Stop([&hasStopped] { hasStopped = true; });
  mFixture.RunUntil([&] { return hasEnded && hasStopped; });
  CheckIsSmall(*response);
}
