#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

/// One thread that runs callbacks in order, so that gRPC's threads never wait
/// for the server's work.
namespace Acaciavale {

class WorkQueue
{
public:
  WorkQueue();
  /// Runs what is queued and joins the thread.
  ~WorkQueue();
  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  /// Queues work; false if the queue is full.
  bool Push(std::function<void()> aTask);

private:
  void Run();

  std::mutex mMutex;
  std::condition_variable mChanged;
  std::deque<std::function<void()>> mTasks;
  bool mStopping = false;
  std::thread mThread;
};

} // namespace Acaciavale
