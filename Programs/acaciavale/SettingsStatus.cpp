#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibSettings/FleetStatus.h>

#include <cstdio>
#include <cstdlib>
#include <thread>

namespace Acaciavale {

namespace {

constexpr Duration kPollPeriod = std::chrono::milliseconds(500);

void ShowProgress(const FleetStatus& aStatus)
{
  const auto outdated = OutdatedVms(aStatus);
  std::fprintf(stderr,
               "%zu of %zu VMs have generation %lld\n",
               aStatus.mVms.size() - outdated.size(),
               aStatus.mVms.size(),
               static_cast<long long>(aStatus.mGeneration));
}

/// Whether there is at least one VM, and all VMs have the generation in force.
bool HasReachedAllVms(const FleetStatus& aStatus)
{
  return !aStatus.mVms.empty() && OutdatedVms(aStatus).empty();
}

/// Polls the store until all VMs have the generation in force or the timeout
/// has elapsed.
ErrorOr<FleetStatus> WaitForAllVms(const KeyValueStore& aStore,
                                   Duration aTimeout)
{
  const TimePoint deadline = MonotonicNow() + aTimeout;
  auto status = FetchFleetStatus(aStore);
  while (status && !HasReachedAllVms(*status) && MonotonicNow() < deadline) {
    ShowProgress(*status);
    std::this_thread::sleep_for(kPollPeriod);
    status = FetchFleetStatus(aStore);
  }
  return status;
}

} // namespace

int SettingsStatus(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{
    StoreOption(),
    { "wait", "SECONDS", "Wait up to this long for all VMs; 0 by default." },
    OutputOption()
  };
  const auto options = ParseOptions("settings status", aArguments, specs);
  if (!options || !options->Has("store") || !options->mOperands.empty()) {
    return ReportUsage("settings status --store IP:PORT [OPTION…]", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const auto client = MakeCommandClient(options->Value("store"));
  const auto timeout =
    std::chrono::seconds(std::atoll(options->Value("wait", "0").c_str()));
  const auto status = WaitForAllVms(client->Store(), timeout);
  if (!status) {
    return ReportError("settings status", status.error());
  }
  std::fputs((*json ? StatusJson(*status) : StatusText(*status)).c_str(),
             stdout);
  return HasReachedAllVms(*status) ? kExitDone : kExitFindings;
}

} // namespace Acaciavale
