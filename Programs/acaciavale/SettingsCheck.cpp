#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>
#include <Acaciavale/LibSettings/SettingsReport.h>

#include <cstdio>

namespace Acaciavale {

int SettingsCheck(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ OutputOption() };
  const auto options = ParseOptions("settings check", aArguments, specs);
  if (!options || options->mOperands.empty()) {
    return ReportUsage("settings check FILE… [OPTION…]", specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  LoadedSettingsFiles loaded = LoadSettingsFiles(options->mOperands);
  Findings findings = std::move(loaded.mFindings);
  // NOTE: If no file could be read, the parser would only add the finding that
  //       no file was given.
  if (!loaded.mFiles.empty()) {
    const SettingsResult parsed = ParseSettings(loaded.mFiles);
    findings.insert(
      findings.end(), parsed.mFindings.begin(), parsed.mFindings.end());
  }
  findings = Sorted(std::move(findings));
  std::fputs((*json ? FindingsJson(findings) : FindingsText(findings)).c_str(),
             stdout);
  if (findings.empty() && !*json) {
    std::printf("%zu files, no findings\n", loaded.mFiles.size());
  }
  return findings.empty() ? kExitDone : kExitFindings;
}

} // namespace Acaciavale
