#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsTable.h>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

/// The tree of sections as written, and the effective value of each setting
/// with the place where it was set.
namespace Acaciavale {

/// The name of a section: its kind and its path, "account carriers/adria".
struct SectionName
{
  SectionKind mKind = SectionKind::Deployment;
  std::string mPath; ///< Empty for the defaults of the kind.

  auto operator<=>(const SectionName&) const = default;
};

std::string Describe(const SectionName& aName);

/// Reads "account carriers/adria"; nothing where it names no section kind.
std::optional<SectionName> ParseSectionName(const std::string& aText);

/// A value as written.
struct TreeValue
{
  std::string mText;
  Place mPlace;

  auto operator<=>(const TreeValue&) const = default;
};

struct TreeSection
{
  SectionName mName;
  Place mPlace;
  std::map<std::string, TreeValue> mValues;

  auto operator<=>(const TreeSection&) const = default;
};

struct SettingsTree
{
  std::map<SectionName, TreeSection> mSections;

  auto operator<=>(const SettingsTree&) const = default;
};

/// A tree with the findings of its syntax, keys and inheritance.
struct SettingsTreeResult
{
  SettingsTree mTree;
  Findings mFindings;
};

/// Reads the files as one tree. Findings of single values and of the tree's
/// shape are collected; those across sections are found by ReadSettings.
SettingsTreeResult ParseSettingsTree(const std::vector<SettingsFile>& aFiles);

/// One statement of a value: the section that makes it and where.
struct Origin
{
  SectionName mSection;
  TreeValue mValue;

  auto operator<=>(const Origin&) const = default;
};

/// What is in force for one setting of one section.
struct EffectiveValue
{
  SettingRow mRow;
  std::string mText;            ///< The value in force.
  std::vector<Origin> mOrigins; ///< Nearest first; empty for the default.

  auto operator<=>(const EffectiveValue&) const = default;
};

/// The section that this one inherits from, or nothing.
std::optional<SectionName> ParentOf(const SettingsTree& aTree,
                                    const SectionName& aName);

/// This section's ancestors, nearest first; stops at a cycle.
std::vector<SectionName> AncestorsOf(const SettingsTree& aTree,
                                     const SectionName& aName);

/// The sections that others of the same kind inherit from.
std::set<SectionName> FindGroups(const SettingsTree& aTree);

/// The value in force, with where it was set and what it overrode.
EffectiveValue ResolveValue(const SettingsTree& aTree,
                            const SectionName& aName,
                            const SettingRow& aRow);

/// All settings in force of a section.
std::vector<EffectiveValue> ResolveAllValues(const SettingsTree& aTree,
                                             const SectionName& aName);

/// The text of a value for people; secrets are replaced by a word.
std::string DisplayValue(const SettingRow& aRow, const std::string& aText);

} // namespace Acaciavale
