#include "RawEndpoint.h"
#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

constexpr std::size_t kMegabyte = 1U << 20;
/// The limit on what a VM holds with the least memory.
constexpr std::size_t kLimit = 8 * kMegabyte;
/// Below the limit of the settings, 64 KB.
constexpr std::size_t kBodyBytes = 60000;
constexpr std::size_t kAnswerBytes = 2 * kMegabyte;
/// As many as the VM sends the endpoint at once.
constexpr int kAnswers = 8;

} // namespace

/// Bytes that a VM holds for callers and endpoints that are slow.
TEST_GROUP(HeldBytes)
{
  PlatformFixture mFixture;
  std::vector<std::shared_ptr<Relay::OutboundCall>> mCalls;
  std::vector<std::shared_ptr<Response>> mResponses;
  std::size_t mEnded = 0;

  void setup() override
  {
    mFixture.mConfig.mMemoryBytes = 16 * kMegabyte;
    mFixture.PutSettings(1);
  }

  /// Sets a time limit that slow reading does not reach.
  void AllowLongRequests()
  {
    mFixture.mRouteTimeoutMs = 30000;
    mFixture.PutSettings(1);
  }

  void Start(const std::string& aTarget, std::size_t aBodyBytes)
  {
    mResponses.push_back(std::make_shared<Response>());
    mCalls.push_back(mFixture.StartCall(
      { "POST",
        aTarget,
        std::string(aBodyBytes, 'b'),
        { { "Key", "key-1" },
          { "Attempt-Id", "held-" + std::to_string(mCalls.size()) } } },
      mFixture.mNode->CallerAddress(),
      mResponses.back(),
      [this] { ++mEnded; }));
  }

  std::size_t HeldBytes()
  {
    const std::string name = "acaciavale_relay_held_bytes ";
    const std::string text =
      mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics").mBody;
    const std::size_t at = text.rfind(name);
    CHECK(at != std::string::npos);
    return static_cast<std::size_t>(std::stod(text.substr(at + name.size())));
  }

  /// Runs until all calls have ended. Returns the most that was held.
  std::size_t RunAndWatch()
  {
    std::size_t most = 0;
    while (mEnded < mCalls.size()) {
      mFixture.RunFor(std::chrono::milliseconds(2));
      most = std::max(most, HeldBytes());
    }
    return most;
  }
};

/// Endpoints take the requests and do not answer.
TEST(HeldBytes, RequestsWithoutRoomAreRefusedAndNotPassedOn)
{
  Replica& desk = mFixture.AddEndpoint("desk", "i-1", NeverRespond());
  mFixture.AddEndpoint("engines", "i-2", StreamEvents(1));
  mFixture.StartNode();
  for (int call = 0; call < 150; ++call) {
    Start("/once/x", kBodyBytes);
  }
  mFixture.RunUntil([&] { return mEnded > 0; });
  CHECK(HeldBytes() <= kLimit);
  Start("/stream/x", 4);
  RunAndWatch();
  LONGS_EQUAL(200, mResponses.back()->mHead.result_int());
  std::size_t refusedAtOnce = 0;
  for (std::size_t call = 0; call < mResponses.size(); ++call) {
    const Response& response = *mResponses[call];
    const bool isWithoutRoom = response.mHead["Retry-After"] == "1";
    refusedAtOnce += isWithoutRoom ? 1 : 0;
    for (const auto& arrival : desk.mArrivals) {
      CHECK_FALSE(isWithoutRoom && arrival.mHead["Attempt-Id"] ==
                                     "held-" + std::to_string(call));
    }
  }
  CHECK(refusedAtOnce > 50);
  CHECK(refusedAtOnce < 140);
  UNSIGNED_LONGS_EQUAL(0, HeldBytes());
}

