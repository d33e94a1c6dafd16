#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace asio {
class io_context;
}

/// HTTP client for endpoints that runs many requests concurrently on one
/// thread.
namespace Acaciavale {

/// One request to one endpoint.
struct EndpointRequest
{
  std::string mAddress; ///< IP address and port.
  std::string mMethod;
  std::string mPath;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  Duration mTimeout{}; ///< Limit for the whole response.

  auto operator<=>(const EndpointRequest&) const = default;
};

/// How a transfer ended.
enum class TransferOutcome
{
  Complete,       ///< The whole response was received.
  NotSent,        ///< No byte of the request was sent.
  ConnectionLost, ///< The connection failed after the first byte was sent.
  TimedOut,       ///< The timeout expired after the first byte was sent.
};

struct TransferResult
{
  TransferOutcome mOutcome = TransferOutcome::NotSent;
  int mStatus = 0;     ///< HTTP status, or 0 if none was received.
  std::string mDetail; ///< libcurl's description of the result.

  auto operator<=>(const TransferResult&) const = default;
};

/// Status and headers of a response.
struct EndpointResponseHeaders
{
  int mStatus = 0;
  std::string mContentType;
  std::string mRequestId;   ///< Request id echoed by the endpoint, or empty.
  std::string mResumedFrom; ///< First chunk of a resumed stream, or empty.

  auto operator<=>(const EndpointResponseHeaders&) const = default;
};

/// Callbacks of a transfer, called on the client's thread.
struct EndpointObserver
{
  std::function<void(const EndpointResponseHeaders& aHeaders)> mOnHeaders;
  std::function<void(std::string_view aBytes)> mOnBody;
  std::function<void(const TransferResult& aResult)> mOnDone;
};

using TransferId = std::uint64_t;

/// Sends requests with libcurl on one io_context, each once and on a connection
/// of its own. Not thread-safe: all calls must come from the io_context's only
/// thread.
class EndpointClient
{
public:
  explicit EndpointClient(asio::io_context& aContext);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  /// Starts a request. The observer's mOnDone is called exactly once, after
  /// Start has returned, unless the transfer is cancelled first.
  TransferId Start(EndpointRequest aRequest, EndpointObserver aObserver);
  /// Closes the connection, which cancels the request at the endpoint. No
  /// callback is called afterwards.
  void Cancel(TransferId aTransfer);
  /// Stops reading from the endpoint until Resume is called.
  void Pause(TransferId aTransfer);
  void Resume(TransferId aTransfer);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
