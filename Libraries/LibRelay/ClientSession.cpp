#include <Acaciavale/LibRelay/ClientSession.h>

#include "ClientSessionPrivate.h"

#include <Acaciavale/LibCore/Log.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sstream>

namespace Acaciavale::Relay {

namespace {

/// Maximum time to wait for the caller's close after the write side was shut
/// down. The rest of a rejected request is read and discarded meanwhile;
/// otherwise the operating system would reset the connection, and the caller
/// might lose the response.
constexpr Duration kLingerTimeout = std::chrono::seconds(2);

/// Maximum size of a body that is copied to be sent with its head at once.
constexpr std::size_t kCopiedBodyBytes = 16U << 10;

/// Memory of a queued write besides its text.
constexpr std::size_t kWriteOverheadBytes = 128;

/// Maximum number of bytes that are offered to the operating system at once.
constexpr std::size_t kMaximumWriteBytes = 64U << 10;

std::string Serialize(const ResponseHead& aHead)
{
  std::ostringstream text;
  text << aHead;
  return text.str();
}

} // namespace

void ClientSession::Private::ArmTimer(
  const std::shared_ptr<ClientSession>& aSelf,
  Duration aTimeout)
{
  mTimer.expires_after(aTimeout);
  const std::uint64_t generation = ++mTimerGeneration;
  mTimer.async_wait([aSelf, generation](const error_code& aError) {
    // NOTE: The handler of an expired timer may run after a restart of the
    //       timer.
    if (!aError && aSelf->mPrivate->mTimerGeneration == generation) {
      aSelf->mPrivate->Close();
    }
  });
}

void ClientSession::Private::Close()
{
  if (mPhase == Phase::Closed) {
    return;
  }
  mPhase = Phase::Closed;
  error_code ignored; // NOTE: The connection is discarded in any case.
  mTimer.cancel(ignored);
  mSocket.close(ignored);
  mWriteQueue.clear();
  mBodyHold.Release();
  mHeadHold.Release();
  mUnwrittenBytes = 0;
  // NOTE: One of the handlers may be running; they are destroyed afterwards.
  asio::post(
    mSocket.get_executor(),
    [gone = std::move(mOnDisconnect), drained = std::move(mOnDrained)] {});
  mOnDisconnect = {};
  mOnDrained = {};
  if (mOnClosed) {
    mOnClosed();
  }
}

void ClientSession::Private::HandleDisconnect()
{
  const std::function<void()> handler = std::move(mOnDisconnect);
  mOnDisconnect = {};
  Close();
  if (handler) {
    handler();
  }
}

void ClientSession::Private::WatchForDisconnect(
  const std::shared_ptr<ClientSession>& aSelf)
{
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read, [aSelf](const error_code& aError) {
      Private& session = *aSelf->mPrivate;
      const bool isOver = aError == asio::error::operation_aborted ||
                          session.mPhase != Phase::Responding;
      if (isOver) {
        return;
      }
      error_code failure;
      const std::size_t availableBytes = session.mSocket.available(failure);
      // NOTE: A readable socket without bytes means that the peer closed the
      //       connection. Bytes belong to a pipelined request; a disconnect
      //       behind them is not detected.
      if (aError || failure || availableBytes == 0) {
        session.HandleDisconnect();
      }
    });
}

void ClientSession::Private::Write(const std::shared_ptr<ClientSession>& aSelf,
                                   std::string aText)
{
  Write(aSelf, std::make_shared<const std::string>(std::move(aText)));
}

void ClientSession::Private::Write(const std::shared_ptr<ClientSession>& aSelf,
                                   std::shared_ptr<const std::string> aText)
{
  mUnwrittenBytes += aText->size() + kWriteOverheadBytes;
  mWriteQueue.push_back(std::move(aText));
  if (!mIsWriting) {
    WriteNext(aSelf);
  }
}

