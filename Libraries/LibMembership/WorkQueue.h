#pragma once

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

/// A thread that runs queued tasks in order, so that gRPC threads do not block
/// on callbacks into the server.
namespace Acaciavale {

class WorkQueue
{
public:
  WorkQueue();
  /// Runs the queued tasks and joins the thread.
  ~WorkQueue();
  WorkQueue(const WorkQueue&) = delete;
  WorkQueue& operator=(const WorkQueue&) = delete;

  /// Queues a task. Returns false if the queue is full or being destroyed.
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
