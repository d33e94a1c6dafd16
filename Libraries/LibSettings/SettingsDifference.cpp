#include <Acaciavale/LibSettings/SettingsDifference.h>

#include "EffectiveSettings.h"
#include "Text.h"
#include "Values.h"

#include <algorithm>
#include <set>

namespace Acaciavale {

namespace {

constexpr const char* kNotStated = "(not stated)";
constexpr std::size_t kNamesShown = 8;

using Names = std::set<std::string>;

/// Both sides of a comparison, worked out.
struct Sides
{
  const Settings& mBefore;
  const Settings& mAfter;
  std::vector<std::string>& mMeanings;
};

std::string StatedText(const SettingsTree& aTree,
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
  const std::string before = StatedText(aBefore, aSection, aRow.mName);
  const std::string after = StatedText(aAfter, aSection, aRow.mName);
  if (before != after) {
    aChanges.push_back({ aSection,
                         aRow.mName,
                         before == kNotStated ? before : Shown(aRow, before),
                         after == kNotStated ? after : Shown(aRow, after) });
  }
}

std::vector<ValueChange> ChangesOf(const SettingsTree& aBefore,
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
    for (const SettingRow& row : RowsOf(name.mKind)) {
      AddChange(aBefore, aAfter, name, row, changes);
    }
  }
  return changes;
}

/// "1 account loses", "3 accounts lose".
std::string Counted(std::size_t aCount,
                    const std::string& aNoun,
                    const std::string& aVerb,
                    const std::string& aVerbOfMany)
{
  return std::to_string(aCount) + " " + aNoun + (aCount == 1 ? " " : "s ") +
         (aCount == 1 ? aVerb : aVerbOfMany);
}

std::string Listed(const Names& aNames)
{
  std::vector<std::string> shown;
  for (const std::string& name : aNames) {
    if (shown.size() == kNamesShown) {
      shown.push_back("…");
      break;
    }
    shown.push_back(name);
  }
  return Joined(shown, ", ");
}

Names Without(const Names& aNames, const Names& aOthers)
{
  Names left;
  std::set_difference(aNames.begin(),
                      aNames.end(),
                      aOthers.begin(),
                      aOthers.end(),
                      std::inserter(left, left.end()));
  return left;
}

void AddGainAndLoss(Sides& aSides,
                    const std::string& aWhat,
                    const Names& aBefore,
                    const Names& aAfter)
{
  const Names lost = Without(aBefore, aAfter);
  const Names gained = Without(aAfter, aBefore);
  if (!lost.empty()) {
    aSides.mMeanings.push_back(
      Counted(lost.size(), "account", "loses ", "lose ") + aWhat + ": " +
      Listed(lost));
  }
  if (!gained.empty()) {
    aSides.mMeanings.push_back(
      Counted(gained.size(), "account", "gains ", "gain ") + aWhat + ": " +
      Listed(gained));
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

/// The accounts that may reach a version that is not withdrawn.
Names AccountsReaching(const Settings& aSettings, const std::string& aPath)
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

void AddStateMeaning(Sides& aSides, const std::string& aPath)
{
  const VersionSettings* before = VersionAt(aSides.mBefore, aPath);
  const VersionSettings* after = VersionAt(aSides.mAfter, aPath);
  const auto state = [](const VersionSettings* aVersion) {
    return aVersion == nullptr ? VersionState::Withdrawn : aVersion->mState;
  };
  if (state(before) == state(after)) {
    return;
  }
  if (state(after) == VersionState::Withdrawn) {
    aSides.mMeanings.push_back("version " + aPath +
                               " takes no work any more; its sessions go on "
                               "with another version");
  } else if (state(after) == VersionState::Retiring) {
    aSides.mMeanings.push_back("version " + aPath +
                               " takes no new sessions and keeps those that "
                               "it has");
  } else {
    aSides.mMeanings.push_back("version " + aPath + " takes new sessions");
  }
}

void AddVersions(Sides& aSides)
{
  Names paths = VersionPaths(aSides.mBefore);
  paths.merge(VersionPaths(aSides.mAfter));
  for (const std::string& path : paths) {
    AddStateMeaning(aSides, path);
    AddGainAndLoss(aSides,
                   "version " + path,
                   AccountsReaching(aSides.mBefore, path),
                   AccountsReaching(aSides.mAfter, path));
  }
}

Names AccountsWith(const Settings& aSettings,
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
Names KeysOf(const std::map<std::string, T>& aLeft,
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

void AddServicesAndCascades(Sides& aSides)
{
  for (const auto& name :
       KeysOf(aSides.mBefore.mServices, aSides.mAfter.mServices)) {
    const auto list = &ClientAccountSettings::mServices;
    AddGainAndLoss(aSides,
                   "service " + name,
                   AccountsWith(aSides.mBefore, list, name),
                   AccountsWith(aSides.mAfter, list, name));
  }
  for (const auto& name :
       KeysOf(aSides.mBefore.mCascades, aSides.mAfter.mCascades)) {
    const auto list = &ClientAccountSettings::mModels;
    AddGainAndLoss(aSides,
                   "cascade " + name,
                   AccountsWith(aSides.mBefore, list, name),
                   AccountsWith(aSides.mAfter, list, name));
    const auto before = aSides.mBefore.mCascades.find(name);
    const auto after = aSides.mAfter.mCascades.find(name);
    if (before != aSides.mBefore.mCascades.end() &&
        after != aSides.mAfter.mCascades.end() &&
        before->second.mStages != after->second.mStages) {
      aSides.mMeanings.push_back("cascade " + name + " runs " +
                                 StagesText(after->second) + "; before " +
                                 StagesText(before->second));
    }
  }
}

/// Whether a key that worked before works no more.
bool LosesKey(const ClientAccountSettings& aBefore,
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

void AddAccountNames(Sides& aSides,
                     const Names& aNames,
                     const std::string& aVerb,
                     const std::string& aVerbOfMany)
{
  if (!aNames.empty()) {
    aSides.mMeanings.push_back(
      Counted(aNames.size(), "account", aVerb, aVerbOfMany) + ": " +
      Listed(aNames));
  }
}

void AddAccounts(Sides& aSides)
{
  Names added;
  Names removed;
  Names limits;
  Names keys;
  const auto& before = aSides.mBefore.mAccounts;
  const auto& after = aSides.mAfter.mAccounts;
  for (const std::string& name : KeysOf(before, after)) {
    if (!before.contains(name)) {
      added.insert(name);
    } else if (!after.contains(name)) {
      removed.insert(name);
    } else {
      if (LimitsDiffer(before.at(name), after.at(name))) {
        limits.insert(name);
      }
      if (LosesKey(before.at(name), after.at(name))) {
        keys.insert(name);
      }
    }
  }
  AddAccountNames(aSides, added, "is new", "are new");
  AddAccountNames(aSides,
                  removed,
                  "is gone, its callers are refused",
                  "are gone, their callers are refused");
  AddAccountNames(aSides, limits, "gets other limits", "get other limits");
  AddAccountNames(aSides,
                  keys,
                  "has a key that is accepted no more",
                  "have a key that is accepted no more");
}

void AddRoutes(Sides& aSides)
{
  for (const auto& [name, service] : aSides.mAfter.mServices) {
    const auto before = aSides.mBefore.mServices.find(name);
    if (before == aSides.mBefore.mServices.end()) {
      continue;
    }
    for (const ServiceRoute& route : service.mRoutes) {
      for (const ServiceRoute& old : before->second.mRoutes) {
        if (old.mMethod == route.mMethod && old.mPath == route.mPath &&
            old.mRepeatable != route.mRepeatable) {
          aSides.mMeanings.push_back("calls of " + route.mMethod + " " +
                                     route.mPath + " of service " + name +
                                     (route.mRepeatable
                                        ? " may be sent twice from now on"
                                        : " run at most once from now on"));
        }
      }
    }
  }
}

void AddSessionKeys(Sides& aSides)
{
  const DeploymentSettings& before = aSides.mBefore.mDeployment;
  const DeploymentSettings& after = aSides.mAfter.mDeployment;
  if (!before.mSessionKey.empty() && before.mSessionKey != after.mSessionKey &&
      before.mSessionKey != after.mOldSessionKey) {
    aSides.mMeanings.push_back("all sessions lose their version, since the "
                               "key that signed them is accepted no more");
  }
}

} // namespace

SettingsDifference Difference(const std::vector<SettingsFile>& aBefore,
                              const std::vector<SettingsFile>& aAfter)
{
  const SettingsTree before = ReadSettingsTree(aBefore).mTree;
  const SettingsTree after = ReadSettingsTree(aAfter).mTree;
  const Settings settingsBefore = BuildSettings(before);
  const Settings settingsAfter = BuildSettings(after);
  SettingsDifference difference;
  difference.mChanges = ChangesOf(before, after);
  Sides sides{ settingsBefore, settingsAfter, difference.mMeanings };
  AddVersions(sides);
  AddServicesAndCascades(sides);
  AddAccounts(sides);
  AddRoutes(sides);
  AddSessionKeys(sides);
  return difference;
}

} // namespace Acaciavale
