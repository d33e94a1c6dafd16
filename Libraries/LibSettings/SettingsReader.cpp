#include <Acaciavale/LibSettings/SettingsReader.h>

#include "CrossChecks.h"
#include "EffectiveSettings.h"

#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

SettingsReading ReadSettings(const std::vector<SettingsFile>& aFiles)
{
  TreeReading reading = ReadSettingsTree(aFiles);
  Settings settings = BuildSettings(reading.mTree);
  Findings findings = std::move(reading.mFindings);
  const SectionName deployment{ SectionKind::Deployment, "" };
  if (!aFiles.empty() && !reading.mTree.mSections.contains(deployment)) {
    findings.push_back(
      { { aFiles.front().mName, 0 }, "there is no [deployment] section" });
  }
  AddCrossFindings(reading.mTree, settings, findings);
  findings = Sorted(std::move(findings));
  if (!findings.empty()) {
    return { std::nullopt, std::move(findings) };
  }
  return { std::move(settings), {} };
}

} // namespace Acaciavale
