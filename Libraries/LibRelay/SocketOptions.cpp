#include "SocketOptions.h"

#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Acaciavale::Relay {

namespace {

/// Time after which a connection fails if written data is not acknowledged or
/// not taken, and the keepalive probes that detect the loss of an idle
/// connection. The times are longer than two retransmissions and shorter than
/// the goals of callers.
constexpr int kUserTimeoutMilliseconds = 1500;
constexpr int kKeepaliveIdleSeconds = 1;
constexpr int kKeepaliveIntervalSeconds = 1;
constexpr int kKeepaliveProbes = 2;
/// Several, so that the loss of one probe ends no connection.
constexpr int kKeepaliveProbesOfPausablePeers = 3;

/// Sets an option of tcp(7).
// NOTE: Errors are ignored: without one of these options, the relay still
//       works, but detects an unreachable peer later.
void SetTcpOption(int aSocket, int aOption, int aValue)
{
  (void)setsockopt(aSocket, IPPROTO_TCP, aOption, &aValue, sizeof(aValue));
}

void SetCommonOptions(boost::asio::ip::tcp::socket& aSocket,
                      int aKeepaliveProbes)
{
  boost::system::error_code ignored; // NOTE: As for SetTcpOption.
  aSocket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  aSocket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
  const int handle = aSocket.native_handle();
  SetTcpOption(handle, TCP_KEEPIDLE, kKeepaliveIdleSeconds);
  SetTcpOption(handle, TCP_KEEPINTVL, kKeepaliveIntervalSeconds);
  SetTcpOption(handle, TCP_KEEPCNT, aKeepaliveProbes);
}

} // namespace

std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  if (colon == std::string::npos) {
    return std::nullopt;
  }
  boost::system::error_code failure;
  const auto address =
    boost::asio::ip::make_address(aText.substr(0, colon), failure);
  std::uint16_t port = 0;
  const char* const end = aText.data() + aText.size();
  const auto parsed = std::from_chars(aText.data() + colon + 1, end, port);
  if (failure || parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(address, port);
}

void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket)
{
  SetCommonOptions(aSocket, kKeepaliveProbes);
  SetTcpOption(
    aSocket.native_handle(), TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

void SetPausablePeerSocketOptions(boost::asio::ip::tcp::socket& aSocket)
{
  SetCommonOptions(aSocket, kKeepaliveProbesOfPausablePeers);
}

} // namespace Acaciavale::Relay
