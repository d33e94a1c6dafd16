#include "RawEndpoint.h"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace Acaciavale::Platform::StandIns {

namespace asio = boost::asio;
using boost::system::error_code;

struct RawEndpoint::Connection
{
  explicit Connection(asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::array<char, 4096> mRequest{};
  std::string mId;
  Answer mAnswer;
};

RawEndpoint::RawEndpoint(asio::io_context& aIoContext, Script aScript)
  : mAcceptor(aIoContext, { asio::ip::address_v4::loopback(), 0 })
  , mScript(std::move(aScript))
{
  Accept();
}

RawEndpoint::RawEndpoint(asio::io_context& aIoContext,
                         std::vector<Write> aWrites,
                         End aEnd)
  : RawEndpoint(aIoContext,
                [answer = Answer{ std::move(aWrites), aEnd }](
                  const std::string&) { return answer; })
{
}

std::string RawEndpoint::Address() const
{
  return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
}

void RawEndpoint::Accept()
{
  mAcceptor.async_accept(
    [this](const error_code& aError, asio::ip::tcp::socket aSocket) {
      if (aError) {
        return;
      }
      const auto connection = std::make_shared<Connection>(std::move(aSocket));
      connection->mSocket.async_read_some(
        asio::buffer(connection->mRequest),
        [this, connection](const error_code& aReadError, std::size_t aSize) {
          if (aReadError) {
            return;
          }
          ++mArrivals;
          const std::string text(connection->mRequest.data(), aSize);
          mLatestRequest = text;
          connection->mId = HeaderIn(text, "Attempt-Id");
          connection->mAnswer = mScript(text);
          WriteNext(connection, 0);
        });
      Accept();
    });
}

void RawEndpoint::WriteNext(const std::shared_ptr<Connection>& aConnection,
                            std::size_t aIndex)
{
  const Answer& answer = aConnection->mAnswer;
  if (aIndex == answer.mWrites.size()) {
    if (answer.mEnd == End::ShutDownAndReset) {
      aConnection->mSocket.shutdown(asio::ip::tcp::socket::shutdown_send);
    }
    if (answer.mEnd == End::Reset || answer.mEnd == End::ShutDownAndReset) {
      aConnection->mSocket.set_option(asio::socket_base::linger(true, 0));
    }
    if (answer.mEnd != End::KeepOpen) {
      aConnection->mSocket.close();
      return;
    }
    // The read ends when the peer closes the connection.
    aConnection->mSocket.async_read_some(
      asio::buffer(aConnection->mRequest),
      [aConnection](const error_code&, std::size_t) {});
    return;
  }
  const auto write = [this, aConnection, aIndex](const error_code&) {
    std::string bytes = aConnection->mAnswer.mWrites[aIndex].mBytes;
    const std::string placeholder = kRequestId;
    for (std::size_t at = bytes.find(placeholder); at != std::string::npos;
         at = bytes.find(placeholder)) {
      bytes.replace(at, placeholder.size(), aConnection->mId);
    }
    error_code failure;
    asio::write(aConnection->mSocket, asio::buffer(bytes), failure);
    if (!failure) {
      WriteNext(aConnection, aIndex + 1);
    }
  };
  if (answer.mWrites[aIndex].mAfter == Duration{}) {
    write({});
    return;
  }
  aConnection->mTimer.expires_after(answer.mWrites[aIndex].mAfter);
  aConnection->mTimer.async_wait(write);
}

std::string HeaderIn(const std::string& aRequest, const std::string& aName)
{
  const std::string line = "\r\n" + aName + ": ";
  const std::size_t at = aRequest.find(line);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t begin = at + line.size();
  return aRequest.substr(begin, aRequest.find("\r\n", begin) - begin);
}

std::string RawHead(const std::string& aStatusLine, const std::string& aFields)
{
  return aStatusLine + "\r\n" + aFields + "Replica-Stamp: stamp\r\n" +
         "Attempt-Id: " + RawEndpoint::kRequestId + "\r\n\r\n";
}

std::string EventsText(int aFirst, int aLast)
{
  std::string events;
  for (int id = aFirst; id <= aLast; ++id) {
    events += "id: " + std::to_string(id) + "\ndata: event " +
              std::to_string(id) + "\n\n";
  }
  return events;
}

void RawEndpointTest::Start(std::vector<RawEndpoint::Write> aWrites,
                            const std::string& aPool,
                            RawEndpoint::End aEnd)
{
  mEndpoint = std::make_unique<RawEndpoint>(
    mFixture.mIoContext, std::move(aWrites), aEnd);
  mFixture.PutSettings(1);
  List("i-1", aPool, *mEndpoint);
  mFixture.StartNode();
}

void RawEndpointTest::List(const std::string& aId,
                           const std::string& aPool,
                           const RawEndpoint& aEndpoint)
{
  mFixture.mStore.Put("servers/" + aId,
                      R"({"service":")" + aPool + R"(","address":")" +
                        aEndpoint.Address() +
                        R"(","zone":"zone-a","version":"v1","slots":4,)"
                        R"("state":"ready","seq-no":1,"born":1})");
}

Response RawEndpointTest::Call(const std::string& aTarget)
{
  return mFixture.Call({ "POST", aTarget, "body", {} });
}

Response RawEndpointTest::CallUntilUsed(const std::string& aTarget)
{
  Response response;
  while (mEndpoint->Arrivals() == 0) {
    response = Call(aTarget);
  }
  return response;
}

} // namespace Acaciavale::Platform::StandIns
