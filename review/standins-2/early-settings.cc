// The machine's process is killed and starts again; a second later the platform
// changes its settings (its store has another address) and sends SIGHUP. The
// rule RECOVER is checked from `recover-s` after the start on.
#include "kit.hh"

using namespace Kit;

namespace {

constexpr double kRecoverSeconds = 12.0;

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount < 3) {
    return 2;
  }
  OpenRecord(aArguments[2]);
  const bool hasTrouble = HasTrouble();
  // Seconds between the start of the processes and the change, to show from
  // when on a change is followed.
  const char* const delayText = std::getenv("CHANGE_AFTER");
  const double delay = delayText == nullptr ? 1.0 : std::atof(delayText);
  Store store;
  const auto newAddress = store.OtherAddress();
  store.Put("op/config",
            Config(7,
                   Json::array({ PlainRoute(
                     "r-signoff", "/signoff/", "non_idempotent") }),
                   Json::array({ Tenant("carrier", "key-of-carrier") })));
  Replica replica1(store, "records-api", "i-1", AnswerAfter(0.015));
  Replica replica2(store, "records-api", "i-2", AnswerAfter(0.015));
  Machine machine("edge-1", aArguments[1], store.Port());
  machine.Start();
  if (!AwaitReady(machine, 15)) {
    Exit(2, "the machine is not ready");
  }

  const auto servedOf = [&](int aRounds) {
    int served = 0;
    for (int round = 0; round < aRounds; ++round) {
      const std::string id = AttemptId();
      Record("sent      attempt=" + id + " to " + machine.Name());
      const Answer answer = Call(machine.Front(),
                                 "POST",
                                 "/signoff/1",
                                 { { "Host", "records.example" },
                                   { "Attempt-Id", id },
                                   { "Deadline-Ms", "1000" },
                                   { "Key", "key-of-carrier" } },
                                 "drill 17 is complete",
                                 2);
      Record("answered  attempt=" + id + " " + std::to_string(answer.mStatus));
      served += answer.mStatus == 200 ? 1 : 0;
      Sleep(0.2);
    }
    return served;
  };
  const int before = servedOf(20);
  if (before < 15) {
    Exit(2, "requests are not served before the fault");
  }

  // The final fault: all processes are killed, here one. It starts again with
  // the settings in effect at that moment.
  machine.Kill();
  Sleep(1);
  machine.Start();
  const double back = Now();
  Sleep(delay);
  if (hasTrouble) {
    machine.Set("platform.address", Local(newAddress->Port()));
    machine.WriteSettings();
    Record("platform  the settings name " + Local(newAddress->Port()) +
           " as the store's address, " + std::to_string(Now() - back) +
           " s after the start");
    machine.Signal(SIGHUP, "SIGHUP");
    store.Listener().StopListening();
    Record("platform  the store's former address is closed");
  }
  Sleep(std::max(0.0, back + kRecoverSeconds + 0.5 - Now()));
  const int sent = 60;
  const int served = servedOf(sent);
  Record("summary   served before the fault: " + std::to_string(before) +
         " of 20; later than recover-s: " + std::to_string(served) + " of " +
         std::to_string(sent));
  Record("summary   " + machine.Name() +
         (machine.IsReady() ? " is ready" : " is not ready"));
  if (served * 4 < sent) {
    Exit(1,
         std::to_string(served) + " of " + std::to_string(sent) +
           " requests are served later than recover-s");
  }
  Exit(0,
       std::to_string(served) + " of " + std::to_string(sent) +
         " requests are served later than recover-s");
}
