#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <optional>
#include <string>
#include <vector>

/// Parses the operators' INI files into effective settings.
namespace Acaciavale {

/// A settings file. Findings refer to it by its name.
struct SettingsFile
{
  std::string mName;
  std::string mText;

  auto operator<=>(const SettingsFile&) const = default;
};

/// The result of parsing. The settings are present only if there is no finding.
struct SettingsResult
{
  std::optional<Settings> mSettings;
  Findings mFindings;
};

/// Parses all files as one tree and reports every finding, not only the first.
SettingsResult ParseSettings(const std::vector<SettingsFile>& aFiles);

/// Returns the SHA-256 of salt and key in hexadecimal.
std::string HashKey(const std::string& aSalt, const std::string& aKey);

/// Returns whether the key is the account's current or old key. Takes the same
/// time for every wrong key.
bool KeyMatches(const ClientAccountSettings& aAccount, const std::string& aKey);

} // namespace Acaciavale
