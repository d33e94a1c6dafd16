#include <Acaciavale/LibSettings/Settings.h>

#include <algorithm>

namespace Acaciavale {

const VersionSettings* FindVersion(const Settings& aSettings,
                                   const std::string& aModel,
                                   const std::string& aVersion)
{
  const auto model = aSettings.mModels.find(aModel);
  if (model == aSettings.mModels.end()) {
    return nullptr;
  }
  for (const VersionSettings& version : model->second.mVersions) {
    if (version.mName == aVersion) {
      return &version;
    }
  }
  return nullptr;
}

bool Permits(const ClientAccountSettings& aAccount,
             const std::string& aModel,
             const std::string& aVersion)
{
  const auto& models = aAccount.mModels;
  if (std::find(models.begin(), models.end(), aModel) == models.end()) {
    return false;
  }
  const auto& versions = aAccount.mVersions;
  return versions.empty() ||
         std::find(versions.begin(), versions.end(), aModel + "/" + aVersion) !=
           versions.end();
}

} // namespace Acaciavale