/// The requests have run, so no answer is dropped for lack of room.
TEST(HeldBytes, LargeAnswersWaitForRoomAndAreWhole)
{
  AllowLongRequests();
  mFixture.AddEndpoint(
    "desk", "i-1", RespondWith(std::string(kAnswerBytes, 'a')));
  mFixture.StartNode();
  for (int call = 0; call < kAnswers; ++call) {
    Start("/open/x", 4);
  }
  CHECK(RunAndWatch() <= kLimit + kAnswerBytes);
  for (const auto& response : mResponses) {
    CHECK(response->mResult == CallResult::Complete);
    LONGS_EQUAL(200, response->mHead.result_int());
    UNSIGNED_LONGS_EQUAL(kAnswerBytes, response->mBody.size());
  }
  UNSIGNED_LONGS_EQUAL(0, HeldBytes());
}

/// Nothing tells how long the answers are before they have ended.
TEST(HeldBytes, LargeAnswersInChunksWaitForRoomAndAreWhole)
{
  AllowLongRequests();
  mFixture.AddEndpoint("desk", "i-1", [](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    aSession->SendChunk(std::string(kAnswerBytes, 'a'));
    aSession->EndStream();
  });
  mFixture.StartNode();
  for (int call = 0; call < kAnswers; ++call) {
    Start("/open/x", 4);
  }
  CHECK(RunAndWatch() <= kLimit + kAnswerBytes);
  for (const auto& response : mResponses) {
    CHECK(response->mResult == CallResult::Complete);
    UNSIGNED_LONGS_EQUAL(kAnswerBytes, response->mBody.size());
  }
  UNSIGNED_LONGS_EQUAL(0, HeldBytes());
}

/// Streams of which the VM keeps parts that it cannot pass on yet.
TEST_GROUP_BASE(HeldParts, RawEndpointTest)
{
  std::shared_ptr<Response> mResponse = std::make_shared<Response>();
  std::shared_ptr<Relay::OutboundCall> mCall;
  bool mHasEnded = false;

  /// Lets the endpoint send the bytes, and then nothing. Returns the most that
  /// the VM holds meanwhile.
  std::size_t MostHeld(const std::string& aBytes)
  {
    Start({ { aBytes } }, "engines", RawEndpoint::End::KeepOpen);
    mCall =
      mFixture.StartCall({ "POST",
                           "/stream/x",
                           "body",
                           { { "Key", "key-1" }, { "Attempt-Id", "held" } } },
                         mFixture.mNode->CallerAddress(),
                         mResponse,
                         [this] { mHasEnded = true; });
    std::size_t most = 0;
    const TimePoint until = MonotonicNow() + std::chrono::seconds(1);
    while (MonotonicNow() < until) {
      const std::string text =
        mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics").mBody;
      const std::string name = "acaciavale_relay_held_bytes ";
      most = std::max(most,
                      static_cast<std::size_t>(std::stod(
                        text.substr(text.rfind(name) + name.size()))));
    }
    return most;
  }
};

/// Guards against events without end that count against no budget.
TEST(HeldParts, AnIncompleteEventCounts)
{
  CHECK(MostHeld(RawHead("HTTP/1.1 200 OK") + "data: " +
                 std::string(kAnswerBytes / 16, 'a')) >= kAnswerBytes / 16);
}

/// Guards against the same for comments, which wait for the first event.
TEST(HeldParts, CommentsBeforeTheFirstEventCount)
{
  std::string comments;
  while (comments.size() < kAnswerBytes / 16) {
    comments += ": a\n\n";
  }
  CHECK(MostHeld(RawHead("HTTP/1.1 200 OK") + comments) >= kAnswerBytes / 16);
}

/// Guards against heads that count with less than they need when parsed.
TEST(HeldParts, AHeadOfShortFieldsCounts)
{
  constexpr std::size_t kFields = 300;
  std::string fields;
  for (std::size_t field = 0; field < kFields; ++field) {
    fields += "a:\r\n";
  }
  CHECK(MostHeld(RawHead("HTTP/1.1 200 OK", fields)) >= kFields * 64);
}
