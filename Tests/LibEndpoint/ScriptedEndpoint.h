#pragma once

#include <array>
#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/write.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Acaciavale {

/// An endpoint on the same io_context that handles each request with a script
/// of the test.
class ScriptedEndpoint
{
public:
  using Script =
    std::function<void(asio::ip::tcp::socket& aSocket, int aRequestNumber)>;

  ScriptedEndpoint(asio::io_context& aContext, Script aScript)
    : mAcceptor(aContext, { asio::ip::make_address("127.0.0.1"), 0 })
    , mScript(std::move(aScript))
  {
    Accept();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  int mRequests = 0;
  int mConnections = 0;
  /// Whether the script handles a request when its first bytes were read.
  bool mAnswersEarly = false;
  std::string mLastRequest; ///< The last complete request with its head.

private:
  void Accept()
  {
    mAcceptor.async_accept(
      [this](const std::error_code& aError, asio::ip::tcp::socket aSocket) {
        if (!aError) {
          ++mConnections;
          Read(std::make_shared<asio::ip::tcp::socket>(std::move(aSocket)));
          Accept();
        }
      });
  }

  /// Calls the script when a request with its body is complete.
  void Read(const std::shared_ptr<asio::ip::tcp::socket>& aSocket,
            std::string aReceived = {})
  {
    const auto bytes = std::make_shared<std::array<char, 4096>>();
    aSocket->async_read_some(
      asio::buffer(*bytes),
      [this, aSocket, bytes, received = std::move(aReceived)](
        const std::error_code& aError, std::size_t aCount) mutable {
        if (aError) {
          return;
        }
        received.append(bytes->data(), aCount);
        if (!mAnswersEarly && !IsComplete(received)) {
          Read(aSocket, std::move(received));
          return;
        }
        mLastRequest = std::move(received);
        mScript(*aSocket, ++mRequests);
        if (mAnswersEarly) {
          mEarlySocket = aSocket;
        } else if (aSocket->is_open()) {
          Read(aSocket);
        }
      });
  }

  static bool IsComplete(const std::string& aRequest)
  {
    constexpr std::string_view kBlankLine = "\r\n\r\n";
    constexpr std::string_view kLength = "\r\nContent-Length: ";
    const std::size_t end = aRequest.find(kBlankLine);
    if (end == std::string::npos) {
      return false;
    }
    const std::size_t length = aRequest.find(kLength);
    const std::size_t bodyBytes =
      length < end ? std::stoul(aRequest.substr(length + kLength.size())) : 0;
    return aRequest.size() >= end + kBlankLine.size() + bodyBytes;
  }

  asio::ip::tcp::acceptor mAcceptor;
  Script mScript;
  /// Keeps the connection of the latest early answer open.
  std::shared_ptr<asio::ip::tcp::socket> mEarlySocket;
};

/// Status lines and fields of heads that make an answer invalid.
constexpr const char* kBrokenHeads[] = {
  "HTTP/1.1 000 OK\r\nContent-Length: 6\r\n",
  "HTTP/1.1 001 OK\r\nContent-Length: 6\r\n",
  "HTTP/1.1 099 OK\r\nContent-Length: 6\r\n",
  "HTTP/1.1 600 OK\r\nContent-Length: 6\r\n",
  "HTTP/1.1 999 OK\r\nContent-Length: 6\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: xchunked\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, identity\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, chunked\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: \"chunked\"\r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: \r\n",
  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: a\r\n",
};

inline void WriteText(asio::ip::tcp::socket& aSocket, const std::string& aText)
{
  asio::write(aSocket, asio::buffer(aText));
}

inline void Reset(asio::ip::tcp::socket& aSocket)
{
  aSocket.set_option(asio::socket_base::linger(true, 0));
  aSocket.close();
}

} // namespace Acaciavale
