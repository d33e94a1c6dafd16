#pragma once

#include <Acaciavale/LibSettings/Settings.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <string>
#include <vector>

/// What changes between two trees, and what that means for callers.
namespace Acaciavale {

/// One stated value that was added, removed or changed. Secrets are hidden.
struct ValueChange
{
  SectionName mSection;
  std::string mKey;
  std::string mBefore; ///< "(not stated)" where it was not.
  std::string mAfter;

  auto operator<=>(const ValueChange&) const = default;
};

struct SettingsDifference
{
  std::vector<ValueChange> mChanges;
  /// Sentences such as "3 accounts lose version m/a: x, y, z".
  std::vector<std::string> mEffects;

  auto operator<=>(const SettingsDifference&) const = default;
};

SettingsDifference CompareSettings(const std::vector<SettingsFile>& aBefore,
                                   const std::vector<SettingsFile>& aAfter);

} // namespace Acaciavale
