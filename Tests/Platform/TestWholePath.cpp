#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

TEST_GROUP(WholePath)
{
  World mWorld;

  Answer Post(const std::string& aTarget,
              std::map<std::string, std::string> aHeader = {})
  {
    return mWorld.Call({ "POST", aTarget, "body", std::move(aHeader) });
  }

  static std::string Events(int aFrom, int aTo)
  {
    std::string text;
    for (int event = aFrom; event <= aTo; ++event) {
      text += "id: " + std::to_string(event) + "\ndata: event " +
              std::to_string(event) + "\n\n";
    }
    return text;
  }

  static std::size_t Arrivals(const std::vector<const Replica*>& aReplicas)
  {
    std::size_t sum = 0;
    for (const Replica* replica : aReplicas) {
      sum += replica->mArrivals.size();
    }
    return sum;
  }
};

TEST(WholePath, AnEndpointGetsTheRequestAndTheCallerItsAnswer)
{
  mWorld.PutSettings(1);
  const Replica& desk = mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.StartNode();
  const Answer answer = Post("/once/x?y=1",
                             { { "Attempt-Id", "id-1" },
                               { "Tenant", "another" },
                               { "Hold", "h" },
                               { "Kv-From", "127.0.0.1:1/x" },
                               { "X-Own", "kept" } });
  CHECK(answer.mEnd == CallResult::Complete);
  LONGS_EQUAL(200, answer.mHead.result_int());
  STRCMP_EQUAL("hello", answer.mBody.c_str());
  STRCMP_EQUAL("stamp-of-i-1",
               std::string(answer.mHead["Replica-Stamp"]).c_str());
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

TEST(WholePath, WhatTheSettingsDoNotAllowIsRefused)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.BeginNode();
  LONGS_EQUAL(200,
              Post("/once/x").mHead.result_int()); // Waits for the first view.
  LONGS_EQUAL(404, Post("/none/x").mHead.result_int());
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  LONGS_EQUAL(200, Post("/open/x", { { "Key", "key-2" } }).mHead.result_int());
}

TEST(WholePath, AVmThatKnowsNoSettingsSaysSo)
{
  mWorld.mStore.SetMode(Store::Mode::Busy);
  mWorld.BeginNode();
  const Answer answer = Post("/once/x");
  LONGS_EQUAL(503, answer.mHead.result_int());
  CHECK(answer.mHead.count("Retry-After") == 1);
  LONGS_EQUAL(
    503,
    mWorld.Page(mWorld.mNode->Readiness(), "/api/readyz").mHead.result_int());
}

TEST(WholePath, AKeyThatWasTakenAwayIsRefusedAndNotTakenOnTrust)
{
  mWorld.PutSettings(1, { "key-1", "key-2" });
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.mFile.mKeyProof = std::chrono::milliseconds(1800);
  mWorld.StartNode();
  LONGS_EQUAL(200, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  mWorld.PutSettings(2, { "key-1" });
  mWorld.UntilRead();
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  mWorld.mStore.SetMode(Store::Mode::Silent);
  mWorld.RunFor(std::chrono::milliseconds(2000));
  LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  LONGS_EQUAL(200, Post("/open/x").mHead.result_int());
}

/// While the store is known to be lost nothing is gained by waiting for it.
TEST(WholePath, WithoutTheStoreARefusalComesAtOnce)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.mFile.mKeyProof = std::chrono::milliseconds(600);
  mWorld.StartNode();
  mWorld.mStore.SetMode(Store::Mode::Busy);
  mWorld.RunFor(std::chrono::milliseconds(1500));
  const int before = mWorld.mStore.Calls();
  for (int request = 0; request < 4; ++request) {
    LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  }
  // Four waits would have seen as many readings tried.
  CHECK(mWorld.mStore.Calls() - before <= 1);
}

TEST(WholePath, SettingsNeverGoBack)
{
  mWorld.PutSettings(5, { "key-1" });
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.StartNode();
  mWorld.PutSettings(3, { "key-old" });
  mWorld.UntilRead();
  LONGS_EQUAL(401,
              Post("/once/x", { { "Key", "key-old" } }).mHead.result_int());
}

TEST(WholePath, WhatMayRunOnceIsSentOnce)
{
  mWorld.PutSettings(1);
  const Replica& one = mWorld.Add("desk", "i-1", Cuts());
  const Replica& two = mWorld.Add("desk", "i-2", Cuts());
  mWorld.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
  LONGS_EQUAL(1, Arrivals({ &one, &two }));
}

