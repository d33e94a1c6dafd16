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

/// Bounds on what a caller may send.
struct ListenerLimits
{
  std::int64_t mMaxBodyBytes = 1 << 20;
  std::int64_t mMaxConnections = 4096;
};

/// HTTP by RESTinio on one address and one io_context with one thread. Several
/// listeners may share an address; the kernel then spreads connections.
class HttpListener
{
public:
  HttpListener(asio::io_context& aContext,
               ListenerLimits aLimits,
               CallerHandler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Binds "IP:port"; port 0 lets the kernel choose. Returns the address bound.
  ErrorOr<std::string> Open(const std::string& aAddress);
  /// From now on each answer closes its connection. Thread-safe.
  void CloseAfterAnswers();
  /// Takes no more connections; those that there are live on. Must run on the
  /// io_context's thread.
  void Close();
  /// Requests whose answers have not been written out yet. Thread-safe.
  std::int64_t UnansweredRequests() const;

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale
