#pragma once

#include "BoundedParser.h"

#include <Acaciavale/LibRelay/ClientSession.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/string_body.hpp>
#include <deque>

/// The implementation of ClientSession, which Listener uses as well.
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
    Responding,
    Closing,
    Closed,
  };

  asio::ip::tcp::socket mSocket;
  asio::steady_timer mTimer;
  /// Incremented with each start or stop of mTimer, to ignore late handlers.
  std::uint64_t mTimerGeneration = 0;
  std::shared_ptr<ListenerHooks> mHooks;
  std::function<void()> mOnClosed;
  boost::beast::flat_buffer mBuffer;
  std::unique_ptr<BoundedParser<true, http::string_body>> mParser;
  Request mRequest;
  std::shared_ptr<const std::string> mBody = NoBody();
  ByteHold mBodyHold; ///< For the body while it is read.
  /// For the parsed head and for received bytes that are not parsed, if they
  /// are not small.
  ByteHold mHeadHold;
  Phase mPhase = Phase::Idle;
  std::deque<std::shared_ptr<const std::string>> mWriteQueue;
  std::size_t mUnwrittenBytes = 0;
  bool mIsWriting = false;
  /// Time for which the operating system has taken nothing of a write.
  Duration mTimeWithoutProgress{};
  bool mIsResponseQueued = false; ///< The whole response is queued.
  bool mHasBegunStream = false;   ///< Whether the head of a stream was written.
  /// The connection closes after this response.
  bool mClosesAfterResponse = false;
  bool mIsRequestIncomplete = false; ///< A rejected request was not all read.
  bool mIsChunked = true;            ///< The response uses chunked encoding.
  std::function<void()> mOnDisconnect;
  std::function<void()> mOnDrained;

  using DiscardBuffer = std::array<char, 4096>;
  using ReadStep = void (Private::*)(const std::shared_ptr<ClientSession>&);
  /// Returns a read handler that runs the next step, or rejects the request
  /// after an error.
  std::function<void(const error_code&, std::size_t)> AfterRead(
    const std::shared_ptr<ClientSession>& aSelf,
    ReadStep aNext);
  /// Returns a handler that closes the connection if the given one throws, and
  /// passes the exception on to the loop.
  template<typename Handler>
  static auto Guard(const std::shared_ptr<ClientSession>& aSelf,
                    Handler aHandler)
  {
    return [aSelf, handler = std::move(aHandler)](const auto&... aArguments) {
      try {
        handler(aArguments...);
      } catch (...) {
        aSelf->mPrivate->HandleDisconnect();
        throw;
      }
    };
  }
  void ArmTimer(const std::shared_ptr<ClientSession>& aSelf, Duration aTimeout);
  void WaitForRequest(const std::shared_ptr<ClientSession>& aSelf);
  void ReadRequest(const std::shared_ptr<ClientSession>& aSelf);
  void ReadMoreOfHead(const std::shared_ptr<ClientSession>& aSelf);
  void OnHeadRead(const std::shared_ptr<ClientSession>& aSelf);
  void ReadRequestBody(const std::shared_ptr<ClientSession>& aSelf);
  void ReadMoreOfBody(const std::shared_ptr<ClientSession>& aSelf);
  void OnBodyRead(const std::shared_ptr<ClientSession>& aSelf);
  /// Whether there is room for what the body needs by now. If not, the request
  /// has been refused.
  bool HoldBody(const std::shared_ptr<ClientSession>& aSelf);
  /// Whether there is room for a head and for received bytes that are not
  /// parsed.
  bool HoldHead(std::size_t aParsedBytes, std::size_t aBufferBytes);
  std::size_t MaximumBufferBytes() const;
  /// Allows mBuffer to grow beyond its limit. Returns false if it must not.
  bool GrowBuffer();
  /// Refuses a request for which there is no room.
  void RefuseForRoom(const std::shared_ptr<ClientSession>& aSelf);
  static const std::shared_ptr<const std::string>& NoBody();
  void HandleRequest(const std::shared_ptr<ClientSession>& aSelf);
  void Reject(const std::shared_ptr<ClientSession>& aSelf,
              const error_code& aError);
  void RefuseUnreadable(const std::shared_ptr<ClientSession>& aSelf,
                        http::status aStatus,
                        const error_code& aError);
  /// Responds to a request that has not been read to its end.
  void RefuseIncomplete(const std::shared_ptr<ClientSession>& aSelf,
                        http::status aStatus);
  void WatchForDisconnect(const std::shared_ptr<ClientSession>& aSelf);
  void Write(const std::shared_ptr<ClientSession>& aSelf, std::string aText);
  void Write(const std::shared_ptr<ClientSession>& aSelf,
             std::shared_ptr<const std::string> aText);
  void WriteNext(const std::shared_ptr<ClientSession>& aSelf);
  void FinishResponse(const std::shared_ptr<ClientSession>& aSelf);
  void Linger(const std::shared_ptr<ClientSession>& aSelf);
  void Discard(const std::shared_ptr<ClientSession>& aSelf,
               const std::shared_ptr<DiscardBuffer>& aBuffer);
  void AwaitClose(const std::shared_ptr<ClientSession>& aSelf);
  void WatchPeer(const std::shared_ptr<ClientSession>& aSelf);
  void CheckPeer(const std::shared_ptr<ClientSession>& aSelf);
  void Close();
  void SetResetsOnClose(bool aResets);
  void HandleDisconnect();
  /// Whether a response may begin. If another one has begun, breaks it off or,
  /// if it is complete, leaves out what follows.
  bool MayBeginResponse();
  bool IsStreamOpen() const;
  bool PrepareHead(ResponseHead& aHead);
};

} // namespace Acaciavale::Relay
