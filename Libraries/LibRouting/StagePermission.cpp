#include <LibRouting/StagePermission.h>

#include <algorithm>

namespace Acaciavale {

namespace {

/// Whether the account's list of permitted versions includes this one; an empty
/// list permits all. Permission for a cascade includes the models of its
/// stages, but never adds versions to this list.
bool AllowsVersion(const ClientAccountSettings& aAccount,
                   const CascadeStage& aStage)
{
  const auto& versions = aAccount.mVersions;
  return versions.empty() ||
         std::find(versions.begin(),
                   versions.end(),
                   aStage.mModel + "/" + aStage.mVersion) != versions.end();
}

bool BelongsTo(const std::vector<CascadeStage>& aTargetStages,
               const CascadeStage& aStage)
{
  return std::any_of(aTargetStages.begin(),
                     aTargetStages.end(),
                     [&](const CascadeStage& aTargetStage) {
                       return aTargetStage.mModel == aStage.mModel &&
                              (aTargetStage.mVersion.empty() ||
                               aTargetStage.mVersion == aStage.mVersion);
                     });
}

} // namespace

const ClientAccountSettings* FindAccount(const Settings& aSettings,
                                         const std::string& aAccount)
{
  const auto found = aSettings.mAccounts.find(aAccount);
  return found == aSettings.mAccounts.end() ? nullptr : &found->second;
}

bool MayName(const ClientAccountSettings& aAccount, const std::string& aTarget)
{
  const auto& models = aAccount.mModels;
  return std::find(models.begin(), models.end(), aTarget) != models.end();
}

std::vector<CascadeStage> StagesOf(const Settings& aSettings,
                                   const std::string& aTarget)
{
  const auto cascade = aSettings.mCascades.find(aTarget);
  if (cascade != aSettings.mCascades.end()) {
    return cascade->second.mStages;
  }
  if (aSettings.mModels.count(aTarget) == 0) {
    return {};
  }
  return { CascadeStage{ aTarget, "" } };
}

bool IsPinnedBySession(const RequestProfile& aProfile,
                       const CascadeStage& aStage)
{
  const auto& held = aProfile.mSessionVersions;
  return std::find(held.begin(), held.end(), aStage) != held.end();
}

const CascadeStage* UsableSessionVersion(const RequestProfile& aProfile,
                                         const Settings& aSettings,
                                         const std::string& aModel)
{
  for (const CascadeStage& held : aProfile.mSessionVersions) {
    if (held.mModel == aModel &&
        CheckDispatch(aProfile, aSettings, held) == Exclusion::None) {
      return &held;
    }
  }
  return nullptr;
}

Exclusion CheckDispatch(const RequestProfile& aProfile,
                        const Settings& aSettings,
                        const CascadeStage& aStage)
{
  const ClientAccountSettings* account =
    FindAccount(aSettings, aProfile.mAccount);
  if (account == nullptr || !MayName(*account, aProfile.mTarget) ||
      !AllowsVersion(*account, aStage) ||
      !BelongsTo(StagesOf(aSettings, aProfile.mTarget), aStage)) {
    return Exclusion::NotPermitted;
  }
  const VersionSettings* version =
    FindVersion(aSettings, aStage.mModel, aStage.mVersion);
  if (version == nullptr) {
    return Exclusion::NotPermitted;
  }
  if (version->mState == VersionState::Withdrawn) {
    return Exclusion::Withdrawn;
  }
  if (version->mState == VersionState::Retiring &&
      !IsPinnedBySession(aProfile, aStage)) {
    return Exclusion::Retiring;
  }
  return Exclusion::None;
}

} // namespace Acaciavale
