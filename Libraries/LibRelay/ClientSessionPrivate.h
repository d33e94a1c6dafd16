#pragma once

#include <Acaciavale/LibRelay/ClientSession.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <deque>

/// What ClientSession and Listener share.
namespace Acaciavale::Relay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct ClientSession::Private
{
  explicit Private(asio::ip::tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  enum class Phase
  {
    Idle,
    Reading,
    Answering,
    Closing,
    Closed,
  };

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  std::uint64_t mWait = 0; ///< Told apart, as a timer's handler may come late.
  std::shared_ptr<ListenerHooks> mHooks;
  std::function<void()> mOnClosed;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<http::request_parser<http::string_body>> mParser;
  Request mRequest;
  Phase mPhase = Phase::Idle;
  std::deque<std::string> mOut;
  std::size_t mUnwritten = 0;
  bool mIsWriting = false;
  bool mIsAnswered = false; ///< All of the answer is queued.
  bool mCloses = false;     ///< The connection ends with this answer.
  bool mIsChunked = true;
  std::function<void()> mOnGone;
  std::function<void()> mOnDrained;

  using Step = void (Private::*)(const std::shared_ptr<ClientSession>&);
  /// Goes on with the next step once a part of the request is read.
  std::function<void(const error_code&, std::size_t)> WhenRead(
    const std::shared_ptr<ClientSession>& aSelf,
    Step aNext);
  void Arm(const std::shared_ptr<ClientSession>& aSelf, Duration aTimeout);
  void WaitForRequest(const std::shared_ptr<ClientSession>& aSelf);
  void ReadRequest(const std::shared_ptr<ClientSession>& aSelf);
  void ReadRequestBody(const std::shared_ptr<ClientSession>& aSelf);
  void TakeRequest(const std::shared_ptr<ClientSession>& aSelf);
  void Reject(const std::shared_ptr<ClientSession>& aSelf,
              const error_code& aError);
  void WatchCaller(const std::shared_ptr<ClientSession>& aSelf);
  void Write(const std::shared_ptr<ClientSession>& aSelf, std::string aText);
  void WriteNext(const std::shared_ptr<ClientSession>& aSelf);
  void FinishAnswer(const std::shared_ptr<ClientSession>& aSelf);
  void Linger(const std::shared_ptr<ClientSession>& aSelf);
  void Close();
  void Gone();
  bool Prepare(AnswerHead& aHead);
};

} // namespace Acaciavale::Relay
