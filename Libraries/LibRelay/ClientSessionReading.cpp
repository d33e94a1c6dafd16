#include "ClientSessionPrivate.h"
#include "HeadCheck.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <boost/beast/http/read.hpp>

/// The part of a session that reads requests.
namespace Acaciavale::Relay {

namespace {

/// Maximum number of received bytes beyond a request's head that are not parsed
/// yet.
constexpr std::size_t kMaximumUnparsedBytes = 64U << 10;

/// Size of a body from which the buffer for received bytes grows with it.
constexpr std::size_t kLargeBodyBytes = 16U << 10;

/// Memory for the head of a request, and for received bytes that are not
/// parsed, above which it counts against the budget.
constexpr std::size_t kSmallHeadBytes = 8U << 10;

/// Capacity of the buffer for received bytes that a connection keeps while it
/// is idle.
constexpr std::size_t kIdleBufferBytes = 4U << 10;

/// Seconds until the caller of a request without room should retry, about the
/// time in which an endpoint reads a large body.
constexpr std::string_view kRetryAfterSeconds = "1";

} // namespace

void ClientSession::Private::WaitForRequest(
  const std::shared_ptr<ClientSession>& aSelf)
{
  mPhase = Phase::Idle;
  if (mBuffer.size() > 0) {
    ReadRequest(aSelf);
    return;
  }
  if (mBuffer.capacity() > kIdleBufferBytes) {
    mBuffer.clear();
    mBuffer.shrink_to_fit();
  }
  ArmTimer(aSelf, mHooks->mBounds().mIdleTimeout);
  mSocket.async_wait(asio::ip::tcp::socket::wait_read,
                     Guard(aSelf, [aSelf](const error_code& aError) {
                       Private& session = *aSelf->mPrivate;
                       if (session.mPhase != Phase::Idle) {
                         return;
                       }
                       if (aError) {
                         session.Close();
                         return;
                       }
                       session.ReadRequest(aSelf);
                     }));
}

std::function<void(const error_code&, std::size_t)>
ClientSession::Private::AfterRead(const std::shared_ptr<ClientSession>& aSelf,
                                  ReadStep aNext)
{
  return Guard(aSelf, [aSelf, aNext](const error_code& aError, std::size_t) {
    Private& session = *aSelf->mPrivate;
    if (session.mPhase != Phase::Reading) {
      return;
    }
    if (aError == http::error::buffer_overflow && session.GrowBuffer()) {
      http::async_read_some(session.mSocket,
                            session.mBuffer,
                            *session.mParser,
                            session.AfterRead(aSelf, aNext));
      return;
    }
    if (aError) {
      session.Reject(aSelf, aError);
      return;
    }
    (session.*aNext)(aSelf);
  });
}

void ClientSession::Private::ReadRequest(
  const std::shared_ptr<ClientSession>& aSelf)
{
  const RequestBounds bounds = mHooks->mBounds();
  mPhase = Phase::Reading;
  mParser = std::make_unique<BoundedParser<true, http::string_body>>(
    bounds.mMaximumHeaderBytes);
  mParser->body_limit(bounds.mMaximumBodyBytes);
  mParser->LimitMemory(kSmallHeadBytes, [this](std::size_t aBytes) {
    return HoldHead(aBytes, mBuffer.capacity());
  });
  // NOTE: A chunk header without end must not fill the memory.
  mBuffer.max_size(std::max(kSmallHeadBytes, mBuffer.size()));
  ArmTimer(aSelf, bounds.mHeaderTimeout);
  ReadMoreOfHead(aSelf);
}

void ClientSession::Private::ReadMoreOfHead(
  const std::shared_ptr<ClientSession>& aSelf)
{
  http::async_read_some(
    mSocket, mBuffer, *mParser, AfterRead(aSelf, &Private::OnHeadRead));
}

void ClientSession::Private::OnHeadRead(
  const std::shared_ptr<ClientSession>& aSelf)
{
  if (!mParser->is_header_done()) {
    ReadMoreOfHead(aSelf);
    return;
  }
  // NOTE: The library takes an unknown coding for no body, and the body for the
  //       next request.
  switch (TransferCodingOf(mParser->get().base())) {
    case TransferCoding::None:
    case TransferCoding::Chunked:
      ReadRequestBody(aSelf);
      break;
    case TransferCoding::Unsupported:
      RefuseUnreadable(aSelf,
                       http::status::not_implemented,
                       http::error::bad_transfer_encoding);
      break;
    case TransferCoding::Invalid:
      RefuseUnreadable(
        aSelf, http::status::bad_request, http::error::bad_transfer_encoding);
      break;
  }
}

bool ClientSession::Private::HoldHead(std::size_t aParsedBytes,
                                      std::size_t aBufferBytes)
{
  return !mHooks->mHoldBody || mHooks->mHoldBody(mParser->get().base(),
                                                 mHeadHold,
                                                 aParsedBytes + aBufferBytes);
}

std::size_t ClientSession::Private::MaximumBufferBytes() const
{
  return mHooks->mBounds().mMaximumHeaderBytes + kMaximumUnparsedBytes;
}

bool ClientSession::Private::GrowBuffer()
{
  const std::size_t grown =
    std::min(2 * mBuffer.max_size(), MaximumBufferBytes());
  if (mBuffer.max_size() >= MaximumBufferBytes() ||
      !HoldHead(mParser->ParsedBytes(), grown)) {
    return false;
  }
  mBuffer.max_size(grown);
  return true;
}

void ClientSession::Private::RefuseForRoom(
  const std::shared_ptr<ClientSession>& aSelf)
{
  RefuseIncomplete(aSelf, http::status::service_unavailable);
  mParser.reset();
  mBodyHold.Release();
  mHeadHold.Release();
}

void ClientSession::Private::ReadRequestBody(
  const std::shared_ptr<ClientSession>& aSelf)
{
  if (mParser->is_done()) {
    HandleRequest(aSelf);
    return;
  }
  if (!HoldBody(aSelf)) {
    return;
  }
  if (mParser->get()[http::field::expect] == "100-continue") {
    Write(aSelf, std::string("HTTP/1.1 100 Continue\r\n\r\n"));
  }
  ArmTimer(aSelf, mHooks->mBounds().mIdleTimeout);
  mParser->eager(true);
  ReadMoreOfBody(aSelf);
}

void ClientSession::Private::ReadMoreOfBody(
  const std::shared_ptr<ClientSession>& aSelf)
{
  http::async_read_some(
    mSocket, mBuffer, *mParser, AfterRead(aSelf, &Private::OnBodyRead));
}

void ClientSession::Private::OnBodyRead(
  const std::shared_ptr<ClientSession>& aSelf)
{
  if (mParser->is_done()) {
    HandleRequest(aSelf);
  } else if (HoldBody(aSelf)) {
    ReadMoreOfBody(aSelf);
  }
}

bool ClientSession::Private::HoldBody(
  const std::shared_ptr<ClientSession>& aSelf)
{
  const auto length = mParser->content_length();
  std::size_t bytes = length ? static_cast<std::size_t>(*length)
                             : mParser->get().body().capacity();
  if (bytes > kLargeBodyBytes) {
    bytes += kMaximumUnparsedBytes;
  }
  const bool isHeld =
    !mHooks->mHoldBody ||
    mHooks->mHoldBody(mParser->get().base(), mBodyHold, bytes);
  if (!isHeld) {
    RefuseForRoom(aSelf);
  } else if (bytes > kLargeBodyBytes) {
    mBuffer.max_size(std::max(mBuffer.max_size(), kMaximumUnparsedBytes));
  }
  return isHeld;
}

const std::shared_ptr<const std::string>& ClientSession::Private::NoBody()
{
  static const auto sNone = std::make_shared<const std::string>();
  return sNone;
}

void ClientSession::Private::HandleRequest(
  const std::shared_ptr<ClientSession>& aSelf)
{
  error_code ignored; // NOTE: mTimerGeneration invalidates a queued handler.
  mTimer.cancel(ignored);
  ++mTimerGeneration;
  mRequest = mParser->release();
  mParser.reset();
  if (!mRequest.body().empty()) {
    mBody = ShareText(std::move(mRequest.body()), std::move(mBodyHold));
  }
  mBodyHold.Release();
  mPhase = Phase::Responding;
  mIsResponseQueued = false;
  mHasBegunStream = false;
  mClosesAfterResponse = !mRequest.keep_alive();
  WatchForDisconnect(aSelf);
  mHooks->mOnRequest(aSelf);
}

void ClientSession::Private::Reject(const std::shared_ptr<ClientSession>& aSelf,
                                    const error_code& aError)
{
  const bool isWithoutRoom =
    mParser->IsMemoryExceeded() || (aError == http::error::buffer_overflow &&
                                    mBuffer.max_size() < MaximumBufferBytes());
  if (isWithoutRoom) {
    RefuseForRoom(aSelf);
    return;
  }
  http::status status = http::status::bad_request;
  const bool isHeadTooLarge = aError == http::error::header_limit ||
                              aError == http::error::buffer_overflow;
  if (isHeadTooLarge) {
    status = http::status::request_header_fields_too_large;
  } else if (aError == http::error::body_limit) {
    status = http::status::payload_too_large;
  } else if (aError.category() !=
               http::make_error_code(http::error::bad_version).category() ||
             aError == http::error::end_of_stream ||
             aError == http::error::partial_message) {
    Close();
    return;
  }
  RefuseUnreadable(aSelf, status, aError);
}

void ClientSession::Private::RefuseUnreadable(
  const std::shared_ptr<ClientSession>& aSelf,
  http::status aStatus,
  const error_code& aError)
{
  Log(LogLevel::Info,
      "session",
      "Cannot read the request of a caller.",
      { { "error", aError.message() },
        { "refused-field-bytes",
          std::to_string(mParser->RefusedFieldBytes()) } });
  RefuseIncomplete(aSelf, aStatus);
}

void ClientSession::Private::RefuseIncomplete(
  const std::shared_ptr<ClientSession>& aSelf,
  http::status aStatus)
{
  error_code ignored; // NOTE: Cancels a read of the request.
  mSocket.cancel(ignored);
  mClosesAfterResponse = true;
  mIsRequestIncomplete = true;
  mPhase = Phase::Responding;
  ResponseHead head;
  head.result(aStatus);
  if (aStatus == http::status::service_unavailable) {
    head.set(http::field::retry_after,
             { kRetryAfterSeconds.data(), kRetryAfterSeconds.size() });
  }
  aSelf->Send(std::move(head), std::string());
}

} // namespace Acaciavale::Relay
