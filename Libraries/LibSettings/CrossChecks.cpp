#include "CrossChecks.h"
#include "EffectiveSettings.h"
#include "Text.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Acaciavale {

namespace {

struct CheckContext
{
  const SettingsTree& mTree;
  const Settings& mSettings;
  Findings& mFindings;
};

void Report(CheckContext& aContext, const Place& aPlace, std::string aMessage)
{
  aContext.mFindings.push_back({ aPlace, std::move(aMessage) });
}

/// Returns where the value in force is stated, or the section's place if the
/// default applies.
Place FindPlace(const CheckContext& aContext,
                const TreeSection& aSection,
                const std::string& aKey)
{
  const auto row = FindRow(aSection.mName.mKind, aKey);
  const auto value = ResolveValue(aContext.mTree, aSection.mName, *row);
  return value.mOrigins.empty() ? aSection.mPlace
                                : value.mOrigins.front().mValue.mPlace;
}

template<typename T>
std::vector<std::string> MapKeys(const std::map<std::string, T>& aMap)
{
  std::vector<std::string> names;
  names.reserve(aMap.size());
  for (const auto& [name, unused] : aMap) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> ListVersionPaths(const Settings& aSettings)
{
  std::vector<std::string> names;
  for (const auto& [model, settings] : aSettings.mModels) {
    for (const VersionSettings& version : settings.mVersions) {
      names.push_back(model + "/" + version.mName);
    }
  }
  return names;
}

/// Reports a name that is not defined; returns whether it is defined.
bool CheckNameExists(CheckContext& aContext,
                     const Place& aPlace,
                     const std::string& aNameKind,
                     const std::string& aName,
                     const std::vector<std::string>& aKnown)
{
  if (std::find(aKnown.begin(), aKnown.end(), aName) != aKnown.end()) {
    return true;
  }
  Report(aContext,
         aPlace,
         "there is no " + aNameKind + " " + aName + Suggestion(aName, aKnown));
  return false;
}

bool MayBeEmpty(const CheckContext& aContext, const std::string& aModel)
{
  const auto row = FindRow(SectionKind::Model, "may-be-empty");
  const SectionName name{ SectionKind::Model, aModel };
  return ResolveValue(aContext.mTree, name, *row).mText == "yes";
}

void CheckRequired(CheckContext& aContext)
{
  const std::set<SectionName> groups = FindGroups(aContext.mTree);
  for (const auto& [name, section] : aContext.mTree.mSections) {
    const bool isKindDefaults =
      name.mPath.empty() && name.mKind != SectionKind::Deployment;
    if (isKindDefaults || groups.contains(name)) {
      continue;
    }
    for (const SettingRow& row : AllowedRows(name.mKind)) {
      if (row.mRequired && row.mKind == name.mKind &&
          ResolveValue(aContext.mTree, name, row).mOrigins.empty()) {
        Report(aContext,
               section.mPlace,
               "[" + Describe(name) + "] states no " + row.mName);
      }
    }
  }
}

void CheckModels(CheckContext& aContext)
{
  for (const auto& [name, model] : aContext.mSettings.mModels) {
    const auto section =
      aContext.mTree.mSections.find({ SectionKind::Model, name });
    if (section == aContext.mTree.mSections.end()) {
      continue;
    }
    const bool hasUsableVersion = std::any_of(
      model.mVersions.begin(), model.mVersions.end(), [](const auto& aVersion) {
        return aVersion.mState != VersionState::Withdrawn;
      });
    if (!hasUsableVersion && !MayBeEmpty(aContext, name)) {
      Report(aContext,
             section->second.mPlace,
             "model " + name + " has no version that is not withdrawn");
    }
    if (aContext.mSettings.mCascades.contains(name)) {
      Report(aContext,
             section->second.mPlace,
             "model and cascade are both named " + name);
    }
  }
}

void CheckStage(CheckContext& aContext,
                const Place& aPlace,
                const std::string& aCascade,
                const CascadeStage& aStage)
{
  if (aStage.mVersion.empty()) {
    CheckNameExists(aContext,
                    aPlace,
                    "model",
                    aStage.mModel,
                    MapKeys(aContext.mSettings.mModels));
    return;
  }
  const std::string path = aStage.mModel + "/" + aStage.mVersion;
  if (!CheckNameExists(aContext,
                       aPlace,
                       "version",
                       path,
                       ListVersionPaths(aContext.mSettings))) {
    return;
  }
  const VersionSettings* version =
    FindVersion(aContext.mSettings, aStage.mModel, aStage.mVersion);
  if (version->mState == VersionState::Withdrawn &&
      !MayBeEmpty(aContext, aStage.mModel)) {
    Report(aContext,
           aPlace,
           "cascade " + aCascade + " has the withdrawn stage " + path);
  }
}

void CheckCascades(CheckContext& aContext)
{
  for (const TreeSection* section :
       FindLeafSections(aContext.mTree, SectionKind::Cascade)) {
    const Place place = FindPlace(aContext, *section, "stages");
    const std::string& name = section->mName.mPath;
    const CascadeSettings& cascade = aContext.mSettings.mCascades.at(name);
    if (cascade.mStages.empty()) {
      Report(aContext, place, "cascade " + name + " has no stage");
    }
    std::set<CascadeStage> seen;
    for (const CascadeStage& stage : cascade.mStages) {
      CheckStage(aContext, place, name, stage);
      if (!seen.insert(stage).second) {
        Report(aContext,
               place,
               "cascade " + name + " runs " + stage.mModel + "/" +
                 stage.mVersion + " twice");
      }
    }
  }
}

bool HasServingVersion(const Settings& aSettings,
                       const ClientAccountSettings& aAccount,
                       const std::string& aModel)
{
  const auto model = aSettings.mModels.find(aModel);
  if (model == aSettings.mModels.end()) {
    return true; // NOTE: Reported as an unknown name.
  }
  const auto& versions = model->second.mVersions;
  return std::any_of(
    versions.begin(), versions.end(), [&](const auto& aVersion) {
      return aVersion.mState == VersionState::Serving &&
             Permits(aAccount, aModel, aVersion.mName);
    });
}

void CheckAccountCascade(CheckContext& aContext,
                         const Place& aPlace,
                         const ClientAccountSettings& aAccount,
                         const CascadeSettings& aCascade)
{
  for (const CascadeStage& stage : aCascade.mStages) {
    const bool isKnown =
      stage.mVersion.empty()
        ? aContext.mSettings.mModels.contains(stage.mModel)
        : FindVersion(aContext.mSettings, stage.mModel, stage.mVersion) !=
            nullptr;
    const bool permitted =
      stage.mVersion.empty()
        ? HasServingVersion(aContext.mSettings, aAccount, stage.mModel) ||
            MayBeEmpty(aContext, stage.mModel)
        : Permits(aAccount, stage.mModel, stage.mVersion);
    if (isKnown && !permitted) {
      Report(aContext,
             aPlace,
             "account " + aAccount.mName + " may request cascade " +
               aCascade.mName + " but not use its stage " + stage.mModel +
               (stage.mVersion.empty() ? "" : "/" + stage.mVersion));
    }
  }
}

void CheckAccountModels(CheckContext& aContext,
                        const TreeSection& aSection,
                        const ClientAccountSettings& aAccount)
{
  const Place place = FindPlace(aContext, aSection, "models");
  std::vector<std::string> known = MapKeys(aContext.mSettings.mModels);
  const auto cascades = MapKeys(aContext.mSettings.mCascades);
  known.insert(known.end(), cascades.begin(), cascades.end());
  for (const std::string& name : aAccount.mModels) {
    if (!CheckNameExists(aContext, place, "model or cascade", name, known)) {
      continue;
    }
    const auto cascade = aContext.mSettings.mCascades.find(name);
    if (cascade != aContext.mSettings.mCascades.end()) {
      CheckAccountCascade(aContext, place, aAccount, cascade->second);
    } else if (!HasServingVersion(aContext.mSettings, aAccount, name) &&
               !MayBeEmpty(aContext, name)) {
      Report(aContext,
             place,
             "account " + aAccount.mName + " may request model " + name +
               " but has no permitted version of it that serves; the model may "
               "allow this by may-be-empty = yes");
    }
  }
}

void CheckAccountKeys(CheckContext& aContext,
                      const TreeSection& aSection,
                      const ClientAccountSettings& aAccount)
{
  constexpr std::size_t kHashDigits = 64;
  const auto check =
    [&](const std::string& aHash, const std::string& aSalt, const char* aKey) {
      if (!aHash.empty() && aHash.size() != kHashDigits) {
        Report(aContext,
               FindPlace(aContext, aSection, aKey),
               std::string(aKey) + " has " + std::to_string(aHash.size()) +
                 " digits; a SHA-256 has 64");
      }
      if (aHash.empty() != aSalt.empty()) {
        Report(aContext,
               aSection.mPlace,
               std::string(aKey) + " and its salt must be stated together");
      }
    };
  check(aAccount.mKeyHash, aAccount.mKeySalt, "key-hash");
  check(aAccount.mOldKeyHash, aAccount.mOldKeySalt, "old-key-hash");
  if (aAccount.mKeyHash.empty()) {
    Report(aContext,
           aSection.mPlace,
           "account " + aAccount.mName +
             " has no key-hash, so no caller can use it");
  }
}

void CheckAccount(CheckContext& aContext,
                  const TreeSection& aSection,
                  const ClientAccountSettings& aAccount)
{
  CheckAccountKeys(aContext, aSection, aAccount);
  CheckAccountModels(aContext, aSection, aAccount);
  const auto versions = ListVersionPaths(aContext.mSettings);
  for (const std::string& version : aAccount.mVersions) {
    CheckNameExists(aContext,
                    FindPlace(aContext, aSection, "versions"),
                    "version",
                    version,
                    versions);
  }
  for (const std::string& service : aAccount.mServices) {
    CheckNameExists(aContext,
                    FindPlace(aContext, aSection, "services"),
                    "service",
                    service,
                    MapKeys(aContext.mSettings.mServices));
  }
  if (static_cast<double>(aAccount.mBurst) < aAccount.mRequestsPerSecond) {
    Report(aContext,
           FindPlace(aContext, aSection, "burst"),
           "account " + aAccount.mName +
             " has a burst smaller than its requests-per-second, so the "
             "rate cannot be reached");
  }
}

/// The first account that states a key, by the salt and hash of the key.
using KeyOwners = std::map<std::pair<std::string, std::string>, std::string>;

void CheckKeyOwner(CheckContext& aContext,
                   const TreeSection& aSection,
                   const ClientAccountSettings& aAccount,
                   KeyOwners& aOwners)
{
  if (aAccount.mKeyHash.empty()) {
    return;
  }
  const auto [owner, isNew] = aOwners.insert(
    { { aAccount.mKeySalt, aAccount.mKeyHash }, aAccount.mName });
  if (!isNew) {
    Report(aContext,
           FindPlace(aContext, aSection, "key-hash"),
           "account " + aAccount.mName + " has the same key as account " +
             owner->second);
  }
}

void CheckSessionKeys(CheckContext& aContext)
{
  constexpr std::size_t kMinDigits = 32;
  const auto found =
    aContext.mTree.mSections.find({ SectionKind::Deployment, "" });
  if (found == aContext.mTree.mSections.end()) {
    return;
  }
  for (const char* name : { "session-key", "old-session-key" }) {
    const auto value = found->second.mValues.find(name);
    if (value != found->second.mValues.end() &&
        value->second.mText.size() < kMinDigits) {
      Report(aContext,
             value->second.mPlace,
             std::string(name) + " has " +
               std::to_string(value->second.mText.size()) +
               " digits; at least 32 are required");
    }
  }
}

void CheckAccounts(CheckContext& aContext)
{
  std::map<std::string, Place> seen;
  KeyOwners owners;
  for (const TreeSection* section :
       FindLeafSections(aContext.mTree, SectionKind::Account)) {
    const std::string name = LastPathSegment(section->mName.mPath);
    const auto [first, isNew] = seen.insert({ name, section->mPlace });
    if (!isNew) {
      Report(aContext,
             section->mPlace,
             "account " + name + " is already defined at " +
               first->second.mFile + ":" + std::to_string(first->second.mLine));
      continue;
    }
    const ClientAccountSettings& account =
      aContext.mSettings.mAccounts.at(name);
    CheckAccount(aContext, *section, account);
    CheckKeyOwner(aContext, *section, account, owners);
  }
}

void CheckChildrenMayWiden(CheckContext& aContext)
{
  for (const auto& [name, section] : aContext.mTree.mSections) {
    const auto stated = section.mValues.find("children-may-widen");
    if (stated == section.mValues.end()) {
      continue;
    }
    for (const std::string& key : SplitList(stated->second.mText)) {
      const auto row = FindRow(name.mKind, key);
      if (!row || row->mNarrowing == Narrowing::Unrestricted) {
        Report(
          aContext, stated->second.mPlace, key + " is not a narrowed setting");
      } else if (!section.mValues.contains(key)) {
        Report(aContext,
               stated->second.mPlace,
               "[" + Describe(name) + "] lets children widen " + key +
                 " but does not state it");
      }
    }
  }
}

void CheckRoutes(CheckContext& aContext)
{
  std::map<std::string, Place> seen;
  for (const TreeSection* section :
       FindLeafSections(aContext.mTree, SectionKind::Route)) {
    const auto text = [&](const char* aKey) {
      const auto row = FindRow(SectionKind::Route, aKey);
      return ResolveValue(aContext.mTree, section->mName, *row).mText;
    };
    const std::string path = text("path");
    const std::size_t wildcard = path.find('*');
    if (path.empty() || path[0] != '/' ||
        (wildcard != std::string::npos && wildcard + 1 != path.size())) {
      Report(aContext,
             FindPlace(aContext, *section, "path"),
             "\"" + path +
               "\" is not a path; a path begins with '/' and has '*' only at "
               "its end");
    }
    const std::string& sectionPath = section->mName.mPath;
    const std::string route = sectionPath.substr(0, sectionPath.find('/')) +
                              " " + text("method") + " " + path;
    if (!seen.insert({ route, section->mPlace }).second) {
      Report(aContext,
             section->mPlace,
             "the route " + route + " is already defined");
    }
  }
}

void CheckRollout(CheckContext& aContext,
                  const TreeSection& aSection,
                  const RolloutSettings& aRollout)
{
  const auto versions = ListVersionPaths(aContext.mSettings);
  for (const char* key : { "from", "to" }) {
    const std::string& version =
      std::string(key) == "from" ? aRollout.mFrom : aRollout.mTo;
    const std::string path = aRollout.mModel + "/" + version;
    const Place place = FindPlace(aContext, aSection, key);
    if (CheckNameExists(aContext, place, "version", path, versions) &&
        std::string(key) == "to" &&
        FindVersion(aContext.mSettings, aRollout.mModel, version)->mState !=
          VersionState::Serving &&
        !aRollout.mPaused) {
      Report(aContext,
             place,
             "roll-out " + aRollout.mName + " leads to " + path +
               ", which does not serve; pause or remove the roll-out");
    }
  }
  if (aRollout.mFrom == aRollout.mTo) {
    Report(aContext,
           aSection.mPlace,
           "roll-out " + aRollout.mName + " leads to the version it replaces");
  }
  if (aRollout.mSteps.empty()) {
    Report(aContext,
           FindPlace(aContext, aSection, "steps"),
           "roll-out " + aRollout.mName + " has no step");
  }
}

void CheckRollouts(CheckContext& aContext)
{
  std::map<std::string, double> finalShareSums;
  for (const TreeSection* section :
       FindLeafSections(aContext.mTree, SectionKind::Rollout)) {
    const RolloutSettings& rollout =
      aContext.mSettings.mRollouts.at(section->mName.mPath);
    CheckRollout(aContext, *section, rollout);
    const std::string from = rollout.mModel + "/" + rollout.mFrom;
    double& finalShareSum = finalShareSums[from];
    finalShareSum += rollout.mSteps.empty() ? 0 : rollout.mSteps.back();
    if (finalShareSum > 1) {
      Report(aContext,
             FindPlace(aContext, *section, "steps"),
             "the roll-outs that replace " + from +
               " add up to a share of more than 1");
    }
  }
}

void CheckObjectives(CheckContext& aContext)
{
  for (const TreeSection* section :
       FindLeafSections(aContext.mTree, SectionKind::Objective)) {
    const auto check = [&](const char* aKey,
                           const std::vector<std::string>& aKnown) {
      const auto row = FindRow(SectionKind::Objective, aKey);
      const std::string name =
        ResolveValue(aContext.mTree, section->mName, *row).mText;
      if (!name.empty()) {
        CheckNameExists(
          aContext, FindPlace(aContext, *section, aKey), aKey, name, aKnown);
      }
    };
    check("account", MapKeys(aContext.mSettings.mAccounts));
    std::vector<std::string> models = MapKeys(aContext.mSettings.mModels);
    const auto cascades = MapKeys(aContext.mSettings.mCascades);
    models.insert(models.end(), cascades.begin(), cascades.end());
    check("model", models);
  }
}

} // namespace

void AddCrossSectionFindings(const SettingsTree& aTree,
                             const Settings& aSettings,
                             Findings& aFindings)
{
  CheckContext context{ aTree, aSettings, aFindings };
  CheckRequired(context);
  CheckSessionKeys(context);
  CheckModels(context);
  CheckCascades(context);
  CheckAccounts(context);
  CheckChildrenMayWiden(context);
  CheckRoutes(context);
  CheckRollouts(context);
  CheckObjectives(context);
}

} // namespace Acaciavale
