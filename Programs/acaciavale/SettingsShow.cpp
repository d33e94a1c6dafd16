#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsReport.h>

#include <cstdio>

namespace Acaciavale {

int SettingsShow(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(),
                                       GenerationOption(),
                                       OutputOption() };
  const auto options = ParseOptions("settings show", aArguments, specs);
  if (!options || aArguments.empty()) {
    return ReportUsage("settings show FILE… | --store IP:PORT [OPTION…]",
                       specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  int exitCode = kExitDone;
  const auto source =
    LoadSource("settings show", *options, options->mOperands, exitCode);
  if (!source) {
    return exitCode;
  }
  if (source->mRoot.mGeneration > 0 && !*json) {
    std::printf("; generation %s", HistoryText({ source->mRoot }).c_str());
  }
  std::fputs(
    (*json ? FilesJson(source->mFiles) : FilesText(source->mFiles)).c_str(),
    stdout);
  return kExitDone;
}

} // namespace Acaciavale
