#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// An endpoint that turns a request away and states for how long it wants no
/// more.
TEST_GROUP(QuietEndpoint)
{
  PlatformFixture mFixture;
  Replica* mQuiet = nullptr;

  void setup() override
  {
    mFixture.PutSettings(1);
    mQuiet = &mFixture.AddEndpoint("desk", "i-1", RefuseWith(503, true));
  }

  Response Request()
  {
    return mFixture.Call({ "POST", "/once/x", "body", {} });
  }

  std::size_t Arrivals(int aRequests)
  {
    const std::size_t before = mQuiet->mArrivals.size();
    for (int request = 0; request < aRequests; ++request) {
      Request();
    }
    return mQuiet->mArrivals.size() - before;
  }

  static double RetryAfter(const Response& aResponse)
  {
    const auto text = aResponse.mHead["Retry-After"];
    return text.empty() ? 0 : std::stod(std::string(text));
  }
};

/// What it turned away goes to the other endpoint.
TEST(QuietEndpoint, GetsNoRequestUntilTheEnd)
{
  mFixture.AddEndpoint("desk", "i-2", RespondWith("answer"));
  mQuiet->SetRetryAfter("1.2");
  mFixture.StartNode();
  while (mQuiet->mArrivals.empty()) {
    LONGS_EQUAL(200, Request().mHead.result_int());
  }
  const TimePoint turnedAway = MonotonicNow();
  mQuiet->SetScript(RespondWith("answer"));
  while (MonotonicNow() - turnedAway < std::chrono::milliseconds(1100)) {
    LONGS_EQUAL(200, Request().mHead.result_int());
    mFixture.RunFor(std::chrono::milliseconds(20));
  }
  UNSIGNED_LONGS_EQUAL(1, mQuiet->mArrivals.size());
  mFixture.RunUntil([&] {
    Request();
    return mQuiet->mArrivals.size() > 1;
  });
}

TEST(QuietEndpoint, RequestsAreRefusedAtOnceIfAllWantQuiet)
{
  Replica& other = mFixture.AddEndpoint("desk", "i-2", RefuseWith(503, true));
  mQuiet->SetRetryAfter("8");
  other.SetRetryAfter("3");
  mFixture.StartNode();
  while (mQuiet->mArrivals.empty() || other.mArrivals.empty()) {
    Request();
  }
  const std::size_t arrivals = other.mArrivals.size();
  const TimePoint start = MonotonicNow();
  for (int request = 0; request < 20; ++request) {
    const Response response = Request();
    LONGS_EQUAL(503, response.mHead.result_int());
    // The earliest end, with the spread of the VMs and of the callers.
    CHECK(RetryAfter(response) > 2);
    CHECK(RetryAfter(response) <= 3 * 1.25 * 1.25);
  }
  CHECK(MonotonicNow() - start < std::chrono::milliseconds(500));
  UNSIGNED_LONGS_EQUAL(arrivals, other.mArrivals.size());
}

TEST(QuietEndpoint, AWaitingRequestIsRefusedAtOnce)
{
  mQuiet->SetRetryAfter("8");
  mQuiet->SetScript(NeverRespond());
  mFixture.StartNode();
  std::vector<std::shared_ptr<Response>> responses;
  for (int request = 0; request < 12; ++request) {
    responses.push_back(std::make_shared<Response>());
    mFixture.StartCall({ "POST",
                         "/once/x",
                         "body",
                         { { "Attempt-Id", "waits-" + std::to_string(request) },
                           { "Deadline-Ms", "4000" },
                           { "Key", "key-1" } } },
                       mFixture.mNode->CallerAddress(),
                       responses.back(),
                       [] {});
  }
  mFixture.RunFor(std::chrono::milliseconds(60));
  const std::size_t started = mQuiet->mArrivals.size();
  CHECK(started < responses.size());
  const auto session = mQuiet->mHeldSessions.front();
  auto head = mQuiet->RefusalHead(503);
  head.set("Not-Executed", "1");
  session->Send(std::move(head), "refused");
  mFixture.RunFor(std::chrono::milliseconds(60));
  UNSIGNED_LONGS_EQUAL(started, mQuiet->mArrivals.size());
  std::size_t refused = 0;
  for (const auto& response : responses) {
    if (response->mHead.result_int() == 503) {
      ++refused;
      CHECK(RetryAfter(*response) > 7);
    }
  }
  UNSIGNED_LONGS_EQUAL(responses.size() - started + 1, refused);
}

/// The time outlives a reload, an outage of the store and a list that drops the
/// endpoint for a while.
TEST(QuietEndpoint, StaysQuietWhateverTheStoreLists)
{
  mFixture.AddEndpoint("desk", "i-2", RespondWith("answer"));
  mQuiet->SetRetryAfter("20");
  mFixture.StartNode();
  while (mQuiet->mArrivals.empty()) {
    Request();
  }
  const std::string entry = *mFixture.mStore.Value("servers/i-1");
  mFixture.mStore.Remove("servers/i-1");
  mFixture.mNode->SetConfig(mFixture.mConfig);
  mFixture.PutSettings(2);
  mFixture.RunUntilStoreRead();
  mFixture.mStore.Put("servers/i-1", entry);
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(0, Arrivals(40));
  mFixture.mStore.SetMode(Store::Mode::Unresponsive);
  mFixture.RunFor(std::chrono::milliseconds(500));
  UNSIGNED_LONGS_EQUAL(0, Arrivals(40));
}

/// A time that cannot be read asks for nothing, and another status than 503 is
/// no request for quiet.
TEST(QuietEndpoint, AnInvalidTimeIsIgnored)
{
  for (const char* text : { "-1", "soon", "" }) {
    mQuiet->SetRetryAfter(text);
    if (!mFixture.mNode) {
      mFixture.StartNode();
    }
    CHECK(Arrivals(3) > 0);
  }
  mQuiet->SetScript([](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    head.set("Retry-After", "20");
    aSession->Send(std::move(head), "answer");
  });
  UNSIGNED_LONGS_EQUAL(3, Arrivals(3));
}
