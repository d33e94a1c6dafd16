// Sound replicas pause in the middle of their streams, as they do when they
// preempt requests, and are full for new requests meanwhile.
#include "../standins/streams.hh"

using namespace review;

namespace {

constexpr int kClients = 40;
constexpr int kEvents = 50;
constexpr double kPauseAfterSeconds = 2;
constexpr double kPauseSeconds = 2;
/// Requests sent until then after a SIGHUP (config-apply-ms).
constexpr double kSighupSeconds = 2;

std::atomic<double> gPauseFrom = 1e9;

bool IsPaused()
{
  return HasTrouble() && Now() >= gPauseFrom &&
         Now() < gPauseFrom + kPauseSeconds;
}

struct Runs4 : Runs
{
  std::map<std::string, bool>
    mWasCut; ///< The node closed the channel of a run.
};

bool Serve(Replica& aReplica,
           Channel& aChannel,
           const Message& aRequest,
           Runs4& aRuns)
{
  const std::string id = aRequest.Header("Attempt-Id");
  if (IsPaused()) {
    Say("replica " + aReplica.Id() + " is full and does not run " + id);
    return aChannel.Send(
      Answer(503,
             "Attempt-Id: " + id +
               "\r\nNot-Executed: 1\r\nReplica-Load: 64,134,64\r\n",
             ""));
  }
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
  // The newest of the least urgent requests are preempted, not all.
  const bool isPreempted = id.size() > 5 && id[id.find('-') - 1] % 4 == 0;
  while (number < events) {
    Sleep(0.1);
    while (isPreempted && IsPaused() && !aChannel.IsClosedByPeer()) {
      Sleep(0.01);
    }
    ++number;
    const std::string event = "id: " + std::to_string(number) +
                              "\ndata: " + std::string(60, 'x') + "\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
    if (aChannel.IsClosedByPeer() || !aChannel.Send(size + event + "\r\n")) {
      Say("replica " + aReplica.Id() + ": the node closed the channel of " +
          id + " after event " + std::to_string(number - 1));
      const std::lock_guard lock(aRuns.mMutex);
      aRuns.mWasCut[id] = true;
      return false;
    }
  }
  aRuns.Finish(id);
  return aChannel.Send("0\r\n\r\n");
}

} // namespace

int main(int aCount, char** aArguments)
{
  Platform platform;
  Begin(aCount, aArguments, platform);
  Store store;
  store.Start(platform.Host(1));
  store.Put(
    "op/config",
    Config({ Route("chat", "/chat/", "streaming", "model", 20000, 4000, 3) },
           { "model" })
      .dump());
  Runs4 runs;
  Replica replicas[3];
  for (int number = 0; number < 3; ++number) {
    replicas[number].Start(
      store,
      "i-" + std::to_string(number),
      "model",
      platform.Host(100 + number),
      "zone-" + std::to_string(number % 2),
      64,
      [&](Replica& aReplica, Channel& aChannel, Message& aRequest) {
        return Serve(aReplica, aChannel, aRequest, runs);
      });
  }
  Platform::Node& node =
    platform.StartNode("edge-1", 11, "zone-0", store.Address());
  Platform::Node& other =
    platform.StartNode("edge-2", 12, "zone-1", store.Address());
  Platform::AwaitReady(node);
  Platform::AwaitReady(other);
  Sleep(4);

  // Planned work: the settings file changes, and the node gets SIGHUP.
  {
    std::ofstream(platform.Folder() + '/' + node.mName + ".ini", std::ios::app)
      << "; changed\n";
    kill(node.mPid, SIGHUP);
    Say("platform changes the settings file and sends SIGHUP to " + node.mName);
  }
  const double sighupAt = Now();
  gPauseFrom = sighupAt + kPauseAfterSeconds;
  std::atomic<int> complete = 0;
  std::vector<std::string> cut;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      const std::string name = "c" + std::to_string(number);
      Channel channel;
      Message answer;
      if (!channel.Connect(node.mFront) ||
          !channel.Send(
            RequestText("POST", "/chat/1", name + "-short", 20000, "{}")) ||
          !channel.ReadHead(answer, 5) || !channel.ReadBody(answer, 5) ||
          answer.Status() != 200) {
        Say("client " + name + ": the short request failed");
        return;
      }
      const std::string id = name + "-long";
      const double sentAt = Now();
      Say("client sends " + id + " on the kept channel");
      const bool hasHead =
        channel.Send(RequestText(
          "POST", "/chat/" + std::to_string(kEvents), id, 20000, "{}")) &&
        channel.ReadHead(answer, 20);
      const bool isWhole = hasHead && channel.ReadBody(answer, 20);
      Say("client gets for " + id + ": " +
          (hasHead ? "status " + std::to_string(answer.Status())
                   : std::string("no head")) +
          ", " + std::to_string(answer.mBody.size()) + " bytes, " +
          (isWhole ? "complete" : "cut: " + channel.Error()));
      if (isWhole && answer.Status() == 200) {
        ++complete;
        return;
      }
      const std::lock_guard lock(runs.mMutex);
      if (!isWhole && sentAt < sighupAt + kSighupSeconds) {
        cut.push_back(id);
      }
    });
  }
  for (std::thread& client : clients) {
    client.join();
  }
  Sleep(kPauseSeconds);
  int lost = 0;
  {
    const std::lock_guard lock(runs.mMutex);
    for (const std::string& id : cut) {
      lost += runs.mWasCut.count(id) > 0 ? 1 : 0;
    }
  }
  const std::string text = std::to_string(complete) + " of " +
                           std::to_string(kClients) + " streams complete, " +
                           std::to_string(lost) +
                           " cut after the node had left a sound replica";
  if (lost > 0) {
    End(1, "LOST broken: " + text);
  }
  if (!HasTrouble() && complete != kClients) {
    End(2, "without the pause not all was served: " + text);
  }
  End(0, "LOST held: " + text);
}
