#pragma once

// NOTE: Boost 1.74 uses std::exchange in its awaitable without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// An HTTP request and the operations to answer it or to abort its connection.
namespace Acaciavale::StandIns {

using Task = boost::asio::awaitable<void>;
using Milliseconds = std::chrono::milliseconds;

/// A parsed HTTP request.
struct Request
{
  std::string mMethod;
  std::string mPath; ///< Decoded path without the query.
  std::map<std::string, std::string> mQuery;   ///< Decoded parameters.
  std::map<std::string, std::string> mHeaders; ///< Keyed by lower-case name.
  std::string mBody;
};

/// Returns the value of a name, or the default if the name is missing.
std::string ValueOr(const std::map<std::string, std::string>& aValues,
                    const std::string& aName,
                    const std::string& aDefault);

/// One request on one connection. All members run on the strand of the
/// connection; only Wake may be called from other threads.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const Request& IncomingRequest() const = 0;

  /// Sends a complete JSON response.
  virtual Task Reply(int aStatus, std::string aBody) = 0;
  /// Sends a complete JSON response with a Retry-After header.
  virtual Task ReplyWithRetryAfter(int aStatus,
                                   std::string aBody,
                                   int aRetryAfterSeconds) = 0;

  /// Starts a response of server-sent events; SendEvent and EndEvents follow.
  virtual Task BeginEvents() = 0;
  virtual Task SendEvent(std::string aData) = 0;
  virtual Task EndEvents() = 0;

  /// Sleeps; returns early if the client disconnects.
  virtual Task Sleep(std::chrono::nanoseconds aDuration) = 0;
  /// Waits until Wake is called, the time has passed or the client disconnects.
  virtual Task WaitForWake(std::chrono::nanoseconds aDuration) = 0;
  virtual void Wake() = 0;

  /// Whether the client has closed its connection.
  virtual bool IsClientDisconnected() const = 0;
  /// Closes the connection without sending anything more.
  virtual void Abort() = 0;
};

/// Handles one exchange.
using Handler = std::function<Task(Exchange& aExchange)>;

} // namespace Acaciavale::StandIns
