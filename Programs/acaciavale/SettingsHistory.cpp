#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsReport.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace Acaciavale {

namespace {

constexpr std::int64_t kDefaultCount = 20;

ErrorOr<std::vector<SettingsRoot>> FetchLastRoots(const KeyValueStore& aStore,
                                                  std::int64_t aCount)
{
  const SettingsRoot latest = ACACIAVALE_TRY(FetchRoot(aStore));
  const std::int64_t from =
    aCount == 0 ? 1
                : std::max<std::int64_t>(1, latest.mGeneration - aCount + 1);
  return FetchHistory(aStore, from);
}

} // namespace

int SettingsHistory(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{
    StoreOption(),
    { "last", "N", "Number of generations to list; 0 for all, 20 by default." },
    OutputOption()
  };
  const auto options = ParseOptions("settings history", aArguments, specs);
  if (!options || !options->Has("store") || !options->mOperands.empty()) {
    return ReportUsage("settings history --store IP:PORT [OPTION…]", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const std::int64_t count =
    std::atoll(options->Value("last", std::to_string(kDefaultCount)).c_str());
  const auto client = MakeCommandClient(options->Value("store"));
  const auto roots = FetchLastRoots(client->Store(), count);
  if (!roots) {
    return ReportError("settings history", roots.error());
  }
  std::fputs((*json ? HistoryJson(*roots) : HistoryText(*roots)).c_str(),
             stdout);
  return kExitDone;
}

} // namespace Acaciavale
