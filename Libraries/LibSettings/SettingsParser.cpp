#include <Acaciavale/LibSettings/SettingsParser.h>

#include "CrossChecks.h"
#include "EffectiveSettings.h"

#include <Acaciavale/LibSettings/SettingsTree.h>

namespace Acaciavale {

SettingsResult ParseSettings(const std::vector<SettingsFile>& aFiles)
{
  SettingsTreeResult treeResult = ParseSettingsTree(aFiles);
  Settings settings = BuildSettings(treeResult.mTree);
  Findings findings = std::move(treeResult.mFindings);
  const SectionName deployment{ SectionKind::Deployment, "" };
  if (!aFiles.empty() && !treeResult.mTree.mSections.contains(deployment)) {
    findings.push_back(
      { { aFiles.front().mName, 0 }, "there is no [deployment] section" });
  }
  AddCrossSectionFindings(treeResult.mTree, settings, findings);
  findings = Sorted(std::move(findings));
  if (!findings.empty()) {
    return { std::nullopt, std::move(findings) };
  }
  return { std::move(settings), {} };
}

} // namespace Acaciavale
