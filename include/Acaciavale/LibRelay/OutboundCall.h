#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>

#include <boost/asio/io_context.hpp>
#include <boost/system/error_code.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// One HTTP request on its own connection.
///
/// NOTE: Connections are not reused. Late or excess bytes from an endpoint can
///       thus never be taken for the response to another request, a connection
///       that was lost while idle fails no request, and no library repeats a
///       request. docs/PLATFORM.md discusses the cost of a connection.
///
/// NOTE: A peer may respond before it has read the request. The rest of the
///       request is then sent after the end of the call, on a connection that
///       the call keeps for that time.
namespace Acaciavale::Relay {

enum class CallResult
{
  Complete,     ///< The whole response was received.
  NotConnected, ///< No connection was established; nothing was written.
  NoResponse,  ///< The connection was lost before a response head was received.
  InvalidHttp, ///< The received bytes are not a valid HTTP response.
  Truncated,   ///< The connection was lost within the body.
};

std::string_view Describe(CallResult aResult);

/// Whether something of a response was received that is not a whole, valid one.
bool IsBroken(CallResult aResult);

struct CallHandlers
{
  /// Handler of the head; interim responses are skipped.
  std::function<void(ResponseHead)> mOnHead;
  std::function<void(std::string_view)> mOnBody;
  /// Handler of the end; called once and last.
  std::function<void(CallResult)> mOnEnd;
};

struct CallOptions
{
  std::string mAddress; ///< IP address and port.
  RequestHead mHead;
  std::shared_ptr<const std::string> mBody; ///< Null: empty.
  Duration mConnectTimeout{};
  /// How long the peer, after a complete response, may take nothing of the rest
  /// of the request.
  Duration mStallTimeout = std::chrono::seconds(15);

  CallOptions() = default;
};

class OutboundCall;

/// Why the response to an ended call is broken, for logs and metrics.
std::string BreakReason(const OutboundCall& aCall);

class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
  static std::shared_ptr<OutboundCall> Start(boost::asio::io_context& aLoop,
                                             CallOptions aOptions,
                                             CallHandlers aHandlers);
  ~OutboundCall();
  OutboundCall(const OutboundCall&) = delete;
  OutboundCall& operator=(const OutboundCall&) = delete;

  /// Closes the connection; no handler is called afterwards, and no rest of the
  /// request is sent.
  void Cancel();

  /// Stops or resumes reading the body, for backpressure.
  void SetPaused(bool aIsPaused);
  bool IsPaused() const;

  /// Bytes that were received with the end of the response and are none of it.
  /// They are kept while the handler of the end runs.
  std::string_view ExcessBytes() const;

  /// Memory that the head of the response needs.
  std::size_t HeadBytes() const;

  /// Why the response is not complete or not valid, if that is known; set when
  /// the handler of the end is called.
  const boost::system::error_code& Failure() const;

  /// Whether any byte may have reached the peer.
  bool WasWritten() const;

  /// Whether a part of the request has not reached the peer. Also after the end
  /// of the call.
  bool IsSending() const;

private:
  struct Private;
  explicit OutboundCall(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale::Relay
