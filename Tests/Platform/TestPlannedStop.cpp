#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace Acaciavale;
using namespace Acaciavale::Platform::StandIns;

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

std::string RequestText(const std::string& aTarget,
                        const std::string& aId,
                        const std::string& aVersion = "1.1")
{
  return "POST " + aTarget + " HTTP/" + aVersion +
         "\r\nHost: a.example\r\nContent-Length: 4\r\nKey: key-1\r\n"
         "Attempt-Id: " +
         aId + "\r\n\r\nbody";
}

} // namespace

/// A VM that is asked to stop: what its callers get on connections that they
/// keep.
TEST_GROUP(PlannedStop)
{
  PlatformFixture mFixture;
  asio::ip::tcp::socket mSocket{ mFixture.mIoContext };
  std::string mReceived;
  error_code mEnd;

  Replica& StartNodeWithStream()
  {
    mFixture.PutSettings(1);
    Replica& engine = mFixture.AddEndpoint(
      "engines", "i-1", [](Replica& aSelf, const auto& aSession) {
        aSession->BeginStream(aSelf.SuccessHead(*aSession));
        aSession->SendChunk("id: 1\ndata: 1\n\n");
        aSelf.mHeldSessions.push_back(aSession);
      });
    mFixture.StartNode();
    return engine;
  }

  void Connect()
  {
    const std::string address = mFixture.mNode->CallerAddress();
    const std::size_t colon = address.rfind(':');
    mSocket.connect(
      { asio::ip::make_address(address.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))) });
  }

  void Send(const std::string& aText)
  {
    asio::write(mSocket, asio::buffer(aText));
    mSocket.non_blocking(true);
  }

  /// Reads until the condition holds or the connection has ended.
  void ReadUntil(const std::function<bool()>& aCondition)
  {
    mFixture.RunUntil([&] {
      std::array<char, 4096> buffer{};
      error_code failure;
      const std::size_t size = mSocket.read_some(asio::buffer(buffer), failure);
      mReceived.append(buffer.data(), size);
      if (failure && failure != asio::error::would_block) {
        mEnd = failure;
      }
      return mEnd || aCondition();
    });
  }

  bool HasReceived(const std::string& aText) const
  {
    return mReceived.find(aText) != std::string::npos;
  }
};

/// The head of the response went out before the stop, without a notice that the
/// connection closes.
TEST(PlannedStop, AConnectionClosesAfterAStreamThatBeganBefore)
{
  Replica& engine = StartNodeWithStream();
  Connect();
  Send(RequestText("/stream/x", "first"));
  ReadUntil([&] { return HasReceived("id: 1"); });
  bool isStopped = false;
  mFixture.mNode->Stop([&isStopped] { isStopped = true; });
  mFixture.RunFor(std::chrono::milliseconds(2800));
  engine.mHeldSessions[0]->EndStream();
  ReadUntil([&] { return HasReceived("0\r\n\r\n"); });
  mFixture.RunFor(std::chrono::milliseconds(10));
  Send(RequestText("/stream/x", "second"));
  ReadUntil([] { return false; });
  CHECK(mEnd == asio::error::eof);
  CHECK_FALSE(HasReceived("HTTP/1.1 503"));
  LONGS_EQUAL(1, engine.mArrivals.size());
  mSocket.close();
  mFixture.RunUntil([&isStopped] { return isStopped; });
}

/// Guards against the close of a connection on which the next request has
/// arrived before a stream ends whose head announced no close.
TEST(PlannedStop, ARequestBehindAStreamThatBeganBeforeGetsAResponse)
{
  Replica& engine = StartNodeWithStream();
  Connect();
  Send(RequestText("/stream/x", "first"));
  ReadUntil([&] { return HasReceived("id: 1"); });
  Send(RequestText("/stream/x", "second"));
  mFixture.RunFor(std::chrono::milliseconds(100));
  mFixture.mNode->Stop([] {});
  mFixture.RunFor(std::chrono::milliseconds(100));
  engine.SetScript(StreamEvents(2));
  engine.mHeldSessions[0]->EndStream();
  ReadUntil([] { return false; });
  CHECK(mEnd == asio::error::eof);
  CHECK(HasReceived("id: 2"));
  CHECK(HasReceived("Connection: close"));
  LONGS_EQUAL(2, engine.mArrivals.size());
}

/// Such a request that cannot end before the stop does is refused, and what
/// follows it is not read.
TEST(PlannedStop, ALateRequestBehindAStreamIsRefused)
{
  Replica& engine = StartNodeWithStream();
  Connect();
  Send(RequestText("/stream/x", "first"));
  ReadUntil([&] { return HasReceived("id: 1"); });
  mFixture.mNode->Stop([] {});
  Send(RequestText("/stream/x", "second"));
  mFixture.RunFor(std::chrono::milliseconds(2800));
  Send(RequestText("/stream/x", "third"));
  mFixture.RunFor(std::chrono::milliseconds(100));
  engine.mHeldSessions[0]->EndStream();
  ReadUntil([] { return false; });
  CHECK(HasReceived("HTTP/1.1 503"));
  CHECK(HasReceived("Attempt-Id: second"));
  CHECK(HasReceived("Connection: close"));
  LONGS_EQUAL(1, engine.mArrivals.size());
}

/// The next request was received with the first one, and so counts as read.
TEST(PlannedStop, ARequestThatWasReadGetsItsAnswer)
{
  Replica& engine = StartNodeWithStream();
  Connect();
  Send(RequestText("/stream/x", "first") + RequestText("/stream/x", "second"));
  ReadUntil([&] { return HasReceived("id: 1"); });
  mFixture.mNode->Stop([] {});
  engine.SetScript(StreamEvents(2));
  engine.mHeldSessions[0]->EndStream();
  ReadUntil([] { return false; });
  CHECK(mEnd == asio::error::eof);
  CHECK(HasReceived("Connection: close"));
  CHECK(HasReceived("id: 2"));
}

/// The request's goal is 400 ms, and what is open is cut after 500 ms.
TEST(PlannedStop, ARequestThatCannotEndIsRefusedForAnotherVm)
{
  mFixture.mConfig.mStopTimeout = std::chrono::milliseconds(1500);
  Replica& engine = StartNodeWithStream();
  mFixture.mNode->Stop([] {});
  mFixture.RunFor(std::chrono::milliseconds(250));
  Connect();
  Send(RequestText("/stream/x", "first"));
  ReadUntil([] { return false; });
  CHECK(HasReceived("HTTP/1.1 503 "));
  CHECK(HasReceived("Connection: close"));
  LONGS_EQUAL(0, engine.mArrivals.size());
}

/// Only the end of the connection ends a stream to a caller of HTTP/1.0.
TEST(PlannedStop, AStreamThatIsCutDoesNotLookComplete)
{
  mFixture.mConfig.mStopTimeout = std::chrono::milliseconds(1200);
  StartNodeWithStream();
  Connect();
  Send(RequestText("/stream/x", "first", "1.0"));
  ReadUntil([&] { return HasReceived("id: 1"); });
  mFixture.mNode->Stop([] {});
  ReadUntil([] { return false; });
  CHECK(mEnd == asio::error::connection_reset);
}