void ClientSession::Private::WriteNext(
  const std::shared_ptr<ClientSession>& aSelf)
{
  mIsWriting = true;
  asio::async_write(
    mSocket,
    asio::buffer(*mWriteQueue.front()),
    [aSelf](const error_code& aError, std::size_t) {
      aSelf->mPrivate->mTimeWithoutProgress = {};
      return aError ? 0 : kMaximumWriteBytes;
    },
    Guard(aSelf, [aSelf](const error_code& aError, std::size_t aWritten) {
      Private& session = *aSelf->mPrivate;
      session.mIsWriting = false;
      if (session.mPhase == Phase::Closed) {
        return;
      }
      if (aError) {
        session.HandleDisconnect();
        return;
      }
      session.mUnwrittenBytes -= aWritten + kWriteOverheadBytes;
      session.mWriteQueue.pop_front();
      if (!session.mWriteQueue.empty()) {
        session.WriteNext(aSelf);
        return;
      }
      if (session.mIsResponseQueued) {
        session.FinishResponse(aSelf);
        return;
      }
      if (session.mOnDrained) {
        session.mOnDrained();
      }
    }));
}

void ClientSession::Private::FinishResponse(
  const std::shared_ptr<ClientSession>& aSelf)
{
  mOnDisconnect = {};
  mOnDrained = {};
  mRequest = {};
  mHeadHold.Release();
  mBody = NoBody();
  mIsResponseQueued = false;
  if (mHasBegunStream && !mIsChunked) {
    SetResetsOnClose(false);
  }
  mHasBegunStream = false;
  // NOTE: The head of a stream may have gone out before the stop began, so that
  //       its caller was not told that later requests would not be read.
  error_code failure;
  const bool hasReceivedMore =
    mBuffer.size() > 0 || mSocket.available(failure) > 0;
  const bool isLast =
    mClosesAfterResponse || (mHooks->mIsDraining() && !hasReceivedMore);
  if (isLast) {
    Linger(aSelf);
    return;
  }
  error_code ignored; // NOTE: Cancels the wait of WatchForDisconnect.
  mSocket.cancel(ignored);
  WaitForRequest(aSelf);
}

/// Whether closing the connection, also by the end of the process, resets it.
void ClientSession::Private::SetResetsOnClose(bool aResets)
{
  error_code failure;
  mSocket.set_option(asio::socket_base::linger(aResets, 0), failure);
  if (failure) {
    Log(LogLevel::Warning,
        "session",
        "Cannot set how the connection of a caller is closed.",
        { { "error", failure.message() } });
  }
}

void ClientSession::Private::Linger(const std::shared_ptr<ClientSession>& aSelf)
{
  mPhase = Phase::Closing;
  error_code failure;
  mSocket.shutdown(asio::ip::tcp::socket::shutdown_send, failure);
  if (failure) {
    Close();
    return;
  }
  ArmTimer(aSelf, kLingerTimeout);
  mBuffer.clear();
  if (!mIsRequestIncomplete) {
    AwaitClose(aSelf);
    return;
  }
  Discard(aSelf, std::make_shared<DiscardBuffer>());
}

/// Reads the rest of a refused request. A read of the request itself may not
/// have ended yet, so its buffer is not used.
void ClientSession::Private::Discard(
  const std::shared_ptr<ClientSession>& aSelf,
  const std::shared_ptr<DiscardBuffer>& aBuffer)
{
  mSocket.async_read_some(
    asio::buffer(*aBuffer),
    [aSelf, aBuffer](const error_code& aError, std::size_t) {
      if (aError) {
        aSelf->mPrivate->Close();
      } else if (aSelf->mPrivate->mPhase == Phase::Closing) {
        aSelf->mPrivate->Discard(aSelf, aBuffer);
      }
    });
}

bool ClientSession::Private::MayBeginResponse()
{
  if (mPhase != Phase::Responding) {
    return false;
  }
  if (!mIsResponseQueued && !mHasBegunStream) {
    return true;
  }
  Log(LogLevel::Error,
      "session",
      "A second response to one request is not sent.",
      { { "first", mIsResponseQueued ? "complete" : "broken off" } });
  if (mIsResponseQueued) {
    mClosesAfterResponse = true;
  } else {
    Close();
  }
  return false;
}

/// Whether events or the end of a stream may be written. If the stream has not
/// begun or has ended, they belong to no response.
bool ClientSession::Private::IsStreamOpen() const
{
  if (mPhase != Phase::Responding) {
    return false;
  }
  const bool isOpen = mHasBegunStream && !mIsResponseQueued;
  if (!isOpen) {
    Log(LogLevel::Error,
        "session",
        "Bytes outside of a response are not sent.",
        { { "after", mIsResponseQueued ? "its end" : "no head" } });
  }
  return isOpen;
}

