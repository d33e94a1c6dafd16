#include <Acaciavale/LibSettings/SettingsTree.h>

#include "IniScan.h"
#include "Text.h"
#include "TreeBuilder.h"
#include "Values.h"

#include <algorithm>
#include <set>

namespace Acaciavale {

namespace {

/// Returns the parent by path alone, whether or not it exists in the tree.
std::optional<SectionName> PathParent(const SectionName& aName)
{
  if (aName.mPath.empty()) {
    if (aName.mKind == SectionKind::Version) {
      return SectionName{ SectionKind::Model, "" };
    }
    if (aName.mKind == SectionKind::Route) {
      return SectionName{ SectionKind::Service, "" };
    }
    return std::nullopt;
  }
  const std::size_t slash = aName.mPath.rfind('/');
  const std::string parentPath =
    slash == std::string::npos ? "" : aName.mPath.substr(0, slash);
  if (aName.mKind == SectionKind::Version) {
    return SectionName{ SectionKind::Model, parentPath };
  }
  if (aName.mKind == SectionKind::Route) {
    return SectionName{ SectionKind::Service, parentPath };
  }
  return SectionName{ aName.mKind, parentPath };
}

bool StatesValue(const SettingsTree& aTree,
                 const SectionName& aName,
                 const std::string& aKey)
{
  const auto section = aTree.mSections.find(aName);
  return section != aTree.mSections.end() &&
         section->second.mValues.contains(aKey);
}

void AddOrigin(const SettingsTree& aTree,
               const SectionName& aName,
               const SettingRow& aRow,
               std::vector<Origin>& aOrigins)
{
  if (FindRow(aName.mKind, aRow.mName) &&
      StatesValue(aTree, aName, aRow.mName)) {
    aOrigins.push_back(
      { aName, aTree.mSections.at(aName).mValues.at(aRow.mName) });
  }
}

} // namespace

std::string Describe(const SectionName& aName)
{
  return aName.mPath.empty() ? NameOf(aName.mKind)
                             : NameOf(aName.mKind) + " " + aName.mPath;
}

std::optional<SectionName> ParseSectionName(const std::string& aText)
{
  const std::size_t space = std::min(aText.find(' '), aText.size());
  const auto kind = ParseSectionKind(aText.substr(0, space));
  if (!kind) {
    return std::nullopt;
  }
  return SectionName{ *kind, Trimmed(aText.substr(space)) };
}

std::optional<SectionName> ParentOf(const SettingsTree& aTree,
                                    const SectionName& aName)
{
  if (aName.mKind == SectionKind::Account &&
      StatesValue(aTree, aName, "inherits")) {
    return SectionName{
      SectionKind::Account,
      aTree.mSections.at(aName).mValues.at("inherits").mText
    };
  }
  return PathParent(aName);
}

std::vector<SectionName> AncestorsOf(const SettingsTree& aTree,
                                     const SectionName& aName)
{
  std::vector<SectionName> ancestors;
  std::set<SectionName> seen{ aName };
  auto parent = ParentOf(aTree, aName);
  while (parent && seen.insert(*parent).second) {
    ancestors.push_back(*parent);
    parent = ParentOf(aTree, *parent);
  }
  return ancestors;
}

std::set<SectionName> FindGroups(const SettingsTree& aTree)
{
  std::set<SectionName> groups;
  for (const auto& [name, section] : aTree.mSections) {
    const auto parent = ParentOf(aTree, name);
    if (parent && parent->mKind == name.mKind) {
      groups.insert(*parent);
    }
  }
  return groups;
}

EffectiveValue ResolveValue(const SettingsTree& aTree,
                            const SectionName& aName,
                            const SettingRow& aRow)
{
  EffectiveValue value{ aRow, aRow.mDefault, {} };
  AddOrigin(aTree, aName, aRow, value.mOrigins);
  if (aRow.mInherited) {
    for (const SectionName& ancestor : AncestorsOf(aTree, aName)) {
      AddOrigin(aTree, ancestor, aRow, value.mOrigins);
    }
  }
  if (!value.mOrigins.empty()) {
    value.mText = value.mOrigins.front().mValue.mText;
  }
  return value;
}

std::vector<EffectiveValue> ResolveAllValues(const SettingsTree& aTree,
                                             const SectionName& aName)
{
  std::vector<EffectiveValue> values;
  for (const SettingRow& row : AllowedRows(aName.mKind)) {
    values.push_back(ResolveValue(aTree, aName, row));
  }
  return values;
}

std::string DisplayValue(const SettingRow& aRow, const std::string& aText)
{
  return aRow.mType == SettingType::Secret && !aText.empty() ? "(hidden)"
                                                             : aText;
}

SettingsTreeResult ParseSettingsTree(const std::vector<SettingsFile>& aFiles)
{
  TreeBuilder builder;
  for (const SettingsFile& file : aFiles) {
    builder.AddFile(file.mName, ScanIni(file));
  }
  if (aFiles.empty()) {
    return { {}, { { { "", 0 }, "no settings file was given" } } };
  }
  return builder.Build();
}

} // namespace Acaciavale
