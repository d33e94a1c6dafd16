#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsDifference.h>
#include <Acaciavale/LibSettings/SettingsReport.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <cstdio>
#include <cstdlib>
#include <memory>

namespace Acaciavale {

namespace {

/// Fetches the settings to compare with: those of the requested generation, or
/// those in force, which are empty before the first apply.
ErrorOr<StoredSettings> FetchBefore(const ParsedOptions& aOptions)
{
  const auto client = MakeCommandClient(aOptions.Value("store"));
  const std::string generation = aOptions.Value("generation");
  if (!generation.empty()) {
    return FetchGeneration(client->Store(), std::atoll(generation.c_str()));
  }
  auto latest = FetchLatest(client->Store());
  if (!latest && latest.error().mCode == ErrorCode::NotFound) {
    return StoredSettings{};
  }
  return latest;
}

} // namespace

int SettingsDiff(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(),
                                       GenerationOption(),
                                       OutputOption() };
  const auto options = ParseOptions("settings diff", aArguments, specs);
  if (!options || options->mOperands.empty() || !options->Has("store")) {
    return ReportUsage("settings diff FILE… --store IP:PORT [OPTION…]", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const auto files = LoadCheckedFiles(options->mOperands);
  if (!files) {
    return kExitFindings;
  }
  const auto before = FetchBefore(*options);
  if (!before) {
    return ReportError("settings diff", before.error());
  }
  const auto difference = CompareSettings(before->mFiles, *files);
  const std::int64_t generation = before->mRoot.mGeneration;
  std::fputs((*json ? DifferenceJson(difference, generation)
                    : DifferenceText(difference))
               .c_str(),
             stdout);
  if (!*json) {
    std::printf("compared with generation %lld\n",
                static_cast<long long>(generation));
  }
  return kExitDone;
}

} // namespace Acaciavale
