#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

TEST_GROUP(EndToEnd)
{
  PlatformFixture mFixture;

  Response Post(const std::string& aTarget,
                std::map<std::string, std::string> aHeaders = {})
  {
    return mFixture.Call({ "POST", aTarget, "body", std::move(aHeaders) });
  }

  static std::string EventTexts(int aFrom, int aTo)
  {
    std::string text;
    for (int event = aFrom; event <= aTo; ++event) {
      text += "id: " + std::to_string(event) + "\ndata: event " +
              std::to_string(event) + "\n\n";
    }
    return text;
  }

  static std::size_t ArrivalCount(const std::vector<const Replica*>& aReplicas)
  {
    std::size_t sum = 0;
    for (const Replica* replica : aReplicas) {
      sum += replica->mArrivals.size();
    }
    return sum;
  }
};

TEST(EndToEnd, RelaysTheRequestToAnEndpointAndTheAnswerToTheCaller)
{
  mFixture.PutSettings(1);
  const Replica& desk =
    mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.StartNode();
  const Response response = Post("/once/x?y=1",
                                 { { "Attempt-Id", "id-1" },
                                   { "Tenant", "another" },
                                   { "Hold", "h" },
                                   { "Kv-From", "127.0.0.1:1/x" },
                                   { "X-Own", "kept" } });
  CHECK(response.mResult == CallResult::Complete);
  LONGS_EQUAL(200, response.mHead.result_int());
  STRCMP_EQUAL("hello", response.mBody.c_str());
  STRCMP_EQUAL("stamp-of-i-1",
               std::string(response.mHead["Replica-Stamp"]).c_str());
  LONGS_EQUAL(1, desk.mArrivals.size());
  const auto& head = desk.mArrivals[0].mHead;
  STRCMP_EQUAL("/once/x?y=1", std::string(head.target()).c_str());
  STRCMP_EQUAL("body", desk.mArrivals[0].mBody.c_str());
  STRCMP_EQUAL("id-1", std::string(head["Attempt-Id"]).c_str());
  STRCMP_EQUAL("first", std::string(head["Tenant"]).c_str());
  STRCMP_EQUAL("i-1", std::string(head["Expect-Replica"]).c_str());
  STRCMP_EQUAL("kept", std::string(head["X-Own"]).c_str());
  CHECK(std::stoi(std::string(head["Deadline-Ms"])) <= 4000);
  for (const char* dropped : { "Key", "Hold", "Kv-From" }) {
    CHECK(head.count(dropped) == 0);
  }
}

TEST(EndToEnd, RefusesUnknownRoutesAndUnknownKeys)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.StartNodeWithoutWaiting();
  // The first request waits until the VM has read the store.
  LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  LONGS_EQUAL(404, Post("/none/x").mHead.result_int());
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  LONGS_EQUAL(200, Post("/open/x", { { "Key", "key-2" } }).mHead.result_int());
}

TEST(EndToEnd, IsUnavailableWithoutSettings)
{
  mFixture.mStore.SetMode(Store::Mode::Unavailable);
  mFixture.StartNodeWithoutWaiting();
  const Response response = Post("/once/x");
  LONGS_EQUAL(503, response.mHead.result_int());
  CHECK(response.mHead.count("Retry-After") == 1);
  LONGS_EQUAL(
    503,
    mFixture.FetchPage(mFixture.mNode->ReadinessAddress(), "/api/readyz")
      .mHead.result_int());
}

