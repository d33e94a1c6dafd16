#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/streambuf.hpp>
#include <memory>
#include <string>
#include <vector>

namespace Acaciavale::Platform::StandIns {

/// An endpoint with a small receive buffer that may answer a request before it
/// has read its body, and reads on later.
class EarlyEndpoint
{
public:
  struct Script
  {
    /// What is written when the head has been read; empty: nothing.
    std::string mEarlyAnswer;
    /// Whether the endpoint shuts its side down behind the early answer.
    bool mEndsAnswer = false;
    /// Size of the part of the body that is read before the pause.
    std::size_t mReadFirst = 0;
    Duration mPause{};
    /// What is written when the body has been read; empty: nothing.
    std::string mLateAnswer;
  };

  EarlyEndpoint(boost::asio::io_context& aIoContext, Script aScript);

  std::string Address() const;
  /// Whether the latest request was read to its end.
  bool HasBody() const { return mHasEnded && mBody.size() == mLength; }
  /// Whether the latest connection has ended, or its request was read.
  bool HasEnded() const { return mHasEnded; }
  /// What was read of the body of the latest request.
  const std::string& Body() const { return mBody; }

private:
  struct Connection;
  void Accept();
  void OnHead(const std::shared_ptr<Connection>& aConnection);
  void ReadBody(const std::shared_ptr<Connection>& aConnection,
                std::size_t aUpTo);
  void OnBody(const std::shared_ptr<Connection>& aConnection);
  void Send(const std::shared_ptr<Connection>& aConnection,
            const std::string& aAnswer);

  boost::asio::ip::tcp::acceptor mAcceptor;
  Script mScript;
  std::size_t mLength = 0;
  std::string mBody;
  bool mHasEnded = false;
};

} // namespace Acaciavale::Platform::StandIns
