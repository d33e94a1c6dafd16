// A replica's streams and a client that reads them.
#pragma once

#include "standins.hh"

namespace review {

/// What the replica did with a request, by its id.
struct Runs
{
  std::mutex mMutex;
  std::map<std::string, int> mStarted;
  std::map<std::string, bool> mDone;

  void Start(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    mStarted[aId] += 1;
  }
  void Finish(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    mDone[aId] = true;
  }
  int Started(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    return mStarted.count(aId) == 0 ? 0 : mStarted[aId];
  }
  bool IsDone(const std::string& aId)
  {
    const std::lock_guard lock(mMutex);
    return mDone.count(aId) != 0;
  }
};

/// Sends an event each tenth of a second. The number of events stands at the
/// end of the path (/chat/60). Stops when its channel is closed.
inline bool ServeStream(Replica& aReplica,
                        Channel& aChannel,
                        const Message& aRequest,
                        Runs& aRuns)
{
  const std::string id = aRequest.Header("Attempt-Id");
  const std::string target = aRequest.Target();
  const int events = std::atoi(target.c_str() + target.rfind('/') + 1);
  const std::string resumed = aRequest.Header("Last-Event-Id");
  int number = resumed.empty() ? 0 : std::atoi(resumed.c_str());
  Say("replica " + aReplica.Id() + " runs " + id + " from event " +
      std::to_string(number + 1));
  aRuns.Start(id);
  if (!aChannel.Send("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" +
                     aReplica.Headers(aRequest) +
                     "Transfer-Encoding: chunked\r\n\r\n")) {
    return false;
  }
  while (number < events) {
    Sleep(0.1);
    ++number;
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + std::string(60, 'x') + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (aChannel.IsClosedByPeer() || !aChannel.Send(size + event + "\r\n")) {
      Say("replica " + aReplica.Id() + ": the channel of " + id +
          " was closed after event " + std::to_string(number));
      return false;
    }
  }
  aRuns.Finish(id);
  Say("replica " + aReplica.Id() + " has finished " + id);
  return aChannel.Send("0\r\n\r\n");
}

} // namespace review
