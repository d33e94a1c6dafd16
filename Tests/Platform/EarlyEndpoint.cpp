#include "EarlyEndpoint.h"

#include "RawEndpoint.h"

#include <algorithm>
#include <array>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace Acaciavale::Platform::StandIns {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

/// Below what one read of the body takes, so that the sender is blocked while
/// the endpoint does not read.
constexpr int kReceiveBufferBytes = 4096;

} // namespace

struct EarlyEndpoint::Connection
{
  explicit Connection(asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::string mReceived;
  std::string mId;
  std::array<char, 65536> mPiece{};
  bool mHasPaused = false;
};

EarlyEndpoint::EarlyEndpoint(asio::io_context& aIoContext, Script aScript)
  : mAcceptor(aIoContext, asio::ip::tcp::v4())
  , mScript(std::move(aScript))
{
  mAcceptor.set_option(
    asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
  mAcceptor.bind({ asio::ip::address_v4::loopback(), 0 });
  mAcceptor.listen();
  Accept();
}

std::string EarlyEndpoint::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

void EarlyEndpoint::Accept()
{
  mAcceptor.async_accept(
    [this](const error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto connection = std::make_shared<Connection>(std::move(aSocket));
      asio::async_read_until(
        connection->mSocket,
        asio::dynamic_buffer(connection->mReceived),
        "\r\n\r\n",
        [this, connection](const error_code& aReadError, std::size_t aSize) {
          if (aReadError) {
            return;
          }
          const std::string head = connection->mReceived.substr(0, aSize);
          connection->mId = HeaderIn(head, "Attempt-Id");
          mLength = std::stoul("0" + HeaderIn(head, "Content-Length"));
          mBody = connection->mReceived.substr(aSize);
          mHasEnded = false;
          OnHead(connection);
        });
      Accept();
    });
}

void EarlyEndpoint::Send(const std::shared_ptr<Connection>& aConnection,
                         const std::string& aAnswer)
{
  std::string answer = aAnswer;
  const std::string placeholder = RawEndpoint::kRequestId;
  for (std::size_t at = answer.find(placeholder); at != std::string::npos;
       at = answer.find(placeholder)) {
    answer.replace(at, placeholder.size(), aConnection->mId);
  }
  error_code ignored; // NOTE: The test sees what its caller received.
  asio::write(aConnection->mSocket, asio::buffer(answer), ignored);
}

void EarlyEndpoint::OnHead(const std::shared_ptr<Connection>& aConnection)
{
  Send(aConnection, mScript.mEarlyAnswer);
  if (mScript.mEndsAnswer) {
    error_code ignored; // NOTE: As in Send.
    aConnection->mSocket.shutdown(asio::ip::tcp::socket::shutdown_send,
                                  ignored);
  }
  ReadBody(aConnection, mScript.mReadFirst);
}

void EarlyEndpoint::ReadBody(const std::shared_ptr<Connection>& aConnection,
                             std::size_t aUpTo)
{
  if (mBody.size() >= std::min(aUpTo, mLength)) {
    OnBody(aConnection);
    return;
  }
  aConnection->mSocket.async_read_some(
    asio::buffer(aConnection->mPiece),
    [this, aConnection, aUpTo](const error_code& aError, std::size_t aSize) {
      mBody.append(aConnection->mPiece.data(), aSize);
      if (aError) {
        mHasEnded = true;
        return;
      }
      ReadBody(aConnection, aUpTo);
    });
}

void EarlyEndpoint::OnBody(const std::shared_ptr<Connection>& aConnection)
{
  if (!aConnection->mHasPaused) {
    aConnection->mHasPaused = true;
    aConnection->mTimer.expires_after(mScript.mPause);
    aConnection->mTimer.async_wait([this, aConnection](const error_code&) {
      ReadBody(aConnection, mLength);
    });
    return;
  }
  mHasEnded = true;
  Send(aConnection, mScript.mLateAnswer);
  // The read ends when the peer closes the connection.
  aConnection->mSocket.async_read_some(
    asio::buffer(aConnection->mPiece),
    [aConnection](const error_code&, std::size_t) {});
}

} // namespace Acaciavale::Platform::StandIns
