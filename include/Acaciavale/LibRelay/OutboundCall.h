#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRelay/CallerRequest.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

/// One HTTP request on a connection of its own.
///
/// NOTE: No connection is kept: what an endpoint writes after an answer, or
///       late, can then never be taken for another answer, a connection that
///       died while idle costs no request, and nothing is repeated by a
///       library. docs/PLATFORM.md weighs what a connection costs.
namespace Acaciavale::Relay {

enum class CallResult
{
  Complete,
  NotConnected, ///< Nothing was written.
  NoResponse,   ///< Written, and broken off before the head of an answer.
  InvalidHttp,  ///< What came back is no HTTP answer.
  Truncated,    ///< Within the body.
};

std::string_view Describe(CallResult aEnd);

struct CallHandlers
{
  std::function<void(const ResponseHead&)> mOnHead;
  std::function<void(std::string_view)> mOnBody;
  std::function<void(CallResult)> mOnEnd; ///< Called once, and last.
};

struct CallOptions
{
  std::string mAddress; ///< IP number and port.
  RequestHead mHead;
  std::string mBody;
  Duration mConnectTimeout{};

  CallOptions() = default;
};

class OutboundCall : public std::enable_shared_from_this<OutboundCall>
{
public:
  static std::shared_ptr<OutboundCall> Start(boost::asio::io_context& aLoop,
                                             CallOptions aOptions,
                                             CallHandlers aHandlers);
  ~OutboundCall();
  OutboundCall(const OutboundCall&) = delete;
  OutboundCall& operator=(const OutboundCall&) = delete;

  /// Closes the connection; no handler is called afterwards.
  void Cancel();

  /// Stops and resumes reading, for a caller who reads slowly.
  void SetPaused(bool aIsPaused);

  /// Whether any byte may have reached the other side.
  bool WasWritten() const;

private:
  struct Private;
  explicit OutboundCall(std::unique_ptr<Private> aPrivate);
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale::Relay
