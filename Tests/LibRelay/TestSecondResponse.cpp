#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/SecondResponse.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::Relay;

namespace {

/// The id of the request in the heads of its responses.
constexpr char kId[] = "X-Request";

ResponseHead Head()
{
  ResponseHead head;
  head.version(11);
  head.result(200);
  head.reason("OK");
  head.set("Server", "engine");
  head.set(kId, "7");
  return head;
}

std::string HeadText(const std::string& aId = "7",
                     const std::string& aField = {})
{
  return "HTTP/1.1 200 OK\r\nServer: engine\r\n" + aField +
         "X-Request: " + aId + "\r\n\r\n";
}

std::optional<SecondResponse> Find(const std::string& aBytes)
{
  return FindSecondResponse(aBytes, Head(), [](const ResponseHead& aHead) {
    return aHead[kId] == "7";
  });
}

/// What the bytes tell about their first part; nothing if they are one body.
std::string Judge(const std::string& aBytes)
{
  const auto second = Find(aBytes);
  if (!second) {
    return "none";
  }
  const std::string_view first(aBytes.data(), second->mOffset);
  return std::string(Describe(CompareResponses(first, *second)));
}

} // namespace

TEST_GROUP(FindSecondResponse){};

TEST(FindSecondResponse, TellsWhetherTheFirstIsComplete)
{
  const struct
  {
    std::string mBytes;
    const char* mExpected;
  } cases[] = {
    { "answer", "none" },
    { "answer" + HeadText() + "answer", "complete" },
    { "answer" + HeadText() + "ans", "complete" },
    { "ans" + HeadText() + "answer", "incomplete" },
    { HeadText() + "answer", "incomplete" },
    { "answer" + HeadText() + "other", "unknown" },
    { "answer" + HeadText(), "unknown" },
    { HeadText(), "complete" },
    { "answer" + HeadText() + "answer" + HeadText() + "answer", "complete" },
    { "answer" + HeadText("7", "Content-Length: 6\r\n") + "a", "complete" },
    { "ans" + HeadText("7", "Content-Length: 6\r\n") + "a", "incomplete" },
    { "answers" + HeadText("7", "Content-Length: 6\r\n") + "a", "unknown" },
    { "answer" + HeadText("7", "Transfer-Encoding: chunked\r\n") +
        "6\r\nanswer\r\n0\r\n\r\n",
      "complete" },
    { "ans" + HeadText("7", "Transfer-Encoding: chunked\r\n") +
        "6\r\nanswer\r\n0\r\n\r\n",
      "incomplete" },
    { "answers" + HeadText("7", "Transfer-Encoding: chunked\r\n") +
        "6\r\nanswer\r\n0\r\n\r\n",
      "unknown" },
    { "answer" + HeadText("7", "Transfer-Encoding: chunked\r\n") +
        "6\r\nanswer\r\n0\r\nX-Context: " + std::string(70000, 'x') +
        "\r\n\r\n",
      "complete" },
    { "answer" + HeadText("8") + "answer", "none" },
    { "answer" + HeadText().substr(0, 40), "unknown" },
    { "answer" + HeadText().substr(0, 15), "unknown" },
    { "answer HTTP/1.1 404 Not Found", "none" },
    { "answer HTTP/1.1 200 OK, said the server", "none" },
    { "answer HTTP/1.1 200 OK\r\nVia: x", "none" },
    { "answer HTTP/1.", "none" },
  };
  for (const auto& [bytes, expected] : cases) {
    STRCMP_EQUAL_TEXT(expected, Judge(bytes).c_str(), bytes.c_str());
  }
}

/// A cut in the second head never makes the whole look like one body, once the
/// status is known.
TEST(FindSecondResponse, AHeadThatIsCutOffIsFound)
{
  const std::string head = HeadText();
  for (std::size_t size = std::string("HTTP/1.1 200").size();
       size < head.size();
       ++size) {
    const auto second = Find("answer" + head.substr(0, size));
    CHECK(second.has_value());
    UNSIGNED_LONGS_EQUAL(6, second->mOffset);
    CHECK_FALSE(second->mHead.has_value());
  }
}

TEST(FindSecondResponse, QuotedHeadsAreParsedInBoundedTime)
{
  std::string body;
  while (body.size() < (8U << 20)) {
    body += HeadText("8");
  }
  STRCMP_EQUAL("none", Judge(body).c_str());
}

/// An endpoint that stutters without end.
TEST(FindSecondResponse, ManyRepetitionsAreSearchedInBoundedTime)
{
  std::string bytes = "first";
  while (bytes.size() < (std::size_t{ 8 } << 20)) {
    bytes += HeadText();
  }
  const Acaciavale::TimePoint before = Acaciavale::MonotonicNow();
  const auto second = Find(bytes);
  CHECK(second.has_value());
  UNSIGNED_LONGS_EQUAL(5, second->mOffset);
  UNSIGNED_LONGS_EQUAL(0, second->mBody.size());
  CHECK(Acaciavale::MonotonicNow() - before < std::chrono::seconds(1));
}

/// No memory is that large.
TEST(FindSecondResponse, AHugeLengthIsNotReserved)
{
  const auto second =
    Find("first" + HeadText("7", "Content-Length: 9223372036854775807\r\n") +
         "second");
  CHECK(second.has_value());
  STRCMP_EQUAL("second", second->mBody.c_str());
}
