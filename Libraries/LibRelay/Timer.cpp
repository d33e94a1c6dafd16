#include "Timer.h"

#include <algorithm>

namespace Acaciavale::Platform {

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
  mHandler = std::make_shared<std::function<void()>>(std::move(aHandler));
  mTimer.expires_after(std::max(Duration{}, aDelay));
  mTimer.async_wait([weakHandler = std::weak_ptr(mHandler)](
                      const boost::system::error_code& aError) {
    const auto handler = weakHandler.lock();
    if (!aError && handler) {
      (*handler)();
    }
  });
}

void Timer::Cancel()
{
  mHandler.reset();
  boost::system::error_code ignored; // NOTE: No handler is left in any case.
  mTimer.cancel(ignored);
}

} // namespace Acaciavale::Platform
