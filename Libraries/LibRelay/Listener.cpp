#include "ClientSessionPrivate.h"
#include "SocketOptions.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <set>
#include <sstream>

namespace Acaciavale::Relay {

namespace {

/// Delay before the next accept after an error, such as a lack of file
/// descriptors.
constexpr Duration kAcceptRetryDelay = std::chrono::milliseconds(50);
constexpr int kListenBacklog = 1024;

} // namespace

struct Listener::Private : public std::enable_shared_from_this<Private>
{
  Private(asio::io_context& aLoop, ListenerHooks aHooks)
    : mAcceptor(aLoop)
    , mTimer(aLoop)
    , mHooks(std::make_shared<ListenerHooks>(std::move(aHooks)))
  {
  }

  asio::ip::tcp::acceptor mAcceptor;
  asio::steady_timer mTimer;
  std::shared_ptr<ListenerHooks> mHooks;
  std::set<std::shared_ptr<ClientSession>> mSessions;

  void Accept();
  void StartSession(asio::ip::tcp::socket aSocket);
};

void Listener::Private::Accept()
{
  mAcceptor.async_accept(
    [self = shared_from_this()](const error_code& aError,
                                asio::ip::tcp::socket aSocket) {
      if (!self->mAcceptor.is_open()) {
        return;
      }
      if (!aError) {
        self->StartSession(std::move(aSocket));
        self->Accept();
        return;
      }
      Log(LogLevel::Warning,
          "listener",
          "Cannot accept a connection.",
          { { "error", aError.message() } });
      self->mTimer.expires_after(kAcceptRetryDelay);
      self->mTimer.async_wait([self](const error_code& aStopped) {
        if (!aStopped && self->mAcceptor.is_open()) {
          self->Accept();
        }
      });
    });
}

void Listener::Private::StartSession(asio::ip::tcp::socket aSocket)
{
  SetPausablePeerSocketOptions(aSocket);
  std::shared_ptr<ClientSession> session(new ClientSession(
    std::make_unique<ClientSession::Private>(std::move(aSocket))));
  session->mPrivate->mHooks = mHooks;
  session->mPrivate->mOnClosed = [self = weak_from_this(),
                                  weakSession = std::weak_ptr(session)] {
    const auto listener = self.lock();
    if (listener) {
      listener->mSessions.erase(weakSession.lock());
    }
  };
  mSessions.insert(session);
  session->mPrivate->WaitForRequest(session);
}

Listener::Listener(asio::io_context& aLoop,
                   const std::string& aAddress,
                   ListenerHooks aHooks)
  : mPrivate(std::make_shared<Private>(aLoop, std::move(aHooks)))
{
  const auto endpoint = ParseAddress(aAddress);
  if (!endpoint) {
    throw boost::system::system_error(
      make_error_code(boost::system::errc::invalid_argument), aAddress);
  }
  mPrivate->mAcceptor.open(endpoint->protocol());
  mPrivate->mAcceptor.set_option(asio::socket_base::reuse_address(true));
  mPrivate->mAcceptor.bind(*endpoint);
  mPrivate->mAcceptor.listen(kListenBacklog);
  mPrivate->Accept();
}

Listener::~Listener()
{
  Close();
  // NOTE: A session may outlive its listener, but must not call its hooks.
  AbortAll();
}

std::string Listener::Address() const
{
  std::ostringstream text;
  text << mPrivate->mAcceptor.local_endpoint();
  return text.str();
}

void Listener::Close()
{
  error_code ignored; // NOTE: No connection is accepted in any case.
  mPrivate->mTimer.cancel(ignored);
  mPrivate->mAcceptor.close(ignored);
}

void Listener::CloseIdle()
{
  const auto sessions = mPrivate->mSessions;
  for (const auto& session : sessions) {
    // NOTE: A session with a received but unread request is not idle.
    error_code failure;
    const bool isIdle =
      session->mPrivate->mPhase == ClientSession::Private::Phase::Idle &&
      session->mPrivate->mSocket.available(failure) == 0;
    if (isIdle) {
      session->mPrivate->Close();
    }
  }
}

bool Listener::IsBusy() const
{
  return std::any_of(mPrivate->mSessions.begin(),
                     mPrivate->mSessions.end(),
                     [](const auto& aSession) {
                       return aSession->mPrivate->mPhase !=
                              ClientSession::Private::Phase::Idle;
                     });
}

void Listener::RefuseUnread()
{
  const auto sessions = mPrivate->mSessions;
  for (const auto& session : sessions) {
    if (session->mPrivate->mPhase == ClientSession::Private::Phase::Reading) {
      session->mPrivate->RefuseIncomplete(session,
                                          http::status::service_unavailable);
    }
  }
}

void Listener::AbortAll()
{
  const auto sessions = mPrivate->mSessions;
  for (const auto& session : sessions) {
    session->Abort();
  }
}

} // namespace Acaciavale::Relay
