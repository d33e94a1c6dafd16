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

/// Requests to endpoints over HTTP, many at once on one thread.
namespace Acaciavale {

/// One request to one endpoint.
struct EndpointRequest
{
  std::string mAddress; ///< IP number and port.
  std::string mMethod;
  std::string mPath;
  std::vector<std::pair<std::string, std::string>> mHeaders;
  std::string mBody;
  Duration mTimeout{};     ///< For the whole answer.
  bool mRepeatable = true; ///< If not, it is sent on a connection of its own.

  auto operator<=>(const EndpointRequest&) const = default;
};

/// How a transfer ended.
enum class TransferOutcome
{
  Complete,       ///< The whole answer arrived.
  NotSent,        ///< Nothing of the request was written to the endpoint.
  ConnectionLost, ///< The connection was lost after the first byte was written.
  TimedOut,       ///< The deadline passed after the first byte was written.
};

struct TransferResult
{
  TransferOutcome mOutcome = TransferOutcome::NotSent;
  int mStatus = 0; ///< HTTP status, or 0 where none arrived.
  std::string mDetail;

  auto operator<=>(const TransferResult&) const = default;
};

/// What an answer's headers said.
struct EndpointResponseHeaders
{
  int mStatus = 0;
  std::string mContentType;
  std::string mRequestId;   ///< As echoed by the endpoint, or empty.
  std::string mResumedFrom; ///< Chunk that a resumed stream starts at.

  auto operator<=>(const EndpointResponseHeaders&) const = default;
};

/// Called on the client's thread.
struct EndpointObserver
{
  std::function<void(const EndpointResponseHeaders& aHeaders)> mOnHeaders;
  std::function<void(std::string_view aBytes)> mOnBody;
  std::function<void(const TransferResult& aResult)> mOnDone;
};

using TransferId = std::uint64_t;

/// Requests by libcurl on one io_context. Not thread-safe: every call comes
/// from the io_context's only thread.
class EndpointClient
{
public:
  explicit EndpointClient(asio::io_context& aContext);
  ~EndpointClient();
  EndpointClient(const EndpointClient&) = delete;
  EndpointClient& operator=(const EndpointClient&) = delete;

  /// Starts a request. The observer's mOnDone is called exactly once, later,
  /// unless the transfer is cancelled first.
  TransferId Start(EndpointRequest aRequest, EndpointObserver aObserver);
  /// Closes the connection, which cancels the work at the endpoint; no
  /// callback comes after it.
  void Cancel(TransferId aTransfer);
  /// Stops reading from the endpoint until Resume.
  void Pause(TransferId aTransfer);
  void Resume(TransferId aTransfer);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
