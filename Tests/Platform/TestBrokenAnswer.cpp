#include "RawEndpoint.h"

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

/// Lines of a head that are no fields.
constexpr std::string_view kInvalidLines[] = {
  "X Field: a",     "X-Field : a", " : a", "X\x01-Field: a",     "X\t-Field: a",
  "X\x7f-Field: a", "X-Field",     ": a",  { "X\0Field: a", 10 }
};

const std::string kWhole =
  RawHead("HTTP/1.1 200 OK", "Content-Length: 5\r\n") + "whole";

const std::string kWholeStream = RawHead("HTTP/1.1 200 OK") + EventsText(1, 2);

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
};

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
