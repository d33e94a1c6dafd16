#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

/// Addresses and socket options of the TCP connections of the relay.
namespace Acaciavale::Relay {

/// Parses an IP address and port; returns nothing for invalid text.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  const std::string& aText);

/// Disables delays of small writes and enables the detection of unreachable
/// peers.
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket);

/// As SetSocketOptions, for peers that may pause while they read: callers, and
/// endpoints that get a large body. TCP_USER_TIMEOUT does not tell a pause from
/// the loss of the peer; ReadPeerProgress does.
void SetPausablePeerSocketOptions(boost::asio::ip::tcp::socket& aSocket);

} // namespace Acaciavale::Relay
