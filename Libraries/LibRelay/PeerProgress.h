#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <optional>

/// Whether the peer of a TCP connection is unreachable, or just does not read.
namespace Acaciavale::Relay {

/// What the operating system knows of a connection. A peer that does not read
/// acknowledges the probes of its closed window, an unreachable one does not.
struct PeerProgress
{
  /// Retransmissions that were not acknowledged.
  std::uint32_t mRetransmissions = 0;
  /// Probes, of a closed window or of an idle connection, without an answer.
  std::uint32_t mProbes = 0;
  Duration mSinceLastAcknowledgement{};

  auto operator<=>(const PeerProgress&) const = default;
};

/// Whether the peer has acknowledged nothing for so long, and so many packets,
/// that it is taken for unreachable.
bool IsSilent(const PeerProgress& aProgress);

/// Reads the state of the socket (TCP_INFO of tcp(7)). Returns nothing if the
/// operating system does not tell.
std::optional<PeerProgress> ReadPeerProgress(int aSocket);

/// Number of written bytes that the peer has not acknowledged (SIOCOUTQ of
/// tcp(7)); 0 if the connection has ended or the operating system does not
/// tell.
std::size_t UnacknowledgedBytes(int aSocket);

} // namespace Acaciavale::Relay
