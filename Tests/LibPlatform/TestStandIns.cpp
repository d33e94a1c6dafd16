#include "StandInFixture.h"

#include <nlohmann/json.hpp>

#include <curl/curl.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::StandIns;
using nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// The response of an engine, as far as it was received.
struct EngineResponse
{
  bool mComplete = false; ///< Whether the connection stayed open to the end.
  long mStatus = 0;
  std::string mBody;
  std::string mText; ///< The concatenated contents of all chunks.
};

std::size_t Append(char* aFrom,
                   std::size_t aSize,
                   std::size_t aCount,
                   void* aTo)
{
  static_cast<std::string*>(aTo)->append(aFrom, aSize * aCount);
  return aSize * aCount;
}

std::string TextOf(const std::string& aEvents)
{
  std::string text;
  const std::string mark = "data: {";
  for (std::size_t at = aEvents.find(mark); at != std::string::npos;
       at = aEvents.find(mark, at + 1)) {
    const std::size_t end = aEvents.find("\n\n", at);
    const json event =
      json::parse(aEvents.substr(at + mark.size() - 1, end - at - 6));
    text += event["choices"][0]["delta"].value("content", "");
  }
  return text;
}

EngineResponse SendChatRequest(const std::string& aAddress,
                               const std::string& aRequest,
                               const std::string& aVersion,
                               int aResumeFrom = 0,
                               long aTimeoutMilliseconds = 0)
{
  EngineResponse answer;
  const std::string url = "http://" + aAddress + "/v1/chat/completions";
  const std::string body =
    R"({"model":"dossier","stream":true,"max_tokens":40,"messages":[]})";
  CURL* handle = curl_easy_init();
  curl_slist* headers = nullptr;
  for (const std::string& header :
       { "X-Request-Id: " + aRequest,
         "X-Model-Version: " + aVersion,
         "X-Resume-From: " + std::to_string(aResumeFrom) }) {
    headers = curl_slist_append(headers, header.c_str());
  }
  curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
  curl_easy_setopt(handle, CURLOPT_POSTFIELDS, body.c_str());
  curl_easy_setopt(handle, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, Append);
  curl_easy_setopt(handle, CURLOPT_WRITEDATA, &answer.mBody);
  curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, aTimeoutMilliseconds);
  answer.mComplete = curl_easy_perform(handle) == CURLE_OK;
  curl_easy_getinfo(handle, CURLINFO_RESPONSE_CODE, &answer.mStatus);
  curl_slist_free_all(headers);
  curl_easy_cleanup(handle);
  answer.mText = TextOf(answer.mBody);
  return answer;
}

} // namespace

TEST_GROUP(StandIns)
{
  StandInFixture mStandIns{ "jadran", 1 };
  std::string mEngine = mStandIns.Address("engine-1");

  /// Waits until all runs have ended and returns their outcomes in order.
  std::vector<RunOutcome> Outcomes() const
  {
    for (;;) {
      std::vector<RunOutcome> outcomes;
      bool running = false;
      for (const Run& run : mStandIns.mWorld.Runs().RunsAfter(0)) {
        outcomes.push_back(run.mOutcome);
        running = running || run.mOutcome == RunOutcome::Running;
      }
      if (!running) {
        return outcomes;
      }
      std::this_thread::sleep_for(milliseconds(2));
    }
  }
};

TEST(StandIns, AnswerStartsAndEndsWithItsRequestId)
{
  const EngineResponse answer = SendChatRequest(mEngine, "r1", "small-1");
  CHECK(answer.mComplete && answer.mText.starts_with("r1 "));
  CHECK(answer.mText.ends_with(" end-of r1"));
  CHECK(answer.mText != SendChatRequest(mEngine, "r1", "large-1").mText);
}

TEST(StandIns, ResumedStreamContinuesWhereItWasInterrupted)
{
  const std::string whole = SendChatRequest(mEngine, "r1", "small-1").mText;
  mStandIns.SetFault(R"({"part":"engine-1","break_after_chunks":5})");
  const EngineResponse cut = SendChatRequest(mEngine, "r1", "small-1");
  CHECK(!cut.mComplete);
  const EngineResponse rest =
    SendChatRequest(mStandIns.Address("engine-2"), "r1", "small-1", 5);
  STRCMP_EQUAL(whole.c_str(), (cut.mText + rest.mText).c_str());
  CHECK(Outcomes() == (std::vector{ RunOutcome::Completed,
                                    RunOutcome::Broken,
                                    RunOutcome::Completed }));
}

