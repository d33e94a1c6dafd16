// NOTE: This server uses Boost.Beast instead of RESTinio, because a stand-in
//       has to close connections in the middle of a response, which RESTinio
//       does not support.
#include "HttpServer.h"

#include <Acaciavale/LibCore/Log.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <mutex>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace Acaciavale::StandIns {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxBodyBytes = 8 << 20;
constexpr int kHexBase = 16;

std::string UrlDecode(std::string_view aText)
{
  std::string decoded;
  for (std::size_t at = 0; at < aText.size(); ++at) {
    if (aText[at] == '%' && at + 2 < aText.size()) {
      const std::string digits(aText.substr(at + 1, 2));
      decoded.push_back(
        static_cast<char>(std::strtol(digits.c_str(), nullptr, kHexBase)));
      at += 2;
    } else {
      decoded.push_back(aText[at] == '+' ? ' ' : aText[at]);
    }
  }
  return decoded;
}

std::map<std::string, std::string> ParseQuery(std::string_view aText)
{
  std::map<std::string, std::string> query;
  while (!aText.empty()) {
    const std::size_t end = std::min(aText.find('&'), aText.size());
    const std::string_view pair = aText.substr(0, end);
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const std::string_view value =
      equals < pair.size() ? pair.substr(equals + 1) : std::string_view{};
    query[UrlDecode(pair.substr(0, equals))] = UrlDecode(value);
    aText.remove_prefix(std::min(end + 1, aText.size()));
  }
  return query;
}

std::string LowerCase(std::string_view aText)
{
  std::string lower(aText);
  std::transform(
    lower.begin(), lower.end(), lower.begin(), [](char aCharacter) {
      return static_cast<char>(
        std::tolower(static_cast<unsigned char>(aCharacter)));
    });
  return lower;
}

Request ConvertRequest(const http::request<http::string_body>& aMessage)
{
  Request request;
  request.mMethod = std::string(aMessage.method_string());
  const std::string_view target(aMessage.target().data(),
                                aMessage.target().size());
  const std::size_t queryStart = std::min(target.find('?'), target.size());
  request.mPath = UrlDecode(target.substr(0, queryStart));
  if (queryStart < target.size()) {
    request.mQuery = ParseQuery(target.substr(queryStart + 1));
  }
  for (const auto& field : aMessage) {
    const auto name = field.name_string();
    request.mHeaders[LowerCase({ name.data(), name.size() })] =
      std::string(field.value());
  }
  request.mBody = aMessage.body();
  return request;
}