/// Sets the header fields that concern the connection. Returns whether the
/// response may have a body.
bool ClientSession::Private::PrepareHead(ResponseHead& aHead)
{
  mClosesAfterResponse = mClosesAfterResponse || mHooks->mIsDraining();
  aHead.version(11);
  aHead.erase(http::field::connection);
  if (mClosesAfterResponse) {
    aHead.set(http::field::connection, "close");
  }
  const bool isEmpty = aHead.result() == http::status::no_content ||
                       aHead.result() == http::status::not_modified;
  return !isEmpty && mRequest.method() != http::verb::head;
}

ClientSession::ClientSession(std::unique_ptr<Private> aPrivate)
  : mPrivate(std::move(aPrivate))
{
}

ClientSession::~ClientSession() = default;

const ClientSession::Request& ClientSession::OpenRequest() const
{
  return mPrivate->mRequest;
}

const std::shared_ptr<const std::string>& ClientSession::OpenBody() const
{
  return mPrivate->mBody;
}

void ClientSession::OnDisconnect(std::function<void()> aHandler)
{
  mPrivate->mOnDisconnect = std::move(aHandler);
}

void ClientSession::OnDrained(std::function<void()> aHandler)
{
  mPrivate->mOnDrained = std::move(aHandler);
}

void ClientSession::Send(ResponseHead aHead, std::string aBody)
{
  Send(std::move(aHead), std::make_shared<const std::string>(std::move(aBody)));
}

void ClientSession::Send(ResponseHead aHead,
                         std::shared_ptr<const std::string> aBody)
{
  if (!mPrivate->MayBeginResponse()) {
    return;
  }
  aHead.erase(http::field::transfer_encoding);
  const bool hasBody = mPrivate->PrepareHead(aHead);
  if (hasBody) {
    aHead.set(http::field::content_length, std::to_string(aBody->size()));
  }
  mPrivate->mIsResponseQueued = true;
  mPrivate->mBody = Private::NoBody();
  mPrivate->WatchPeer(shared_from_this());
  const bool isCopied = hasBody && aBody->size() <= kCopiedBodyBytes;
  mPrivate->Write(shared_from_this(),
                  Serialize(aHead) + (isCopied ? *aBody : std::string()));
  if (hasBody && !isCopied) {
    mPrivate->Write(shared_from_this(), std::move(aBody));
  }
}

void ClientSession::BeginStream(ResponseHead aHead)
{
  if (!mPrivate->MayBeginResponse()) {
    return;
  }
  mPrivate->mHasBegunStream = true;
  mPrivate->mIsChunked = mPrivate->mRequest.version() >= 11;
  mPrivate->mClosesAfterResponse =
    mPrivate->mClosesAfterResponse || !mPrivate->mIsChunked;
  aHead.erase(http::field::content_length);
  aHead.erase(http::field::transfer_encoding);
  mPrivate->PrepareHead(aHead);
  if (mPrivate->mIsChunked) {
    aHead.set(http::field::transfer_encoding, "chunked");
  } else {
    // NOTE: A close before the end would look like the end of the stream.
    mPrivate->SetResetsOnClose(true);
  }
  mPrivate->WatchPeer(shared_from_this());
  mPrivate->Write(shared_from_this(), Serialize(aHead));
}

void ClientSession::SendChunk(std::string_view aBytes)
{
  if (!mPrivate->IsStreamOpen() || aBytes.empty()) {
    return;
  }
  const asio::const_buffer bytes(aBytes.data(), aBytes.size());
  mPrivate->Write(shared_from_this(),
                  mPrivate->mIsChunked
                    ? boost::beast::buffers_to_string(http::make_chunk(bytes))
                    : std::string(aBytes));
}

void ClientSession::EndStream()
{
  if (!mPrivate->IsStreamOpen()) {
    return;
  }
  mPrivate->mIsResponseQueued = true;
  mPrivate->mBody = Private::NoBody();
  if (mPrivate->mIsChunked) {
    mPrivate->Write(shared_from_this(),
                    boost::beast::buffers_to_string(http::make_chunk_last()));
  } else if (!mPrivate->mIsWriting) {
    mPrivate->FinishResponse(shared_from_this());
  }
}

void ClientSession::Abort()
{
  mPrivate->Close();
}

std::size_t ClientSession::UnwrittenBytes() const
{
  return mPrivate->mUnwrittenBytes;
}

} // namespace Acaciavale::Relay
