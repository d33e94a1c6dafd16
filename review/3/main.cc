// A client sends a request with a long header field, within the limits of the
// configuration, and repeats it once at the other node.
#include "../standins/standins.hh"

using namespace review;

namespace {

constexpr int kClientsPerNode = 6;
constexpr int kMaximumHeaderBytes = 131072;
constexpr std::size_t kFieldBytes = 70000;
/// The rule counts more than three.
constexpr int kAllowed = 3;

/// VARIANT=trailer: the limit is the usual 16,384, and the field stands behind
/// a body in chunks.
bool IsTrailer()
{
  const char* const variant = std::getenv("VARIANT");
  return variant != nullptr && std::string(variant) == "trailer";
}

std::string LongRequest(const std::string& aId)
{
  const std::string field =
    "X-Context: " + std::string(HasTrouble() ? kFieldBytes : 7000, 'x') +
    "\r\n";
  if (IsTrailer()) {
    return "POST /look/long HTTP/1.1\r\nHost: records.example\r\nAttempt-Id: " +
           aId +
           "\r\nDeadline-Ms: 5000\r\nTransfer-Encoding: "
           "chunked\r\n\r\n2\r\n{}\r\n0\r\n" +
           field + "\r\n";
  }
  std::string text = RequestText("GET", "/look/long", aId, 5000);
  return text.insert(text.size() - 2, field);
}

} // namespace

int main(int aCount, char** aArguments)
{
  Platform platform;
  Begin(aCount, aArguments, platform);
  Store store;
  store.Start(platform.Host(1));
  Json config = Config(
    { Route("look", "/look/", "idempotent", "records", 5000, 1000, 2),
      Route("book", "/book/", "non_idempotent", "records", 5000, 1000, 1) },
    { "records" });
  if (!IsTrailer()) {
    config["limits"]["max-header-bytes"] = kMaximumHeaderBytes;
  }
  store.Put("op/config", config.dump());
  std::mutex mutex;
  std::map<std::string, int> runs;
  Replica replicas[2];
  for (int number = 0; number < 2; ++number) {
    replicas[number].Start(
      store,
      "i-" + std::to_string(number),
      "records",
      platform.Host(100 + number),
      "zone-" + std::to_string(number),
      64,
      [&](Replica& aReplica, Channel& aChannel, Message& aRequest) {
        const std::string id = aRequest.Header("Attempt-Id");
        Say("replica " + aReplica.Id() + " runs " + id);
        {
          const std::lock_guard lock(mutex);
          runs[id] += 1;
        }
        Sleep(id.find("-work") == std::string::npos ? 0.015 : 0.8);
        return aChannel.Send(Answer(200, aReplica.Headers(aRequest), "done"));
      });
  }
  std::vector<Platform::Node*> nodes;
  for (int number = 0; number < 2; ++number) {
    nodes.push_back(&platform.StartNode("edge-" + std::to_string(number),
                                        11 + number,
                                        "zone-" + std::to_string(number),
                                        store.Address()));
  }
  for (const Platform::Node* const node : nodes) {
    Platform::AwaitReady(*node);
  }
  Sleep(2);

  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::vector<std::thread> clients;
  for (int number = 0; number < 2 * kClientsPerNode; ++number) {
    clients.emplace_back([&, number] {
      const std::string name = "c" + std::to_string(number);
      Channel channel;
      Message answer;
      if (!channel.Connect(nodes[number % 2]->mFront) ||
          !channel.Send(
            RequestText("POST", "/book/x", name + "-short", 5000, "{}")) ||
          !channel.ReadHead(answer, 5) || !channel.ReadBody(answer, 5) ||
          answer.Status() != 200) {
        Say("client " + name + ": the short request failed");
        return;
      }
      const std::string id = name + "-work";
      Say("client sends " + id + " on the kept channel");
      const bool isAnswered =
        channel.Send(RequestText("POST", "/book/x", id, 5000, "{}")) &&
        channel.ReadHead(answer, 8) && channel.ReadBody(answer, 8);
      Say("client gets for " + id + ": " +
          (isAnswered ? "status " + std::to_string(answer.Status())
                      : "no answer, " + channel.Error()));
      const std::lock_guard lock(mutex);
      if (isAnswered) {
        ++answered;
      } else if (runs.count(id) > 0) {
        ++lost;
      }
    });
  }
  Sleep(0.3);
  // Clients repeat idempotent requests after any failure, on a new channel.
  int ended = 0;
  bool isServed = false;
  for (std::size_t trial = 0; trial < nodes.size() && !isServed; ++trial) {
    const std::string id = "long-" + std::to_string(trial);
    Channel channel;
    Message answer;
    Say("client sends " + id + " to " + nodes[trial]->mName);
    isServed = channel.Connect(nodes[trial]->mFront) &&
               channel.Send(LongRequest(id)) && channel.ReadHead(answer, 6) &&
               answer.Status() == 200;
    Say("client gets for " + id + ": " +
        (answer.mStart.empty() ? "no answer, " + channel.Error()
                               : answer.mStart));
    Sleep(0.05);
    int status = 0;
    if (waitpid(nodes[trial]->mPid, &status, WNOHANG) > 0) {
      ++ended;
      nodes[trial]->mPid = -1;
      Say(nodes[trial]->mName + " has ended by itself" +
          (WIFSIGNALED(status) ? ", signal " + std::to_string(WTERMSIG(status))
                               : std::string()));
    }
  }
  for (std::thread& client : clients) {
    client.join();
  }
  const std::string text =
    std::to_string(ended) + " of 2 processes ended by themselves, " +
    std::to_string(lost) + " of " + std::to_string(2 * kClientsPerNode) +
    " requests of others had run and got no answer";
  if (lost > kAllowed) {
    End(1, "LOST broken: " + text);
  }
  if (!HasTrouble() && (answered != 2 * kClientsPerNode || !isServed)) {
    End(2, "with a short field not all was served: " + text);
  }
  End(0, "LOST held: " + text);
}
