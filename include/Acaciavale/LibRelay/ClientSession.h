#pragma once

#include <Acaciavale/LibRelay/CallerRequest.h>
#include <Acaciavale/LibRelay/RelaySettings.h>

#include <boost/asio/io_context.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// HTTP from callers: connections that carry one request at a time.
namespace Acaciavale::Relay {

/// One connection of a caller, and the request that is open on it. The handler
/// of a request answers it by Send, or by BeginStream and what follows it.
class ClientSession : public std::enable_shared_from_this<ClientSession>
{
public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  ~ClientSession();
  ClientSession(const ClientSession&) = delete;
  ClientSession& operator=(const ClientSession&) = delete;

  const Request& OpenRequest() const;

  /// Called once if the caller goes away while the request is open.
  void OnDisconnect(std::function<void()> aCall);

  /// Called each time that all written bytes are with the system.
  void OnDrained(std::function<void()> aCall);

  void Send(ResponseHead aHead, const std::string& aBody);

  void BeginStream(ResponseHead aHead);
  void SendChunk(std::string_view aBytes);
  void EndStream();

  /// Closes the connection, so that what was sent does not look complete.
  void Abort();

  /// Bytes that the caller has not taken yet.
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
  /// Whether to ask callers to come back on another connection.
  std::function<bool()> mIsDraining;
};

/// Accepts connections at one address.
class Listener
{
public:
  /// Throws boost::system::system_error if the address can't be had.
  Listener(boost::asio::io_context& aLoop,
           const std::string& aAddress,
           ListenerHooks aHooks);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  /// IP number and port, as bound.
  std::string Address() const;

  /// Accepts no more.
  void Close();

  /// Closes connections without an open request.
  void CloseIdle();

  /// Whether a request is open, or an answer not taken to its end.
  bool IsBusy() const;

  /// Breaks off all connections.
  void AbortAll();

private:
  struct Private;
  std::shared_ptr<Private> mPrivate;
};

} // namespace Acaciavale::Relay