/// A client connection. All its code runs on the strand of its socket.
class Connection
  : public Exchange
  , public std::enable_shared_from_this<Connection>
{
public:
  explicit Connection(Tcp::socket aSocket)
    : mSocket(std::move(aSocket))
    , mTimer(mSocket.get_executor())
  {
  }

  Task Serve(Handler aHandler)
  {
    while (mSocket.is_open() && co_await ReadRequest()) {
      try {
        co_await aHandler(*this);
      } catch (const std::exception& exception) {
        Log(LogLevel::Warning,
            "stand-ins",
            "The handler of a request threw an exception.",
            { { "path", mRequest.mPath }, { "error", exception.what() } });
      }
      if (!mAnswered && !IsClientDisconnected()) {
        co_await Reply(400, "{\"error\":\"malformed\"}");
      }
      StopDisconnectWatch();
    }
    Abort();
  }

  const Request& IncomingRequest() const override { return mRequest; }

  Task Reply(int aStatus, std::string aBody) override
  {
    co_await ReplyWithRetryAfter(aStatus, std::move(aBody), 0);
  }

  Task ReplyWithRetryAfter(int aStatus,
                           std::string aBody,
                           int aRetryAfterSeconds) override
  {
    mAnswered = true;
    http::response<http::string_body> response(
      static_cast<http::status>(aStatus), 11);
    response.set(http::field::content_type, "application/json");
    if (aRetryAfterSeconds > 0) {
      response.set(http::field::retry_after,
                   std::to_string(aRetryAfterSeconds));
    }
    response.body() = std::move(aBody);
    response.prepare_payload();
    ErrorCode error;
    co_await http::async_write(
      mSocket, response, asio::redirect_error(asio::use_awaitable, error));
    AbortOnError(error);
  }

  Task BeginEvents() override
  {
    mAnswered = true;
    return Write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n");
  }

  Task SendEvent(std::string aData) override
  {
    const std::string event = "data: " + aData + "\n\n";
    std::array<char, 20> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", event.size());
    return Write(std::string(size.data()) + event + "\r\n");
  }

  Task EndEvents() override { return Write("0\r\n\r\n"); }

  Task Sleep(std::chrono::nanoseconds aDuration) override
  {
    mWoken = false;
    const auto end = std::chrono::steady_clock::now() + aDuration;
    while (!IsClientDisconnected() && std::chrono::steady_clock::now() < end) {
      co_await WaitUntil(end);
    }
  }

  Task WaitForWake(std::chrono::nanoseconds aDuration) override
  {
    const auto end = std::chrono::steady_clock::now() + aDuration;
    while (!IsClientDisconnected() && !mWoken &&
           std::chrono::steady_clock::now() < end) {
      co_await WaitUntil(end);
    }
    mWoken = false;
  }

  void Wake() override
  {
    asio::post(mSocket.get_executor(), [self = shared_from_this()] {
      self->mWoken = true;
      self->mTimer.cancel();
    });
  }

  bool IsClientDisconnected() const override
  {
    return mClientDisconnected || !mSocket.is_open();
  }

  void Abort() override
  {
    ErrorCode ignored;
    mSocket.shutdown(Tcp::socket::shutdown_both, ignored);
    mSocket.close(ignored);
  }

private:
  asio::awaitable<bool> ReadRequest()
  {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    ErrorCode error;
    co_await http::async_read(mSocket,
                              mBuffer,
                              parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      co_return false;
    }
    mRequest = ConvertRequest(parser.get());
    mAnswered = false;
    mWoken = false;
    co_return true;
  }

  Task Write(std::string aBytes)
  {
    ErrorCode error;
    const auto buffer = asio::buffer(aBytes);
    co_await asio::async_write(
      mSocket, buffer, asio::redirect_error(asio::use_awaitable, error));
    AbortOnError(error);
  }

  Task WaitUntil(std::chrono::steady_clock::time_point aEnd)
  {
    StartDisconnectWatch();
    mTimer.expires_at(aEnd);
    ErrorCode ignored;
    co_await mTimer.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
  }

  /// Watches for a disconnect of the client while the handler runs.
  void StartDisconnectWatch()
  {
    if (mIsWatching || !mSocket.is_open()) {
      return;
    }
    mIsWatching = true;
    mSocket.async_wait(Tcp::socket::wait_read,
                       [self = shared_from_this(),
                        watch = mWatchNumber](const ErrorCode& aError) {
                         if (!aError && watch == self->mWatchNumber) {
                           self->mIsWatching = false;
                           self->CheckForDisconnect();
                         }
                       });
  }

  /// NOTE: The wait may complete spuriously because of bytes of the current
  ///       request that were read before the wait began. So this function peeks
  ///       at the socket and restarts the watch if there is nothing to read.
  void CheckForDisconnect()
  {
    char next = 0;
    const ssize_t bytes =
      recv(mSocket.native_handle(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
    if (bytes > 0) {
      return;
    }
    if (bytes < 0 && errno == EAGAIN) {
      StartDisconnectWatch();
      return;
    }
    mClientDisconnected = true;
    mTimer.cancel();
  }

  void StopDisconnectWatch()
  {
    if (mIsWatching && mSocket.is_open()) {
      ErrorCode ignored;
      mSocket.cancel(ignored);
    }
    mIsWatching = false;
    ++mWatchNumber;
  }

  void AbortOnError(const ErrorCode& aError)
  {
    if (aError) {
      mClientDisconnected = true;
      Abort();
    }
  }

  Tcp::socket mSocket;
  asio::steady_timer mTimer;
  boost::beast::flat_buffer mBuffer;
  Request mRequest;
  bool mAnswered = false;
  bool mClientDisconnected = false;
  bool mWoken = false;
  bool mIsWatching = false;
  std::uint64_t mWatchNumber = 0; ///< Callbacks of earlier watches are ignored.
};

/// Keeps the connection alive until it has been served.
Task ServeConnection(std::shared_ptr<Connection> aConnection, Handler aHandler)
{
  co_await aConnection->Serve(std::move(aHandler));
}

Task AcceptConnections(asio::io_context& aContext,
                       std::shared_ptr<Tcp::acceptor> aAcceptor,
                       Handler aHandler)
{
  for (;;) {
    ErrorCode error;
    const asio::any_io_executor strand = asio::make_strand(aContext);
    Tcp::socket socket = co_await aAcceptor->async_accept(
      strand, asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (error) {
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    const auto connection = std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(
      strand, ServeConnection(connection, aHandler), asio::detached);
  }
}

Task RunRepeatedly(Milliseconds aInterval, std::function<void()> aCallback)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  for (;;) {
    timer.expires_after(aInterval);
    co_await timer.async_wait(asio::use_awaitable);
    aCallback();
  }
}

} // namespace

std::string ValueOr(const std::map<std::string, std::string>& aValues,
                    const std::string& aName,
                    const std::string& aDefault)
{
  const auto found = aValues.find(aName);
  return found == aValues.end() ? aDefault : found->second;
}

struct HttpServer::Private
{
  asio::io_context mContext;
  std::vector<std::thread> mThreads;
};

HttpServer::HttpServer(int aThreadCount)
  : mPrivate(std::make_unique<Private>())
{
  // NOTE: Outstanding work keeps run() from returning before the first Listen.
  mPrivate->mContext.get_executor().on_work_started();
  for (int started = 0; started < aThreadCount; ++started) {
    mPrivate->mThreads.emplace_back([this] { mPrivate->mContext.run(); });
  }
}

HttpServer::~HttpServer()
{
  mPrivate->mContext.stop();
  for (std::thread& thread : mPrivate->mThreads) {
    thread.join();
  }
}

std::string HttpServer::Listen(int aPort, Handler aHandler)
{
  const Tcp::endpoint endpoint(asio::ip::address_v4::loopback(),
                               static_cast<unsigned short>(aPort));
  auto acceptor = std::make_shared<Tcp::acceptor>(mPrivate->mContext, endpoint);
  const int port = acceptor->local_endpoint().port();
  asio::co_spawn(mPrivate->mContext,
                 AcceptConnections(mPrivate->mContext,
                                   std::move(acceptor),
                                   std::move(aHandler)),
                 asio::detached);
  return "127.0.0.1:" + std::to_string(port);
}

void HttpServer::RunPeriodically(Milliseconds aInterval,
                                 std::function<void()> aCallback)
{
  asio::co_spawn(mPrivate->mContext,
                 RunRepeatedly(aInterval, std::move(aCallback)),
                 asio::detached);
}

struct StopSignal::Private
{
  asio::io_context mContext;
  asio::signal_set mSignals{ mContext, SIGTERM, SIGINT };
};

StopSignal::StopSignal()
  : mPrivate(std::make_unique<Private>())
{
}

StopSignal::~StopSignal() = default;

void StopSignal::Wait()
{
  mPrivate->mSignals.async_wait([](const ErrorCode&, int) {});
  mPrivate->mContext.run();
}

} // namespace Acaciavale::StandIns
