#pragma once

#include <Acaciavale/LibSettings/Settings.h>

#include <string>
#include <vector>

/// Accounts and the requests they may send, derived from the settings.
namespace Acaciavale::History {

/// One service call that an account may make.
struct ServiceCall
{
  std::string mMethod;
  std::string mPath; ///< Includes the prefix of the service; may end in '*'.
  bool mRepeatable = false;
};

/// One client account with an API key known to the driver.
struct Account
{
  std::string mName;
  std::string mApiKey;
  std::vector<std::string> mTargets; ///< Models and cascades.
  std::vector<ServiceCall> mServiceCalls;
};

/// Throws std::runtime_error with the first finding if the file is invalid.
Settings ReadSettingsFile(const std::string& aFile);

/// Returns the accounts whose API key the driver can derive, ordered by name.
std::vector<Account> AccountsOf(const Settings& aSettings);

} // namespace Acaciavale::History
