#pragma once

#include "BoundedParser.h"

#include <Acaciavale/LibRelay/OutboundCall.h>
#include <Acaciavale/LibRelay/Timer.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/buffer_body.hpp>
#include <optional>

/// The implementation of OutboundCall.
namespace Acaciavale::Relay {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

struct OutboundCall::Private
{
  Private(asio::io_context& aLoop, CallOptions aOptions, CallHandlers aHandlers)
    : mSocket(aLoop)
    , mTimer(aLoop)
    , mAddress(std::move(aOptions.mAddress))
    , mConnectTimeout(aOptions.mConnectTimeout)
    , mStallTimeout(aOptions.mStallTimeout)
    , mHandlers(std::move(aHandlers))
    , mHeadText(Serialize(aOptions.mHead))
    , mBody(std::move(aOptions.mBody))
    , mMayPeerPause(mBody && mBody->size() > kLargeBodyBytes)
    , mIsHeadRequest(aOptions.mHead.method() == http::verb::head)
  {
    ResetParser();
  }

  /// Size above which a body may wait in the buffers of both sockets while the
  /// peer does not read.
  static constexpr std::size_t kLargeBodyBytes = 16U << 10;

  /// Maximum number of body bytes per read.
  static constexpr std::size_t kReadBufferBytes = 8192;
  /// Maximum size of a response head, a common limit of servers.
  static constexpr std::uint32_t kMaximumHeadBytes = 16384;
  /// Maximum memory of a parsed head. Fields of some bytes need many times
  /// their size.
  static constexpr std::size_t kMaximumParsedHeadBytes = 64U << 10;
  /// Maximum number of received bytes that are not parsed yet. A chunk header
  /// or trailer that is longer than that is an error.
  static constexpr std::size_t kMaximumUnparsedBytes = 20U << 10;

  asio::ip::tcp::socket mSocket;
  Timer mTimer;
  std::string mAddress;
  Duration mConnectTimeout;
  Duration mStallTimeout;
  CallHandlers mHandlers;
  std::string mHeadText;
  std::shared_ptr<const std::string> mBody; ///< Null: empty, or all is written.
  bool mMayPeerPause;                       ///< While it reads the body.
  bool mIsHeadRequest;
  std::optional<BoundedParser<false, http::buffer_body>> mParser;
  std::size_t mHeadBytes = 0; ///< Memory of the parsed head.
  boost::beast::flat_buffer mBuffer{ kMaximumUnparsedBytes };
  std::array<char, kReadBufferBytes> mReadBuffer{};
  bool mIsEnded = false; ///< No handler is called any more.
  error_code mFailure;   ///< Set at the end.
  /// Why the connection was lost while the request was written.
  error_code mWriteFailure;
  bool mIsWriting = false;
  /// Time for which the peer has taken nothing of the request.
  Duration mTimeWithoutProgress{};
  std::size_t mUnacknowledgedBytes = 0; ///< At the latest check of the peer.
  bool mIsPaused = false;
  bool mIsReading = false; ///< A read of the response is under way.
  bool mWasWritten = false;
  bool mHasHead = false;
  int mInterimResponses = 0;

  static std::string Serialize(const RequestHead& aHead);
  void ResetParser();
  void Close(const std::shared_ptr<OutboundCall>& aSelf);
  /// Frees what reading needs, after the end and outside of handlers.
  void ReleaseInput();
  void End(const std::shared_ptr<OutboundCall>& aSelf,
           CallResult aResult,
           const error_code& aFailure = {});

  /// Returns a handler that ends the call if the given one throws, and passes
  /// the exception on to the loop.
  template<typename Handler>
  static auto Guard(const std::shared_ptr<OutboundCall>& aSelf,
                    Handler aHandler)
  {
    return [aSelf, handler = std::move(aHandler)](const auto&... aArguments) {
      try {
        handler(aArguments...);
      } catch (...) {
        aSelf->mPrivate->End(aSelf, CallResult::InvalidHttp);
        throw;
      }
    };
  }

  void Connect(const std::shared_ptr<OutboundCall>& aSelf);
  // OutboundCallWriting.cpp: the request.
  void Write(const std::shared_ptr<OutboundCall>& aSelf);
  /// Whether a part of the request has not reached the peer.
  bool IsSending();
  void FinishSending(const std::shared_ptr<OutboundCall>& aSelf);
  void DiscardInput(const std::shared_ptr<OutboundCall>& aSelf);
  void WatchPeer(const std::shared_ptr<OutboundCall>& aSelf);
  void CheckPeer(const std::shared_ptr<OutboundCall>& aSelf);
  // OutboundCall.cpp: the connection and the response.
  void ReadHead(const std::shared_ptr<OutboundCall>& aSelf);
  void ReadBody(const std::shared_ptr<OutboundCall>& aSelf);
  void OnBodyRead(const std::shared_ptr<OutboundCall>& aSelf,
                  const error_code& aError);
};

} // namespace Acaciavale::Relay
