#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace Acaciavale;
using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;
using Acaciavale::Relay::CallResult;

namespace {

namespace asio = boost::asio;

/// An endpoint that writes the given bytes to each request and ends the
/// connection, by a close or a reset.
class RawEndpoint
{
public:
  RawEndpoint(asio::io_context& aIoContext,
              std::string aHead,
              std::string aBody)
    : mAcceptor(aIoContext, { asio::ip::address_v4::loopback(), 0 })
    , mHead(std::move(aHead))
    , mBody(std::move(aBody))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  bool mIsReset = false;
  int mArrivals = 0;

private:
  void Accept()
  {
    mAcceptor.async_accept([this](const boost::system::error_code& aError,
                                  asio::ip::tcp::socket aSocket) {
      if (!aError) {
        Answer(std::make_shared<asio::ip::tcp::socket>(std::move(aSocket)));
        Accept();
      }
    });
  }

  void Answer(const std::shared_ptr<asio::ip::tcp::socket>& aSocket)
  {
    const auto request = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
      asio::buffer(*request),
      [this, aSocket, request](const boost::system::error_code& aError,
                               std::size_t aSize) {
        if (aError) {
          return;
        }
        ++mArrivals;
        const std::string text(request->data(), aSize);
        const std::size_t id = text.find("Attempt-Id: ");
        const std::string head = mHead + "Replica-Stamp: stamp\r\n" +
                                 text.substr(id, text.find("\r\n", id) - id) +
                                 "\r\n\r\n";
        asio::write(*aSocket, asio::buffer(head + mBody));
        if (mIsReset) {
          aSocket->set_option(asio::socket_base::linger(true, 0));
        }
        aSocket->close();
      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  std::string mHead;
  std::string mBody;
};

constexpr char kHead[] = "HTTP/1.1 200 OK\r\n";
constexpr char kEvents[] = "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";

} // namespace

/// Answers with neither a length nor chunks, which end with their connection.
TEST_GROUP(BodyWithoutLength)
{
  PlatformFixture mFixture;
  std::unique_ptr<RawEndpoint> mEndpoint;
  Replica* mOther = nullptr;

  /// Lists the endpoint first; the other one is used after it has failed.
  void Start(const std::string& aHead,
             const std::string& aBody,
             const std::string& aPool)
  {
    mEndpoint =
      std::make_unique<RawEndpoint>(mFixture.mIoContext, aHead, aBody);
    mFixture.PutSettings(1);
    mFixture.mStore.Put("servers/i-1",
                        R"({"service":")" + aPool + R"(","address":")" +
                          mEndpoint->Address() +
                          R"(","zone":"zone-a","version":"v1","slots":4,)"
                          R"("state":"ready","seq-no":1,"born":1})");
    mFixture.StartNode();
  }

  Response CallUntilUsed(const std::string& aTarget)
  {
    Response response;
    while (mEndpoint->mArrivals == 0) {
      response = mFixture.Call({ "POST", aTarget, "body", {} });
    }
    return response;
  }
};

TEST(BodyWithoutLength, IsWholeIfTheConnectionIsClosed)
{
  for (const char* head : { kHead, "HTTP/1.0 200 OK\r\n" }) {
    Start(head, "answer", "desk");
    const Response response = CallUntilUsed("/again/x");
    LONGS_EQUAL(200, response.mHead.result_int());
    STRCMP_EQUAL("answer", response.mBody.c_str());
    STRCMP_EQUAL("6", std::string(response.mHead["Content-Length"]).c_str());
  }
}

/// The rest of the answer may be lost. The status promises nothing.
TEST(BodyWithoutLength, IsIncompleteIfTheConnectionIsReset)
{
  Start(kHead, "answer", "desk");
  mEndpoint->mIsReset = true;
  LONGS_EQUAL(502, CallUntilUsed("/once/x").mHead.result_int());
  mEndpoint->mArrivals = 0;
  mFixture.AddEndpoint("desk", "i-2", RespondWith("whole"));
  mFixture.RunUntilStoreRead();
  STRCMP_EQUAL("whole", CallUntilUsed("/again/x").mBody.c_str());
}

TEST(BodyWithoutLength, AStreamIsWholeIfItEndsBetweenEvents)
{
  Start(kHead, kEvents, "engines");
  const Response response = CallUntilUsed("/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL(kEvents, response.mBody.c_str());
}

TEST(BodyWithoutLength, AStreamThatEndsInsideAnEventGoesOnElsewhere)
{
  Start(kHead, std::string(kEvents) + "id: 3\ndat", "engines");
  mFixture.AddEndpoint("engines", "i-2", StreamEvents(3));
  mFixture.RunUntilStoreRead();
  const Response response = CallUntilUsed("/stream/x");
  CHECK(response.mResult == CallResult::Complete);
  STRCMP_EQUAL((std::string(kEvents) + "id: 3\ndata: event 3\n\n").c_str(),
               response.mBody.c_str());
}

TEST(BodyWithoutLength, AStreamThatMayNotResumeIsBrokenOff)
{
  Start(kHead, std::string(kEvents) + "id: 3\ndat", "engines");
  const Response response = CallUntilUsed("/fixed/x");
  CHECK(response.mResult == CallResult::Truncated);
  STRCMP_EQUAL(kEvents, response.mBody.c_str());
}

/// An endpoint that ends right after the head has not answered.
TEST(BodyWithoutLength, AStreamWithoutAnEventIsNoAnswer)
{
  Start(kHead, "", "engines");
  mFixture.AddEndpoint("engines", "i-2", StreamEvents(2));
  mFixture.RunUntilStoreRead();
  const Response response = CallUntilUsed("/stream/x");
  STRCMP_EQUAL(kEvents, response.mBody.c_str());
}

/// A caller of HTTP/1.0 gets its stream without chunks: only a reset tells a
/// stream that was broken off from a whole one.
TEST(BodyWithoutLength, ABrokenStreamIsResetForCallersWithoutChunks)
{
  mFixture.PutSettings(1);
  mFixture.AddEndpoint("engines", "i-1", StreamEvents(3, 1));
  mFixture.StartNode();
  const std::string request = "POST /fixed/x HTTP/1.0\r\nHost: a.example\r\n"
                              "Attempt-Id: old\r\nDeadline-Ms: 4000\r\n"
                              "Key: key-1\r\nContent-Length: 4\r\n\r\nbody";
  boost::system::error_code end;
  const std::string bytes =
    mFixture.ExchangeBytes(mFixture.mNode->CallerAddress(), request, &end);
  CHECK(bytes.find("event 1") != std::string::npos);
  CHECK(end == asio::error::connection_reset);
}