TEST(StandIns, VersionThatIsNotLoadedIsRejectedAndNotRun)
{
  const EngineResponse answer = SendChatRequest(mEngine, "r1", "small-9");
  LONGS_EQUAL(503, answer.mStatus);
  STRCMP_EQUAL("no",
               json::parse(answer.mBody)["ran"].get<std::string>().c_str());
  CHECK(Outcomes().empty());
}

TEST(StandIns, ClosedConnectionCancelsRunningAndQueuedRequests)
{
  mStandIns.SetFault(R"({"part":"engine-1","slow_factor":100000})");
  std::thread first([&] { SendChatRequest(mEngine, "r1", "small-1", 0, 400); });
  std::thread second(
    [&] { SendChatRequest(mEngine, "r2", "small-1", 0, 400); });
  first.join();
  second.join();
  CHECK(Outcomes() ==
        (std::vector{ RunOutcome::Cancelled, RunOutcome::Cancelled }));
  mStandIns.SetFault(R"({"part":"engine-1","clear":true})");
  CHECK(SendChatRequest(mEngine, "r3", "small-1").mComplete);
}

TEST(StandIns, InjectedErrorsAreReturnedAndRecorded)
{
  mStandIns.SetFault(R"({"part":"version:dossier/small-1","error_share":1})");
  LONGS_EQUAL(500, SendChatRequest(mEngine, "r1", "small-1").mStatus);
  LONGS_EQUAL(200, SendChatRequest(mEngine, "r2", "large-1").mStatus);
  CHECK(Outcomes() ==
        (std::vector{ RunOutcome::Failed, RunOutcome::Completed }));
}

TEST(StandIns, ServiceCanRunACallAndDropTheConnection)
{
  mStandIns.SetFault(R"({"part":"service-1","break_share":1})");
  CHECK(mStandIns.Call("POST", "service-1", "/drills", "{}").error().mCode ==
        ErrorCode::OutcomeUnknown);
  CHECK(Outcomes() == std::vector{ RunOutcome::Broken });
}

TEST(StandIns, FlappingServiceIsAlternatelyUpAndDown)
{
  mStandIns.SetFault(R"({"part":"service-1","flap_ms":20})");
  bool up = false;
  bool down = false;
  while (!up || !down) {
    const bool answered = mStandIns.Call("GET", "service-1", "/x").has_value();
    up = up || answered;
    down = down || !answered;
  }
}

TEST(StandIns, OnlyEnginesThatCheckFencingRejectOldOrders)
{
  const auto order = [&](const char* aEngine, int aFence, const char* aId) {
    const json body{ { "fence", aFence },
                     { "order_id", aId },
                     { "action", "unload" },
                     { "model", "dossier" },
                     { "version", "small-1" } };
    return mStandIns.Call("POST", aEngine, "/v1/orders", body.dump())->mStatus;
  };
  LONGS_EQUAL(200, order("engine-1", 5, "a"));
  LONGS_EQUAL(409, order("engine-1", 4, "b"));
  LONGS_EQUAL(200, order("engine-2", 5, "a"));
  LONGS_EQUAL(200, order("engine-2", 4, "b"));
  LONGS_EQUAL(503, SendChatRequest(mEngine, "r1", "small-1").mStatus);
}

TEST(StandIns, ControlPortListsRunsWritesAndFaults)
{
  CHECK(mStandIns.Call("POST", "control", "/faults", R"({"part":"ratings"})")
          ->mStatus == 200);
  CHECK(mStandIns.Call("POST", "service-1", "/drills", "{}").has_value());
  mStandIns.Call("POST", "key-value", "/v1/kv", R"({"key":"k","value":"v"})");
  const json runs =
    json::parse(mStandIns.Call("GET", "control", "/runs")->mBody);
  STRCMP_EQUAL("/drills", runs["runs"][0]["path"].get<std::string>().c_str());
  const json history =
    json::parse(mStandIns.Call("GET", "control", "/history")->mBody);
  LONGS_EQUAL(1, history["writes"].size());
  LONGS_EQUAL(1, history["faults"].size());
}
