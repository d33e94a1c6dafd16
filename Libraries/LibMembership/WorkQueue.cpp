#include "WorkQueue.h"

namespace Acaciavale {

namespace {

constexpr std::size_t kMostQueued = 4096;

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

bool WorkQueue::Push(std::function<void()> aWork)
{
  {
    const std::lock_guard lock(mMutex);
    if (mStopping || mWork.size() >= kMostQueued) {
      return false;
    }
    mWork.push_back(std::move(aWork));
  }
  mChanged.notify_one();
  return true;
}

void WorkQueue::Run()
{
  std::unique_lock lock(mMutex);
  while (true) {
    mChanged.wait(lock, [this] { return mStopping || !mWork.empty(); });
    if (mWork.empty()) {
      return;
    }
    const std::function<void()> work = std::move(mWork.front());
    mWork.pop_front();
    lock.unlock();
    work();
    lock.lock();
  }
}

} // namespace Acaciavale
