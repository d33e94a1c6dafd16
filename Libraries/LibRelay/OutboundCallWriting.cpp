#include "OutboundCallPrivate.h"
#include "PeerProgress.h"

#include <Acaciavale/LibCore/Log.h>

#include <boost/asio/write.hpp>

/// The part of a call that sends the request.
namespace Acaciavale::Relay {

namespace {

/// Maximum number of bytes that are offered to the operating system at once.
constexpr std::size_t kMaximumWriteBytes = 64U << 10;
constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(250);

} // namespace

bool OutboundCall::Private::IsSending()
{
  return mSocket.is_open() &&
         (mIsWriting ||
          (mMayPeerPause && UnacknowledgedBytes(mSocket.native_handle()) > 0));
}

void OutboundCall::Private::Write(const std::shared_ptr<OutboundCall>& aSelf)
{
  mWasWritten = true;
  mIsWriting = true;
  const std::array<asio::const_buffer, 2> buffers{
    asio::buffer(mHeadText), mBody ? asio::buffer(*mBody) : asio::const_buffer()
  };
  // NOTE: An endpoint may respond before it has read the body, so reading
  //       starts at once. A failed write leads to an error of the read, or to
  //       the end of what can be read.
  asio::async_write(
    mSocket,
    buffers,
    [aSelf](const error_code& aError, std::size_t) {
      aSelf->mPrivate->mTimeWithoutProgress = {};
      return aError ? 0 : kMaximumWriteBytes;
    },
    [aSelf](const error_code& aError, std::size_t) {
      Private& call = *aSelf->mPrivate;
      call.mIsWriting = false;
      call.mBody.reset();
      // NOTE: A broken pipe means that the peer had ended its side before, so
      //       that what it sent is complete.
      if (aError != asio::error::broken_pipe) {
        call.mWriteFailure = aError;
      }
      if (!call.mIsEnded || !call.mSocket.is_open()) {
        return;
      }
      if (aError) {
        call.Close(aSelf);
      } else {
        call.CheckPeer(aSelf);
      }
    });
  if (mMayPeerPause) {
    WatchPeer(aSelf);
  }
  ReadHead(aSelf);
}

/// Sends the rest of the request behind a complete response, and closes the
/// connection when the peer has taken it. Data that was not read would turn the
/// close into a reset, so input is read meanwhile.
void OutboundCall::Private::FinishSending(
  const std::shared_ptr<OutboundCall>& aSelf)
{
  mTimeWithoutProgress = {};
  DiscardInput(aSelf);
  WatchPeer(aSelf);
}

void OutboundCall::Private::DiscardInput(
  const std::shared_ptr<OutboundCall>& aSelf)
{
  mSocket.async_read_some(asio::buffer(mReadBuffer),
                          [aSelf](const error_code& aError, std::size_t) {
                            Private& call = *aSelf->mPrivate;
                            if (!call.mSocket.is_open()) {
                              return;
                            }
                            if (!aError) {
                              call.DiscardInput(aSelf);
                            } else if (aError != asio::error::eof) {
                              call.Close(aSelf);
                            }
                          });
}

void OutboundCall::Private::WatchPeer(
  const std::shared_ptr<OutboundCall>& aSelf)
{
  mTimer.Start(kPeerCheckInterval, [aSelf] {
    aSelf->mPrivate->mTimeWithoutProgress += kPeerCheckInterval;
    aSelf->mPrivate->CheckPeer(aSelf);
  });
}

/// Checks whether the peer is reachable and, behind a complete response, takes
/// the rest of the request.
void OutboundCall::Private::CheckPeer(
  const std::shared_ptr<OutboundCall>& aSelf)
{
  const int handle = mSocket.native_handle();
  const std::size_t unacknowledged = UnacknowledgedBytes(handle);
  if (!mIsWriting && unacknowledged == 0) {
    if (mIsEnded) {
      Close(aSelf);
    }
    return;
  }
  // NOTE: Intervals are counted, not the time: a VM that stood still has not
  //       seen what the peer did meanwhile.
  if (unacknowledged != mUnacknowledgedBytes) {
    mTimeWithoutProgress = {};
  }
  mUnacknowledgedBytes = unacknowledged;
  const auto progress = ReadPeerProgress(handle);
  const bool isSilent = progress && IsSilent(*progress);
  const bool isStalled = mIsEnded && mTimeWithoutProgress >= mStallTimeout;
  if (!isSilent && !isStalled) {
    WatchPeer(aSelf);
    return;
  }
  Log(LogLevel::Info,
      "relay",
      "An endpoint does not take the rest of a request.",
      { { "address", mAddress },
        { "answered", mIsEnded ? "true" : "false" },
        { "reason", isSilent ? "unreachable" : "not reading" } });
  if (mIsEnded) {
    Close(aSelf);
  } else {
    End(aSelf,
        mHasHead ? CallResult::Truncated : CallResult::NoResponse,
        asio::error::timed_out);
  }
}

} // namespace Acaciavale::Relay
