// A route of streams whose requests may not be resumed lets the system choose
// among models. The replica of the small model answers with a low confidence.
// Such a request may run at most once.
#include "kit.h"

using namespace Kit;

namespace {

/// Streams events with rising ids, in chunks.
Replica::Script Stream(bool aIsUnsure)
{
  return [aIsUnsure](Replica& aSelf, Connection& aConnection, const Request& aRequest) {
    const bool isSmall = aRequest.mHead.Value("Model") != "large";
    std::string head = "HTTP/1.1 200 OK\r\n";
    for (const auto& [name, value] : aSelf.AnswerFields(aRequest)) {
      head += name + ": " + value + "\r\n";
    }
    head += "Content-Type: text/event-stream\r\nConfidence: " +
            std::string(isSmall && aIsUnsure ? "3" : "97") +
            "\r\nTransfer-Encoding: chunked\r\n\r\n";
    Sleep(0.05);
    SendAll(aConnection.mFd, head);
    for (int event = 1; event <= 10; ++event) {
      Sleep(0.05);
      const std::string text =
        "id: " + std::to_string(event) + "\ndata: token " +
        std::to_string(event) + " of " + aRequest.mHead.Value("Model") + "\n\n";
      char size[16];
      std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
      if (aConnection.IsClosedByPeer() ||
          !SendAll(aConnection.mFd, size + text + "\r\n")) {
        Record("cut       attempt=" + aRequest.mHead.Value("Attempt-Id") +
               " at " + aSelf.Id() + " before event " + std::to_string(event));
        aConnection.Close();
        return;
      }
    }
    SendAll(aConnection.mFd, "0\r\n\r\n");
    Record("finished  attempt=" + aRequest.mHead.Value("Attempt-Id") + " at " +
           aSelf.Id() + " model=" + aRequest.mHead.Value("Model"));
  };
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  OpenRecord(aArguments[2]);
  const bool hasTrouble = HasTrouble();
  Store store;
  const Json route = { { "name", "r-draft" },
                       { "host", "records.example" },
                       { "path-prefix", "/draft/" },
                       { "route-kind", "streaming" },
                       { "timeout-ms", 20000 },
                       { "goal-ms", 2000 },
                       { "gap-goal-ms", 1500 },
                       { "priority", 0 },
                       { "sizes", { "small", "middle", "large" } },
                       { "service", "model-pool" },
                       { "max-attempts", 3 },
                       { "public", false },
                       { "sticky", true },
                       { "resumable", false } };
  store.Put("op/config",
            Config(7,
                   Json::array({ route }),
                   Json::array({ Tenant("carrier", "key-of-carrier") })));
  Replica replica1(store, "model-pool", "i-1", Stream(hasTrouble), 64);
  Replica replica2(store, "model-pool", "i-2", Stream(hasTrouble), 64);
  Machine machine("edge-1", aArguments[1], store.Port());
  machine.Start();
  if (!AwaitReady(machine, 15)) {
    Exit(2, "the machine is not ready");
  }
  Sleep(1);
  int twice = 0;
  int complete = 0;
  const int sent = 20;
  for (int round = 0; round < sent; ++round) {
    const std::string id = AttemptId();
    Record("sent      attempt=" + id);
    const Answer answer = Call(machine.Front(),
                               "POST",
                               "/draft/1",
                               { { "Host", "records.example" },
                                 { "Attempt-Id", id },
                                 { "Model", "*" },
                                 { "Token-Usage", "826,300" },
                                 { "Prompt-Prefix",
                                   "5c1e07a2:198,91bd3f06:628" },
                                 { "Deadline-Ms", "20000" },
                                 { "Key", "key-of-carrier" } },
                               "prompt",
                               20);
    const int runs = replica1.RunsOf(id) + replica2.RunsOf(id);
    Record("answered  attempt=" + id + " " + std::to_string(answer.mStatus) +
           (answer.mIsComplete ? " complete" : " incomplete") +
           " runs=" + std::to_string(runs));
    twice += runs > 1 ? 1 : 0;
    complete += answer.mIsComplete ? 1 : 0;
  }
  if (complete == 0) {
    Exit(2, "no stream was complete");
  }
  if (twice > 0) {
    Exit(1,
         std::to_string(twice) + " of " + std::to_string(sent) +
           " requests that may run once ran more than once");
  }
  Exit(0, "no request ran more than once");
}
