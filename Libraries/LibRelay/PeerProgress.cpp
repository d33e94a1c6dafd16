#include "PeerProgress.h"

#include <algorithm>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace Acaciavale::Relay {

namespace {

constexpr Duration kMinimumSilence = std::chrono::milliseconds(1500);
/// The last of the packets may have been sent just now, and one may be lost.
constexpr std::uint32_t kMinimumUnansweredPackets = 3;

} // namespace

bool IsSilent(const PeerProgress& aProgress)
{
  return aProgress.mSinceLastAcknowledgement >= kMinimumSilence &&
         std::max(aProgress.mRetransmissions, aProgress.mProbes) >=
           kMinimumUnansweredPackets;
}

std::optional<PeerProgress> ReadPeerProgress(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool isKnown =
    getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
    size >=
      offsetof(tcp_info, tcpi_last_ack_recv) + sizeof(info.tcpi_last_ack_recv);
  if (!isKnown) {
    return std::nullopt;
  }
  return PeerProgress{ info.tcpi_retransmits,
                       info.tcpi_probes,
                       std::chrono::milliseconds(info.tcpi_last_ack_recv) };
}

std::size_t UnacknowledgedBytes(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  const bool hasEnded =
    getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
    info.tcpi_state == TCP_CLOSE;
  int bytes = 0;
  const bool isKnown = !hasEnded && ioctl(aSocket, SIOCOUTQ, &bytes) == 0;
  return isKnown && bytes > 0 ? static_cast<std::size_t>(bytes) : 0;
}

} // namespace Acaciavale::Relay
