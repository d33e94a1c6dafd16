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
  LoadedSettingsFiles loading = LoadSettingsFiles(options->mOperands);
  Findings findings = std::move(loading.mFindings);
  // NOTE: Where no file could be read, the reader would only add that none
  //       was given.
  if (!loading.mFiles.empty()) {
    const SettingsResult reading = ParseSettings(loading.mFiles);
    findings.insert(
      findings.end(), reading.mFindings.begin(), reading.mFindings.end());
  }
  findings = Sorted(std::move(findings));
  std::fputs((*json ? FindingsJson(findings) : FindingsText(findings)).c_str(),
             stdout);
  if (findings.empty() && !*json) {
    std::printf("%zu files, no findings\n", loading.mFiles.size());
  }
  return findings.empty() ? kExitDone : kExitFindings;
}

} // namespace Acaciavale
