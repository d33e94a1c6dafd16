#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <LibRelay/SocketOptions.h>

#include <CppUTest/TestHarness.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <stdexcept>

using namespace Acaciavale;
using namespace Acaciavale::Relay;
namespace asio = boost::asio;

namespace {

/// Above the longest value that the container of the HTTP library holds.
constexpr std::size_t kLongFieldBytes = 70000;
/// Above the default limit of a head, below that of the unparsed bytes.
constexpr std::size_t kMediumFieldBytes = 60000;
constexpr Duration kTimeout = std::chrono::seconds(5);

std::string Field(std::size_t aBytes)
{
  return "X-Context: " + std::string(aBytes, 'x') + "\r\n";
}

std::string Get(const std::string& aFields)
{
  return "GET / HTTP/1.1\r\nHost: a\r\n" + aFields + "\r\n";
}

std::string PostWithTrailer(const std::string& aTrailer)
{
  return "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
         "2\r\n{}\r\n0\r\n" +
         aTrailer + "\r\n";
}

} // namespace

/// Bytes from outside end at most the connection that they came on.
TEST_GROUP(OutsideBytes)
{
  asio::io_context mLoop{ 1 };
  RequestBounds mBounds;
  std::function<void()> mOnRequest = [] {};
  std::size_t mReceivedFieldBytes = 0;
  int mExceptions = 0;
  Listener mServer{ mLoop,
                    "127.0.0.1:0",
                    { [this](const std::shared_ptr<ClientSession>& aSession) {
                       mReceivedFieldBytes =
                         aSession->OpenRequest()["X-Context"].size();
                       mOnRequest();
                       ResponseHead head;
                       head.version(11);
                       head.result(200);
                       aSession->Send(std::move(head), "hello");
                     },
                      [this] { return mBounds; },
                      [] { return false; } } };

  /// Sends the parts on a connection of their own, each when the one before has
  /// been read. Returns the first line that comes back.
  std::string StatusLineOfParts(const std::vector<std::string>& aParts)
  {
    asio::ip::tcp::socket socket(mLoop);
    socket.connect(*ParseAddress(mServer.Address()));
    for (const std::string& part : aParts) {
      asio::write(socket, asio::buffer(part));
      mLoop.restart();
      mLoop.run_for(std::chrono::milliseconds(20));
    }
    std::string text(std::string_view("HTTP/1.1 200 OK").size(), ' ');
    boost::system::error_code failure;
    socket.non_blocking(true);
    const std::size_t size = socket.read_some(asio::buffer(text), failure);
    return text.substr(0, size);
  }

  /// Sends the bytes on a connection of their own. Returns the first line that
  /// comes back; empty if the connection was closed without an answer.
  std::string StatusLineOf(const std::string& aBytes)
  {
    asio::ip::tcp::socket socket(mLoop);
    const std::string address = mServer.Address();
    socket.connect(
      { asio::ip::make_address(address.substr(0, address.find(':'))),
        static_cast<unsigned short>(
          std::stoi(address.substr(address.find(':') + 1))) });
    asio::async_write(socket,
                      asio::buffer(aBytes),
                      [](const boost::system::error_code&, std::size_t) {});
    std::string text;
    bool isOver = false;
    asio::async_read(
      socket,
      asio::dynamic_buffer(text),
      [&text](const boost::system::error_code& aError,
              std::size_t) -> std::size_t {
        return aError || text.find("\r\n") != std::string::npos ? 0 : 1;
      },
      [&isOver](const boost::system::error_code&, std::size_t) {
        isOver = true;
      });
    const TimePoint end = MonotonicNow() + kTimeout;
    mLoop.restart();
    while (!isOver && MonotonicNow() < end) {
      try {
        mLoop.run_one_for(std::chrono::milliseconds(100));
      } catch (const std::length_error&) {
        mExceptions += 1;
      }
    }
    CHECK(isOver);
    return text.substr(0, text.find("\r\n"));
  }

  void CheckIsServed(const std::string& aBytes, std::size_t aFieldBytes)
  {
    STRCMP_EQUAL("HTTP/1.1 200 OK", StatusLineOf(aBytes).c_str());
    UNSIGNED_LONGS_EQUAL(aFieldBytes, mReceivedFieldBytes);
  }

  void CheckIsRefused(const std::string& aBytes)
  {
    STRCMP_EQUAL("HTTP/1.1 431 Request Header Fields Too Large",
                 StatusLineOf(aBytes).c_str());
    LONGS_EQUAL(0, mExceptions);
  }
};

