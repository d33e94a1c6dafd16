#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <cctype>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

namespace {

/// Responds to the requests of all endpoints with the scripts in turn.
Replica::Script InTurn(std::vector<Replica::Script> aScripts)
{
  const auto next = std::make_shared<std::size_t>(0);
  return [scripts = std::move(aScripts), next](Replica& aSelf,
                                               const auto& aSession) {
    const std::size_t index = std::min(*next, scripts.size() - 1);
    ++*next;
    scripts[index](aSelf, aSession);
  };
}

/// Answers with the endpoint's stamp.
Replica::Script AnswerWith(unsigned aStatus)
{
  return [aStatus](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    head.result(aStatus);
    aSession->Send(std::move(head), "of another kind");
  };
}

/// The bytes of a caller's connection that hold one response to one request.
struct OneResponse
{
  std::size_t mHeads = 0; ///< Number of response heads.
  bool mIsEnded = false;  ///< Whether the last chunk was received.
  std::string mBody;
};

/// Reads the bytes on its own, as the parser of a caller would hide what
/// follows the first error.
OneResponse Read(const std::string& aBytes)
{
  OneResponse response;
  for (std::size_t at = aBytes.find("HTTP/1.1 "); at != std::string::npos;
       at = aBytes.find("HTTP/1.1 ", at + 1)) {
    response.mHeads += 1;
  }
  std::size_t at = aBytes.find("\r\n\r\n") + 4;
  while (at < aBytes.size() && std::isxdigit(aBytes[at]) != 0) {
    const std::size_t size = std::stoul(aBytes.substr(at), nullptr, 16);
    at = aBytes.find("\r\n", at) + 2;
    response.mIsEnded = size == 0;
    response.mBody += aBytes.substr(at, size);
    at += size + 2;
  }
  return response;
}

constexpr char kRequest[] = "POST /stream/x HTTP/1.1\r\n"
                            "Host: a.example\r\n"
                            "Attempt-Id: attempt\r\n"
                            "Deadline-Ms: 4000\r\n"
                            "Key: key-1\r\n"
                            "Content-Length: 4\r\n\r\nbody";

} // namespace

/// A response that must not follow the beginning of another one.
TEST_GROUP(SecondResponse)
{
  PlatformFixture mFixture;

  OneResponse CallWith(std::vector<Replica::Script> aScripts)
  {
    mFixture.PutSettings(1);
    const Replica::Script script = InTurn(std::move(aScripts));
    for (const char* id : { "i-1", "i-2", "i-3" }) {
      mFixture.AddEndpoint("engines", id, script);
    }
    mFixture.StartNode();
    return Read(
      mFixture.ExchangeBytes(mFixture.mNode->CallerAddress(), kRequest));
  }

  /// The caller has got the first event and an end that is none.
  static void CheckIsBrokenOff(const OneResponse& aResponse)
  {
    LONGS_EQUAL(1, aResponse.mHeads);
    CHECK_FALSE(aResponse.mIsEnded);
    STRCMP_EQUAL("id: 1\ndata: event 1\n\n", aResponse.mBody.c_str());
  }

  /// What an endpoint's script sends to its caller.
  OneResponse SentBy(Replica::Script aScript)
  {
    Replica replica(mFixture.mIoContext, "i-1", std::move(aScript));
    return Read(mFixture.ExchangeBytes(replica.Address(), kRequest));
  }
};

TEST(SecondResponse, AnErrorFromBeforeAStreamDoesNotFollowIt)
{
  CheckIsBrokenOff(
    CallWith({ AnswerWith(500), StreamEvents(3, 1), AnswerWith(500) }));
}

TEST(SecondResponse, AnErrorDoesNotFollowAStream)
{
  CheckIsBrokenOff(CallWith({ StreamEvents(3, 1), AnswerWith(500) }));
}

TEST(SecondResponse, ARejectionDoesNotFollowAStream)
{
  CheckIsBrokenOff(CallWith({ StreamEvents(3, 1), AnswerWith(400) }));
}

TEST(SecondResponse, AConflictDoesNotFollowAStream)
{
  CheckIsBrokenOff(CallWith({ StreamEvents(3, 1), AnswerWith(409) }));
}

/// The request goes on after the endpoint that answers otherwise.
TEST(SecondResponse, AnotherEndpointResumesTheStream)
{
  const OneResponse response =
    CallWith({ StreamEvents(3, 1), AnswerWith(404), StreamEvents(3) });
  CHECK(response.mIsEnded);
  STRCMP_EQUAL("id: 1\ndata: event 1\n\n"
               "id: 2\ndata: event 2\n\n"
               "id: 3\ndata: event 3\n\n",
               response.mBody.c_str());
}

/// The connection to a caller accepts nothing that is no response, whatever
/// writes it.
TEST(SecondResponse, TheConnectionIsAbortedInstead)
{
  using Session = Relay::ClientSession;
  const std::vector<std::function<void(Session&)>> further{
    [](Session& aSession) { aSession.Send(MakeHead(500), "second"); },
    [](Session& aSession) { aSession.BeginStream(MakeHead(200)); },
  };
  for (const auto& writeMore : further) {
    const OneResponse response =
      SentBy([&writeMore](Replica& aSelf, const auto& aSession) {
        aSession->BeginStream(aSelf.SuccessHead(*aSession));
        aSession->SendChunk("data: first\n\n");
        writeMore(*aSession);
      });
    CHECK(response.mHeads <= 1);
    CHECK_FALSE(response.mIsEnded);
  }
}

TEST(SecondResponse, NothingFollowsTheEnd)
{
  const OneResponse stream = SentBy([](Replica& aSelf, const auto& aSession) {
    aSession->BeginStream(aSelf.SuccessHead(*aSession));
    aSession->EndStream();
    aSession->SendChunk("data: late\n\n");
  });
  CHECK(stream.mBody.find("late") == std::string::npos);
  const OneResponse whole = SentBy([](Replica& aSelf, const auto& aSession) {
    auto head = aSelf.SuccessHead(*aSession);
    aSession->BeginStream(std::move(head));
    aSession->EndStream();
    aSession->Send(aSelf.SuccessHead(*aSession), "second");
  });
  LONGS_EQUAL(1, whole.mHeads);
}
