#include "Workload.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>
#include <Acaciavale/LibSettings/SettingsParser.h>

#include <stdexcept>

namespace Acaciavale::History {

namespace {

void ThrowFirstFinding(const Findings& aFindings)
{
  if (!aFindings.empty()) {
    throw std::runtime_error(Describe(aFindings[0]));
  }
}

std::vector<ServiceCall> ServiceCallsOf(const Settings& aSettings,
                                        const ClientAccountSettings& aAccount)
{
  std::vector<ServiceCall> calls;
  for (const std::string& name : aAccount.mServices) {
    for (const ServiceRoute& route : aSettings.mServices.at(name).mRoutes) {
      calls.push_back({ route.mMethod,
                        "/v1/services/" + name + route.mPath,
                        route.mRepeatable });
    }
  }
  return calls;
}

} // namespace

Settings ReadSettingsFile(const std::string& aFile)
{
  const LoadedSettingsFiles loaded = LoadSettingsFiles({ aFile });
  ThrowFirstFinding(loaded.mFindings);
  SettingsResult parsed = ParseSettings(loaded.mFiles);
  ThrowFirstFinding(parsed.mFindings);
  return *parsed.mSettings;
}

std::vector<Account> AccountsOf(const Settings& aSettings)
{
  std::vector<Account> accounts;
  for (const auto& [name, account] : aSettings.mAccounts) {
    // NOTE: In the example settings, the API key of an account is "key-" plus
    //       the last component of its name.
    const std::string key = "key-" + name.substr(name.rfind('/') + 1);
    if (KeyMatches(account, key)) {
      accounts.push_back(
        { name, key, account.mModels, ServiceCallsOf(aSettings, account) });
    }
  }
  return accounts;
}

} // namespace Acaciavale::History
