#include "CrossChecks.h"
#include "EffectiveSettings.h"
#include "Text.h"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

namespace Acaciavale {

namespace {

struct Checking
{
  const SettingsTree& mTree;
  const Settings& mSettings;
  Findings& mFindings;
};

void Report(Checking& aChecking, const Place& aPlace, std::string aMessage)
{
  aChecking.mFindings.push_back({ aPlace, std::move(aMessage) });
}

/// Where the value in force was set, or the section where none was.
Place PlaceOf(const Checking& aChecking,
              const TreeSection& aSection,
              const std::string& aKey)
{
  const auto row = FindRow(aSection.mName.mKind, aKey);
  const auto value = Effective(aChecking.mTree, aSection.mName, *row);
  return value.mChain.empty() ? aSection.mPlace
                              : value.mChain.front().mValue.mPlace;
}

template<typename T>
std::vector<std::string> NamesOf(const std::map<std::string, T>& aMap)
{
  std::vector<std::string> names;
  names.reserve(aMap.size());
  for (const auto& [name, unused] : aMap) {
    names.push_back(name);
  }
  return names;
}

std::vector<std::string> VersionsOf(const Settings& aSettings)
{
  std::vector<std::string> names;
  for (const auto& [model, settings] : aSettings.mModels) {
    for (const VersionSettings& version : settings.mVersions) {
      names.push_back(model + "/" + version.mName);
    }
  }
  return names;
}

/// Reports a name that nothing carries; returns whether it is known.
bool CheckName(Checking& aChecking,
               const Place& aPlace,
               const std::string& aWhat,
               const std::string& aName,
               const std::vector<std::string>& aKnown)
{
  if (std::find(aKnown.begin(), aKnown.end(), aName) != aKnown.end()) {
    return true;
  }
  Report(aChecking,
         aPlace,
         "there is no " + aWhat + " " + aName + Suggestion(aName, aKnown));
  return false;
}

bool MayBeEmpty(const Checking& aChecking, const std::string& aModel)
{
  const auto row = FindRow(SectionKind::Model, "may-be-empty");
  const SectionName name{ SectionKind::Model, aModel };
  return Effective(aChecking.mTree, name, *row).mText == "yes";
}

void CheckRequired(Checking& aChecking)
{
  const std::set<SectionName> groups = GroupsOf(aChecking.mTree);
  for (const auto& [name, section] : aChecking.mTree.mSections) {
    const bool isDefaults =
      name.mPath.empty() && name.mKind != SectionKind::Deployment;
    if (isDefaults || groups.contains(name)) {
      continue;
    }
    for (const SettingRow& row : RowsOf(name.mKind)) {
      if (row.mRequired && row.mKind == name.mKind &&
          Effective(aChecking.mTree, name, row).mChain.empty()) {
        Report(aChecking,
               section.mPlace,
               "[" + Describe(name) + "] states no " + row.mName);
      }
    }
  }
}

void CheckModels(Checking& aChecking)
{
  for (const auto& [name, model] : aChecking.mSettings.mModels) {
    const auto section =
      aChecking.mTree.mSections.find({ SectionKind::Model, name });
    if (section == aChecking.mTree.mSections.end()) {
      continue;
    }
    const bool isServed = std::any_of(
      model.mVersions.begin(), model.mVersions.end(), [](const auto& aVersion) {
        return aVersion.mState != VersionState::Withdrawn;
      });
    if (!isServed && !MayBeEmpty(aChecking, name)) {
      Report(aChecking,
             section->second.mPlace,
             "model " + name + " has no version that is not withdrawn");
    }
    if (aChecking.mSettings.mCascades.contains(name)) {
      Report(aChecking,
             section->second.mPlace,
             "model and cascade are both named " + name);
    }
  }
}

void CheckStage(Checking& aChecking,
                const Place& aPlace,
                const std::string& aCascade,
                const CascadeStage& aStage)
{
  if (aStage.mVersion.empty()) {
    CheckName(aChecking,
              aPlace,
              "model",
              aStage.mModel,
              NamesOf(aChecking.mSettings.mModels));
    return;
  }
  const std::string path = aStage.mModel + "/" + aStage.mVersion;
  if (!CheckName(
        aChecking, aPlace, "version", path, VersionsOf(aChecking.mSettings))) {
    return;
  }
  const VersionSettings* version =
    FindVersion(aChecking.mSettings, aStage.mModel, aStage.mVersion);
  if (version->mState == VersionState::Withdrawn &&
      !MayBeEmpty(aChecking, aStage.mModel)) {
    Report(aChecking,
           aPlace,
           "cascade " + aCascade + " has the withdrawn stage " + path);
  }
}

void CheckCascades(Checking& aChecking)
{
  for (const TreeSection* section :
       LeavesOf(aChecking.mTree, SectionKind::Cascade)) {
    const Place place = PlaceOf(aChecking, *section, "stages");
    const std::string& name = section->mName.mPath;
    const CascadeSettings& cascade = aChecking.mSettings.mCascades.at(name);
    if (cascade.mStages.empty()) {
      Report(aChecking, place, "cascade " + name + " has no stage");
    }
    std::set<CascadeStage> seen;
    for (const CascadeStage& stage : cascade.mStages) {
      CheckStage(aChecking, place, name, stage);
      if (!seen.insert(stage).second) {
        Report(aChecking,
               place,
               "cascade " + name + " runs " + stage.mModel + "/" +
                 stage.mVersion + " twice");
      }
    }
  }
}

bool HasServing(const Settings& aSettings,
                const ClientAccountSettings& aAccount,
                const std::string& aModel)
{
  const auto model = aSettings.mModels.find(aModel);
  if (model == aSettings.mModels.end()) {
    return true; // NOTE: Reported as a dangling name.
  }
  const auto& versions = model->second.mVersions;
  return std::any_of(
    versions.begin(), versions.end(), [&](const auto& aVersion) {
      return aVersion.mState == VersionState::Serving &&
             Permits(aAccount, aModel, aVersion.mName);
    });
}

void CheckAccountCascade(Checking& aChecking,
                         const Place& aPlace,
                         const ClientAccountSettings& aAccount,
                         const CascadeSettings& aCascade)
{
  for (const CascadeStage& stage : aCascade.mStages) {
    const bool isKnown =
      stage.mVersion.empty()
        ? aChecking.mSettings.mModels.contains(stage.mModel)
        : FindVersion(aChecking.mSettings, stage.mModel, stage.mVersion) !=
            nullptr;
    const bool permitted =
      stage.mVersion.empty()
        ? HasServing(aChecking.mSettings, aAccount, stage.mModel) ||
            MayBeEmpty(aChecking, stage.mModel)
        : Permits(aAccount, stage.mModel, stage.mVersion);
    if (isKnown && !permitted) {
      Report(aChecking,
             aPlace,
             "account " + aAccount.mName + " may name cascade " +
               aCascade.mName + " but not use its stage " + stage.mModel +
               (stage.mVersion.empty() ? "" : "/" + stage.mVersion));
    }
  }
}

void CheckAccountModels(Checking& aChecking,
                        const TreeSection& aSection,
                        const ClientAccountSettings& aAccount)
{
  const Place place = PlaceOf(aChecking, aSection, "models");
  std::vector<std::string> known = NamesOf(aChecking.mSettings.mModels);
  const auto cascades = NamesOf(aChecking.mSettings.mCascades);
  known.insert(known.end(), cascades.begin(), cascades.end());
  for (const std::string& name : aAccount.mModels) {
    if (!CheckName(aChecking, place, "model or cascade", name, known)) {
      continue;
    }
    const auto cascade = aChecking.mSettings.mCascades.find(name);
    if (cascade != aChecking.mSettings.mCascades.end()) {
      CheckAccountCascade(aChecking, place, aAccount, cascade->second);
    } else if (!HasServing(aChecking.mSettings, aAccount, name) &&
               !MayBeEmpty(aChecking, name)) {
      Report(aChecking,
             place,
             "account " + aAccount.mName + " may name model " + name +
               " but has no permitted version of it that serves; allowed is "
               "that where the model states may-be-empty = yes");
    }
  }
}

void CheckAccountKeys(Checking& aChecking,
                      const TreeSection& aSection,
                      const ClientAccountSettings& aAccount)
{
  constexpr std::size_t kHashDigits = 64;
  const auto check =
    [&](const std::string& aHash, const std::string& aSalt, const char* aKey) {
      if (!aHash.empty() && aHash.size() != kHashDigits) {
        Report(aChecking,
               PlaceOf(aChecking, aSection, aKey),
               std::string(aKey) + " has " + std::to_string(aHash.size()) +
                 " digits; a SHA-256 has 64");
      }
      if (aHash.empty() != aSalt.empty()) {
        Report(aChecking,
               aSection.mPlace,
               std::string(aKey) + " and its salt go together");
      }
    };
  check(aAccount.mKeyHash, aAccount.mKeySalt, "key-hash");
  check(aAccount.mOldKeyHash, aAccount.mOldKeySalt, "old-key-hash");
  if (aAccount.mKeyHash.empty()) {
    Report(aChecking,
           aSection.mPlace,
           "account " + aAccount.mName +
             " has no key-hash, so nobody can use "
             "it");
  }
}

void CheckAccount(Checking& aChecking,
                  const TreeSection& aSection,
                  const ClientAccountSettings& aAccount)
{
  CheckAccountKeys(aChecking, aSection, aAccount);
  CheckAccountModels(aChecking, aSection, aAccount);
  const auto versions = VersionsOf(aChecking.mSettings);
  for (const std::string& version : aAccount.mVersions) {
    CheckName(aChecking,
              PlaceOf(aChecking, aSection, "versions"),
              "version",
              version,
              versions);
  }
  for (const std::string& service : aAccount.mServices) {
    CheckName(aChecking,
              PlaceOf(aChecking, aSection, "services"),
              "service",
              service,
              NamesOf(aChecking.mSettings.mServices));
  }
  if (static_cast<double>(aAccount.mBurst) < aAccount.mRequestsPerSecond) {
    Report(aChecking,
           PlaceOf(aChecking, aSection, "burst"),
           "account " + aAccount.mName +
             " has a burst below one second of its requests-per-second, so "
             "the rate can't hold");
  }
}

/// The account that a key was first seen with, by salt and hash.
using KeyOwners = std::map<std::pair<std::string, std::string>, std::string>;

void CheckKeyOwner(Checking& aChecking,
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
    Report(aChecking,
           PlaceOf(aChecking, aSection, "key-hash"),
           "account " + aAccount.mName + " has the same key as account " +
             owner->second);
  }
}

void CheckSessionKeys(Checking& aChecking)
{
  constexpr std::size_t kLeastDigits = 32;
  const auto found =
    aChecking.mTree.mSections.find({ SectionKind::Deployment, "" });
  if (found == aChecking.mTree.mSections.end()) {
    return;
  }
  for (const char* name : { "session-key", "old-session-key" }) {
    const auto value = found->second.mValues.find(name);
    if (value != found->second.mValues.end() &&
        value->second.mText.size() < kLeastDigits) {
      Report(aChecking,
             value->second.mPlace,
             std::string(name) + " has " +
               std::to_string(value->second.mText.size()) +
               " digits; at least 32 are allowed");
    }
  }
}

void CheckAccounts(Checking& aChecking)
{
  std::map<std::string, Place> seen;
  KeyOwners owners;
  for (const TreeSection* section :
       LeavesOf(aChecking.mTree, SectionKind::Account)) {
    const std::string name = LastName(section->mName.mPath);
    const auto [first, isNew] = seen.insert({ name, section->mPlace });
    if (!isNew) {
      Report(aChecking,
             section->mPlace,
             "account " + name + " stands already at " + first->second.mFile +
               ":" + std::to_string(first->second.mLine));
      continue;
    }
    const ClientAccountSettings& account =
      aChecking.mSettings.mAccounts.at(name);
    CheckAccount(aChecking, *section, account);
    CheckKeyOwner(aChecking, *section, account, owners);
  }
}

void CheckWidenNames(Checking& aChecking)
{
  for (const auto& [name, section] : aChecking.mTree.mSections) {
    const auto stated = section.mValues.find("children-may-widen");
    if (stated == section.mValues.end()) {
      continue;
    }
    for (const std::string& key : SplitList(stated->second.mText)) {
      const auto row = FindRow(name.mKind, key);
      if (!row || row->mNarrowing == Narrowing::Free) {
        Report(aChecking,
               stated->second.mPlace,
               key + " is no setting that children are held to");
      } else if (!section.mValues.contains(key)) {
        Report(aChecking,
               stated->second.mPlace,
               "[" + Describe(name) + "] lets children widen " + key +
                 " but does not state it");
      }
    }
  }
}

void CheckRoutes(Checking& aChecking)
{
  std::map<std::string, Place> seen;
  for (const TreeSection* section :
       LeavesOf(aChecking.mTree, SectionKind::Route)) {
    const auto text = [&](const char* aKey) {
      const auto row = FindRow(SectionKind::Route, aKey);
      return Effective(aChecking.mTree, section->mName, *row).mText;
    };
    const std::string path = text("path");
    const std::size_t star = path.find('*');
    if (path.empty() || path[0] != '/' ||
        (star != std::string::npos && star + 1 != path.size())) {
      Report(aChecking,
             PlaceOf(aChecking, *section, "path"),
             "\"" + path +
               "\" is not a path; allowed is one that begins with "
               "'/', with '*' only at its end");
    }
    const std::string& whole = section->mName.mPath;
    const std::string route =
      whole.substr(0, whole.find('/')) + " " + text("method") + " " + path;
    if (!seen.insert({ route, section->mPlace }).second) {
      Report(aChecking, section->mPlace, "the route " + route + " is repeated");
    }
  }
}

void CheckRollout(Checking& aChecking,
                  const TreeSection& aSection,
                  const RolloutSettings& aRollout)
{
  const auto versions = VersionsOf(aChecking.mSettings);
  for (const char* key : { "from", "to" }) {
    const std::string& version =
      std::string(key) == "from" ? aRollout.mFrom : aRollout.mTo;
    const std::string path = aRollout.mModel + "/" + version;
    const Place place = PlaceOf(aChecking, aSection, key);
    if (CheckName(aChecking, place, "version", path, versions) &&
        std::string(key) == "to" &&
        FindVersion(aChecking.mSettings, aRollout.mModel, version)->mState !=
          VersionState::Serving &&
        !aRollout.mPaused) {
      Report(aChecking,
             place,
             "roll-out " + aRollout.mName + " leads to " + path +
               ", which does not serve; pause it or take it out");
    }
  }
  if (aRollout.mFrom == aRollout.mTo) {
    Report(aChecking,
           aSection.mPlace,
           "roll-out " + aRollout.mName + " leads to the version it replaces");
  }
  if (aRollout.mSteps.empty()) {
    Report(aChecking,
           PlaceOf(aChecking, aSection, "steps"),
           "roll-out " + aRollout.mName + " has no step");
  }
}

void CheckRollouts(Checking& aChecking)
{
  std::map<std::string, double> shares;
  for (const TreeSection* section :
       LeavesOf(aChecking.mTree, SectionKind::Rollout)) {
    const RolloutSettings& rollout =
      aChecking.mSettings.mRollouts.at(section->mName.mPath);
    CheckRollout(aChecking, *section, rollout);
    const std::string from = rollout.mModel + "/" + rollout.mFrom;
    double& sum = shares[from];
    sum += rollout.mSteps.empty() ? 0 : rollout.mSteps.back();
    if (sum > 1) {
      Report(aChecking,
             PlaceOf(aChecking, *section, "steps"),
             "the roll-outs that replace " + from +
               " come to a share of more than 1");
    }
  }
}

void CheckObjectives(Checking& aChecking)
{
  for (const TreeSection* section :
       LeavesOf(aChecking.mTree, SectionKind::Objective)) {
    const auto check = [&](const char* aKey,
                           const std::vector<std::string>& aKnown) {
      const auto row = FindRow(SectionKind::Objective, aKey);
      const std::string name =
        Effective(aChecking.mTree, section->mName, *row).mText;
      if (!name.empty()) {
        CheckName(
          aChecking, PlaceOf(aChecking, *section, aKey), aKey, name, aKnown);
      }
    };
    check("account", NamesOf(aChecking.mSettings.mAccounts));
    std::vector<std::string> models = NamesOf(aChecking.mSettings.mModels);
    const auto cascades = NamesOf(aChecking.mSettings.mCascades);
    models.insert(models.end(), cascades.begin(), cascades.end());
    check("model", models);
  }
}

} // namespace

void AddCrossFindings(const SettingsTree& aTree,
                      const Settings& aSettings,
                      Findings& aFindings)
{
  Checking checking{ aTree, aSettings, aFindings };
  CheckRequired(checking);
  CheckSessionKeys(checking);
  CheckModels(checking);
  CheckCascades(checking);
  CheckAccounts(checking);
  CheckWidenNames(checking);
  CheckRoutes(checking);
  CheckRollouts(checking);
  CheckObjectives(checking);
}

} // namespace Acaciavale
