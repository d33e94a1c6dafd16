#include <Acaciavale/LibRelay/EventStreamParser.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <LibRelay/TextMemory.h>

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <sstream>

using namespace Acaciavale;
using namespace Acaciavale::Relay;
namespace asio = boost::asio;

namespace {

/// Bytes after which the server gives up if the caller does not close; far
/// above any limit and the buffers of the sockets.
constexpr std::size_t kServerGivesUpBytes = 64U << 20;
/// Maximum number of bytes that the caller may take before it closes, with the
/// buffers of the sockets.
constexpr std::size_t kAcceptableBytes = 16U << 20;

/// A server that sends a prefix and then a filler without end.
class EndlessServer
{
public:
  EndlessServer(asio::io_context& aLoop,
                std::string aPrefix,
                const std::string& aFiller)
    : mAcceptor(aLoop, { asio::ip::address_v4::loopback(), 0 })
    , mSocket(aLoop)
    , mPrefix(std::move(aPrefix))
  {
    while (mFiller.size() < 65536) {
      mFiller += aFiller;
    }
    mAcceptor.async_accept(mSocket, [this](const boost::system::error_code&) {
      asio::async_write(
        mSocket,
        asio::buffer(mPrefix),
        [this](const boost::system::error_code& aError, std::size_t) {
          if (!aError) {
            SendFiller();
          }
        });
    });
  }

  std::string Address() const
  {
    std::ostringstream text;
    text << mAcceptor.local_endpoint();
    return text.str();
  }
  std::size_t SentBytes() const { return mSentBytes; }

private:
  void SendFiller()
  {
    asio::async_write(
      mSocket,
      asio::buffer(mFiller),
      [this](const boost::system::error_code& aError, std::size_t aWritten) {
        mSentBytes += aWritten;
        if (!aError && mSentBytes < kServerGivesUpBytes) {
          SendFiller();
        }
      });
  }

  asio::ip::tcp::acceptor mAcceptor;
  asio::ip::tcp::socket mSocket;
  std::string mPrefix;
  std::string mFiller;
  std::size_t mSentBytes = 0;
};

} // namespace

/// Endpoints in trouble may send bytes that are no response until the caller
/// closes the connection.
TEST_GROUP(EndlessBytes)
{
  asio::io_context mLoop{ 1 };

  void CheckIsRejected(const std::string& aPrefix, const std::string& aFiller)
  {
    EndlessServer server(mLoop, aPrefix, aFiller);
    CallOptions options;
    options.mAddress = server.Address();
    options.mConnectTimeout = std::chrono::seconds(5);
    options.mHead.version(11);
    options.mHead.method_string("GET");
    options.mHead.target("/");
    std::optional<CallResult> end;
    CallHandlers handlers;
    handlers.mOnHead = [](const ResponseHead&) {};
    handlers.mOnBody = [](std::string_view) {};
    handlers.mOnEnd = [&end](CallResult aResult) { end = aResult; };
    const auto call =
      OutboundCall::Start(mLoop, std::move(options), std::move(handlers));
    mLoop.restart();
    mLoop.run();
    CHECK(end.has_value());
    CHECK(end == CallResult::InvalidHttp || end == CallResult::Truncated);
    CHECK(server.SentBytes() < kAcceptableBytes);
  }
};

TEST(EndlessBytes, AHeadWithoutEndIsRejected)
{
  CheckIsRejected("HTTP/1.1 200 OK\r\nX-Field: ", "a");
  CheckIsRejected("HTTP/1.1 200 OK\r\n", "X-Field: a\r\n");
  CheckIsRejected("HTTP/1.1 200 ", "a");
}

/// Guards against heads that need many times their size when they are parsed.
TEST(EndlessBytes, AHeadOfShortFieldsIsRejected)
{
  const std::string status = "HTTP/1.1 200 OK\r\n";
  CheckIsRejected(status, "a:\r\n");
  std::string head = status;
  while (head.size() < 16000) {
    head += "a:\r\n";
  }
  CheckIsRejected(head + "\r\n", "a");
}

TEST(EndlessBytes, BytesThatAreNoHttpAreRejected)
{
  CheckIsRejected("", "a");
  CheckIsRejected("", std::string(1, '\0'));
}

TEST(EndlessBytes, AChunkHeaderWithoutEndIsRejected)
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  CheckIsRejected(head + "5;extension=", "a");
  CheckIsRejected(head, "0");
  CheckIsRejected(head + "0\r\nTrailer: ", "a");
}

/// Guards against texts that double their memory as they grow.
TEST(EndlessBytes, ALargeTextGrowsInSteps)
{
  std::string text;
  std::size_t largest = 0;
  for (int append = 0; append < 32; ++append) {
    AppendInSteps(text, std::string(8192, 'a'));
    largest = std::max(largest, text.capacity() - text.size());
  }
  UNSIGNED_LONGS_EQUAL(32 * 8192, text.size());
  CHECK(largest <= 16384);
}

/// An event without end is not kept, and its cost per byte stays constant.
TEST(EndlessBytes, AnEventWithoutEndIsDropped)
{
  EventStreamParser parser;
  const std::string piece(8192, 'a');
  std::size_t largest = 0;
  for (int append = 0; append < 4096; ++append) {
    CHECK(parser.Append(piece).empty());
    largest = std::max(largest, parser.IncompleteEvent().size());
  }
  CHECK(parser.IsEventTooLarge());
  CHECK(largest <= 2 * EventStreamParser::kMaximumEventBytes);
}

TEST(EndlessBytes, ALargeEventInSmallPiecesIsComplete)
{
  EventStreamParser parser;
  const std::string text =
    "id: 7\ndata: " +
    std::string(EventStreamParser::kMaximumEventBytes / 2, 'a');
  for (const char character : text) {
    CHECK(parser.Append({ &character, 1 }).empty());
  }
  CHECK(parser.Append("\n").empty());
  const auto events = parser.Append("\n");
  UNSIGNED_LONGS_EQUAL(1, events.size());
  CHECK(events.front().mId == 7);
  CHECK_FALSE(parser.IsEventTooLarge());
}
