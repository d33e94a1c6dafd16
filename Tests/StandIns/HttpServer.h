#pragma once

#include "Exchange.h"

#include <memory>
#include <string>

namespace Acaciavale::StandIns {

/// Threads that all listeners of this process share.
class HttpServer
{
public:
  explicit HttpServer(int aThreadCount);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// Listens on 127.0.0.1, where port 0 lets the kernel choose; returns IP
  /// number and port. Throws if the port can't be had.
  std::string Listen(int aPort, Handler aHandler);

  /// Calls the function again and again, with a pause in between.
  void RunPeriodically(Milliseconds aInterval, std::function<void()> aCallback);

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

/// Catches SIGTERM and SIGINT as long as it lives.
class StopSignal
{
public:
  StopSignal();
  ~StopSignal();
  StopSignal(const StopSignal&) = delete;
  StopSignal& operator=(const StopSignal&) = delete;

  /// Blocks until one of the signals has come.
  void Wait();

private:
  struct Private;
  std::unique_ptr<Private> mPrivate;
};

} // namespace Acaciavale::StandIns
