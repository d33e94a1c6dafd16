#include <Acaciavale/LibSettings/SettingsDifference.h>

#include "EffectiveSettings.h"
#include "Text.h"
#include "Values.h"

#include <algorithm>
#include <set>

namespace Acaciavale {

namespace {

constexpr const char* kNotStated = "(not stated)";
constexpr std::size_t kMaxNamesShown = 8;

using Names = std::set<std::string>;

/// The effective settings of both sides, and the effects that result.
struct SettingsComparison
{
  const Settings& mBefore;
  const Settings& mAfter;
  std::vector<std::string>& mEffects;
};

std::string StatedValue(const SettingsTree& aTree,
                        const SectionName& aSection,
                        const std::string& aKey)
{
  const auto section = aTree.mSections.find(aSection);
  if (section == aTree.mSections.end() ||
      !section->second.mValues.contains(aKey)) {
    return kNotStated;
  }
  return section->second.mValues.at(aKey).mText;
}

void AddChange(const SettingsTree& aBefore,
               const SettingsTree& aAfter,
               const SectionName& aSection,
               const SettingRow& aRow,
               std::vector<ValueChange>& aChanges)
{
  const std::string before = StatedValue(aBefore, aSection, aRow.mName);
  const std::string after = StatedValue(aAfter, aSection, aRow.mName);
  if (before != after) {
    aChanges.push_back(
      { aSection,
        aRow.mName,
        before == kNotStated ? before : DisplayValue(aRow, before),
        after == kNotStated ? after : DisplayValue(aRow, after) });
  }
}

std::vector<ValueChange> FindValueChanges(const SettingsTree& aBefore,
                                          const SettingsTree& aAfter)
{
  std::set<SectionName> names;
  for (const SettingsTree* tree : { &aBefore, &aAfter }) {
    for (const auto& [name, unused] : tree->mSections) {
      names.insert(name);
    }
  }
  std::vector<ValueChange> changes;
  for (const SectionName& name : names) {
    for (const SettingRow& row : AllowedRows(name.mKind)) {
      AddChange(aBefore, aAfter, name, row, changes);
    }
  }
  return changes;
}

/// Formats a count with its noun and verb: "1 account loses", "3 accounts
/// lose".
std::string FormatCount(std::size_t aCount,
                        const std::string& aNoun,
                        const std::string& aVerb,
                        const std::string& aPluralVerb)
{
  return std::to_string(aCount) + " " + aNoun + (aCount == 1 ? " " : "s ") +
         (aCount == 1 ? aVerb : aPluralVerb);
}

std::string FormatNames(const Names& aNames)
{
  std::vector<std::string> shown;
  for (const std::string& name : aNames) {
    if (shown.size() == kMaxNamesShown) {
      shown.push_back("…");
      break;
    }
    shown.push_back(name);
  }
  return Joined(shown, ", ");
}

Names NamesNotIn(const Names& aNames, const Names& aOthers)
{
  Names remaining;
  std::set_difference(aNames.begin(),
                      aNames.end(),
                      aOthers.begin(),
                      aOthers.end(),
                      std::inserter(remaining, remaining.end()));
  return remaining;
}

void AddAccessEffects(SettingsComparison& aComparison,
                      const std::string& aResource,
                      const Names& aBefore,
                      const Names& aAfter)
{
  const Names lost = NamesNotIn(aBefore, aAfter);
  const Names gained = NamesNotIn(aAfter, aBefore);
  if (!lost.empty()) {
    aComparison.mEffects.push_back(
      FormatCount(lost.size(), "account", "loses ", "lose ") + aResource +
      ": " + FormatNames(lost));
  }
  if (!gained.empty()) {
    aComparison.mEffects.push_back(
      FormatCount(gained.size(), "account", "gains ", "gain ") + aResource +
      ": " + FormatNames(gained));
  }
}

Names VersionPaths(const Settings& aSettings)
{
  Names paths;
  for (const auto& [name, model] : aSettings.mModels) {
    for (const VersionSettings& version : model.mVersions) {
      paths.insert(name + "/" + version.mName);
    }
  }
  return paths;
}

const VersionSettings* VersionAt(const Settings& aSettings,
                                 const std::string& aPath)
{
  const std::size_t slash = aPath.find('/');
  return FindVersion(
    aSettings, aPath.substr(0, slash), aPath.substr(slash + 1));
}

/// Returns the accounts that may use a version; none if it is withdrawn or
/// missing.
Names AccountsWithAccess(const Settings& aSettings, const std::string& aPath)
{
  const VersionSettings* version = VersionAt(aSettings, aPath);
  Names accounts;
  if (version == nullptr || version->mState == VersionState::Withdrawn) {
    return accounts;
  }
  const std::string model = aPath.substr(0, aPath.find('/'));
  for (const auto& [name, account] : aSettings.mAccounts) {
    if (Permits(account, model, version->mName)) {
      accounts.insert(name);
    }
  }
  return accounts;
}

void AddStateEffect(SettingsComparison& aComparison, const std::string& aPath)
{
  const VersionSettings* before = VersionAt(aComparison.mBefore, aPath);
  const VersionSettings* after = VersionAt(aComparison.mAfter, aPath);
  const auto state = [](const VersionSettings* aVersion) {
    return aVersion == nullptr ? VersionState::Withdrawn : aVersion->mState;
  };
  if (state(before) == state(after)) {
    return;
  }
  if (state(after) == VersionState::Withdrawn) {
    aComparison.mEffects.push_back("version " + aPath +
                                   " serves no requests any more; its sessions "
                                   "continue with another version");
  } else if (state(after) == VersionState::Retiring) {
    aComparison.mEffects.push_back(
      "version " + aPath +
      " accepts no new sessions and keeps its existing ones");
  } else {
    aComparison.mEffects.push_back("version " + aPath +
                                   " accepts new sessions");
  }
}

void AddVersionEffects(SettingsComparison& aComparison)
{
  Names paths = VersionPaths(aComparison.mBefore);
  paths.merge(VersionPaths(aComparison.mAfter));
  for (const std::string& path : paths) {
    AddStateEffect(aComparison, path);
    AddAccessEffects(aComparison,
                     "version " + path,
                     AccountsWithAccess(aComparison.mBefore, path),
                     AccountsWithAccess(aComparison.mAfter, path));
  }
}

Names AccountsListing(const Settings& aSettings,
                      std::vector<std::string> ClientAccountSettings::*aList,
                      const std::string& aName)
{
  Names accounts;
  for (const auto& [name, account] : aSettings.mAccounts) {
    const auto& list = account.*aList;
    if (std::find(list.begin(), list.end(), aName) != list.end()) {
      accounts.insert(name);
    }
  }
  return accounts;
}

template<typename T>
Names AllKeys(const std::map<std::string, T>& aLeft,
              const std::map<std::string, T>& aRight)
{
  Names names;
  for (const auto* map : { &aLeft, &aRight }) {
    for (const auto& [name, unused] : *map) {
      names.insert(name);
    }
  }
  return names;
}

std::string StagesText(const CascadeSettings& aCascade)
{
  std::string text;
  for (const CascadeStage& stage : aCascade.mStages) {
    text += (text.empty() ? "" : ", ") + stage.mModel +
            (stage.mVersion.empty() ? "" : "/" + stage.mVersion);
  }
  return text.empty() ? "nothing" : text;
}

void AddServiceAndCascadeEffects(SettingsComparison& aComparison)
{
  for (const auto& name :
       AllKeys(aComparison.mBefore.mServices, aComparison.mAfter.mServices)) {
    const auto list = &ClientAccountSettings::mServices;
    AddAccessEffects(aComparison,
                     "service " + name,
                     AccountsListing(aComparison.mBefore, list, name),
                     AccountsListing(aComparison.mAfter, list, name));
  }
  for (const auto& name :
       AllKeys(aComparison.mBefore.mCascades, aComparison.mAfter.mCascades)) {
    const auto list = &ClientAccountSettings::mModels;
    AddAccessEffects(aComparison,
                     "cascade " + name,
                     AccountsListing(aComparison.mBefore, list, name),
                     AccountsListing(aComparison.mAfter, list, name));
    const auto before = aComparison.mBefore.mCascades.find(name);
    const auto after = aComparison.mAfter.mCascades.find(name);
    if (before != aComparison.mBefore.mCascades.end() &&
        after != aComparison.mAfter.mCascades.end() &&
        before->second.mStages != after->second.mStages) {
      aComparison.mEffects.push_back(
        "cascade " + name + " runs " + StagesText(after->second) +
        " instead of " + StagesText(before->second));
    }
  }
}

/// Returns whether a key accepted before is no longer accepted.
bool RevokesKey(const ClientAccountSettings& aBefore,
                const ClientAccountSettings& aAfter)
{
  for (const std::string& hash : { aBefore.mKeyHash, aBefore.mOldKeyHash }) {
    if (!hash.empty() && hash != aAfter.mKeyHash &&
        hash != aAfter.mOldKeyHash) {
      return true;
    }
  }
  return false;
}

bool LimitsDiffer(const ClientAccountSettings& aLeft,
                  const ClientAccountSettings& aRight)
{
  return aLeft.mRequestsPerSecond != aRight.mRequestsPerSecond ||
         aLeft.mBurst != aRight.mBurst ||
         aLeft.mMaxInFlight != aRight.mMaxInFlight;
}

void AddAccountsEffect(SettingsComparison& aComparison,
                       const Names& aNames,
                       const std::string& aVerb,
                       const std::string& aPluralVerb)
{
  if (!aNames.empty()) {
    aComparison.mEffects.push_back(
      FormatCount(aNames.size(), "account", aVerb, aPluralVerb) + ": " +
      FormatNames(aNames));
  }
}

void AddAccountEffects(SettingsComparison& aComparison)
{
  Names added;
  Names removed;
  Names changedLimits;
  Names revokedKeys;
  const auto& before = aComparison.mBefore.mAccounts;
  const auto& after = aComparison.mAfter.mAccounts;
  for (const std::string& name : AllKeys(before, after)) {
    if (!before.contains(name)) {
      added.insert(name);
    } else if (!after.contains(name)) {
      removed.insert(name);
    } else {
      if (LimitsDiffer(before.at(name), after.at(name))) {
        changedLimits.insert(name);
      }
      if (RevokesKey(before.at(name), after.at(name))) {
        revokedKeys.insert(name);
      }
    }
  }
  AddAccountsEffect(aComparison, added, "is new", "are new");
  AddAccountsEffect(aComparison,
                    removed,
                    "is removed, its callers are refused",
                    "are removed, their callers are refused");
  AddAccountsEffect(
    aComparison, changedLimits, "has changed limits", "have changed limits");
  AddAccountsEffect(aComparison,
                    revokedKeys,
                    "has a key that is no longer accepted",
                    "have a key that is no longer accepted");
}

void AddRouteEffects(SettingsComparison& aComparison)
{
  for (const auto& [name, service] : aComparison.mAfter.mServices) {
    const auto before = aComparison.mBefore.mServices.find(name);
    if (before == aComparison.mBefore.mServices.end()) {
      continue;
    }
    for (const ServiceRoute& route : service.mRoutes) {
      for (const ServiceRoute& old : before->second.mRoutes) {
        if (old.mMethod == route.mMethod && old.mPath == route.mPath &&
            old.mRepeatable != route.mRepeatable) {
          aComparison.mEffects.push_back("calls of " + route.mMethod + " " +
                                         route.mPath + " of service " + name +
                                         (route.mRepeatable
                                            ? " may be sent twice from now on"
                                            : " run at most once from now on"));
        }
      }
    }
  }
}

void AddSessionKeyEffects(SettingsComparison& aComparison)
{
  const DeploymentSettings& before = aComparison.mBefore.mDeployment;
  const DeploymentSettings& after = aComparison.mAfter.mDeployment;
  if (!before.mSessionKey.empty() && before.mSessionKey != after.mSessionKey &&
      before.mSessionKey != after.mOldSessionKey) {
    aComparison.mEffects.push_back(
      "all sessions lose their version, since the key that signed them is no "
      "longer accepted");
  }
}

} // namespace

SettingsDifference CompareSettings(const std::vector<SettingsFile>& aBefore,
                                   const std::vector<SettingsFile>& aAfter)
{
  const SettingsTree before = ParseSettingsTree(aBefore).mTree;
  const SettingsTree after = ParseSettingsTree(aAfter).mTree;
  const Settings settingsBefore = BuildSettings(before);
  const Settings settingsAfter = BuildSettings(after);
  SettingsDifference difference;
  difference.mChanges = FindValueChanges(before, after);
  SettingsComparison comparison{ settingsBefore,
                                 settingsAfter,
                                 difference.mEffects };
  AddVersionEffects(comparison);
  AddServiceAndCascadeEffects(comparison);
  AddAccountEffects(comparison);
  AddRouteEffects(comparison);
  AddSessionKeyEffects(comparison);
  return difference;
}

} // namespace Acaciavale
