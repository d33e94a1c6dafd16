#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <algorithm>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

constexpr int kEngines = 12;
/// The operators' bounds on the endpoints that end under requests with one part
/// in common, and under one request with its repeats.
constexpr std::ptrdiff_t kMaximumCrashesByPart = 5;
constexpr std::ptrdiff_t kMaximumCrashesByRequest = 3;
/// Requests with the part come about as often as in the incident.
constexpr Duration kRequestInterval = std::chrono::milliseconds(150);

} // namespace

/// Requests that crash each endpoint that begins to answer them.
TEST_GROUP(CrashingRequests)
{
  PlatformFixture mFixture;
  int mRequests = 0;

  void StartEngines(const std::string& aDeadlyPart)
  {
    mFixture.PutSettings(1);
    for (int engine = 0; engine < kEngines; ++engine) {
      mFixture.AddEndpoint(
        "engines", "i-" + std::to_string(engine), CrashOnPart(aDeadlyPart));
    }
    mFixture.StartNode();
  }

  /// Sends a request whose prompt has the parts and one of its own.
  unsigned Send(const std::string& aParts)
  {
    const std::string own = "f00" + std::to_string(++mRequests);
    return SendPrompt(aParts + ',' + own + ":628");
  }

  unsigned SendPrompt(const std::string& aParts)
  {
    const Response response = mFixture.Call(
      { "POST",
        "/stream/x",
        "body",
        { { "Prompt-Prefix", aParts }, { "Token-Usage", "826,200" } } });
    return response.mResult == Relay::CallResult::Complete
             ? response.mHead.result_int()
             : 0;
  }

  std::ptrdiff_t Crashed() const
  {
    return std::count_if(
      mFixture.mReplicas.begin(),
      mFixture.mReplicas.end(),
      [](const auto& aReplica) { return aReplica->HasCrashed(); });
  }

  std::vector<std::string> QuarantineKeys() const
  {
    return mFixture.mStore.KeysWith("quarantine/");
  }

  void SendUntilQuarantined()
  {
    while (QuarantineKeys().empty()) {
      SendMixedRequests(1);
    }
  }

  /// Requests with the deadly part and, in between, sound ones that share its
  /// other parts. Returns how many of the sound ones were served.
  int SendMixedRequests(int aCount)
  {
    int served = 0;
    for (int request = 0; request < aCount; ++request) {
      Send("a1:150,dead:40,b2:8");
      served += Send("a1:150,b2:8") == 200 ? 1 : 0;
      mFixture.RunFor(kRequestInterval);
    }
    return served;
  }
};

TEST(CrashingRequests, OnePartOfThePromptsEndsFewEndpoints)
{
  StartEngines("dead");
  SendMixedRequests(20);
  CHECK(Crashed() <= kMaximumCrashesByPart);
}

TEST(CrashingRequests, SoundRequestsThatShareTheOtherPartsAreServed)
{
  StartEngines("dead");
  CHECK(SendMixedRequests(20) >= 19);
}

TEST(CrashingRequests, OneRequestAndItsRepeatsEndFewEndpoints)
{
  StartEngines("dead");
  for (int repeat = 0; repeat < 8; ++repeat) {
    SendPrompt("a1:150,b2:40,dead:628");
    mFixture.RunFor(kRequestInterval);
  }
  CHECK(Crashed() <= kMaximumCrashesByRequest);
  LONGS_EQUAL(200, Send("a1:150,b2:40"));
}

TEST(CrashingRequests, ARestartOfAllVmsForgetsNothing)
{
  StartEngines("dead");
  SendMixedRequests(12);
  mFixture.DestroyNode();
  mFixture.StartNode();
  const std::ptrdiff_t before = Crashed();
  SendMixedRequests(4);
  LONGS_EQUAL(before, Crashed());
  LONGS_EQUAL(200, Send("a1:150,b2:8"));
}

TEST(CrashingRequests, AnOlderCopyOfTheStoreForgetsNothing)
{
  StartEngines("dead");
  mFixture.mStore.SaveCopy();
  SendUntilQuarantined();
  mFixture.mStore.ReturnFromCopy();
  const std::ptrdiff_t before = Crashed();
  SendMixedRequests(6);
  LONGS_EQUAL(before, Crashed());
  mFixture.RunUntil([this] { return !QuarantineKeys().empty(); });
}

/// The operator's command removes the entry.
TEST(CrashingRequests, TheOperatorEndsTheQuarantine)
{
  StartEngines("dead");
  SendUntilQuarantined();
  mFixture.RunUntilStoreRead();
  const std::ptrdiff_t before = Crashed();
  mFixture.mStore.Remove(QuarantineKeys().front());
  mFixture.RunUntilStoreRead();
  SendMixedRequests(2);
  CHECK(Crashed() > before);
}

/// An endpoint that breaks single connections is well.
TEST(CrashingRequests, LostConnectionsAreNoCrashes)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint(
    "engines", "i-1", [](Replica& aSelf, const auto& aSession) {
      aSession->BeginStream(aSelf.SuccessHead(*aSession));
      aSession->OnDrained([aSession] { aSession->Abort(); });
    });
  mFixture.AddEndpoint("engines", "i-2", CrashOnPart("none"));
  mFixture.StartNode();
  for (int request = 0; request < 12; ++request) {
    LONGS_EQUAL(200, Send("a1:150,b2:8"));
  }
  CHECK(!mFixture.mReplicas.front()->mArrivals.empty());
  CHECK(QuarantineKeys().empty());
}