TEST(EndToEnd, RefusesARevokedKeyAndAnyKeyThatCannotBeVerified)
{
  mFixture.PutSettings(1, { "key-1", "key-2" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.mConfig.mMaximumSettingsAge = std::chrono::milliseconds(1800);
  mFixture.StartNode();
  LONGS_EQUAL(200, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  mFixture.PutSettings(2, { "key-1" });
  mFixture.RunUntilStoreRead();
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  mFixture.mStore.SetMode(Store::Mode::Unresponsive);
  mFixture.RunFor(std::chrono::milliseconds(2000));
  LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  LONGS_EQUAL(200, Post("/open/x").mHead.result_int());
}

/// While the store is known to be unreachable, waiting for it is pointless.
TEST(EndToEnd, RefusesAtOnceDuringAStoreOutage)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.mConfig.mMaximumSettingsAge = std::chrono::milliseconds(600);
  mFixture.StartNode();
  mFixture.mStore.SetMode(Store::Mode::Unavailable);
  mFixture.RunFor(std::chrono::milliseconds(1500));
  const int callsBefore = mFixture.mStore.CallCount();
  for (int request = 0; request < 4; ++request) {
    LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  }
  // If the requests had waited, the VM would have tried to read the store four
  // times.
  CHECK(mFixture.mStore.CallCount() - callsBefore <= 1);
}

TEST(EndToEnd, IgnoresSettingsOfAnOlderVersion)
{
  mFixture.PutSettings(5, { "key-1" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.StartNode();
  mFixture.PutSettings(3, { "key-old" });
  mFixture.RunUntilStoreRead();
  LONGS_EQUAL(401,
              Post("/once/x", { { "Key", "key-old" } }).mHead.result_int());
}

TEST(EndToEnd, DoesNotRetryANonIdempotentRequest)
{
  mFixture.PutSettings(1);
  const Replica& first = mFixture.AddEndpoint("desk", "i-1", BreakConnection());
  const Replica& second =
    mFixture.AddEndpoint("desk", "i-2", BreakConnection());
  mFixture.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
  LONGS_EQUAL(1, ArrivalCount({ &first, &second }));
}

TEST(EndToEnd, RetriesARequestThatWasNotExecuted)
{
  mFixture.PutSettings(1);
  const Replica& first =
    mFixture.AddEndpoint("desk", "i-1", RefuseWith(503, true));
  const Replica& second =
    mFixture.AddEndpoint("desk", "i-2", RespondWith("hello"));
  const Replica& other =
    mFixture.AddEndpoint("desk", "i-3", RefuseWith(421, false));
  mFixture.StartNode();
  for (int request = 0; request < 6; ++request) {
    LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  }
  LONGS_EQUAL(6, second.mArrivals.size());
  const std::size_t refused = ArrivalCount({ &first, &other });
  mFixture.SetEndpointState(second, "desk", "draining");
  mFixture.RunUntilStoreRead();
  LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  CHECK(ArrivalCount({ &first, &other }) > refused);
}

TEST(EndToEnd, AnswersUnavailableOnlyIfTheRequestWasNotExecuted)
{
  mFixture.PutSettings(1);
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", RefuseWith(503, true));
  mFixture.StartNode();
  const Response full = Post("/once/x");
  LONGS_EQUAL(503, full.mHead.result_int());
  CHECK(full.mHead.count("Retry-After") == 1);
  desk.SetScript(RefuseWith(503, false));
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(EndToEnd, RetriesAnIdempotentRequestAtAnotherEndpoint)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", BreakConnection());
  mFixture.AddEndpoint("desk", "i-2", RespondWith("hello"));
  mFixture.StartNode();
  for (int request = 0; request < 6; ++request) {
    LONGS_EQUAL(200, Post("/again/x").mHead.result_int());
  }
}

/// Numbers at the end of their type, which become others when they are scaled.
TEST(EndToEnd, ServesRequestsWhoseHeadersStateExtremeNumbers)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("answer"));
  mFixture.StartNode();
  const std::string most = "9223372036854775807";
  const Response response = mFixture.Call(
    { "POST",
      "/once/x",
      "body",
      { { "Deadline-Ms", most },
        { "Token-Usage", most + "," + most },
        { "Length-Hint", most },
        { "Prompt-Prefix", "a:" + most + ",b:" + most + ",c:1" } } });
  LONGS_EQUAL(200, response.mHead.result_int());
}

TEST(EndToEnd, RejectsASuccessWithoutAReplicaStamp)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    head.erase("Replica-Stamp");
    aSession->Send(std::move(head), "hello");
  });
  mFixture.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(EndToEnd, RejectsAnAnswerToAnotherRequest)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    head.set("Attempt-Id", "of-another");
    aSession->Send(std::move(head), "hello");
  });
  mFixture.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(EndToEnd, RelaysAnEndpointsErrorUnchanged)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    head.result(500);
    aSession->Send(std::move(head), "broken");
  });
  mFixture.StartNode();
  const Response response = Post("/once/x");
  LONGS_EQUAL(500, response.mHead.result_int());
  STRCMP_EQUAL("broken", response.mBody.c_str());
  CHECK(response.mHead.count("Replica-Stamp") == 1);
}

