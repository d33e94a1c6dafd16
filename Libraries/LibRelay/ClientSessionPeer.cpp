#include "ClientSessionPrivate.h"
#include "PeerProgress.h"

#include <Acaciavale/LibCore/Log.h>

/// What a session makes of a caller that does not read, or closes.
namespace Acaciavale::Relay {

namespace {

constexpr Duration kPeerCheckInterval = std::chrono::milliseconds(500);

} // namespace

/// Checks, while a response is sent, whether the caller is still reachable, and
/// reads within the idle timeout.
void ClientSession::Private::WatchPeer(
  const std::shared_ptr<ClientSession>& aSelf)
{
  mTimer.expires_after(kPeerCheckInterval);
  const std::uint64_t generation = ++mTimerGeneration;
  mTimer.async_wait([aSelf, generation](const error_code& aError) {
    Private& session = *aSelf->mPrivate;
    const bool isOver = aError || session.mTimerGeneration != generation ||
                        session.mPhase != Phase::Responding;
    if (!isOver) {
      session.CheckPeer(aSelf);
    }
  });
}

void ClientSession::Private::CheckPeer(
  const std::shared_ptr<ClientSession>& aSelf)
{
  // NOTE: Intervals are counted, not the time: a VM that stood still has not
  //       seen what the caller did meanwhile.
  mTimeWithoutProgress += mIsWriting ? kPeerCheckInterval : Duration{};
  const auto progress = ReadPeerProgress(mSocket.native_handle());
  const bool isSilent = progress && IsSilent(*progress);
  if (isSilent || mTimeWithoutProgress >= mHooks->mBounds().mIdleTimeout) {
    Log(LogLevel::Info,
        "session",
        "A caller does not take its response.",
        { { "reason", isSilent ? "unreachable" : "not reading" } });
    HandleDisconnect();
    return;
  }
  WatchPeer(aSelf);
}

/// Waits for the caller's close. A request that crosses the close stays unread,
/// so that its caller may repeat it.
void ClientSession::Private::AwaitClose(
  const std::shared_ptr<ClientSession>& aSelf)
{
  error_code ignored; // NOTE: Cancels the wait of WatchForDisconnect.
  mSocket.cancel(ignored);
  mSocket.async_wait(
    asio::ip::tcp::socket::wait_read, [aSelf](const error_code& aError) {
      Private& session = *aSelf->mPrivate;
      error_code failure;
      const bool isClosed =
        aError || session.mSocket.available(failure) == 0 || failure;
      if (isClosed && session.mPhase == Phase::Closing) {
        session.Close();
      }
    });
}

} // namespace Acaciavale::Relay
