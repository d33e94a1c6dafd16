#include "EarlyEndpoint.h"
#include "RawEndpoint.h"

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// More than the buffers of both sockets take.
constexpr std::size_t kLargeBodyBytes = 16U << 20;
/// Below the limit of the settings, 64 KB.
constexpr std::size_t kBodyBytes = 60000;
constexpr Duration kPause = std::chrono::milliseconds(300);
/// Longer than the time after which an unreachable endpoint is given up.
constexpr Duration kLongPause = std::chrono::milliseconds(2500);

constexpr char kAnswer[] = "HTTP/1.1 200 OK\r\nReplica-Stamp: s\r\n"
                           "Attempt-Id: REQUEST-ID\r\n"
                           "Content-Length: 4\r\n\r\ndone";

std::string LargeBody()
{
  std::string body;
  body.reserve(kLargeBodyBytes + 16);
  while (body.size() < kLargeBodyBytes) {
    body += std::to_string(body.size()) + '\n';
  }
  return body;
}

} // namespace

/// Endpoints that answer before they have read the body, and read on later.
TEST_GROUP(EarlyAnswer)
{
  PlatformFixture mFixture;
  std::unique_ptr<EarlyEndpoint> mEndpoint;
  std::shared_ptr<Response> mResponse = std::make_shared<Response>();
  std::shared_ptr<Relay::OutboundCall> mCall;
  bool mHasEnded = false;

  void StartEndpoint(EarlyEndpoint::Script aScript)
  {
    mEndpoint =
      std::make_unique<EarlyEndpoint>(mFixture.mIoContext, std::move(aScript));
  }

  /// Sends a large body to the endpoint itself, and waits for the answer.
  void CallEndpoint(const std::string& aBody)
  {
    mCall = mFixture.StartCall({ "POST", "/", aBody, {} },
                               mEndpoint->Address(),
                               mResponse,
                               [this] { mHasEnded = true; });
    mFixture.RunUntil([this] { return mHasEnded; });
  }

  /// Checks that the endpoint gets the whole body although it answers early.
  void CheckBodyIsSent(EarlyEndpoint::Script aScript)
  {
    StartEndpoint(std::move(aScript));
    const std::string body = LargeBody();
    CallEndpoint(body);
    CHECK(mResponse->mResult == CallResult::Complete);
    CHECK_FALSE(mEndpoint->HasBody());
    mFixture.RunUntil([this] { return mEndpoint->HasEnded(); });
    CHECK(mEndpoint->Body() == body);
  }

  /// Starts a VM with the endpoint, which gets a request and answers early.
  void CallThroughVm(const std::string& aEarlyAnswer)
  {
    StartEndpoint({ aEarlyAnswer, false, 0, kPause, "" });
    mFixture.PutSettings(1);
    mFixture.mStore.Put("servers/i-1",
                        R"({"service":"desk","address":")" +
                          mEndpoint->Address() +
                          R"(","zone":"zone-a","version":"v1","slots":4,)"
                          R"("state":"ready","seq-no":1,"born":1})");
    mFixture.StartNode();
    *mResponse =
      mFixture.Call({ "POST", "/once/x", std::string(kBodyBytes, 'b'), {} });
  }
};

/// Guards against a close of the connection when the answer is complete.
TEST(EarlyAnswer, TheRestOfTheBodyIsSent)
{
  CheckBodyIsSent({ kAnswer, false, 0, kPause, "" });
}

/// Guards against a time limit for unreachable endpoints that ends slow ones.
TEST(EarlyAnswer, TheRestOfTheBodyIsSentAfterALongPause)
{
  CheckBodyIsSent({ kAnswer, false, 1U << 20, kLongPause, "" });
}

/// Guards against a close when the end of the connection completes the answer.
TEST(EarlyAnswer, TheRestOfTheBodyIsSentBehindAnAnswerWithoutLength)
{
  CheckBodyIsSent({ "HTTP/1.1 200 OK\r\n\r\ndone", true, 0, kPause, "" });
}

/// Guards against a reset, which unread bytes would turn a close into.
TEST(EarlyAnswer, TheRestOfTheBodyIsSentWhenMoreFollowsTheAnswer)
{
  CheckBodyIsSent({ std::string(kAnswer) + kAnswer, false, 0, kPause, "" });
}

/// Guards against the same time limit without an early answer.
TEST(EarlyAnswer, AnEndpointThatPausesWhileItReadsAnswers)
{
  StartEndpoint({ "", false, 1U << 20, kLongPause, kAnswer });
  CallEndpoint(LargeBody());
  CHECK(mResponse->mResult == CallResult::Complete);
  CHECK(mEndpoint->HasBody());
}

/// Guards against bodies that are held for endpoints that never read on.
TEST(EarlyAnswer, AnEndpointThatNeverReadsOnIsGivenUp)
{
  StartEndpoint({ kAnswer, false, 0, std::chrono::hours(1), "" });
  Relay::CallOptions options;
  options.mAddress = mEndpoint->Address();
  options.mConnectTimeout = std::chrono::seconds(5);
  options.mStallTimeout = std::chrono::seconds(1);
  const auto body = std::make_shared<const std::string>(LargeBody());
  const std::weak_ptr<const std::string> held = body;
  options.mBody = body;
  options.mHead.method_string("POST");
  options.mHead.target("/");
  options.mHead.set("Content-Length", std::to_string(body->size()));
  Relay::CallHandlers handlers;
  handlers.mOnHead = [](const Relay::ResponseHead&) {};
  handlers.mOnBody = [](std::string_view) {};
  handlers.mOnEnd = [this](CallResult) { mHasEnded = true; };
  mCall = Relay::OutboundCall::Start(
    mFixture.mIoContext, std::move(options), std::move(handlers));
  mFixture.RunUntil([this] { return mHasEnded; });
  CHECK(mCall->IsSending());
  mFixture.RunUntil([this] { return !mCall->IsSending(); });
  mFixture.RunUntil([&] { return held.use_count() == 1; });
}

/// Guards against a stop that cuts the rest of a body off.
TEST(EarlyAnswer, AStoppingVmSendsTheRestFirst)
{
  CallThroughVm(kAnswer);
  LONGS_EQUAL(200, mResponse->mHead.result_int());
  bool isStopped = false;
  mFixture.mNode->Stop([&isStopped] { isStopped = true; });
  UNSIGNED_LONGS_EQUAL(1, mFixture.mNode->OpenRequests());
  mFixture.RunUntil([&isStopped] { return isStopped; });
  CHECK(mEndpoint->HasBody());
  UNSIGNED_LONGS_EQUAL(kBodyBytes, mEndpoint->Body().size());
}

/// Guards against work for an endpoint that does not want the request.
TEST(EarlyAnswer, ARefusedBodyIsNotSentOn)
{
  CallThroughVm("HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\n"
                "Attempt-Id: REQUEST-ID\r\nContent-Length: 0\r\n\r\n");
  LONGS_EQUAL(503, mResponse->mHead.result_int());
  UNSIGNED_LONGS_EQUAL(0, mFixture.mNode->OpenRequests());
}
