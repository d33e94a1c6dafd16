#pragma once

#include "CallerMessages.h"

#include <Acaciavale/LibCore/Error.h>

#include <cstdint>
#include <memory>
#include <string>

namespace asio {
class io_context;
}

namespace Acaciavale {

/// Limits on request bodies and on the number of connections.
struct ListenerLimits
{
  std::int64_t mMaxBodyBytes = 1 << 20;
  std::int64_t mMaxConnections = 4096;
};

/// HTTP server on one address, based on RESTinio and a single-threaded
/// io_context. Several listeners may share an address, in which case the kernel
/// distributes the connections among them.
class HttpListener
{
public:
  HttpListener(asio::io_context& aContext,
               ListenerLimits aLimits,
               CallerHandler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds an address of the form "IP:port"; with port 0 the kernel chooses the
  /// port. Returns the bound address.
  ErrorOr<std::string> Open(const std::string& aAddress);
  /// Makes each complete answer from now on close its connection. Thread-safe.
  void CloseAfterAnswers();
  /// Stops accepting connections; existing connections stay open. Must be
  /// called on the io_context's thread.
  void Close();
  /// Number of requests whose answers are not written completely. Thread-safe.
  std::int64_t UnansweredRequests() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
