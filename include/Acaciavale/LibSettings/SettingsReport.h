#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsDifference.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <optional>
#include <string>
#include <vector>

/// Settings as text for operators and as JSON for tools and the operator pages.
/// Secrets are always hidden.
namespace Acaciavale {

/// A setting of a section, with its value and the places where it is stated.
struct ExplainedSetting
{
  SectionName mSection;
  EffectiveValue mValue;

  auto operator<=>(const ExplainedSetting&) const = default;
};

/// Selects the settings to explain. An empty key selects all keys, no section
/// selects all sections.
struct ExplainQuery
{
  std::optional<SectionName> mSection;
  std::string mKey;

  auto operator<=>(const ExplainQuery&) const = default;
};

/// Returns the settings that the query selects, with the origin of their
/// values.
std::vector<ExplainedSetting> Explain(const SettingsTree& aTree,
                                      const ExplainQuery& aQuery);

/// Finds an account's section by the account's name.
std::optional<SectionName> FindAccountSection(const SettingsTree& aTree,
                                              const std::string& aAccount);

/// Whether an account may use a version, and why.
struct VersionPermission
{
  std::string mModel;
  std::string mVersion;
  /// Whether a new session may use the version.
  bool mAllowsNewSessions = false;
  std::string mReason;

  auto operator<=>(const VersionPermission&) const = default;
};

/// Returns the account's permission for each version of the model; empty if
/// there is no such account or model.
std::vector<VersionPermission> ListVersionPermissions(
  const Settings& aSettings,
  const std::string& aAccount,
  const std::string& aModel);

std::string PermissionsText(const std::vector<VersionPermission>& aPermissions);

std::string FindingsText(const Findings& aFindings);
std::string FindingsJson(const Findings& aFindings);
std::string ExplainText(const std::vector<ExplainedSetting>& aExplained);
std::string ExplainJson(
  const std::vector<ExplainedSetting>& aExplained,
  const std::vector<VersionPermission>& aPermissions = {});
std::string DifferenceText(const SettingsDifference& aDifference);
/// Renders the difference as JSON. aGeneration is the generation that the files
/// were compared with.
std::string DifferenceJson(const SettingsDifference& aDifference,
                           std::int64_t aGeneration = 0);
std::string HistoryText(const std::vector<SettingsRoot>& aRoots);
std::string HistoryJson(const std::vector<SettingsRoot>& aRoots);

/// The files with secrets hidden, as text and as JSON.
std::string FilesText(const std::vector<SettingsFile>& aFiles);
std::string FilesJson(const std::vector<SettingsFile>& aFiles);

/// Formats a time in UTC, as in "2026-12-04T00:30:00Z".
std::string FormatTimestamp(UnixMilliseconds aTime);

} // namespace Acaciavale
