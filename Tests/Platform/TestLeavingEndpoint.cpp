#include "StandInPlatform.h"

#include <HeaderCodec.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// An endpoint that states in its responses that it is about to stop, while the
/// store lists it as ready.
TEST_GROUP(LeavingEndpoint)
{
  PlatformFixture mFixture;
  Replica* mStays = nullptr;
  Replica* mLeaves = nullptr;

  void setup() override
  {
    mFixture.PutSettings(1);
    mStays = &mFixture.AddEndpoint("desk", "i-1", RespondWith("stays"));
    mLeaves = &mFixture.AddEndpoint("desk", "i-2", RespondWith("leaves"));
  }

  unsigned RequestStatus()
  {
    return mFixture.Call({ "POST", "/again/x", "body", {} }).mHead.result_int();
  }

  /// Sends requests until the endpoint has answered one.
  void HearFromTheEndpoint()
  {
    mLeaves->SetSaysThatItLeaves(true);
    const std::size_t arrivals = mLeaves->mArrivals.size();
    mFixture.RunUntil([&] {
      RequestStatus();
      return mLeaves->mArrivals.size() > arrivals;
    });
  }

  /// Returns how many of 40 further requests reach the endpoint.
  std::size_t FurtherArrivals()
  {
    const std::size_t arrivals = mLeaves->mArrivals.size();
    for (int request = 0; request < 40; ++request) {
      LONGS_EQUAL(200, RequestStatus());
    }
    return mLeaves->mArrivals.size() - arrivals;
  }

  /// Starts a request and returns its response, which arrives later.
  std::shared_ptr<Response> StartRequest(const std::string& aTarget, int aIndex)
  {
    auto response = std::make_shared<Response>();
    mFixture.StartCall({ "POST",
                         aTarget,
                         "body",
                         { { "Attempt-Id", "held-" + std::to_string(aIndex) },
                           { "Deadline-Ms", "4000" },
                           { "Key", "key-1" } } },
                       mFixture.mNode->CallerAddress(),
                       response,
                       [] {});
    return response;
  }
};

TEST(LeavingEndpoint, GetsNoRequestAfterAResponseOfAnyStatus)
{
  for (const unsigned status : { 200U, 404U, 500U, 503U, 429U }) {
    mLeaves->SetSaysThatItLeaves(false);
    Replica& replica =
      mFixture.AddEndpoint("desk",
                           "i-status-" + std::to_string(status),
                           [status](Replica& aSelf, const auto& aSession) {
                             auto head = aSelf.SuccessHead(*aSession);
                             head.result(status);
                             aSession->Send(std::move(head), "body");
                           });
    mFixture.mStore.Remove("servers/" + mLeaves->Id());
    mLeaves = &replica;
    if (!mFixture.mNode) {
      mFixture.StartNode();
    }
    HearFromTheEndpoint();
    UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
  }
}

/// What a response states about its endpoint counts if the response belongs to
/// the request, or refuses it without an id.
TEST(LeavingEndpoint, StatementsInForeignResponsesAreNotBelieved)
{
  Relay::CallerRequest request;
  request.mId = "own";
  const struct
  {
    const char* mId;
    bool mIsRefusal;
    unsigned mStatus;
    bool mIsBelieved;
  } cases[] = {
    { "own", false, 200, true },    { "own", false, 503, true },
    { "own", true, 503, true },     { "", true, 503, true },
    { "", false, 200, false },      { "", false, 503, false },
    { "other", false, 200, false }, { "other", true, 503, false },
    { "own", true, 421, false },
  };
  for (const auto& [id, isRefusal, status, isBelieved] : cases) {
    auto head = MakeHead(status);
    if (*id != 0) {
      head.set("Attempt-Id", id);
    }
    if (isRefusal) {
      head.set("Not-Executed", "1");
    }
    head.set("Server-Leaving", "1");
    head.set("Server-Limit", "2");
    head.set("Replica-Load", "1,2,3");
    head.set("Retry-After", "1");
    const auto info = HeaderCodec().mDecodeResponse(head, request);
    CHECK_EQUAL(isBelieved, info.mIsEndpointLeaving);
    CHECK_EQUAL(isBelieved, info.mLimit.mIsStated);
    CHECK_EQUAL(isBelieved, info.mLoad.has_value());
    CHECK_EQUAL(isBelieved && status == 503,
                info.mQuietTime.mDuration > Duration{});
  }
}

