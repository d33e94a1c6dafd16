#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <condition_variable>
#include <functional>
#include <mutex>
#include <thread>

namespace Acaciavale {

/// A thread that calls an action repeatedly, with a pause after each call,
/// until it is destroyed.
class PeriodicThread
{
public:
  PeriodicThread(Duration aPause, std::function<void()> aAction)
    : mPause(aPause)
    , mAction(std::move(aAction))
    , mThread([this] { Run(); })
  {
  }

  /// Waits until a running call of the action returns.
  ~PeriodicThread()
  {
    {
      const std::lock_guard guard(mLock);
      mStop = true;
    }
    mWake.notify_all();
    mThread.join();
  }

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

private:
  void Run()
  {
    std::unique_lock lock(mLock);
    while (!mStop) {
      lock.unlock();
      mAction();
      lock.lock();
      mWake.wait_for(lock, mPause, [this] { return mStop; });
    }
  }

  const Duration mPause;
  const std::function<void()> mAction;
  std::mutex mLock;
  std::condition_variable mWake;
  bool mStop = false;
  std::thread mThread;
};

} // namespace Acaciavale
