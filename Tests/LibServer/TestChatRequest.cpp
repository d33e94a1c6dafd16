#include <LibServer/ChatRequest.h>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(ChatRequest){};

TEST(ChatRequest, ArbitraryBytesAreParsedOrRejected)
{
  CHECK(rc::check([](const std::string& aBytes) {
    const auto request = ParseChatRequest(aBytes);
    if (!request) {
      RC_ASSERT(request.error().mStatus == 400);
      RC_ASSERT(request.error().mExecuted == Executed::No);
    }
  }));
}

TEST(ChatRequest, InvalidRequestsAreRejectedWithAdvice)
{
  for (const char* body :
       { "",
         "[]",
         "{",
         "{\"model\":1}",
         "{\"model\":\"a\"}",
         "{\"model\":\"a\",\"messages\":[]}",
         "{\"model\":\"a\",\"messages\":[1],\"stream\":1}" }) {
    const auto request = ParseChatRequest(body);
    CHECK_FALSE(request.has_value());
    CHECK_FALSE(request.error().mAdvice.empty());
  }
}

TEST(ChatRequest, EngineBodyReplacesOnlyModelAndStream)
{
  const auto request = ParseChatRequest(
    "{\"model\":\"cascade\",\"messages\":[{\"role\":\"user\"}],\"seed\":7}");
  CHECK(request.has_value());
  const std::string body = BuildEngineBody(*request, "small", true);
  CHECK(body.find("\"model\":\"small\"") != std::string::npos);
  CHECK(body.find("\"stream\":true") != std::string::npos);
  CHECK(body.find("\"seed\":7") != std::string::npos);
}

TEST(ChatRequest, AnswerWithoutUsageIsRejected)
{
  CHECK_FALSE(ParseEngineAnswer("{\"choices\":[]}").has_value());
  CHECK_FALSE(ParseEngineAnswer("{\"usage\"").has_value());
  const auto answer = ParseEngineAnswer(
    "{\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":5},"
    "\"confidence\":0.25,\"choices\":[{\"message\":{\"content\":\"hi\"}}]}");
  CHECK(answer.has_value());
  CHECK(*answer == (EngineAnswer{ 3, 5, 0.25, "hi" }));
}

TEST(ChatRequest, ProblemBodyReplacesInvalidUtf8)
{
  Problem problem;
  problem.mDetail = "\xff\xfe";
  CHECK(ProblemBody(problem, "\xc0").find("\"ran\":\"no\"") !=
        std::string::npos);
}
