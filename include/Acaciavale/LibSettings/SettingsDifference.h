#pragma once

#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <string>
#include <vector>

/// Differences between two sets of settings files, and their effects on
/// callers.
namespace Acaciavale {

/// A value that was added, removed or changed in a section. Secrets are hidden.
struct ValueChange
{
  SectionName mSection;
  std::string mKey;
  std::string mBefore; ///< "(not stated)" if the section did not state it.
  std::string mAfter;

  auto operator<=>(const ValueChange&) const = default;
};

struct SettingsDifference
{
  std::vector<ValueChange> mChanges;
  /// Effects of the changes, such as "3 accounts lose version m/a: x, y, z".
  std::vector<std::string> mEffects;

  auto operator<=>(const SettingsDifference&) const = default;
};

/// Returns the changed values and their effects, from aBefore to aAfter.
SettingsDifference CompareSettings(const std::vector<SettingsFile>& aBefore,
                                   const std::vector<SettingsFile>& aAfter);

} // namespace Acaciavale
