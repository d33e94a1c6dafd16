#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>

namespace Acaciavale::Relay {

enum class ProbeResult
{
  Accepted,   ///< A process listens at the address.
  Refused,    ///< The host answers, and no process listens at the address.
  NoResponse, ///< The host does not answer in time.
};

/// Connects to the address, an IP address and port, sends nothing and closes
/// the connection. The callback is called later, once.
void ProbeConnection(boost::asio::io_context& aLoop,
                     const std::string& aAddress,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback);

} // namespace Acaciavale::Relay
