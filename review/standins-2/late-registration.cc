// The answer to a machine's first write of its entry is lost, and the store
// executes the write two seconds later. The machine is ready from then on, but
// does it get new channels? Clients ask both machines where to connect.
#include "kit.hh"

using namespace Kit;

namespace {

constexpr double kContactSeconds = 3.0;
constexpr int kClients = 8;

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  OpenRecord(aArguments[2]);
  const bool hasTrouble = HasTrouble();
  Store store;
  store.Put(
    "op/config",
    Config(7,
           Json::array({ PlainRoute("r-lookup", "/lookup/", "idempotent") }),
           Json::array({ Tenant("carrier", "key-of-carrier") })));
  Replica replica1(store, "records-api", "i-1", AnswerAfter(0.015));
  Replica replica2(store, "records-api", "i-2", AnswerAfter(0.015));
  Machine machine1("edge-1", aArguments[1], store.Port());
  Machine machine2("edge-2", aArguments[1], store.Port());
  machine2.Start();
  if (!AwaitReady(machine2, 15)) {
    Exit(2, "a machine is not ready");
  }
  Sleep(2);
  std::atomic<bool> isLost{ false };
  if (hasTrouble) {
    store.mIntercept = [&](Connection& aConnection, const Request& aRequest) {
      if (aRequest.mTarget != "/api/kv-txn" ||
          aRequest.mBody.find("vms/edge-1") == std::string::npos ||
          isLost.exchange(true)) {
        return false;
      }
      Record("store     the write of vms/edge-1 gets no answer: " +
             aRequest.mBody);
      Sleep(2.0);
      const int status = store.Execute(aRequest);
      Record("store     it is executed now, with status " +
             std::to_string(status));
      aConnection.Close();
      return true;
    };
  }
  machine1.Start();
  if (!AwaitReady(machine1, 15)) {
    Exit(2, "a machine is not ready");
  }
  Sleep(6);
  if (hasTrouble && !isLost) {
    Exit(2, "the machine did not write its entry");
  }

  // Clients ask where to connect every two seconds, and open a new channel for
  // each request.
  std::mutex mutex;
  std::map<int, int> channels;
  std::vector<double> channelsOfFirst;
  std::atomic<bool> isOver{ false };
  std::vector<std::thread> clients;
  const double from = Now();
  for (int client = 0; client < kClients; ++client) {
    clients.emplace_back([&, client] {
      std::vector<std::string> addresses;
      double askedAt = -10;
      unsigned draw = static_cast<unsigned>(client) * 2654435761U + 1;
      while (!isOver) {
        if (Now() - askedAt > 2) {
          askedAt = Now();
          const Machine& asked = client % 2 == 0 ? machine1 : machine2;
          const Answer answer = Call(
            asked.Directory(),
            "GET",
            "/api/resolve?name=records.example&region=hr-central&zone=zg-a",
            { { "Host", "x" } },
            "",
            1);
          if (answer.mStatus == 200) {
            addresses.clear();
            const Json body = Json::parse(answer.mBody);
            for (const Json& address : body.at("addresses")) {
              addresses.push_back(address.get<std::string>());
            }
            Record("resolve   client " + std::to_string(client) + " at " +
                   asked.Name() + ": " + answer.mBody);
          }
        }
        if (addresses.empty()) {
          Sleep(0.1);
          continue;
        }
        draw = draw * 1664525U + 1013904223U;
        const std::string address = addresses[(draw >> 16) % addresses.size()];
        const int port = std::stoi(address.substr(address.find(':') + 1));
        const Answer answer = Call(port,
                                   "GET",
                                   "/lookup/1",
                                   { { "Host", "records.example" },
                                     { "Attempt-Id", AttemptId() },
                                     { "Deadline-Ms", "1000" },
                                     { "Key", "key-of-carrier" } },
                                   "",
                                   2);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          ++channels[port];
          if (port == machine1.Front() && answer.mStatus == 200) {
            channelsOfFirst.push_back(Now());
          }
        }
        std::this_thread::sleep_for(std::chrono::milliseconds(200));
      }
    });
  }
  double readySince = Now();
  const double end = Now() + 40;
  while (Now() < end) {
    if (!machine1.IsReady()) {
      readySince = Now();
    }
    Sleep(0.5);
  }
  isOver = true;
  for (std::thread& client : clients) {
    client.join();
  }
  double longest = 0;
  double last = std::max(from, readySince);
  channelsOfFirst.push_back(Now());
  for (const double at : channelsOfFirst) {
    longest = std::max(longest, at - last);
    last = std::max(last, at);
  }
  Record(
    "summary   edge-1 is ready since " + std::to_string(readySince) +
    "; new channels to edge-1: " + std::to_string(channels[machine1.Front()]) +
    ", to edge-2: " + std::to_string(channels[machine2.Front()]) +
    "; longest time without one at edge-1: " + std::to_string(longest) +
    " s; its entry " +
    (store.Value("vms/edge-1") ? "exists" : "does not exist"));
  if (longest > kContactSeconds) {
    Exit(1,
         "edge-1 is ready and takes no new channel for " +
           std::to_string(longest) + " s");
  }
  Exit(0,
       "edge-1 takes new channels, with at most " + std::to_string(longest) +
         " s between");
}
