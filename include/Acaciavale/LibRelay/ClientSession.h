#pragma once

#include <Acaciavale/LibRelay/ByteBudget.h>
#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/RelaySettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// The HTTP server side: connections of callers, each with one request at a
/// time.
namespace Acaciavale::Relay {

/// One connection of a caller and the request that is open on it. The handler
/// of a request responds either with Send, or with BeginStream, SendChunk and
/// EndStream.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  /// The open request. Its body is empty; see OpenBody.
  const Request& OpenRequest() const;

  /// The body of the open request.
  const std::shared_ptr<const std::string>& OpenBody() const;

  /// Sets a handler that is called once if the caller disconnects while the
  /// request is open.
  void OnDisconnect(std::function<void()> aHandler);

  /// Sets a handler that is called each time the operating system has accepted
  /// all queued bytes.
  void OnDrained(std::function<void()> aHandler);

  /// Sends a complete response.
  void Send(ResponseHead aHead, std::string aBody);
  void Send(ResponseHead aHead, std::shared_ptr<const std::string> aBody);

  void BeginStream(ResponseHead aHead);
  void SendChunk(std::string_view aBytes);
  void EndStream();

  /// Closes the connection, so that the caller recognizes the response as
  /// incomplete.
  void Abort();

  /// Queued bytes that the operating system has not accepted yet.
  std::size_t UnwrittenBytes() const;

private:
  friend class Listener;
  struct Private;
  explicit ClientSession(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> mPrivate;
};

struct ListenerHooks
{
  std::function<void(std::shared_ptr<ClientSession>)> mOnRequest;
  std::function<RequestBounds()> mBounds;
  /// Whether to close each connection after its current response.
  std::function<bool()> mIsDraining;
  /// Grows the hold for the body of a request to the given bytes. Returns false
  /// if there is no room, and the request is refused. Empty: there always is.
  std::function<bool(const RequestHead&, ByteHold&, std::size_t)> mHoldBody{};
};

/// Accepts connections on one address and keeps their sessions. Its destructor
/// closes them all; no hook is called afterwards.
class Listener
{
public:
  /// Throws boost::system::system_error if the address is invalid or cannot be
  /// bound.
  Listener(boost::asio::io_context& aLoop,
           const std::string& aAddress,
           ListenerHooks aHooks);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// The bound IP address and port.
  std::string Address() const;

  /// Stops accepting connections.
  void Close();

  /// Closes the connections without an open request.
  void CloseIdle();

  /// Whether a request is open or a response is not completely sent.
  bool IsBusy() const;

  /// Refuses the requests that have not been read to their end.
  void RefuseUnread();

  /// Closes all connections, also those with an open request.
  void AbortAll();

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace Acaciavale::Relay
