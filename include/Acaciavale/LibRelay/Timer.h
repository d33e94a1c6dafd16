#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace Acaciavale::Platform {

/// Calls a handler once after a delay. No handler is called after the timer was
/// started again, cancelled or destroyed, not even one that the event loop had
/// already queued.
class Timer
{
public:
  explicit Timer(boost::asio::io_context& aIoContext);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(Duration aDelay, std::function<void()> aHandler);
  void Cancel();

private:
  boost::asio::steady_timer mTimer;
  std::shared_ptr<std::function<void()>> mHandler;
};

} // namespace Acaciavale::Platform
