#include <Acaciavale/LibRelay/Timer.h>

#include <algorithm>
#include <utility>

namespace Acaciavale::Relay {

namespace {

/// Delay of a timer above which the event loop has stood still. A VM that uses
/// more than its share of a core pauses for up to a tenth of a second.
constexpr Duration kStallThreshold = std::chrono::milliseconds(250);

} // namespace

struct Timer::Wait
{
  std::function<void()> mHandler;
  std::optional<Duration> mAfterStall; ///< Of a time limit; see StartTimeout.
  bool mIsCancelled = false;
};

Timer::Timer(boost::asio::io_context& aIoContext)
  : mTimer(aIoContext)
{
}

Timer::~Timer()
{
  Cancel();
}

void Timer::Start(Duration aDelay, std::function<void()> aHandler)
{
  Cancel();
  Arm(std::make_shared<Wait>(Wait{ std::move(aHandler), {}, false }), aDelay);
}

void Timer::StartTimeout(Duration aLimit,
                         std::function<void()> aHandler,
                         Duration aAfterStall)
{
  Cancel();
  Arm(std::make_shared<Wait>(Wait{ std::move(aHandler), aAfterStall, false }),
      aLimit);
}

void Timer::Arm(const std::shared_ptr<Wait>& aWait, Duration aDelay)
{
  mWait = aWait;
  const Duration delay = std::max(Duration{}, aDelay);
  const TimePoint end = MonotonicNow() + delay;
  mTimer.expires_after(delay);
  mTimer.async_wait(
    [this, end, wait = aWait](const boost::system::error_code& aError) {
      // NOTE: The timer may be gone if the wait was cancelled.
      if (aError || wait->mIsCancelled) {
        return;
      }
      if (wait->mAfterStall && MonotonicNow() - end > kStallThreshold) {
        // NOTE: Once only: a loop that is late all the time must not postpone
        //       the limit without end.
        Arm(wait, *std::exchange(wait->mAfterStall, std::nullopt));
        return;
      }
      wait->mHandler();
    });
}

void Timer::Cancel()
{
  if (const auto wait = mWait.lock()) {
    wait->mIsCancelled = true;
  }
  mWait.reset();
  boost::system::error_code ignored; // NOTE: The wait is cancelled in any case.
  mTimer.cancel(ignored);
}

} // namespace Acaciavale::Relay
