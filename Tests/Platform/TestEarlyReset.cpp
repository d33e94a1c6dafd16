#include "RawEndpoint.h"

#include "StoreClient.h"

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// More than the buffers of both sockets take.
constexpr std::size_t kUploadBytes = 6U << 20;
/// The VM has read the answer, and its write waits for the endpoint.
constexpr Duration kPause = std::chrono::milliseconds(50);

/// Heads of answers that only the end of their connection ends.
const std::string kHeads[] = {
  RawHead("HTTP/1.1 200 OK"),
  RawHead("HTTP/1.1 200 OK", "Connection: close\r\n"),
  RawHead("HTTP/1.0 200 OK"),
  "HTTP/1.1 103 Early Hints\r\n\r\n" + RawHead("HTTP/1.1 200 OK"),
  RawHead("HTTP/1.1 200 OK", "Content-Type: text/event-stream\r\n"),
};

const std::string kWhole =
  RawHead("HTTP/1.1 200 OK", "Content-Length: 5\r\n") + "whole";

const std::string kLastEvent =
  RawHead("HTTP/1.1 200 OK", "Content-Length: 21\r\n") + EventsText(3, 3);

} // namespace

/// Endpoints that answer before they have read the request, and then reset the
/// connection while it is written. What they have sent is not all they had.
TEST_GROUP_BASE(EarlyReset, RawEndpointTest)
{
  std::unique_ptr<RawEndpoint> mOther;
  Duration mPauseBeforeReset = kPause;
  std::size_t mArrivals = 0;

  /// An answer behind which the connection is reset, without a read of more
  /// than the beginning of the request.
  RawEndpoint::Answer Early(const std::string& aAnswer) const
  {
    RawEndpoint::Answer answer{ { { aAnswer } }, RawEndpoint::End::Reset };
    if (mPauseBeforeReset > Duration{}) {
      answer.mWrites.push_back({ "", mPauseBeforeReset });
    }
    return answer;
  }

  /// Starts a VM with two endpoints, and sends it a large request. The first
  /// request that reaches one of them gets the early answer, later ones the
  /// other.
  Response CallWith(const std::string& aEarly,
                    const std::string& aLater,
                    const std::string& aTarget,
                    const std::map<std::string, std::string>& aHeaders = {})
  {
    mArrivals = 0;
    const auto script = [=, this](const std::string&) {
      mArrivals += 1;
      return mArrivals == 1 ? Early(aEarly)
                            : RawEndpoint::Answer{ { { aLater } },
                                                   RawEndpoint::End::KeepOpen };
    };
    const bool isPlain = aTarget == "/once/x" || aTarget == "/again/x";
    const std::string pool = isPlain ? "desk" : "engines";
    mEndpoint = std::make_unique<RawEndpoint>(mFixture.mIoContext, script);
    mOther = std::make_unique<RawEndpoint>(mFixture.mIoContext, script);
    mFixture.PutSettings(1);
    std::string settings = *mFixture.mStore.Value("op/config");
    const std::string limit = "\"max-body-bytes\":65536";
    settings.replace(settings.find(limit),
                     limit.size(),
                     "\"max-body-bytes\":" + std::to_string(kUploadBytes));
    mFixture.mStore.Put("op/config", settings);
    List("i-1", pool, *mEndpoint);
    List("i-2", pool, *mOther);
    mFixture.StartNode();
    return mFixture.Call(
      { "POST", aTarget, std::string(kUploadBytes, 'b'), aHeaders });
  }

  void CheckIsNoAnswer()
  {
    for (const std::string& head : kHeads) {
      for (const char* body : { "part", "" }) {
        const Response once = CallWith(head + body, kWhole, "/once/x");
        LONGS_EQUAL_TEXT(502, once.mHead.result_int(), head.c_str());
        UNSIGNED_LONGS_EQUAL(1, mArrivals);
        const Response again = CallWith(head + body, kWhole, "/again/x");
        STRCMP_EQUAL_TEXT("whole", again.mBody.c_str(), head.c_str());
      }
    }
  }
};

TEST(EarlyReset, OfAnAnswerIsNoAnswer)
{
  CheckIsNoAnswer();
}

/// Guards against an order of events that hides the reset.
TEST(EarlyReset, DirectlyBehindAnAnswerIsNoAnswer)
{
  mPauseBeforeReset = {};
  CheckIsNoAnswer();
}

TEST(EarlyReset, BehindACompleteAnswerIsAnAnswer)
{
  const Response response =
    CallWith(RawHead("HTTP/1.1 200 OK", "Content-Length: 4\r\n") + "done",
             kWhole,
             "/once/x");
  LONGS_EQUAL(200, response.mHead.result_int());
  STRCMP_EQUAL("done", response.mBody.c_str());
}

