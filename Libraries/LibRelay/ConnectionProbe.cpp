#include "ConnectionProbe.h"

#include "SocketOptions.h"

#include <Acaciavale/LibRelay/Timer.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <memory>

namespace Acaciavale::Relay {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

struct Probe : public std::enable_shared_from_this<Probe>
{
  Probe(asio::io_context& aLoop, std::function<void(ProbeResult)> aCallback)
    : mSocket(aLoop)
    , mTimer(aLoop)
    , mCallback(std::move(aCallback))
  {
  }

  void End(ProbeResult aResult)
  {
    const auto callback = std::move(mCallback);
    mCallback = {};
    mTimer.Cancel();
    error_code ignored; // NOTE: The connection is discarded in any case.
    mSocket.close(ignored);
    if (callback) {
      callback(aResult);
    }
  }

  asio::ip::tcp::socket mSocket;
  Timer mTimer;
  std::function<void(ProbeResult)> mCallback;
};

} // namespace

void ProbeConnection(asio::io_context& aLoop,
                     const std::string& aAddress,
                     Duration aTimeout,
                     std::function<void(ProbeResult)> aCallback)
{
  const auto probe = std::make_shared<Probe>(aLoop, std::move(aCallback));
  const auto endpoint = ParseAddress(aAddress);
  error_code failure;
  if (endpoint) {
    probe->mSocket.open(endpoint->protocol(), failure);
  }
  if (!endpoint || failure) {
    asio::post(aLoop, [probe] { probe->End(ProbeResult::NoResponse); });
    return;
  }
  probe->mTimer.StartTimeout(
    aTimeout, [probe] { probe->End(ProbeResult::NoResponse); }, aTimeout);
  probe->mSocket.async_connect(*endpoint, [probe](const error_code& aError) {
    if (!aError) {
      probe->End(ProbeResult::Accepted);
    } else if (aError == asio::error::connection_refused) {
      probe->End(ProbeResult::Refused);
    } else {
      probe->End(ProbeResult::NoResponse);
    }
  });
}

} // namespace Acaciavale::Relay
