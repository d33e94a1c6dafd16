// A configuration takes the keys away from the only tenant by removing it; the
// list of tenants is empty from then on. Requests with the key, and with a key
// that was never held, must not run later than `revoke-ms` after the ack.
#include "kit.hh"

using namespace Kit;

namespace {

constexpr double kRevokeSeconds = 5.0;

Json Routes()
{
  return Json::array({ PlainRoute("r-signoff", "/signoff/", "non_idempotent"),
                       PlainRoute("r-lookup", "/lookup/", "idempotent") });
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
  store.Put(
    "op/config",
    Config(7, Routes(), Json::array({ Tenant("carrier", "key-of-carrier") })));
  Replica replica1(store, "records-api", "i-1", AnswerAfter(0.015));
  Replica replica2(store, "records-api", "i-2", AnswerAfter(0.015));
  Machine machine1("edge-1", aArguments[1], store.Port());
  Machine machine2("edge-2", aArguments[1], store.Port());
  machine1.Start();
  machine2.Start();
  if (!AwaitReady(machine1, 15) || !AwaitReady(machine2, 15)) {
    Exit(2, "the machines are not ready");
  }
  Sleep(4);

  const auto send = [&](const Machine& aMachine,
                        const std::string& aTarget,
                        const std::string& aMethod,
                        const std::string& aKey) {
    const std::string id = AttemptId();
    std::vector<std::pair<std::string, std::string>> fields = {
      { "Host", "records.example" },
      { "Attempt-Id", id },
      { "Deadline-Ms", "1000" }
    };
    if (!aKey.empty()) {
      fields.push_back({ "Key", aKey });
    }
    Record("sent      attempt=" + id + " to " + aMachine.Name() + " " +
           aMethod + " " + aTarget + " key=" + aKey);
    const Answer answer = Call(aMachine.Front(),
                               aMethod,
                               aTarget,
                               fields,
                               aMethod == "POST" ? "drill 17 is complete" : "",
                               2);
    Record("answered  attempt=" + id + " " + std::to_string(answer.mStatus));
    return replica1.RunsOf(id) + replica2.RunsOf(id);
  };

  if (send(machine1, "/signoff/1", "POST", "key-of-carrier") != 1 ||
      send(machine2, "/lookup/1", "GET", "key-of-carrier") != 1) {
    Exit(2, "the key does not work before the change");
  }
  if (send(machine1, "/signoff/2", "POST", "key-of-nobody") != 0) {
    Exit(2, "an unknown key works before the change");
  }

  // The last tenant goes. Without the disruption another tenant stays, and the
  // same key is taken away.
  Json tenants = Json::array();
  if (!hasTrouble) {
    tenants.push_back(Tenant("other-carrier", "key-of-other"));
  }
  store.Put("op/config", Config(12, Routes(), tenants));
  const double ack = Now();
  Record("operator  op/config version 12 is acknowledged: tenants=" +
         tenants.dump());

  Sleep(kRevokeSeconds + 0.5);
  int ranRevoked = 0;
  int ranUnknown = 0;
  int sent = 0;
  for (int round = 0; round < 10; ++round) {
    for (const Machine* const machine : { &machine1, &machine2 }) {
      ranRevoked +=
        send(*machine, "/signoff/3", "POST", "key-of-carrier") > 0 ? 1 : 0;
      ranUnknown +=
        send(*machine, "/lookup/3", "GET", "key-of-nobody") > 0 ? 1 : 0;
      ++sent;
    }
    Sleep(0.2);
  }
  Record("summary   from " + std::to_string(kRevokeSeconds + 0.5) +
         " s after the ack at " + std::to_string(ack) + ": " +
         std::to_string(ranRevoked) + " of " + std::to_string(sent) +
         " requests with the key that was taken away ran, " +
         std::to_string(ranUnknown) + " of " + std::to_string(sent) +
         " with a key that no configuration held");
  if (ranRevoked > 0 || ranUnknown > 0) {
    Exit(1,
         std::to_string(ranRevoked) + " requests with a key taken away and " +
           std::to_string(ranUnknown) + " with an unknown key ran");
  }
  Exit(0, "no request with a key taken away or unknown ran");
}
