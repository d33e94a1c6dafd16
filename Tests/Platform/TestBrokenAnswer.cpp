#include "RawEndpoint.h"

#include "StoreClient.h"

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

constexpr const char* kStatuses[] = { "000", "001", "099", "600", "999" };

constexpr const char* kUnsupportedCodings[] = {
  "xchunked",
  "gzip",
  "identity",
  "gzip, chunked",
  "chunked, identity",
  "chunked, chunked",
  "chunked\r\nTransfer-Encoding: identity",
  "gzip\r\nTransfer-Encoding: chunked",
  "chunked;a=b",
  "\"chunked\"",
  "",
};

/// Lines of a head that are no fields.
constexpr std::string_view kInvalidLines[] = {
  "X Field: a",     "X-Field : a", " : a", "X\x01-Field: a",     "X\t-Field: a",
  "X\x7f-Field: a", "X-Field",     ": a",  { "X\0Field: a", 10 }
};

constexpr char kNotExecuted[] = "Not-Executed: 1\r\n";

const std::string kRefusal =
  RawHead("HTTP/1.1 503 Service Unavailable",
          "Not-Executed: 1\r\nContent-Length: 0\r\n");

const std::string kWhole =
  RawHead("HTTP/1.1 200 OK", "Content-Length: 5\r\n") + "whole";

const std::string kWholeStream = RawHead("HTTP/1.1 200 OK") + EventsText(1, 2);

constexpr char kChunkedAnswer[] = "6\r\nanswer\r\n0\r\n\r\n";

std::string ChunkedEvents()
{
  return "21\r\n" + EventsText(1, 1) + "\r\n0\r\n\r\n";
}

std::string AnswerWithStatus(const std::string& aStatus,
                             const std::string& aFields = {})
{
  return RawHead("HTTP/1.1 " + aStatus + " Strange",
                 aFields + "Content-Length: 6\r\n") +
         "answer";
}

std::string AnswerWithCoding(const std::string& aCoding,
                             const std::string& aFields = {},
                             const std::string& aBody = kChunkedAnswer)
{
  return RawHead("HTTP/1.1 200 OK",
                 aFields + "Transfer-Encoding: " + aCoding + "\r\n") +
         aBody;
}

std::string AnswerWithLine(std::string_view aLine)
{
  return RawHead("HTTP/1.1 200 OK",
                 std::string(aLine) + "\r\nContent-Length: 6\r\n") +
         "answer";
}

constexpr char kEventsType[] = "Content-Type: text/event-stream\r\n";

} // namespace

