#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <optional>
#include <string>
#include <vector>

/// Reads the operators' INI files into effective settings.
namespace Acaciavale {

/// One file of settings by its name, so that findings can say where.
struct SettingsFile
{
  std::string mName;
  std::string mText;

  auto operator<=>(const SettingsFile&) const = default;
};

/// What reading gave. Settings are present only where there is no finding.
struct SettingsResult
{
  std::optional<Settings> mSettings;
  Findings mFindings;
};

/// Reads all files as one tree and reports every finding, not only the first.
SettingsResult ParseSettings(const std::vector<SettingsFile>& aFiles);

/// Salted hash of a caller's key, hexadecimal.
std::string HashKey(const std::string& aSalt, const std::string& aKey);

/// Whether the key is the account's; takes the same time for every wrong key.
bool KeyMatches(const ClientAccountSettings& aAccount, const std::string& aKey);

} // namespace Acaciavale