TEST(WholePath, WhatDidNotRunIsSentElsewhere)
{
  mWorld.PutSettings(1);
  const Replica& one = mWorld.Add("desk", "i-1", Refuses(503, true));
  const Replica& two = mWorld.Add("desk", "i-2", Answers("hello"));
  const Replica& other = mWorld.Add("desk", "i-3", Refuses(421, false));
  mWorld.StartNode();
  for (int request = 0; request < 6; ++request) {
    LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  }
  LONGS_EQUAL(6, two.mArrivals.size());
  const std::size_t refused = Arrivals({ &one, &other });
  mWorld.SetState(two, "desk", "draining");
  mWorld.UntilRead();
  LONGS_EQUAL(503, Post("/once/x").mHead.result_int());
  CHECK(Arrivals({ &one, &other }) > refused);
}

TEST(WholePath, ARefusalSaysNotRunOnlyIfThatIsTrue)
{
  mWorld.PutSettings(1);
  Replica& desk = mWorld.Add("desk", "i-1", Refuses(503, true));
  mWorld.StartNode();
  const Answer full = Post("/once/x");
  LONGS_EQUAL(503, full.mHead.result_int());
  CHECK(full.mHead.count("Retry-After") == 1);
  desk.SetScript(Refuses(503, false));
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(WholePath, WhatMayRunAgainIsServedElsewhere)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Cuts());
  mWorld.Add("desk", "i-2", Answers("hello"));
  mWorld.StartNode();
  for (int request = 0; request < 6; ++request) {
    LONGS_EQUAL(200, Post("/again/x").mHead.result_int());
  }
}

TEST(WholePath, ASuccessWithoutItsMarkIsNone)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.Good(*aSession);
    head.erase("Replica-Stamp");
    aSession->Send(std::move(head), "hello");
  });
  mWorld.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(WholePath, AnAnswerToAnotherRequestIsNotPassedOn)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.Good(*aSession);
    head.set("Attempt-Id", "of-another");
    aSession->Send(std::move(head), "hello");
  });
  mWorld.StartNode();
  LONGS_EQUAL(502, Post("/once/x").mHead.result_int());
}

TEST(WholePath, AnEndpointsOwnFailureIsPassedOnUnchanged)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.Good(*aSession);
    head.result(500);
    aSession->Send(std::move(head), "broken");
  });
  mWorld.StartNode();
  const Answer answer = Post("/once/x");
  LONGS_EQUAL(500, answer.mHead.result_int());
  STRCMP_EQUAL("broken", answer.mBody.c_str());
  CHECK(answer.mHead.count("Replica-Stamp") == 1);
}

TEST(WholePath, AResumableStreamGoesOnElsewhereEachEventOnce)
{
  mWorld.PutSettings(1);
  // Either endpoint may be first: the first of all streams is cut.
  const auto streams = std::make_shared<int>(0);
  const Replica::Script script = [streams](Replica& aSelf,
                                           const auto& aSession) {
    Streams(9, ++*streams == 1 ? std::optional(4) : std::nullopt)(aSelf,
                                                                  aSession);
  };
  const Replica& one = mWorld.Add("engines", "i-1", script);
  const Replica& two = mWorld.Add("engines", "i-2", script);
  mWorld.StartNode();
  const Answer answer = Post("/stream/x");
  CHECK(answer.mEnd == CallResult::Complete);
  STRCMP_EQUAL(Events(1, 9).c_str(), answer.mBody.c_str());
  LONGS_EQUAL(1, one.mArrivals.size());
  LONGS_EQUAL(1, two.mArrivals.size());
  const bool oneResumed = one.mArrivals[0].mHead.count("Last-Event-Id") == 1;
  const Replica& resumed = oneResumed ? one : two;
  STRCMP_EQUAL(
    "4", std::string(resumed.mArrivals[0].mHead["Last-Event-Id"]).c_str());
}

TEST(WholePath, AStreamThatMayNotGoOnElsewhereDoesNotLookWhole)
{
  mWorld.PutSettings(1);
  const Replica& one = mWorld.Add("engines", "i-1", Streams(9, 4));
  const Replica& two = mWorld.Add("engines", "i-2", Streams(9, 4));
  mWorld.StartNode();
  const Answer answer = Post("/fixed/x");
  CHECK(answer.mEnd == CallResult::Truncated);
  STRCMP_EQUAL(Events(1, 4).c_str(), answer.mBody.c_str());
  LONGS_EQUAL(1, Arrivals({ &one, &two }));
}