TEST(LeavingEndpoint, GetsNoRequestFromTheHeadOfAStreamOn)
{
  const auto beginStream = [](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    aSession->SendChunk("id: 1\ndata: 1\n\n");
    aSelf.mHeldSessions.push_back(aSession);
  };
  Replica& leaves = mFixture.AddEndpoint("engines", "i-3", beginStream);
  Replica& stays = mFixture.AddEndpoint("engines", "i-4", beginStream);
  leaves.SetSaysThatItLeaves(true);
  mFixture.StartNode();
  std::vector<std::shared_ptr<Response>> responses;
  while (leaves.mHeldSessions.empty() || responses.size() < 6) {
    responses.push_back(
      StartRequest("/stream/x", static_cast<int>(responses.size())));
    mFixture.RunUntil(
      [&responses] { return !responses.back()->mBody.empty(); });
  }
  UNSIGNED_LONGS_EQUAL(1, leaves.mArrivals.size());
  UNSIGNED_LONGS_EQUAL(responses.size() - 1, stays.mArrivals.size());
  // What runs there runs to its end.
  for (Replica* const replica : { &leaves, &stays }) {
    for (const auto& session : replica->mHeldSessions) {
      session->SendChunk("id: 2\ndata: 2\n\n");
      session->EndStream();
    }
  }
  mFixture.RunUntil([&] {
    return std::all_of(
      responses.begin(), responses.end(), [](const auto& aResponse) {
        return aResponse->mBody.find("id: 2") != std::string::npos;
      });
  });
}

TEST(LeavingEndpoint, GetsNoRequestWhileTheStoreIsOutOfReach)
{
  mFixture.StartNode();
  mFixture.mStore.SetMode(Store::Mode::Unresponsive);
  HearFromTheEndpoint();
  UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
  mFixture.mStore.SetMode(Store::Mode::Serving);
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
}

TEST(LeavingEndpoint, GetsNoRequestThoughASnapshotListsItAgain)
{
  mFixture.StartNode();
  HearFromTheEndpoint();
  const std::string entry = *mFixture.mStore.Value("servers/i-2");
  mFixture.mStore.Remove("servers/i-2");
  mFixture.RunUntilStoreRead();
  mFixture.mStore.Put("servers/i-2", entry);
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
}

TEST(LeavingEndpoint, GetsNoRequestThoughTheStoreCameBackFromAnOlderCopy)
{
  mFixture.StartNode();
  mFixture.mStore.SaveCopy();
  HearFromTheEndpoint();
  mFixture.mStore.ReturnFromCopy();
  mFixture.RunUntil(
    [&] { return mFixture.mStore.Value("vms/vm-1").has_value(); });
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
}

TEST(LeavingEndpoint, GetsNoRequestAfterAReloadOfTheSettings)
{
  mFixture.StartNode();
  HearFromTheEndpoint();
  mFixture.mNode->SetConfig(mFixture.mConfig);
  mFixture.PutSettings(2);
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(0, FurtherArrivals());
}

TEST(LeavingEndpoint, AnotherEndpointAtItsAddressIsUsed)
{
  mFixture.StartNode();
  HearFromTheEndpoint();
  std::string entry = *mFixture.mStore.Value("servers/i-2");
  mFixture.mStore.Remove("servers/i-2");
  mLeaves->SetSaysThatItLeaves(false);
  mFixture.mStore.Put("servers/i-5", entry);
  mFixture.RunUntilStoreRead();
  CHECK(FurtherArrivals() > 0);
}

/// The endpoint that has the address now answers for itself.
TEST(LeavingEndpoint, AMisdirectedRequestTellsNothingOfTheEndpoint)
{
  mFixture.StartNode();
  mLeaves->SetScript(RefuseWith(421, true));
  HearFromTheEndpoint();
  mLeaves->SetScript(RespondWith("is used"));
  mLeaves->SetSaysThatItLeaves(false);
  mFixture.mStore.Remove("servers/i-1");
  mFixture.RunUntilStoreRead();
  UNSIGNED_LONGS_EQUAL(40, FurtherArrivals());
}

/// A request that waits for a place is not started at the endpoint, and is
/// refused at once if there is no other.
TEST(LeavingEndpoint, GetsNoWaitingRequest)
{
  mFixture.mStore.Remove("servers/i-1");
  mLeaves->SetScript(NeverRespond());
  mFixture.StartNode();
  std::vector<std::shared_ptr<Response>> responses;
  responses.reserve(20);
  for (int request = 0; request < 20; ++request) {
    responses.push_back(StartRequest("/once/x", request));
  }
  // The one VM may have twice the slots of the endpoint open there.
  constexpr std::size_t kPlaces = 8;
  mFixture.RunUntil(
    [this] { return mLeaves->mHeldSessions.size() >= kPlaces; });
  mFixture.RunFor(std::chrono::milliseconds(60));
  const std::size_t started = mLeaves->mHeldSessions.size();
  UNSIGNED_LONGS_EQUAL(kPlaces, started);
  mLeaves->SetSaysThatItLeaves(true);
  for (const auto& session : mLeaves->mHeldSessions) {
    session->Send(mLeaves->SuccessHead(*session), "done");
  }
  // Those that had waited too long would be refused with another text.
  const auto refused = [&responses] {
    return static_cast<std::size_t>(std::count_if(
      responses.begin(), responses.end(), [](const auto& aResponse) {
        return aResponse->mHead.result_int() == 503 &&
               aResponse->mBody == "no endpoint took it\n";
      }));
  };
  mFixture.RunUntil([&] { return refused() == responses.size() - started; });
  mFixture.RunFor(std::chrono::milliseconds(100));
  UNSIGNED_LONGS_EQUAL(started, mLeaves->mArrivals.size());
}
