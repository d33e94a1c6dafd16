#pragma once

#include <Acaciavale/LibCore/Findings.h>
#include <Acaciavale/LibSettings/SettingsDifference.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>
#include <Acaciavale/LibSettings/SettingsTree.h>

#include <optional>
#include <string>
#include <vector>

/// Settings as text for operators and as JSON for tools and the inspector.
/// Secrets are hidden in all of them.
namespace Acaciavale {

/// A setting of a section with where it was set.
struct ExplainedSetting
{
  SectionName mSection;
  EffectiveValue mValue;

  auto operator<=>(const ExplainedSetting&) const = default;
};

/// What to explain; an empty key is all keys, no section is all sections.
struct ExplainQuery
{
  std::optional<SectionName> mSection;
  std::string mKey;

  auto operator<=>(const ExplainQuery&) const = default;
};

std::vector<ExplainedSetting> Explain(const SettingsTree& aTree,
                                      const ExplainQuery& aQuery);

/// Finds an account's section by the account's name.
std::optional<SectionName> FindAccountSection(const SettingsTree& aTree,
                                              const std::string& aAccount);

/// Whether an account may use a version, and by which rule.
struct VersionPermission
{
  std::string mModel;
  std::string mVersion;
  bool mAllowsNewSessions = false; ///< A new session may go there.
  std::string mReason;

  auto operator<=>(const VersionPermission&) const = default;
};

/// Each version of the model, as the account stands to it.
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
/// The generation is the one that the files are compared with.
std::string DifferenceJson(const SettingsDifference& aDifference,
                           std::int64_t aGeneration = 0);
std::string HistoryText(const std::vector<SettingsRoot>& aRoots);
std::string HistoryJson(const std::vector<SettingsRoot>& aRoots);

/// The files with the values of secrets replaced, as text and as JSON.
std::string FilesText(const std::vector<SettingsFile>& aFiles);
std::string FilesJson(const std::vector<SettingsFile>& aFiles);

/// "2026-12-04T00:30:00Z".
std::string FormatTimestamp(UnixMilliseconds aTime);

} // namespace Acaciavale