TEST(EndToEnd, ResumesAStreamAtAnotherEndpointWithEachEventOnce)
{
  mFixture.PutSettings(1);
  // Either endpoint may be chosen first, so the script breaks the first stream.
  const auto streams = std::make_shared<int>(0);
  const Replica::Script script = [streams](Replica& aSelf,
                                           const auto& aSession) {
    StreamEvents(9, ++*streams == 1 ? std::optional(4) : std::nullopt)(
      aSelf, aSession);
  };
  const Replica& first = mFixture.AddEndpoint("engines", "i-1", script);
  const Replica& second = mFixture.AddEndpoint("engines", "i-2", script);
  mFixture.StartNode();
  const Response response = Post("/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL(EventTexts(1, 9).c_str(), response.mBody.c_str());
  LONGS_EQUAL(1, first.mArrivals.size());
  LONGS_EQUAL(1, second.mArrivals.size());
  const bool isFirstResumed =
    first.mArrivals[0].mHead.count("Last-Event-Id") == 1;
  const Replica& resumed = isFirstResumed ? first : second;
  STRCMP_EQUAL(
    "4", std::string(resumed.mArrivals[0].mHead["Last-Event-Id"]).c_str());
}

TEST(EndToEnd, BreaksOffAStreamThatIsNotResumable)
{
  mFixture.PutSettings(1);
  const Replica& first =
    mFixture.AddEndpoint("engines", "i-1", StreamEvents(9, 4));
  const Replica& second =
    mFixture.AddEndpoint("engines", "i-2", StreamEvents(9, 4));
  mFixture.StartNode();
  const Response response = Post("/fixed/x");
  CHECK(response.mResult == CallResult::Truncated);
  STRCMP_EQUAL(EventTexts(1, 4).c_str(), response.mBody.c_str());
  LONGS_EQUAL(1, ArrivalCount({ &first, &second }));
}

TEST(EndToEnd, EscalatesToTheLargestModelAtLowConfidence)
{
  mFixture.PutSettings(1);
  const Replica& engine = mFixture.AddEndpoint(
    "engines", "i-1", [](Replica& aSelf, const auto& aSession) {
      auto head = aSelf.SuccessHead(*aSession);
      const std::string model(aSession->OpenRequest()["Model"]);
      head.set("Confidence", model == "small" ? "5" : "90");
      aSession->BeginStream(std::move(head));
      aSession->SendChunk("id: 1\ndata: " + model + "\n\n");
      aSession->EndStream();
    });
  mFixture.StartNode();
  const Response response =
    Post("/sized/x", { { "Model", "*" }, { "Token-Usage", "4000,200" } });
  STRCMP_EQUAL("id: 1\ndata: large\n\n", response.mBody.c_str());
  LONGS_EQUAL(2, engine.mArrivals.size());
  CHECK(engine.mArrivals[0].mHead["Model"] == "small");
}

TEST(EndToEnd, SendsNothingToADrainingEndpoint)
{
  mFixture.PutSettings(1);
  const Replica& leaving =
    mFixture.AddEndpoint("desk", "i-1", RespondWith("old"));
  mFixture.AddEndpoint("desk", "i-2", RespondWith("new"));
  mFixture.StartNode();
  mFixture.SetEndpointState(leaving, "desk", "draining");
  mFixture.RunUntilStoreRead();
  const std::size_t arrivalsBefore = leaving.mArrivals.size();
  for (int request = 0; request < 8; ++request) {
    STRCMP_EQUAL("new", Post("/once/x").mBody.c_str());
  }
  LONGS_EQUAL(arrivalsBefore, leaving.mArrivals.size());
}

TEST(EndToEnd, IgnoresEntriesThatCannotBeDecoded)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.mStore.Put("servers/i-2", "\xff\xfe");
  mFixture.mStore.Put("servers/i-3", R"({"service":"desk","address":7})");
  mFixture.mStore.Put("servers/i-4",
                      R"({"service":"desk","address":"127.0.0.1:1","zone":"z",)"
                      R"("version":"v1","slots":4,"state":"asleep"})");
  mFixture.mStore.Put("op/rollout/desk", "[]");
  mFixture.StartNode();
  for (int request = 0; request < 4; ++request) {
    LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  }
}

