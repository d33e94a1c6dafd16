#pragma once

#include "Exchange.h"

#include <memory>
#include <string>

namespace Acaciavale::StandIns {

/// HTTP server whose listeners share one pool of threads.
class HttpServer
{
public:
  explicit HttpServer(int aThreadCount);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on 127.0.0.1 and returns the address as IP:PORT. Port 0 lets the
  /// kernel choose a port. Throws if the port cannot be bound.
  std::string Listen(int aPort, Handler aHandler);

  /// Calls the function repeatedly, with the interval before each call.
  void RunPeriodically(Milliseconds aInterval, std::function<void()> aCallback);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Handles SIGTERM and SIGINT during its lifetime.
class StopSignal
{
public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  /// Blocks until one of the signals arrives.
  void Wait();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale::StandIns