TEST(WholePath, AnUnsureSmallModelIsFollowedByTheLargest)
{
  mWorld.PutSettings(1);
  const Replica& engine =
    mWorld.Add("engines", "i-1", [](Replica& aSelf, const auto& aSession) {
      auto head = aSelf.Good(*aSession);
      const std::string model(aSession->OpenRequest()["Model"]);
      head.set("Confidence", model == "small" ? "5" : "90");
      aSession->BeginStream(std::move(head));
      aSession->SendChunk("id: 1\ndata: " + model + "\n\n");
      aSession->EndStream();
    });
  mWorld.StartNode();
  const Answer answer =
    Post("/sized/x", { { "Model", "*" }, { "Token-Usage", "4000,200" } });
  STRCMP_EQUAL("id: 1\ndata: large\n\n", answer.mBody.c_str());
  LONGS_EQUAL(2, engine.mArrivals.size());
  CHECK(engine.mArrivals[0].mHead["Model"] == "small");
}

TEST(WholePath, AnEndpointThatLeavesGetsNothingMore)
{
  mWorld.PutSettings(1);
  const Replica& leaving = mWorld.Add("desk", "i-1", Answers("old"));
  mWorld.Add("desk", "i-2", Answers("new"));
  mWorld.StartNode();
  mWorld.SetState(leaving, "desk", "draining");
  mWorld.UntilRead();
  const std::size_t before = leaving.mArrivals.size();
  for (int request = 0; request < 8; ++request) {
    STRCMP_EQUAL("new", Post("/once/x").mBody.c_str());
  }
  LONGS_EQUAL(before, leaving.mArrivals.size());
}

TEST(WholePath, EntriesThatCantBeReadNameNoEndpoint)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.mStore.Put("servers/i-2", "\xff\xfe");
  mWorld.mStore.Put("servers/i-3", R"({"service":"desk","address":7})");
  mWorld.mStore.Put("servers/i-4",
                    R"({"service":"desk","address":"127.0.0.1:1","zone":"z",)"
                    R"("version":"v1","slots":4,"state":"asleep"})");
  mWorld.mStore.Put("op/rollout/desk", "[]");
  mWorld.StartNode();
  for (int request = 0; request < 4; ++request) {
    LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  }
}

