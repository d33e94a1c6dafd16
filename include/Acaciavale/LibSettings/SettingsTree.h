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

/// The name of a section: its kind and its path, as in "account
/// carriers/adria".
struct SectionName
{
  SectionKind mKind = SectionKind::Deployment;
  std::string mPath; ///< Empty for the defaults of the kind.

  auto operator<=>(const SectionName&) const = default;
};

std::string Describe(const SectionName& aName);

/// Parses a name such as "account carriers/adria"; returns nothing if it does
/// not start with a section kind.
std::optional<SectionName> ParseSectionName(const std::string& aText);

/// A value as written in a file.
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

/// A tree, and the findings about its syntax, keys and inheritance.
struct SettingsTreeResult
{
  SettingsTree mTree;
  Findings mFindings;
};

/// Parses the files as one tree. Reports findings about single values and about
/// the structure of the tree; ParseSettings adds those that involve several
/// sections.
SettingsTreeResult ParseSettingsTree(const std::vector<SettingsFile>& aFiles);

/// A section that states a value, and the value with its place.
struct Origin
{
  SectionName mSection;
  TreeValue mValue;

  auto operator<=>(const Origin&) const = default;
};

/// The value in force of one setting in one section.
struct EffectiveValue
{
  SettingRow mRow;
  std::string mText; ///< The value in force.
  /// Nearest section first; empty if the default applies.
  std::vector<Origin> mOrigins;

  auto operator<=>(const EffectiveValue&) const = default;
};

/// Returns the section that this one inherits from, or nothing.
std::optional<SectionName> ParentOf(const SettingsTree& aTree,
                                    const SectionName& aName);

/// Returns the section's ancestors, nearest first; stops at a cycle.
std::vector<SectionName> AncestorsOf(const SettingsTree& aTree,
                                     const SectionName& aName);

/// Returns the groups: sections from which another section of the same kind
/// inherits.
std::set<SectionName> FindGroups(const SettingsTree& aTree);

/// Returns the value in force, where it is stated and which values it
/// overrides.
EffectiveValue ResolveValue(const SettingsTree& aTree,
                            const SectionName& aName,
                            const SettingRow& aRow);

/// Returns the values in force of all settings that a section may state.
std::vector<EffectiveValue> ResolveAllValues(const SettingsTree& aTree,
                                             const SectionName& aName);

/// Returns the value for display; a secret is replaced by "(hidden)".
std::string DisplayValue(const SettingRow& aRow, const std::string& aText);

} // namespace Acaciavale
