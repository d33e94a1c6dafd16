#include <Acaciavale/LibSettings/SettingsReport.h>

#include "EffectiveSettings.h"
#include "Text.h"

#include <algorithm>
#include <array>
#include <ctime>
#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

constexpr int kJsonIndent = 2;
constexpr std::size_t kDigestDigitsShown = 12;

std::string SerializeJson(const Json& aJson)
{
  // NOTE: A file name may contain invalid UTF-8, at which dump() would throw.
  return aJson.dump(kJsonIndent, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

std::string FormatPlace(const Place& aPlace)
{
  return aPlace.mFile + ":" + std::to_string(aPlace.mLine);
}

std::string OriginText(const SettingRow& aRow, const Origin& aOrigin)
{
  return FormatPlace(aOrigin.mValue.mPlace) + " [" +
         Describe(aOrigin.mSection) + "] " +
         DisplayValue(aRow, aOrigin.mValue.mText);
}

std::string TakesEffectText(const SettingRow& aRow)
{
  return aRow.mTakesEffect == TakesEffect::AtOnce ? "at once"
                                                  : "for new connections";
}

Json OriginsJson(const ExplainedSetting& aExplained)
{
  Json origins = Json::array();
  for (const Origin& origin : aExplained.mValue.mOrigins) {
    origins.push_back(
      { { "section", Describe(origin.mSection) },
        { "file", origin.mValue.mPlace.mFile },
        { "line", origin.mValue.mPlace.mLine },
        { "value",
          DisplayValue(aExplained.mValue.mRow, origin.mValue.mText) } });
  }
  return origins;
}

VersionPermission MakeVersionPermission(const ClientAccountSettings& aAccount,
                                        const std::string& aModel,
                                        const VersionSettings& aVersion)
{
  VersionPermission permission{ aModel, aVersion.mName, false, "" };
  if (aVersion.mState == VersionState::Withdrawn) {
    permission.mReason = "withdrawn: serves no requests";
  } else if (!Permits(aAccount, aModel, aVersion.mName)) {
    permission.mReason = "not permitted: not listed in models or versions";
  } else if (aVersion.mState == VersionState::Retiring) {
    permission.mReason = "permitted, but retiring: existing sessions only";
  } else {
    permission.mAllowsNewSessions = true;
    permission.mReason = "permitted";
  }
  return permission;
}

/// Returns the numbers of the lines of a file that state secrets.
std::vector<std::size_t> SecretLines(const SettingsTree& aTree,
                                     const std::string& aFile)
{
  std::vector<std::size_t> lines;
  for (const auto& [name, section] : aTree.mSections) {
    for (const auto& [key, value] : section.mValues) {
      const auto row = FindRow(name.mKind, key);
      if (row && row->mType == SettingType::Secret &&
          value.mPlace.mFile == aFile) {
        lines.push_back(value.mPlace.mLine);
      }
    }
  }
  return lines;
}

std::string HideSecrets(const SettingsTree& aTree, const SettingsFile& aFile)
{
  const auto secrets = SecretLines(aTree, aFile.mName);
  std::string text;
  std::size_t line = 1;
  std::size_t start = 0;
  while (start < aFile.mText.size()) {
    const std::size_t end =
      std::min(aFile.mText.find('\n', start), aFile.mText.size() - 1);
    const std::string lineText = aFile.mText.substr(start, end + 1 - start);
    const bool isSecret =
      std::find(secrets.begin(), secrets.end(), line) != secrets.end();
    const std::size_t separator = lineText.find_first_of("=:");
    text += isSecret && separator != std::string::npos
              ? lineText.substr(0, separator + 1) + " (hidden)\n"
              : lineText;
    start = end + 1;
    ++line;
  }
  return text;
}

} // namespace

std::vector<ExplainedSetting> Explain(const SettingsTree& aTree,
                                      const ExplainQuery& aQuery)
{
  std::vector<ExplainedSetting> explained;
  for (const auto& [name, section] : aTree.mSections) {
    if (aQuery.mSection && name != *aQuery.mSection) {
      continue;
    }
    for (const EffectiveValue& value : ResolveAllValues(aTree, name)) {
      if (aQuery.mKey.empty() || value.mRow.mName == aQuery.mKey) {
        explained.push_back({ name, value });
      }
    }
  }
  return explained;
}

std::optional<SectionName> FindAccountSection(const SettingsTree& aTree,
                                              const std::string& aAccount)
{
  for (const auto& [name, section] : aTree.mSections) {
    if (name.mKind == SectionKind::Account &&
        (name.mPath == aAccount || LastPathSegment(name.mPath) == aAccount)) {
      return name;
    }
  }
  return std::nullopt;
}

std::vector<VersionPermission> ListVersionPermissions(
  const Settings& aSettings,
  const std::string& aAccount,
  const std::string& aModel)
{
  std::vector<VersionPermission> permissions;
  const auto account = aSettings.mAccounts.find(aAccount);
  const auto model = aSettings.mModels.find(aModel);
  if (account == aSettings.mAccounts.end() ||
      model == aSettings.mModels.end()) {
    return permissions;
  }
  for (const VersionSettings& version : model->second.mVersions) {
    permissions.push_back(
      MakeVersionPermission(account->second, aModel, version));
  }
  return permissions;
}

std::string PermissionsText(const std::vector<VersionPermission>& aPermissions)
{
  std::string text;
  for (const VersionPermission& permission : aPermissions) {
    text += permission.mModel + "/" + permission.mVersion + ": " +
            permission.mReason + "\n";
  }
  return text;
}

std::string FindingsText(const Findings& aFindings)
{
  std::string text;
  for (const Finding& finding : aFindings) {
    text += Describe(finding) + "\n";
  }
  return text;
}

std::string FindingsJson(const Findings& aFindings)
{
  Json findings = Json::array();
  for (const Finding& finding : aFindings) {
    findings.push_back({ { "file", finding.mPlace.mFile },
                         { "line", finding.mPlace.mLine },
                         { "message", finding.mMessage } });
  }
  return SerializeJson({ { "findings", findings } });
}

std::string ExplainText(const std::vector<ExplainedSetting>& aExplained)
{
  std::string text;
  for (const ExplainedSetting& setting : aExplained) {
    const EffectiveValue& value = setting.mValue;
    const std::string shown = DisplayValue(value.mRow, value.mText);
    text += "[" + Describe(setting.mSection) + "] " + value.mRow.mName + " = " +
            (shown.empty() ? "(none)" : shown) + "\n";
    if (value.mOrigins.empty()) {
      text += "    the default; not stated in any section\n";
    }
    for (std::size_t index = 0; index < value.mOrigins.size(); ++index) {
      text += (index == 0 ? "    set at    " : "    overrides ") +
              OriginText(value.mRow, value.mOrigins[index]) + "\n";
    }
  }
  return text;
}

std::string ExplainJson(const std::vector<ExplainedSetting>& aExplained,
                        const std::vector<VersionPermission>& aPermissions)
{
  Json permissions = Json::array();
  for (const VersionPermission& permission : aPermissions) {
    permissions.push_back(
      { { "version", permission.mModel + "/" + permission.mVersion },
        { "may_start", permission.mAllowsNewSessions },
        { "reason", permission.mReason } });
  }
  Json settings = Json::array();
  for (const ExplainedSetting& setting : aExplained) {
    const SettingRow& row = setting.mValue.mRow;
    settings.push_back({ { "section", Describe(setting.mSection) },
                         { "key", row.mName },
                         { "value", DisplayValue(row, setting.mValue.mText) },
                         { "default", row.mDefault },
                         { "meaning", row.mDescription },
                         { "takes_effect", TakesEffectText(row) },
                         { "is_default", setting.mValue.mOrigins.empty() },
                         { "chain", OriginsJson(setting) } });
  }
  return SerializeJson(
    { { "settings", settings }, { "versions", permissions } });
}

std::string DifferenceText(const SettingsDifference& aDifference)
{
  if (aDifference.mChanges.empty()) {
    return "no value differs\n";
  }
  std::string text;
  for (const ValueChange& change : aDifference.mChanges) {
    text += "[" + Describe(change.mSection) + "] " + change.mKey + ": " +
            change.mBefore + " -> " + change.mAfter + "\n";
  }
  for (const std::string& effect : aDifference.mEffects) {
    text += "  means: " + effect + "\n";
  }
  return text;
}

std::string DifferenceJson(const SettingsDifference& aDifference,
                           std::int64_t aGeneration)
{
  Json changes = Json::array();
  for (const ValueChange& change : aDifference.mChanges) {
    changes.push_back({ { "section", Describe(change.mSection) },
                        { "key", change.mKey },
                        { "before", change.mBefore },
                        { "after", change.mAfter } });
  }
  return SerializeJson({ { "generation", aGeneration },
                         { "changes", changes },
                         { "means", aDifference.mEffects } });
}

std::string FormatTimestamp(UnixMilliseconds aTime)
{
  const std::time_t seconds = aTime.count() / 1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

std::string HistoryText(const std::vector<SettingsRoot>& aRoots)
{
  std::string text;
  for (const SettingsRoot& root : aRoots) {
    text += std::to_string(root.mGeneration) + "  " +
            FormatTimestamp(root.mAppliedAt) + "  " +
            root.mDigest.substr(0, kDigestDigitsShown) + "  " + root.mAuthor +
            ": " + root.mReason + "\n";
  }
  return text;
}

std::string HistoryJson(const std::vector<SettingsRoot>& aRoots)
{
  Json history = Json::array();
  for (const SettingsRoot& root : aRoots) {
    history.push_back({ { "generation", root.mGeneration },
                        { "time", FormatTimestamp(root.mAppliedAt) },
                        { "author", root.mAuthor },
                        { "reason", root.mReason },
                        { "digest", root.mDigest },
                        { "previous_chain", root.mPreviousChainDigest },
                        { "chain", root.mChainDigest } });
  }
  return SerializeJson({ { "history", history } });
}

std::string FilesText(const std::vector<SettingsFile>& aFiles)
{
  const SettingsTree tree = ParseSettingsTree(aFiles).mTree;
  std::string text;
  for (const SettingsFile& file : aFiles) {
    text += "; ---- " + file.mName + "\n" + HideSecrets(tree, file);
  }
  return text;
}

std::string FilesJson(const std::vector<SettingsFile>& aFiles)
{
  const SettingsTree tree = ParseSettingsTree(aFiles).mTree;
  Json files = Json::array();
  for (const SettingsFile& file : aFiles) {
    files.push_back(
      { { "name", file.mName }, { "text", HideSecrets(tree, file) } });
  }
  return SerializeJson({ { "files", files } });
}

} // namespace Acaciavale