TEST(WholePath, AnEndpointGoneQuietMidwayIsCancelledWhenTheCallerLeaves)
{
  mWorld.PutSettings(1);
  const Replica& desk = mWorld.Add("desk", "i-1", Hangs());
  mWorld.StartNode();
  const auto answer = std::make_shared<Answer>();
  const auto call =
    mWorld.Begin({ "POST",
                   "/once/x",
                   "body",
                   { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
                 mWorld.mNode->Callers(),
                 answer,
                 [] {});
  mWorld.Until([&] { return desk.mArrivals.size() == 1; });
  call->Cancel();
  mWorld.Until([&] { return desk.mCallersGone == 1; });
  mWorld.Until([&] { return mWorld.mNode->OpenRequests() == 0; });
}

TEST(WholePath, AtTheRoutesTimeThereIsAFinalAnswer)
{
  mWorld.PutSettings(1);
  const Replica& desk = mWorld.Add("desk", "i-1", Hangs());
  mWorld.StartNode();
  LONGS_EQUAL(504, Post("/short/x").mHead.result_int());
  mWorld.Until([&] { return desk.mCallersGone == 1; });
}

TEST(WholePath, AVmThatStopsServesWhatIsOpenAndLeavesTheDirectory)
{
  mWorld.PutSettings(1);
  Replica& desk = mWorld.Add("desk", "i-1", Hangs());
  mWorld.StartNode();
  mWorld.Until([&] { return mWorld.mStore.Value("vms/vm-1").has_value(); });
  const auto answer = std::make_shared<Answer>();
  bool isAnswered = false;
  mWorld.Begin({ "POST",
                 "/once/x",
                 "body",
                 { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
               mWorld.mNode->Callers(),
               answer,
               [&isAnswered] { isAnswered = true; });
  mWorld.Until([&] { return desk.mArrivals.size() == 1; });
  bool isStopped = false;
  mWorld.mNode->Stop([&isStopped] { isStopped = true; });
  LONGS_EQUAL(
    503,
    mWorld.Page(mWorld.mNode->Readiness(), "/api/readyz").mHead.result_int());
  desk.SetScript(Answers("second"));
  const Answer second = Post("/once/x");
  STRCMP_EQUAL("second", second.mBody.c_str());
  STRCMP_EQUAL("close", std::string(second.mHead["Connection"]).c_str());
  mWorld.Until([&] { return !mWorld.mStore.Value("vms/vm-1"); });
  CHECK_FALSE(isStopped);
  desk.mHeld[0]->Send(desk.Good(*desk.mHeld[0]), "first");
  mWorld.Until([&isStopped] { return isStopped; });
  CHECK(isAnswered);
  STRCMP_EQUAL("first", answer->mBody.c_str());
}

/// A request that does not end keeps a VM that stops only until shortly before
/// it would be killed: its end takes time as well.
TEST(WholePath, AVmThatStopsEndsBeforeItIsKilled)
{
  mWorld.PutSettings(1);
  const Replica& desk = mWorld.Add("desk", "i-1", Hangs());
  mWorld.mFile.mStopWithin = std::chrono::milliseconds(3600);
  mWorld.StartNode();
  const auto answer = std::make_shared<Answer>();
  mWorld.Begin({ "POST",
                 "/once/x",
                 "body",
                 { { "Attempt-Id", "id-1" }, { "Key", "key-1" } } },
               mWorld.mNode->Callers(),
               answer,
               [] {});
  mWorld.Until([&] { return desk.mArrivals.size() == 1; });
  bool isStopped = false;
  mWorld.mNode->Stop([&isStopped] { isStopped = true; });
  mWorld.Until([&isStopped] { return isStopped; });
  CHECK(answer->mEnd != CallResult::Complete);
}

TEST(WholePath, AfterAllVmsLostPowerTheAcknowledgedStateIsServed)
{
  mWorld.PutSettings(1, { "key-1" });
  mWorld.Add("desk", "i-1", Answers("hello"));
  mWorld.StartNode();
  LONGS_EQUAL(200, Post("/once/x").mHead.result_int());
  mWorld.PutSettings(2, { "key-2" });
  mWorld.KillNode();
  mWorld.BeginNode();
  LONGS_EQUAL(200, Post("/once/x", { { "Key", "key-2" } }).mHead.result_int());
  LONGS_EQUAL(401, Post("/once/x", { { "Key", "key-1" } }).mHead.result_int());
}

TEST(WholePath, ARolloutMovesTheTrafficAndTellsTheOperator)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("old"));
  mWorld.Add("desk", "i-2", Answers("new"), "ready", "v2");
  mWorld.StartNode();
  mWorld.mStore.Put("op/rollout/desk",
                    R"({"service":"desk","target":"v2","duration-s":6})");
  const auto status = [&] {
    return mWorld.mStore.Value("status/rollout/desk").value_or("");
  };
  mWorld.Until(
    [&] { return status().find("in_progress") != std::string::npos; });
  int oldOnes = 0;
  mWorld.Until([&] {
    oldOnes += Post("/once/x").mBody == "old" ? 1 : 0;
    return status().find("completed") != std::string::npos;
  });
  CHECK(oldOnes > 0);
  STRCMP_EQUAL("new", Post("/once/x").mBody.c_str());
}

TEST(WholePath, ABadVersionIsRevertedAndGetsNothingMore)
{
  mWorld.PutSettings(1);
  mWorld.Add("desk", "i-1", Answers("old"));
  Replica& bad = mWorld.Add(
    "desk",
    "i-2",
    [](Replica& aSelf, const auto& aSession) {
      auto head = aSelf.Good(*aSession);
      head.result(500);
      aSession->Send(std::move(head), "bad");
    },
    "ready",
    "v2");
  mWorld.StartNode();
  mWorld.mStore.Put("op/rollout/desk",
                    R"({"service":"desk","target":"v2","duration-s":60})");
  const auto status = [&] {
    return mWorld.mStore.Value("status/rollout/desk").value_or("");
  };
  mWorld.Until([&] {
    Post("/once/x");
    return status().find("reverted") != std::string::npos;
  });
  mWorld.UntilRead();
  const std::size_t before = bad.mArrivals.size();
  for (int request = 0; request < 40; ++request) {
    STRCMP_EQUAL("old", Post("/once/x").mBody.c_str());
  }
  LONGS_EQUAL(before, bad.mArrivals.size());
}
