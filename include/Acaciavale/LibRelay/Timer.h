#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>

namespace Acaciavale::Relay {

/// Time for which what arrived during a stall is handled before a limit that
/// does not depend on the other process, such as a deadline, takes effect.
inline constexpr Duration kTimeToCatchUp = std::chrono::milliseconds(50);

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

  /// Starts a time limit on another process. If the event loop stood still when
  /// the limit ended, the handler is called aAfterStall later: what has arrived
  /// meanwhile is handled first, and the other process is not judged by this
  /// one's stall.
  void StartTimeout(Duration aLimit,
                    std::function<void()> aHandler,
                    Duration aAfterStall);
  void Cancel();

private:
  struct Wait;

  void Arm(const std::shared_ptr<Wait>& aWait, Duration aDelay);

  boost::asio::steady_timer mTimer;
  /// The wait that may call its handler. The event loop owns it, so that a
  /// handler that keeps the timer's owner alive ends with the loop.
  std::weak_ptr<Wait> mWait;
};

} // namespace Acaciavale::Relay
