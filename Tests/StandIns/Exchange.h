#pragma once

// NOTE: Boost 1.74 uses std::exchange in its awaitable without including it.
#include <utility>

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <string_view>

/// One HTTP request and the ways to answer it, or to fail at answering it.
namespace Acaciavale::StandIns {

using Task = boost::asio::awaitable<void>;
using Milliseconds = std::chrono::milliseconds;

/// A request as a part of the platform sees it.
struct Request
{
  std::string mMethod;
  std::string mPath;                           ///< Without the query.
  std::map<std::string, std::string> mQuery;   ///< Decoded.
  std::map<std::string, std::string> mHeaders; ///< Names in lower case.
  std::string mBody;
};

/// The value under a name, or the given one where there is none.
std::string ValueOr(const std::map<std::string, std::string>& aValues,
                    const std::string& aName,
                    const std::string& aDefault);

/// Runs on one strand; only Wake may be called from elsewhere.
class Exchange
{
public:
  virtual ~Exchange() = default;

  virtual const Request& IncomingRequest() const = 0;

  /// Sends a whole JSON answer.
  virtual Task Reply(int aStatus, std::string aBody) = 0;
  /// The same with a Retry-After header, in seconds.
  virtual Task ReplyWithRetryAfter(int aStatus,
                                   std::string aBody,
                                   int aRetryAfterSeconds) = 0;

  /// An answer of server-sent events in three steps.
  virtual Task BeginEvents() = 0;
  virtual Task SendEvent(std::string aData) = 0;
  virtual Task EndEvents() = 0;

  /// Sleeps; ends early once the client has gone.
  virtual Task Sleep(std::chrono::nanoseconds aDuration) = 0;
  /// Sleeps until Wake is called, the time is over or the client has gone.
  virtual Task WaitForWake(std::chrono::nanoseconds aDuration) = 0;
  virtual void Wake() = 0;

  /// Whether the client has closed its connection.
  virtual bool IsClientDisconnected() const = 0;
  /// Closes the connection without another byte.
  virtual void Abort() = 0;
};

/// Serves one exchange.
using Handler = std::function<Task(Exchange& aExchange)>;

} // namespace Acaciavale::StandIns
