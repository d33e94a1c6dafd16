// A node gets SIGTERM while it answers long streams on kept channels. Their
// clients send the next request on the same channel when a stream has ended.
#include "../standins/streams.hh"

using namespace review;

namespace {

constexpr int kClients = 8;
constexpr double kGraceSeconds = 8;
/// Requests sent until then after the SIGTERM may still be cut at the end.
constexpr double kExcusedSeconds = 3;

struct Outcome
{
  std::string mId;
  double mSentAt = 0;
  bool mIsComplete = false;
  std::string mEnd;
};

Outcome Ask(Channel& aChannel, const std::string& aId, int aEvents)
{
  Outcome outcome;
  outcome.mId = aId;
  outcome.mSentAt = Now();
  if (!aChannel.Send(RequestText(
        "POST", "/chat/" + std::to_string(aEvents), aId, 20000, "{}"))) {
    outcome.mEnd = "not sent";
    return outcome;
  }
  Say("client sends " + aId);
  Message answer;
  if (!aChannel.ReadHead(answer, 20)) {
    outcome.mEnd = "no answer: " + aChannel.Error();
  } else if (!aChannel.ReadBody(answer, 20)) {
    outcome.mEnd = "status " + std::to_string(answer.Status()) +
                   ", then cut after " + std::to_string(answer.mBody.size()) +
                   " bytes: " + aChannel.Error();
  } else {
    outcome.mIsComplete = true;
    outcome.mEnd =
      "status " + std::to_string(answer.Status()) + ", complete" +
      (answer.Header("Connection") == "close" ? ", Connection: close" : "");
  }
  Say("client gets for " + aId + ": " + outcome.mEnd);
  return outcome;
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
  Runs runs;
  Replica replicas[2];
  for (int number = 0; number < 2; ++number) {
    replicas[number].Start(
      store,
      "i-" + std::to_string(number),
      "model",
      platform.Host(100 + number),
      "zone-" + std::to_string(number),
      64,
      [&](Replica& aReplica, Channel& aChannel, Message& aRequest) {
        return ServeStream(aReplica, aChannel, aRequest, runs);
      });
  }
  Platform::Node& node =
    platform.StartNode("edge-1", 11, "zone-0", store.Address());
  Platform::Node& other =
    platform.StartNode("edge-2", 12, "zone-1", store.Address());
  Platform::AwaitReady(node);
  Platform::AwaitReady(other);
  Sleep(3);

  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> clients;
  for (int number = 0; number < kClients; ++number) {
    clients.emplace_back([&, number] {
      Channel channel;
      if (!channel.Connect(node.mFront)) {
        return;
      }
      const std::string name = "c" + std::to_string(number);
      // Streams of 5.5 s and a little more, then the next one on the channel.
      const Outcome first = Ask(channel, name + "-first", 55 + number);
      Outcome second;
      second.mEnd = "not sent";
      if (first.mIsComplete && !channel.IsClosedByPeer()) {
        second = Ask(channel, name + "-second", 50);
      }
      const std::lock_guard lock(mutex);
      outcomes.push_back(first);
      outcomes.push_back(second);
    });
  }
  Sleep(2);
  double stoppedAt = 1e9;
  if (HasTrouble()) {
    stoppedAt = Now();
    Say("platform sends SIGTERM to " + node.mName);
    kill(node.mPid, SIGTERM);
    const double end = stoppedAt + kGraceSeconds;
    int status = 0;
    while (Now() < end && waitpid(node.mPid, &status, WNOHANG) == 0) {
      Sleep(0.02);
    }
    if (Now() < end) {
      Say(node.mName + " has ended");
      node.mPid = -1;
    } else {
      Say("platform sends SIGKILL to " + node.mName);
      kill(node.mPid, SIGKILL);
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }

  int served = 0;
  int lost = 0;
  for (const Outcome& outcome : outcomes) {
    served += outcome.mIsComplete ? 1 : 0;
    const bool isCounted = outcome.mSentAt > stoppedAt + kExcusedSeconds;
    if (!outcome.mId.empty() && !outcome.mIsComplete && isCounted &&
        runs.Started(outcome.mId) > 0) {
      ++lost;
      Say("lost: " + outcome.mId + " was sent " +
          std::to_string(outcome.mSentAt - stoppedAt) +
          " s after the SIGTERM and passed on; " + outcome.mEnd);
    }
  }
  const std::string text =
    std::to_string(served) + " answers complete, " + std::to_string(lost) +
    " requests lost that were sent more than 3 s after the SIGTERM";
  if (lost > 0) {
    End(1, "LOST broken: " + text);
  }
  if (!HasTrouble() && served != 2 * kClients) {
    End(2, "without the SIGTERM not all was served: " + text);
  }
  End(0, "LOST held: " + text);
}