TEST(OutsideBytes, AFieldThatTheLibraryCannotHoldIsRefused)
{
  mBounds.mMaximumHeaderBytes = 131072;
  CheckIsRefused(Get(Field(kLongFieldBytes)));
  CheckIsRefused(Get(std::string(kLongFieldBytes, 'n') + ": x\r\n"));
  CheckIsServed(Get(Field(kMediumFieldBytes)), kMediumFieldBytes);
}

TEST(OutsideBytes, TheLongestFieldIsServed)
{
  mBounds.mMaximumHeaderBytes = 131072;
  CheckIsServed(Get(Field(65532)), 65532);
  CheckIsRefused(Get(Field(65533)));
}

TEST(OutsideBytes, ALongTrailerIsRefused)
{
  CheckIsRefused(PostWithTrailer(Field(kLongFieldBytes)));
  mBounds.mMaximumHeaderBytes = 131072;
  CheckIsRefused(PostWithTrailer(Field(kLongFieldBytes)));
}

/// The limit of the head is also that of the trailer.
TEST(OutsideBytes, ATrailerAboveTheLimitIsRefused)
{
  CheckIsServed(PostWithTrailer(Field(7000)), 7000);
  CheckIsRefused(PostWithTrailer(Field(kMediumFieldBytes)));
  CheckIsRefused(PostWithTrailer(Field(9000) + Field(9000)));
  mBounds.mMaximumHeaderBytes = 131072;
  CheckIsServed(PostWithTrailer(Field(kMediumFieldBytes)), kMediumFieldBytes);
}

/// An assertion of the HTTP library takes these parts for impossible.
TEST(OutsideBytes, TheEndOfABodyInChunksMayArriveInParts)
{
  const std::string head =
    "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
  STRCMP_EQUAL("HTTP/1.1 200 OK",
               StatusLineOfParts({ head + "0\r\n", "\r", "\n" }).c_str());
  STRCMP_EQUAL(
    "HTTP/1.1 200 OK",
    StatusLineOfParts({ head, "0", "\r", "\n", "\r", "\n" }).c_str());
}

TEST(OutsideBytes, TheEndOfAResponseInChunksMayArriveInParts)
{
  asio::ip::tcp::acceptor acceptor(mLoop,
                                   { asio::ip::address_v4::loopback(), 0 });
  std::optional<CallResult> end;
  CallOptions options;
  options.mAddress =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  options.mConnectTimeout = kTimeout;
  options.mHead.version(11);
  options.mHead.method_string("GET");
  options.mHead.target("/");
  CallHandlers handlers;
  handlers.mOnHead = [](const ResponseHead&) {};
  handlers.mOnBody = [](std::string_view) {};
  handlers.mOnEnd = [&end](CallResult aResult) { end = aResult; };
  const auto call =
    OutboundCall::Start(mLoop, std::move(options), std::move(handlers));
  asio::ip::tcp::socket peer = acceptor.accept();
  for (const std::string part :
       { "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
         "0\r\n",
         "\r",
         "\n" }) {
    asio::write(peer, asio::buffer(part));
    mLoop.restart();
    mLoop.run_for(std::chrono::milliseconds(20));
  }
  CHECK(end == CallResult::Complete);
}

TEST(OutsideBytes, AnExceptionOfARequestClosesItsConnection)
{
  mOnRequest = [] { throw std::length_error("test"); };
  STRCMP_EQUAL("", StatusLineOf(Get("")).c_str());
  LONGS_EQUAL(1, mExceptions);
  CHECK_FALSE(mServer.IsBusy());
  mOnRequest = [] {};
  CheckIsServed(Get(""), 0);
}

TEST(OutsideBytes, AnExceptionOfAResponseEndsItsCall)
{
  std::optional<CallResult> end;
  CallOptions options;
  options.mAddress = mServer.Address();
  options.mConnectTimeout = kTimeout;
  options.mHead.version(11);
  options.mHead.method_string("GET");
  options.mHead.target("/");
  CallHandlers handlers;
  handlers.mOnHead = [](const ResponseHead&) {
    throw std::length_error("test");
  };
  handlers.mOnBody = [](std::string_view) {};
  handlers.mOnEnd = [&end](CallResult aResult) { end = aResult; };
  OutboundCall::Start(mLoop, std::move(options), std::move(handlers));
  CHECK_THROWS(std::length_error, mLoop.run_for(kTimeout));
  CHECK(end == CallResult::InvalidHttp);
}
