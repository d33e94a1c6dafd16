#pragma once

#include <Acaciavale/LibSettings/Settings.h>

#include <string>
#include <vector>

/// What callers may ask for, as the settings tell.
namespace Acaciavale::History {

/// One service call that an account may make.
struct ServiceCall
{
  std::string mMethod;
  std::string mPath; ///< With the service's prefix; may end in '*'.
  bool mRepeatable = false;
};

/// One client account with a key.
struct Account
{
  std::string mName;
  std::string mApiKey;
  std::vector<std::string> mTargets; ///< Models and cascades.
  std::vector<ServiceCall> mServiceCalls;
};

/// The accounts that have a key, in the order of their names. Throws
/// std::runtime_error with the findings where the file is wrong.
Settings ReadSettingsFile(const std::string& aFile);
std::vector<Account> AccountsOf(const Settings& aSettings);

} // namespace Acaciavale::History
