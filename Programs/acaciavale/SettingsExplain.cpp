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

/// The operands "what=name", and the others, which are files.
struct Operands
{
  std::map<std::string, std::string> mSelectors;
  std::vector<std::string> mFiles;
};

Operands Split(const std::vector<std::string>& aOperands)
{
  Operands operands;
  for (const std::string& operand : aOperands) {
    const std::size_t mark = operand.find('=');
    const std::string what = operand.substr(0, mark);
    const bool isSelector =
      mark != std::string::npos && (what == "key" || ParseSectionKind(what));
    if (isSelector) {
      operands.mSelectors[what] = operand.substr(mark + 1);
    } else {
      operands.mFiles.push_back(operand);
    }
  }
  return operands;
}

/// A version goes by its model, a route by its service.
std::string PathOf(const Operands& aOperands,
                   const std::string& aWhat,
                   const std::string& aName)
{
  const auto above =
    aOperands.mSelectors.find(aWhat == "version" ? "model" : "service");
  const bool isChild = aWhat == "version" || aWhat == "route";
  return isChild && above != aOperands.mSelectors.end()
           ? above->second + "/" + aName
           : aName;
}

/// The sections that the selectors name; none for all sections.
std::vector<SectionName> SectionsOf(const SettingsTree& aTree,
                                    const Operands& aOperands)
{
  std::vector<SectionName> sections;
  for (const auto& [what, name] : aOperands.mSelectors) {
    if (what == "key" ||
        (what == "model" && aOperands.mSelectors.contains("version")) ||
        (what == "service" && aOperands.mSelectors.contains("route"))) {
      continue;
    }
    SectionName section{ *ParseSectionKind(what),
                         PathOf(aOperands, what, name) };
    if (what == "account") {
      section = FindAccountSection(aTree, name).value_or(section);
    }
    sections.push_back(section);
  }
  return sections;
}

/// Explains each section; an empty list where one of them is not there.
std::vector<ExplainedSetting> ExplainAll(
  const SettingsTree& aTree,
  const std::vector<SectionName>& aSections,
  const std::string& aKey)
{
  std::vector<ExplainedSetting> all;
  for (const SectionName& section : aSections) {
    const auto some = Explain(aTree, { section, aKey });
    all.insert(all.end(), some.begin(), some.end());
  }
  return aSections.empty() ? Explain(aTree, { std::nullopt, aKey }) : all;
}

/// Where both an account and a model are named: which versions it may use.
std::vector<VersionPermission> PermissionsFor(
  const std::vector<SettingsFile>& aFiles,
  const Operands& aOperands)
{
  const auto account = aOperands.mSelectors.find("account");
  const auto model = aOperands.mSelectors.find("model");
  const SettingsResult reading = ParseSettings(aFiles);
  if (account == aOperands.mSelectors.end() ||
      model == aOperands.mSelectors.end() || !reading.mSettings) {
    return {};
  }
  return ListVersionPermissions(
    *reading.mSettings, account->second, model->second);
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
  const Operands operands = Split(options->mOperands);
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
               SectionsOf(tree, operands),
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