/// An endpoint that ends its side has sent all it had, also if a reset follows
/// before the VM reads.
TEST(EarlyReset, BehindTheEndOfAnAnswerIsAnAnswer)
{
  RawEndpoint endpoint(mFixture.mIoContext,
                       { { kHeads[0] + "done" } },
                       RawEndpoint::End::ShutDownAndReset);
  const auto response = std::make_shared<Response>();
  bool hasEnded = false;
  const auto call =
    mFixture.StartCall({ "POST", "/", std::string(kUploadBytes, 'b'), {} },
                       endpoint.Address(),
                       response,
                       [&hasEnded] { hasEnded = true; });
  mFixture.RunUntil([&hasEnded] { return hasEnded; });
  CHECK(response->mResult == CallResult::Complete);
  STRCMP_EQUAL("done", response->mBody.c_str());
}

TEST(EarlyReset, IsCountedWithItsReason)
{
  CallWith(kHeads[0] + "part", kWhole, "/once/x");
  const std::string metrics =
    mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics").mBody;
  CHECK(metrics.find("acaciavale_relay_broken_answers_total{pool=\"desk\","
                     "reason=\"Connection reset by peer\"} 1") !=
        std::string::npos);
}

TEST(EarlyReset, OfAStreamIsNoEnd)
{
  for (const std::string& head : kHeads) {
    const Response fixed =
      CallWith(head + EventsText(1, 2), kLastEvent, "/fixed/x");
    CHECK_TEXT(fixed.mResult != CallResult::Complete, head.c_str());
    STRCMP_EQUAL(EventsText(1, 2).c_str(), fixed.mBody.c_str());
    const Response stream =
      CallWith(head + EventsText(1, 2), kLastEvent, "/stream/x");
    CHECK_TEXT(stream.mResult == CallResult::Complete, head.c_str());
    STRCMP_EQUAL(EventsText(1, 3).c_str(), stream.mBody.c_str());
  }
}

TEST(EarlyReset, OfTheLargerModelDoesNotCostTheSmallerOnesAnswer)
{
  const std::string events = EventsText(1, 2);
  const std::string small = RawHead("HTTP/1.1 200 OK",
                                    "Confidence: 5\r\nContent-Length: " +
                                      std::to_string(events.size()) + "\r\n") +
                            events;
  CallWith(kHeads[0], kWhole, "/fixed/x");
  mEndpoint = std::make_unique<RawEndpoint>(
    mFixture.mIoContext, [&](const std::string& aRequest) {
      mArrivals += 1;
      return HeaderIn(aRequest, "Model") == "small"
               ? RawEndpoint::Answer{ { { small } },
                                      RawEndpoint::End::KeepOpen }
               : Early(kHeads[0]);
    });
  mArrivals = 0;
  mFixture.mStore.Remove("servers/i-2");
  List("i-1", "engines", *mEndpoint);
  mFixture.StartNode();
  const Response response =
    mFixture.Call({ "POST",
                    "/sized/x",
                    std::string(kUploadBytes, 'b'),
                    { { "Model", "*" }, { "Token-Usage", "4000,200" } } });
  CHECK(mArrivals > 1);
  STRCMP_EQUAL(events.c_str(), response.mBody.c_str());
}

TEST(EarlyReset, OfTheStoreAcknowledgesNothing)
{
  RawEndpoint store(mFixture.mIoContext, [this](const std::string&) {
    return Early("HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n{\"revision\":5}");
  });
  StoreClient client(mFixture.mIoContext, store.Address());
  StoreWrite write;
  write.mValue.assign(kUploadBytes, 'b');
  std::optional<bool> isTaken;
  client.Write({ write }, [&isTaken](const ErrorOr<bool>& aResult) {
    isTaken = aResult.has_value();
  });
  mFixture.RunUntil([&isTaken] { return isTaken.has_value(); });
  CHECK_FALSE(*isTaken);
}

TEST(EarlyReset, OfAnotherVmIsNoSnapshot)
{
  RawEndpoint vm(mFixture.mIoContext, [this](const std::string&) {
    return Early("HTTP/1.1 200 OK\r\n\r\n" +
                 EncodeSnapshotAnswer(SnapshotAnswer{}));
  });
  StoreClient client(mFixture.mIoContext, vm.Address());
  SnapshotQuery query;
  query.mVmName = std::string(kUploadBytes, 'b');
  std::optional<bool> isTaken;
  client.QueryPeer(
    vm.Address(), query, [&isTaken](const ErrorOr<SnapshotAnswer>& aResult) {
      isTaken = aResult.has_value();
    });
  mFixture.RunUntil([&isTaken] { return isTaken.has_value(); });
  CHECK_FALSE(*isTaken);
}
