#include "HeadCheck.h"
#include "OutboundCallPrivate.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <limits>
#include <sstream>

namespace Acaciavale::Relay {

namespace {

/// Maximum number of interim responses before the response.
constexpr int kMaximumInterimResponses = 16;

/// Whether another response to the same request follows. After a change of
/// protocols, which no caller asks for, none does.
bool IsInterim(const ResponseHead& aHead)
{
  return http::to_status_class(aHead.result_int()) ==
           http::status_class::informational &&
         aHead.result() != http::status::switching_protocols;
}

} // namespace

std::string_view Describe(CallResult aResult)
{
  switch (aResult) {
    case CallResult::Complete:
      return "complete";
    case CallResult::NotConnected:
      return "not connected";
    case CallResult::NoResponse:
      return "no answer";
    case CallResult::InvalidHttp:
      return "not HTTP";
    case CallResult::Truncated:
      return "broken off";
  }
  return "unknown";
}

bool IsBroken(CallResult aResult)
{
  return aResult == CallResult::InvalidHttp || aResult == CallResult::Truncated;
}

std::string BreakReason(const OutboundCall& aCall)
{
  return aCall.Failure() ? aCall.Failure().message() : "unknown";
}

std::string OutboundCall::Private::Serialize(const RequestHead& aHead)
{
  std::ostringstream text;
  text << aHead;
  return text.str();
}

void OutboundCall::Private::ResetParser()
{
  mParser.emplace(kMaximumHeadBytes);
  mParser->LimitMemory(kMaximumParsedHeadBytes);
  // NOTE: Without a limit (none), Beast 1.74 applies a limit of 0 to a body
  //       with a Content-Length.
  mParser->body_limit(std::numeric_limits<std::uint64_t>::max());
  if (mIsHeadRequest) {
    mParser->skip(true);
  }
}

void OutboundCall::Private::Close(const std::shared_ptr<OutboundCall>& aSelf)
{
  mIsEnded = true;
  mTimer.Cancel();
  error_code ignored; // NOTE: The connection is discarded in any case.
  mSocket.close(ignored);
  // NOTE: A handler that uses what is freed may be running. If a read is under
  //       way, its handler frees it.
  asio::post(mSocket.get_executor(), [aSelf] {
    aSelf->mPrivate->mHandlers = {};
    aSelf->mPrivate->ReleaseInput();
  });
}

void OutboundCall::Private::ReleaseInput()
{
  if (!mIsEnded || mIsReading) {
    return;
  }
  mParser.reset();
  mBuffer.clear();
  mBuffer.shrink_to_fit();
}

void OutboundCall::Private::End(const std::shared_ptr<OutboundCall>& aSelf,
                                CallResult aResult,
                                const error_code& aFailure)
{
  if (mIsEnded) {
    return;
  }
  mIsEnded = true;
  mFailure = aFailure;
  mTimer.Cancel();
  // NOTE: A peer that answers before it has read the request may read on.
  if (aResult == CallResult::Complete && IsSending()) {
    FinishSending(aSelf);
  } else {
    Close(aSelf);
  }
  const CallHandlers handlers = std::move(mHandlers);
  mHandlers = {};
  handlers.mOnEnd(aResult);
}

void OutboundCall::Private::Connect(const std::shared_ptr<OutboundCall>& aSelf)
{
  const auto endpoint = ParseAddress(mAddress);
  error_code failure;
  if (endpoint) {
    mSocket.open(endpoint->protocol(), failure);
  }
  if (!endpoint || failure) {
    asio::post(mSocket.get_executor(), [aSelf] {
      aSelf->mPrivate->End(aSelf, CallResult::NotConnected);
    });
    return;
  }
  // NOTE: A peer that pauses while it reads a large body would exceed the time
  //       limit for unreachable ones, so those are found by CheckPeer.
  if (mMayPeerPause) {
    SetPausablePeerSocketOptions(mSocket);
  } else {
    SetSocketOptions(mSocket);
  }
  mTimer.StartTimeout(
    mConnectTimeout,
    [aSelf] { aSelf->mPrivate->End(aSelf, CallResult::NotConnected); },
    mConnectTimeout);
  const auto onConnect = [aSelf](const error_code& aError) {
    Private& call = *aSelf->mPrivate;
    if (call.mIsEnded) {
      return;
    }
    if (aError) {
      call.End(aSelf, CallResult::NotConnected);
      return;
    }
    call.mTimer.Cancel();
    call.Write(aSelf);
  };
  mSocket.async_connect(*endpoint, Guard(aSelf, onConnect));
}

void OutboundCall::Private::ReadHead(const std::shared_ptr<OutboundCall>& aSelf)
{
  mIsReading = true;
  http::async_read_header(
    mSocket,
    mBuffer,
    *mParser,
    Guard(aSelf, [aSelf](const error_code& aError, std::size_t) {
      Private& call = *aSelf->mPrivate;
      call.mIsReading = false;
      if (call.mIsEnded) {
        call.ReleaseInput();
        return;
      }
      if (aError) {
        const bool isHttp =
          aError.category() !=
            http::make_error_code(http::error::end_of_stream).category() ||
          aError == http::error::end_of_stream ||
          aError == http::error::partial_message;
        call.End(aSelf,
                 isHttp ? CallResult::NoResponse : CallResult::InvalidHttp,
                 aError);
        return;
      }
      if (IsInterim(call.mParser->get().base())) {
        call.mInterimResponses += 1;
        if (call.mInterimResponses > kMaximumInterimResponses) {
          call.End(aSelf,
                   CallResult::InvalidHttp,
                   http::make_error_code(http::error::header_limit));
          return;
        }
        call.ResetParser();
        call.ReadHead(aSelf);
        return;
      }
      const error_code failure = CheckResponseHead(call.mParser->get().base());
      if (failure) {
        call.End(aSelf, CallResult::InvalidHttp, failure);
        return;
      }
      call.mHasHead = true;
      call.mHeadBytes = call.mParser->ParsedBytes();
      call.mHandlers.mOnHead(std::move(call.mParser->get().base()));
      if (call.mIsEnded) {
        return;
      }
      if (call.mParser->is_done()) {
        call.End(aSelf, CallResult::Complete);
        return;
      }
      call.ReadBody(aSelf);
    }));
}

void OutboundCall::Private::ReadBody(const std::shared_ptr<OutboundCall>& aSelf)
{
  if (mIsReading || mIsPaused || mIsEnded) {
    return;
  }
  mIsReading = true;
  mParser->get().body().data = mReadBuffer.data();
  mParser->get().body().size = mReadBuffer.size();
  mParser->get().body().more = true;
  http::async_read_some(
    mSocket,
    mBuffer,
    *mParser,
    Guard(aSelf, [aSelf](const error_code& aError, std::size_t) {
      aSelf->mPrivate->mIsReading = false;
      aSelf->mPrivate->OnBodyRead(aSelf, aError);
    }));
}

void OutboundCall::Private::OnBodyRead(
  const std::shared_ptr<OutboundCall>& aSelf,
  const error_code& aError)
{
  if (mIsEnded) {
    ReleaseInput();
    return;
  }
  const std::size_t bytesRead = mReadBuffer.size() - mParser->get().body().size;
  if (bytesRead > 0) {
    mHandlers.mOnBody(std::string_view(mReadBuffer.data(), bytesRead));
    if (mIsEnded) {
      return;
    }
  }
  if (aError && aError != http::error::need_buffer) {
    End(aSelf, CallResult::Truncated, aError);
    return;
  }
  if (mParser->is_done()) {
    // NOTE: The operating system reports the loss of a connection once. If the
    //       write has got the error, the read gets the end of the stream.
    const bool isCutOff = mParser->need_eof() && mWriteFailure;
    End(aSelf,
        isCutOff ? CallResult::Truncated : CallResult::Complete,
        isCutOff ? mWriteFailure : error_code());
    return;
  }
  ReadBody(aSelf);
}

OutboundCall::OutboundCall(std::unique_ptr<Private> aPrivate)
  : mPrivate(std::move(aPrivate))
{
}

OutboundCall::~OutboundCall() = default;

std::shared_ptr<OutboundCall> OutboundCall::Start(asio::io_context& aLoop,
                                                  CallOptions aOptions,
                                                  CallHandlers aHandlers)
{
  std::shared_ptr<OutboundCall> call(new OutboundCall(std::make_unique<Private>(
    aLoop, std::move(aOptions), std::move(aHandlers))));
  call->mPrivate->Connect(call);
  return call;
}

void OutboundCall::Cancel()
{
  // NOTE: Also behind a complete response, while the rest of the request is
  //       sent.
  if (mPrivate->mSocket.is_open() || !mPrivate->mIsEnded) {
    mPrivate->Close(shared_from_this());
  }
}

void OutboundCall::SetPaused(bool aIsPaused)
{
  mPrivate->mIsPaused = aIsPaused;
  if (!aIsPaused && mPrivate->mHasHead && !mPrivate->mIsEnded) {
    mPrivate->ReadBody(shared_from_this());
  }
}

bool OutboundCall::IsPaused() const
{
  return mPrivate->mIsPaused;
}

std::string_view OutboundCall::ExcessBytes() const
{
  const auto bytes = mPrivate->mBuffer.cdata();
  return { static_cast<const char*>(bytes.data()), bytes.size() };
}

std::size_t OutboundCall::HeadBytes() const
{
  return mPrivate->mHeadBytes;
}

const error_code& OutboundCall::Failure() const
{
  return mPrivate->mFailure;
}

bool OutboundCall::WasWritten() const
{
  return mPrivate->mWasWritten;
}

bool OutboundCall::IsSending() const
{
  return mPrivate->IsSending();
}

} // namespace Acaciavale::Relay
