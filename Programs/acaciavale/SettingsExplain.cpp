#include "CommandOptions.h"
#include "SettingsCommand.h"
#include "SettingsSource.h"

#include <Acaciavale/LibSettings/SettingsReport.h>

#include <cstdio>
#include <map>

namespace Acaciavale {

namespace {

constexpr const char* kUsage =
  "settings explain FILE… | --store IP:PORT\n"
  "       [deployment=] [account=NAME] [model=NAME [version=NAME]]\n"
  "       [cascade=NAME] [service=NAME [route=NAME]] [rollout=NAME]\n"
  "       [objective=NAME] [key=KEY] [OPTION…]";

/// The operands of the form KIND=NAME, and the remaining ones, which are files.
struct Operands
{
  std::map<std::string, std::string> mSelectors;
  std::vector<std::string> mFiles;
};

Operands SplitOperands(const std::vector<std::string>& aOperands)
{
  Operands operands;
  for (const std::string& operand : aOperands) {
    const std::size_t separator = operand.find('=');
    const std::string kind = operand.substr(0, separator);
    const bool isSelector = separator != std::string::npos &&
                            (kind == "key" || ParseSectionKind(kind));
    if (isSelector) {
      operands.mSelectors[kind] = operand.substr(separator + 1);
    } else {
      operands.mFiles.push_back(operand);
    }
  }
  return operands;
}

/// Path of the named section: a version is below its model, a route below its
/// service.
std::string SectionPath(const Operands& aOperands,
                        const std::string& aKind,
                        const std::string& aName)
{
  const auto parent =
    aOperands.mSelectors.find(aKind == "version" ? "model" : "service");
  const bool isChild = aKind == "version" || aKind == "route";
  return isChild && parent != aOperands.mSelectors.end()
           ? parent->second + "/" + aName
           : aName;
}

/// The sections that the selectors name; empty if they name none, which selects
/// all sections.
std::vector<SectionName> SelectedSections(const SettingsTree& aTree,
                                          const Operands& aOperands)
{
  std::vector<SectionName> sections;
  for (const auto& [kind, name] : aOperands.mSelectors) {
    if (kind == "key" ||
        (kind == "model" && aOperands.mSelectors.contains("version")) ||
        (kind == "service" && aOperands.mSelectors.contains("route"))) {
      continue;
    }
    SectionName section{ *ParseSectionKind(kind),
                         SectionPath(aOperands, kind, name) };
    if (kind == "account") {
      section = FindAccountSection(aTree, name).value_or(section);
    }
    sections.push_back(section);
  }
  return sections;
}

/// Explains the settings of the given sections, or of all sections if none is
/// given.
std::vector<ExplainedSetting> ExplainAll(
  const SettingsTree& aTree,
  const std::vector<SectionName>& aSections,
  const std::string& aKey)
{
  std::vector<ExplainedSetting> all;
  for (const SectionName& section : aSections) {
    const auto settings = Explain(aTree, { section, aKey });
    all.insert(all.end(), settings.begin(), settings.end());
  }
  return aSections.empty() ? Explain(aTree, { std::nullopt, aKey }) : all;
}

/// The versions of the selected model that the selected account may use; empty
/// unless both are selected.
std::vector<VersionPermission> PermissionsFor(
  const std::vector<SettingsFile>& aFiles,
  const Operands& aOperands)
{
  const auto account = aOperands.mSelectors.find("account");
  const auto model = aOperands.mSelectors.find("model");
  const SettingsResult parsed = ParseSettings(aFiles);
  if (account == aOperands.mSelectors.end() ||
      model == aOperands.mSelectors.end() || !parsed.mSettings) {
    return {};
  }
  return ListVersionPermissions(
    *parsed.mSettings, account->second, model->second);
}

} // namespace

int SettingsExplain(const std::vector<std::string>& aArguments)
{
  const std::vector<OptionSpec> specs{ StoreOption(),
                                       GenerationOption(),
                                       OutputOption() };
  const auto options = ParseOptions("settings explain", aArguments, specs);
  if (!options || aArguments.empty()) {
    return ReportUsage(kUsage, specs);
  }
  const auto json = WantsJson(*options);
  if (!json) {
    return kExitUsage;
  }
  const Operands operands = SplitOperands(options->mOperands);
  int exitCode = kExitDone;
  const auto source =
    LoadSource("settings explain", *options, operands.mFiles, exitCode);
  if (!source) {
    return exitCode;
  }
  const SettingsTree tree = ParseSettingsTree(source->mFiles).mTree;
  const auto key = operands.mSelectors.find("key");
  const auto explained =
    ExplainAll(tree,
               SelectedSections(tree, operands),
               key == operands.mSelectors.end() ? "" : key->second);
  if (explained.empty()) {
    std::fputs("acaciavale settings explain: no such section or key\n", stderr);
    return kExitFindings;
  }
  const auto permissions = PermissionsFor(source->mFiles, operands);
  std::fputs((*json ? ExplainJson(explained, permissions)
                    : ExplainText(explained) + PermissionsText(permissions))
               .c_str(),
             stdout);
  return kExitDone;
}

} // namespace Acaciavale
