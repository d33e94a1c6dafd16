// The three replicas of a service, all in one zone, crash twice within five
// seconds and come back. Then all processes of the system are killed and start
// again. The requests of all clients share the first part of their prompts. The
// rule RECOVER is checked from `recover-s` after the machines are back.
#include "kit.hh"

using namespace Kit;

namespace {

/// How long a replica says that it is slow after its start.
constexpr double kColdSeconds = 4.0;
constexpr double kRecoverSeconds = 12.0;

/// Streams five events in chunks; the head comes with the first one: after half
/// a second, or three seconds while the replica is cold.
void Stream(Replica& aSelf, Connection& aConnection, const Request& aRequest)
{
  Sleep(aSelf.IsCold() ? 3.0 : 0.5);
  std::string text = "HTTP/1.1 200 OK\r\n";
  for (const auto& [name, value] : aSelf.AnswerFields(aRequest)) {
    text += name + ": " + value + "\r\n";
  }
  text += "Content-Type: text/event-stream\r\nTransfer-Encoding: "
          "chunked\r\n\r\n";
  for (int event = 1; event <= 5; ++event) {
    const std::string one = "id: " + std::to_string(event) + "\ndata: x\n\n";
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", one.size());
    text += size + one + "\r\n";
    if (!SendAll(aConnection.mFd, text)) {
      aConnection.Close();
      return;
    }
    text.clear();
    Sleep(0.02);
  }
  SendAll(aConnection.mFd, "0\r\n\r\n");
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  OpenRecord(aArguments[2]);
  // PART=crash leaves out the end of the machines' processes, PART=kill the
  // crashes of the replicas.
  const char* const part = std::getenv("PART");
  const std::string parts = part == nullptr ? "both" : part;
  const bool crashes = HasTrouble() && parts != "kill";
  const bool kills = HasTrouble() && parts != "crash";
  Store store;
  const Json route = {
    { "name", "r-draft" },        { "host", "records.example" },
    { "path-prefix", "/draft/" }, { "route-kind", "streaming" },
    { "timeout-ms", 20000 },      { "goal-ms", 2000 },
    { "gap-goal-ms", 1500 },      { "priority", 0 },
    { "service", "model-pool" },  { "max-attempts", 3 },
    { "public", false },          { "sticky", true },
    { "resumable", true }
  };
  const auto config = [&route](int aVersion) {
    return Config(aVersion,
                  Json::array({ route }),
                  Json::array({ Tenant("carrier", "key-of-carrier") }));
  };
  store.Put("op/config", config(7));
  Replica replica1(store, "model-pool", "i-1", Stream, 64);
  Replica replica2(store, "model-pool", "i-2", Stream, 64);
  Replica replica3(store, "model-pool", "i-3", Stream, 64);
  Replica* const replicas[] = { &replica1, &replica2, &replica3 };
  Machine machine1("edge-1", aArguments[1], store.Port());
  Machine machine2("edge-2", aArguments[1], store.Port());
  Machine* const machines[] = { &machine1, &machine2 };
  for (Machine* const machine : machines) {
    machine->Start();
  }
  if (!AwaitReady(machine1, 15) || !AwaitReady(machine2, 15)) {
    Exit(2, "the machines are not ready");
  }
  Sleep(2);

  // Clients: ten requests a second, each of a session of its own.
  struct Sent
  {
    double mAt = 0;
    int mStatus = -1;
    bool mIsComplete = false;
  };
  std::mutex mutex;
  std::map<int, Sent> sent;
  std::atomic<bool> isOver{ false };
  std::thread clients([&] {
    for (int number = 0; !isOver; ++number) {
      std::thread([&, number] {
        {
          const std::lock_guard<std::mutex> lock(mutex);
          sent[number].mAt = Now();
        }
        const std::string id = AttemptId();
        char own[16];
        std::snprintf(own, sizeof(own), "%08x", 0x10000000 + number);
        Record("sent      attempt=" + id + " session=" + own);
        const Answer answer = Call(
          machines[number % 2]->Front(),
          "POST",
          "/draft/1",
          { { "Host", "records.example" },
            { "Attempt-Id", id },
            { "Model", "small" },
            { "Token-Usage", "826,300" },
            { "Prompt-Prefix", "5c1e07a2:5382," + std::string(own) + ":628" },
            { "Deadline-Ms", "20000" },
            { "Key", "key-of-carrier" } },
          "prompt",
          21);
        Record("answered  attempt=" + id + " " +
               std::to_string(answer.mStatus) +
               (answer.mStatus == 503
                  ? " retry-after=" + answer.mHead.Value("Retry-After") + " " +
                      answer.mBody.substr(0, answer.mBody.find('\n'))
                  : ""));
        const std::lock_guard<std::mutex> lock(mutex);
        sent[number].mStatus = answer.mStatus;
        sent[number].mIsComplete = answer.mIsComplete;
      }).detach();
      Sleep(0.1);
    }
  });
  const auto shareServed = [&](double aFrom, double aTo) {
    const std::lock_guard<std::mutex> lock(mutex);
    int count = 0;
    int served = 0;
    for (const auto& [number, request] : sent) {
      if (request.mAt >= aFrom && request.mAt < aTo) {
        ++count;
        served += request.mStatus == 200 && request.mIsComplete ? 1 : 0;
      }
    }
    Record("summary   sent from " + std::to_string(aFrom) + " to " +
           std::to_string(aTo) + ": " + std::to_string(served) + " of " +
           std::to_string(count) + " served");
    return count == 0 ? 0.0 : static_cast<double>(served) / count;
  };

  Sleep(12);
  const double faultAt = Now();
  if (crashes) {
    for (Replica* const replica : replicas) {
      replica->Crash();
    }
    Sleep(1.5);
    for (Replica* const replica : replicas) {
      replica->Return(kColdSeconds);
    }
    Sleep(2.5);
    for (Replica* const replica : replicas) {
      replica->Crash();
    }
  } else {
    Sleep(4);
  }
  Sleep(1);
  // The final fault: a configuration is acknowledged, and all processes are
  // killed.
  const double finalFaultAt = Now();
  if (kills) {
    store.Put("op/config", config(12));
    Record("operator  op/config version 12 is acknowledged");
    for (Machine* const machine : machines) {
      machine->Kill();
    }
  }
  Sleep(0.5);
  if (crashes) {
    for (Replica* const replica : replicas) {
      replica->Return(kColdSeconds);
    }
  }
  Sleep(0.7);
  if (kills) {
    for (Machine* const machine : machines) {
      machine->Start();
    }
  }
  const double back = Now();
  Sleep(kRecoverSeconds + 40);
  isOver = true;
  clients.join();
  Sleep(6);
  shareServed(0, faultAt - 1);
  const double before = shareServed(0, finalFaultAt);
  const double after =
    shareServed(back + kRecoverSeconds, back + kRecoverSeconds + 39);
  if (before < 0.25) {
    Exit(2, "less than a quarter is served before the final fault");
  }
  for (const char* const prefix : { "quarantine/", "recent-crashes/" }) {
    Record("summary   entries under " + std::string(prefix) + ": " +
           std::to_string(store.CountWith(prefix)));
  }
  if (after < 0.25) {
    Exit(1, "share served later than recover-s: " + std::to_string(after));
  }
  Exit(0, "share served later than recover-s: " + std::to_string(after));
}
