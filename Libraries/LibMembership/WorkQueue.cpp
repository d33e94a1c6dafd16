#include "WorkQueue.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMaxQueued = 4096;

} // namespace

WorkQueue::WorkQueue()
  : mThread([this] { Run(); })
{
}

WorkQueue::~WorkQueue()
{
  {
    const std::lock_guard lock(mMutex);
    mStopping = true;
  }
  mChanged.notify_all();
  mThread.join();
}

bool WorkQueue::Push(std::function<void()> aTask)
{
  {
    const std::lock_guard lock(mMutex);
    if (mStopping || mTasks.size() >= kMaxQueued) {
      return false;
    }
    mTasks.push_back(std::move(aTask));
  }
  mChanged.notify_one();
  return true;
}

void WorkQueue::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mChanged.wait(lock, [this] { return mStopping || !mTasks.empty(); });
    if (mTasks.empty()) {
      return;
    }
    const std::function<void()> task = std::move(mTasks.front());
    mTasks.pop_front();
    lock.unlock();
    task();
    lock.lock();
  }
}

} // namespace Acaciavale