TEST(EndToEnd, CancelsTheAttemptWhenTheCallerDisconnects)
{
  mFixture.PutSettings(1);
  const Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.StartNode();
  const auto response = std::make_shared<Response>();
  const auto call =
    mFixture.StartCall({ "POST",
                         "/once/x",
                         "body",
                         { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
                       mFixture.mNode->CallerAddress(),
                       response,
                       [] {});
  mFixture.RunUntil([&] { return desk.mArrivals.size() == 1; });
  call->Cancel();
  mFixture.RunUntil([&] { return desk.mDisconnectedCallers == 1; });
  mFixture.RunUntil([&] { return mFixture.mNode->OpenRequests() == 0; });
}

TEST(EndToEnd, AnswersGatewayTimeoutAtTheRoutesTimeout)
{
  mFixture.PutSettings(1);
  const Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.StartNode();
  LONGS_EQUAL(504, Post("/short/x").mHead.result_int());
  mFixture.RunUntil([&] { return desk.mDisconnectedCallers == 1; });
}

TEST(EndToEnd, AStoppingVmFinishesOpenRequestsAndLeavesTheDirectory)
{
  mFixture.PutSettings(1);
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.StartNode();
  mFixture.RunUntil(
    [&] { return mFixture.mStore.Value("vms/vm-1").has_value(); });
  const auto response = std::make_shared<Response>();
  bool hasEnded = false;
  mFixture.StartCall({ "POST",
                       "/once/x",
                       "body",
                       { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
                     mFixture.mNode->CallerAddress(),
                     response,
                     [&hasEnded] { hasEnded = true; });
  mFixture.RunUntil([&] { return desk.mArrivals.size() == 1; });
  bool isStopped = false;
  mFixture.mNode->Stop([&isStopped] { isStopped = true; });
  LONGS_EQUAL(
    503,
    mFixture.FetchPage(mFixture.mNode->ReadinessAddress(), "/api/readyz")
      .mHead.result_int());
  desk.SetScript(RespondWith("second"));
  const Response second = Post("/once/x");
  STRCMP_EQUAL("second", second.mBody.c_str());
  STRCMP_EQUAL("close", std::string(second.mHead["Connection"]).c_str());
  mFixture.RunUntil([&] { return !mFixture.mStore.Value("vms/vm-1"); });
  CHECK_FALSE(isStopped);
  desk.mHeldSessions[0]->Send(desk.SuccessHead(*desk.mHeldSessions[0]),
                              "first");
  mFixture.RunUntil([&isStopped] { return isStopped; });
  CHECK(hasEnded);
  STRCMP_EQUAL("first", response->mBody.c_str());
}

/// A stopping VM waits for an unfinished request only until shortly before the
/// platform would kill it, as the exit of the process takes time as well.
TEST(EndToEnd, AStoppingVmExitsBeforeItIsKilled)
{
  mFixture.PutSettings(1);
  const Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.mConfig.mStopTimeout = std::chrono::milliseconds(3600);
  mFixture.StartNode();
  const auto response = std::make_shared<Response>();
  mFixture.StartCall({ "POST",
                       "/once/x",
                       "body",
                       { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
                     mFixture.mNode->CallerAddress(),
                     response,
                     [] {});
  mFixture.RunUntil([&] { return desk.mArrivals.size() == 1; });
  const TimePoint stoppedAt = MonotonicNow();
  bool isStopped = false;
  mFixture.mNode->Stop([&isStopped] { isStopped = true; });
  mFixture.RunUntil([&isStopped] { return isStopped; });
  LONGS_EQUAL(504, response->mHead.result_int());
  CHECK(MonotonicNow() - stoppedAt < mFixture.mConfig.mStopTimeout);
}

TEST(EndToEnd, UsesTheLatestSettingsAfterPowerLoss)
{
  mFixture.PutSettings(1, { "key-1" });
  mFixture.AddEndpoint("desk", "i-1", RespondWith("hello"));
  mFixture.StartNode();
  LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  mFixture.PutSettings(2, { "key-2" });
  mFixture.DestroyNode();
  mFixture.StartNodeWithoutWaiting();
  LONGS_EQUAL(200, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-1" } }).mHead.result_int());
}

TEST(EndToEnd, ARolloutShiftsTheTrafficAndReportsItsStatus)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("old"));
  mFixture.AddEndpoint("desk", "i-2", RespondWith("new"), "ready", "v2");
  mFixture.StartNode();
  mFixture.mStore.Put("op/rollout/desk",
                      R"({"service":"desk","target":"v2","duration-s":6})");
  const auto status = [&] {
    return mFixture.mStore.Value("status/rollout/desk").value_or("");
  };
  mFixture.RunUntil(
    [&] { return status().find("in_progress") != std::string::npos; });
  int oldAnswers = 0;
  mFixture.RunUntil([&] {
    oldAnswers += Post("/once/x").mBody == "old" ? 1 : 0;
    return status().find("completed") != std::string::npos;
  });
  CHECK(oldAnswers > 0);
  STRCMP_EQUAL("new", Post("/once/x").mBody.c_str());
}

TEST(EndToEnd, ABadVersionIsRevertedAndReceivesNoMoreRequests)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("desk", "i-1", RespondWith("old"));
  Replica& bad = mFixture.AddEndpoint(
    "desk",
    "i-2",
    [](Replica& aSelf, const auto& aSession) {
      auto head = aSelf.SuccessHead(*aSession);
      head.result(500);
      aSession->Send(std::move(head), "bad");
    },
    "ready",
    "v2");
  mFixture.StartNode();
  mFixture.mStore.Put("op/rollout/desk",
                      R"({"service":"desk","target":"v2","duration-s":60})");
  const auto status = [&] {
    return mFixture.mStore.Value("status/rollout/desk").value_or("");
  };
  mFixture.RunUntil([&] {
    Post("/once/x");
    return status().find("reverted") != std::string::npos;
  });
  mFixture.RunUntilStoreRead();
  const std::size_t arrivalsBefore = bad.mArrivals.size();
  for (int request = 0; request < 40; ++request) {
    STRCMP_EQUAL("old", Post("/once/x").mBody.c_str());
  }
  LONGS_EQUAL(arrivalsBefore, bad.mArrivals.size());
}
