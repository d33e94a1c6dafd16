#include "FuzzTargets.h"

#include <Acaciavale/LibRelay/ClientSession.h>
#include <Acaciavale/LibRelay/OutboundCall.h>
#include <LibRelay/SocketOptions.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <optional>
#include <stdexcept>

namespace Acaciavale::Fuzz {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using namespace Relay;

constexpr Duration kTimeout = std::chrono::seconds(5);

asio::ip::tcp::endpoint EndpointOf(const std::string& aAddress)
{
  return *ParseAddress(aAddress);
}

/// A listener that answers each request, as a stream or whole.
struct Server
{
  asio::io_context mLoop{ 1 };
  bool mStreams = false;
  Listener mListener{ mLoop,
                      "127.0.0.1:0",
                      { [this](const std::shared_ptr<ClientSession>& aSession) {
                         ResponseHead head;
                         head.result(200);
                         mStreams = !mStreams;
                         if (!mStreams) {
                           aSession->Send(std::move(head),
                                          aSession->OpenBody());
                           return;
                         }
                         aSession->BeginStream(std::move(head));
                         aSession->SendChunk("id: 1\n\n");
                         aSession->EndStream();
                       },
                        [] { return RequestBounds{}; },
                        [] { return false; } } };
};

/// Sends the input and ends the sending side. The connection has to end, and
/// what comes back has to begin like a response.
void RunCaller(std::string_view aInput, std::uint64_t aSplit)
{
  static Server sServer;
  asio::ip::tcp::socket socket(sServer.mLoop);
  socket.connect(EndpointOf(sServer.mListener.Address()));
  ForEachPart(aInput, aSplit | 2, [&](std::string_view aPart) {
    error_code ignored; // NOTE: The server may have closed.
    asio::write(socket, asio::buffer(aPart.data(), aPart.size()), ignored);
    sServer.mLoop.restart();
    sServer.mLoop.poll();
  });
  error_code failure;
  socket.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  socket.non_blocking(true);
  std::string received;
  const TimePoint end = MonotonicNow() + kTimeout;
  failure = asio::error::would_block;
  while (failure == asio::error::would_block && MonotonicNow() < end) {
    sServer.mLoop.restart();
    sServer.mLoop.run_one_for(std::chrono::milliseconds(1));
    std::array<char, 4096> buffer{};
    failure = {};
    const std::size_t size = socket.read_some(asio::buffer(buffer), failure);
    received.append(buffer.data(), size);
    if (!failure) {
      failure = asio::error::would_block;
    }
  }
  if (failure == asio::error::would_block) {
    throw std::logic_error("the connection of a caller does not end");
  }
  if (!received.empty() && !received.starts_with("HTTP/1.1 ")) {
    throw std::logic_error("bytes that are no response");
  }
}

/// An endpoint that writes the input, and closes.
void RunEndpoint(std::string_view aInput, std::uint64_t aSplit)
{
  asio::io_context loop{ 1 };
  asio::ip::tcp::acceptor acceptor(loop,
                                   { asio::ip::address_v4::loopback(), 0 });
  CallOptions options;
  options.mAddress =
    "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
  options.mConnectTimeout = kTimeout;
  options.mHead.version(11);
  options.mHead.method_string("POST");
  options.mHead.target("/");
  options.mHead.set("Content-Length", "4");
  options.mBody = std::make_shared<const std::string>("body");
  int heads = 0;
  std::optional<CallResult> result;
  CallHandlers handlers;
  handlers.mOnHead = [&heads](const ResponseHead&) { ++heads; };
  handlers.mOnBody = [](std::string_view) {};
  handlers.mOnEnd = [&result](CallResult aResult) { result = aResult; };
  const auto call =
    OutboundCall::Start(loop, std::move(options), std::move(handlers));
  asio::ip::tcp::socket peer = acceptor.accept();
  ForEachPart(aInput, aSplit | 2, [&](std::string_view aPart) {
    error_code ignored; // NOTE: The call may have closed.
    asio::write(peer, asio::buffer(aPart.data(), aPart.size()), ignored);
    loop.poll();
  });
  peer.close();
  const TimePoint end = MonotonicNow() + kTimeout;
  while (!result && MonotonicNow() < end) {
    loop.restart();
    loop.run_one_for(std::chrono::milliseconds(1));
  }
  if (!result) {
    throw std::logic_error("a call does not end");
  }
  if (heads > 1 || (*result == CallResult::Complete && heads != 1)) {
    throw std::logic_error("a call without one head");
  }
}

} // namespace

std::vector<FuzzTarget> ConnectionTargets()
{
  return {
    { "caller",
      { "GET /a HTTP/1.1\r\nHost: a\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbodyGET "
        "/b HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
        "Transfer-Encoding: chunked\r\n\r\n2\r\nbo\r\n0\r\nX: y\r\n\r\n",
        "GET /a HTTP/1.0\r\n\r\n" },
      RunCaller },
    { "endpoint-connection",
      { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
        "Content-Length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
        "0\r\nX: y\r\n\r\n",
        "HTTP/1.1 200 OK\r\n\r\nuntil the end" },
      RunEndpoint }
  };
}

} // namespace Acaciavale::Fuzz
