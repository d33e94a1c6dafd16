#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <optional>
#include <string>

/// What every TCP connection of the relay is set to.
namespace Acaciavale::Relay {

/// IP number and port; nothing for text that is not these.
std::optional<boost::asio::ip::tcp::endpoint> ParseAddress(
  const std::string& aText);

/// Sends small writes at once, and ends connections whose other side has gone
/// without a word.
void SetSocketOptions(boost::asio::ip::tcp::socket& aSocket);

} // namespace Acaciavale::Relay
