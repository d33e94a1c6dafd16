#include <Acaciavale/LibSettings/Settings.h>

#include <algorithm>

namespace Acaciavale {

namespace {

bool Contains(const std::vector<std::string>& aNames, const std::string& aName)
{
  return std::find(aNames.begin(), aNames.end(), aName) != aNames.end();
}

} // namespace

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
  return Contains(aAccount.mModels, aModel) &&
         (aAccount.mVersions.empty() ||
          Contains(aAccount.mVersions, aModel + "/" + aVersion));
}

} // namespace Acaciavale