/// Answers that are complete, but not valid. They are failed attempts.
TEST_GROUP_BASE(BrokenAnswer, RawEndpointTest)
{
  std::unique_ptr<RawEndpoint> mOther;
  std::vector<std::string> mAnswers;
  std::size_t mArrivals = 0;

  /// Starts a VM with two endpoints. The n-th request that reaches any of them
  /// gets the n-th answer.
  Response CallWith(std::vector<std::string> aAnswers,
                    const std::string& aTarget)
  {
    mAnswers = std::move(aAnswers);
    mArrivals = 0;
    const auto script = [this](const std::string&) {
      const std::size_t index = std::min(mArrivals, mAnswers.size() - 1);
      ++mArrivals;
      return RawEndpoint::Answer{ { { mAnswers[index] } } };
    };
    const bool isPlain = aTarget == "/once/x" || aTarget == "/again/x";
    const std::string pool = isPlain ? "desk" : "engines";
    mEndpoint = std::make_unique<RawEndpoint>(mFixture.mIoContext, script);
    mOther = std::make_unique<RawEndpoint>(mFixture.mIoContext, script);
    mFixture.PutSettings(1);
    List("i-1", pool, *mEndpoint);
    List("i-2", pool, *mOther);
    mFixture.StartNode();
    return Call(aTarget);
  }

  /// Checks that the caller of a request that may run once gets 502, and that
  /// another one gets the answer of the other endpoint.
  void CheckIsNoAnswer(const std::string& aAnswer)
  {
    const Response once = CallWith({ aAnswer, kWhole }, "/once/x");
    LONGS_EQUAL_TEXT(502, once.mHead.result_int(), aAnswer.c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(1, mArrivals, aAnswer.c_str());
    const Response again = CallWith({ aAnswer, kWhole }, "/again/x");
    LONGS_EQUAL_TEXT(200, again.mHead.result_int(), aAnswer.c_str());
    STRCMP_EQUAL_TEXT("whole", again.mBody.c_str(), aAnswer.c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(2, mArrivals, aAnswer.c_str());
  }

  /// The same for streams.
  void CheckIsNoStream(const std::string& aAnswer)
  {
    const Response fixed = CallWith({ aAnswer, kWholeStream }, "/fixed/x");
    LONGS_EQUAL_TEXT(502, fixed.mHead.result_int(), aAnswer.c_str());
    UNSIGNED_LONGS_EQUAL_TEXT(1, mArrivals, aAnswer.c_str());
    const Response stream = CallWith({ aAnswer, kWholeStream }, "/stream/x");
    STRCMP_EQUAL_TEXT(
      EventsText(1, 2).c_str(), stream.mBody.c_str(), aAnswer.c_str());
    CHECK_TEXT(stream.mResult == CallResult::Complete, aAnswer.c_str());
  }

  std::string Metrics()
  {
    return mFixture.FetchPage(mFixture.mNode->MetricsAddress(), "/metrics")
      .mBody;
  }

  /// Makes the call to a store that sends the answer. Returns whether the
  /// result was a value.
  template<typename Value>
  bool IsTaken(
    const std::string& aAnswer,
    const std::function<void(
      StoreClient&, const std::string&, const StoreClient::Callback<Value>&)>&
      aCall)
  {
    RawEndpoint store(mFixture.mIoContext, { { aAnswer } });
    StoreClient client(mFixture.mIoContext, store.Address());
    std::optional<bool> isTaken;
    aCall(client, store.Address(), [&isTaken](ErrorOr<Value> aResult) {
      isTaken = aResult.has_value();
    });
    mFixture.RunUntil([&isTaken] { return isTaken.has_value(); });
    return *isTaken;
  }
};

TEST(BrokenAnswer, AStatusOutOfRangeIsNone)
{
  for (const char* status : kStatuses) {
    CheckIsNoAnswer(AnswerWithStatus(status));
  }
}

TEST(BrokenAnswer, AStatusOutOfRangeBeginsNoStream)
{
  for (const char* status : kStatuses) {
    CheckIsNoStream(AnswerWithStatus(status, kEventsType));
  }
}

/// Such an answer does not tell that the request has not run.
TEST(BrokenAnswer, AStatusOutOfRangePromisesNothing)
{
  for (const char* status : kStatuses) {
    CheckIsNoAnswer(AnswerWithStatus(status, "Not-Executed: 1\r\n"));
  }
}

TEST(BrokenAnswer, AStatusOutOfRangeDoesNotGoOnWithAStream)
{
  const Response response =
    CallWith({ RawHead("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n") +
                 "21\r\n" + EventsText(1, 1),
               AnswerWithStatus("999", kEventsType) },
             "/stream/x");
  CHECK(mArrivals > 1);
  CHECK(response.mResult != CallResult::Complete);
  STRCMP_EQUAL(EventsText(1, 1).c_str(), response.mBody.c_str());
}

/// Guards against a status that is believed behind a refusal, although both
/// must state that the request has not run.
TEST(BrokenAnswer, AStatusOutOfRangeBehindARefusalMakesItDoubtful)
{
  LONGS_EQUAL(
    502,
    CallWith({ kRefusal + AnswerWithStatus("999", kNotExecuted) }, "/once/x")
      .mHead.result_int());
}

TEST(BrokenAnswer, AStatusOutOfRangeBehindAnAnswerIsNotPassedOn)
{
  for (const char* status : kStatuses) {
    CheckIsNoAnswer(RawHead("HTTP/1.1 200 OK") + "answer" +
                    AnswerWithStatus(status));
  }
}

TEST(BrokenAnswer, AStatusOutOfRangeIsCounted)
{
  CallWith({ AnswerWithStatus("999") }, "/once/x");
  CHECK(Metrics().find("acaciavale_relay_broken_answers_total{pool=\"desk\","
                       "reason=\"bad status\"} 1") != std::string::npos);
}

TEST(BrokenAnswer, AnUnsupportedTransferCodingIsNone)
{
  for (const char* coding : kUnsupportedCodings) {
    CheckIsNoAnswer(AnswerWithCoding(coding));
  }
}

TEST(BrokenAnswer, AnUnsupportedTransferCodingBeginsNoStream)
{
  for (const char* coding : kUnsupportedCodings) {
    CheckIsNoStream(AnswerWithCoding(coding, kEventsType, EventsText(1, 1)));
  }
}

TEST(BrokenAnswer, AnUnsupportedTransferCodingPromisesNothing)
{
  CheckIsNoAnswer(AnswerWithCoding("xchunked", kNotExecuted));
  LONGS_EQUAL(502,
              CallWith({ kRefusal + RawHead("HTTP/1.1 503 Unavailable",
                                            std::string(kNotExecuted) +
                                              "Transfer-Encoding: gzip\r\n") },
                       "/once/x")
                .mHead.result_int());
}

TEST(BrokenAnswer, AnUnsupportedTransferCodingBehindAnAnswerIsNotPassedOn)
{
  CheckIsNoAnswer(RawHead("HTTP/1.1 200 OK") + "answer" +
                  AnswerWithCoding("xchunked"));
}

TEST(BrokenAnswer, AnUnsupportedTransferCodingIsCounted)
{
  CallWith({ AnswerWithCoding("xchunked") }, "/once/x");
  CHECK(Metrics().find("acaciavale_relay_broken_answers_total{pool=\"desk\","
                       "reason=\"bad Transfer-Encoding\"} 1") !=
        std::string::npos);
}

/// Guards against a check that rejects valid heads.
TEST(BrokenAnswer, TheChunkedCodingIsDecoded)
{
  for (const char* coding : { "chunked", "Chunked", " chunked ", "CHUNKED" }) {
    const Response response = CallWith({ AnswerWithCoding(coding) }, "/once/x");
    LONGS_EQUAL_TEXT(200, response.mHead.result_int(), coding);
    STRCMP_EQUAL("answer", response.mBody.c_str());
  }
}

TEST(BrokenAnswer, AnInvalidLineInTheHeadIsCounted)
{
  CallWith({ AnswerWithLine("X Field: a") }, "/once/x");
  CHECK(Metrics().find("acaciavale_relay_broken_answers_total{pool=\"desk\","
                       "reason=\"bad field\"} 1") != std::string::npos);
}

TEST(BrokenAnswer, AnInvalidLineInTheHeadIsNone)
{
  for (const std::string_view line : kInvalidLines) {
    CheckIsNoAnswer(AnswerWithLine(line));
  }
}

TEST(BrokenAnswer, AnInvalidLineInTheHeadBeginsNoStream)
{
  for (const std::string_view line : kInvalidLines) {
    CheckIsNoStream(
      RawHead("HTTP/1.1 200 OK", std::string(line) + "\r\n" + kEventsType) +
      EventsText(1, 1));
  }
}

/// The smaller model's answer is delivered in place of a larger one's that is
/// broken.
TEST(BrokenAnswer, OfTheLargerModelDoesNotCostTheSmallerOnes)
{
  for (const std::string& broken :
       { AnswerWithStatus("999", kEventsType),
         AnswerWithCoding("xchunked", kEventsType, ChunkedEvents()) }) {
    const std::string small =
      RawHead("HTTP/1.1 200 OK",
              std::string(kEventsType) + "Confidence: 5\r\n") +
      EventsText(1, 2);
    mEndpoint = std::make_unique<RawEndpoint>(
      mFixture.mIoContext, [&](const std::string& aRequest) {
        const bool isSmall = HeaderIn(aRequest, "Model") == "small";
        return RawEndpoint::Answer{ { { isSmall ? small : broken } } };
      });
    mFixture.PutSettings(1);
    List("i-1", "engines", *mEndpoint);
    mFixture.StartNode();
    const Response response =
      mFixture.Call({ "POST",
                      "/sized/x",
                      "body",
                      { { "Model", "*" }, { "Token-Usage", "4000,200" } } });
    CHECK(mEndpoint->Arrivals() > 1);
    LONGS_EQUAL(200, response.mHead.result_int());
    STRCMP_EQUAL(EventsText(1, 2).c_str(), response.mBody.c_str());
  }
}

/// A candidate that states its load in such an answer has stated none.
TEST(BrokenAnswer, ToAnInquiryStatesNoLoad)
{
  const std::string load = "Replica-Load: 0,0,4,100\r\n";
  const auto script = [&load](const std::string& aRequest) {
    const std::string health =
      "HTTP/1.1 200 OK\r\n" + load + "Transfer-Encoding: xchunked\r\n\r\n";
    const std::string stream =
      RawHead("HTTP/1.1 200 OK", load) + EventsText(1, 1);
    return RawEndpoint::Answer{
      { { aRequest.starts_with("GET /health") ? health : stream } },
      RawEndpoint::End::Close
    };
  };
  RawEndpoint first(mFixture.mIoContext, script);
  RawEndpoint second(mFixture.mIoContext, script);
  mFixture.PutSettings(1);
  std::string settings = *mFixture.mStore.Value("op/config");
  const std::string name = "\"name\":\"engines\"";
  settings.insert(settings.find(name) + name.size(),
                  ",\"health-path\":\"/health\"");
  mFixture.mStore.Put("op/config", settings);
  List("i-1", "engines", first);
  List("i-2", "engines", second);
  mFixture.StartNode();
  for (int request = 0; request < 4; ++request) {
    LONGS_EQUAL(200, Call("/fixed/x").mHead.result_int());
  }
  const Response response = mFixture.Call(
    { "POST", "/fixed/x", "body", { { "Token-Usage", "12000,10" } } });
  LONGS_EQUAL(200, response.mHead.result_int());
  const std::string metrics = Metrics();
  CHECK(metrics.find("acaciavale_relay_inquiries_total{outcome=\"no-answer\","
                     "pool=\"engines\"} 1") != std::string::npos);
  CHECK(metrics.find("acaciavale_relay_broken_answers_total{pool=\"engines\","
                     "reason=\"bad Transfer-Encoding\"} 2") !=
        std::string::npos);
}

TEST(BrokenAnswer, OfTheStoreAcknowledgesNothing)
{
  const std::string body = R"({"revision":5})";
  const auto isAcknowledged = [&](const std::string& aStatus,
                                  const std::string& aFraming) {
    return IsTaken<bool>(
      "HTTP/1.1 " + aStatus + " OK\r\nStore-Era: 1\r\n" + aFraming +
        "\r\n\r\n" + body,
      [](StoreClient& aClient, const std::string&, const auto& aCallback) {
        aClient.Write({ StoreWrite{} }, aCallback);
      });
  };
  const std::string length = "Content-Length: " + std::to_string(body.size());
  CHECK(isAcknowledged("200", length));
  for (const std::string status : kStatuses) {
    CHECK_FALSE(isAcknowledged(status, length));
  }
  for (const std::string coding : kUnsupportedCodings) {
    CHECK_FALSE(isAcknowledged("200", "Transfer-Encoding: " + coding));
  }
}

/// A VM that believes the era drops all that it knows of the store.
TEST(BrokenAnswer, OfTheStoreStatesNoEra)
{
  for (const char* head : { "HTTP/1.1 999 OK\r\nStore-Era: 7\r\n",
                            "HTTP/1.1 200 OK\r\nStore-Era: 7\r\n"
                            "Transfer-Encoding: xchunked\r\n" }) {
    RawEndpoint store(mFixture.mIoContext,
                      { { std::string(head) + "\r\n{}" } });
    StoreClient client(mFixture.mIoContext, store.Address());
    bool hasEnded = false;
    client.OnEra([](std::int64_t) { FAIL("The era was taken."); });
    client.RenewLease(1, [&hasEnded](const ErrorOr<bool>& aResult) {
      hasEnded = true;
      CHECK_FALSE(aResult.has_value());
    });
    mFixture.RunUntil([&hasEnded] { return hasEnded; });
  }
}

TEST(BrokenAnswer, OfAnotherVmIsNoSnapshot)
{
  const std::string body = EncodeSnapshotAnswer(SnapshotAnswer{});
  const auto query = [](StoreClient& aClient,
                        const std::string& aAddress,
                        const auto& aCallback) {
    aClient.QueryPeer(aAddress, SnapshotQuery{}, aCallback);
  };
  CHECK(IsTaken<SnapshotAnswer>("HTTP/1.1 200 OK\r\n\r\n" + body, query));
  for (const char* coding : kUnsupportedCodings) {
    CHECK_FALSE(IsTaken<SnapshotAnswer>(
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: " + std::string(coding) +
        "\r\n\r\n" + body,
      query));
  }
}
