#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Test settings with a cheap and an expensive model, a cascade of both and one
/// account.
namespace Acaciavale::RoutingFixture {

inline VersionSettings Version(const std::string& aName,
                               std::int64_t aPrice,
                               double aQuality)
{
  VersionSettings version;
  version.mName = aName;
  version.mInputPrice = TokenPrice{ aPrice };
  version.mOutputPrice = TokenPrice{ aPrice };
  version.mPriorQuality = aQuality;
  version.mPriorWeight = 400;
  version.mFirstToken = std::chrono::milliseconds(100);
  version.mPerToken = std::chrono::milliseconds(1);
  return version;
}

inline Settings MakeSettings()
{
  Settings settings;
  settings.mModels["small"] = {
    "small", { Version("1", 1'000'000, 0.7), Version("2", 1'100'000, 0.7) }
  };
  settings.mModels["large"] = {
    "large", { Version("1", 9'000'000, 0.95), Version("2", 8'000'000, 0.95) }
  };
  settings.mCascades["both"] = { "both",
                                 { { "small", "" }, { "large", "" } },
                                 0.8 };
  ClientAccountSettings account;
  account.mName = "records";
  account.mModels = { "small", "large", "both" };
  settings.mAccounts["records"] = account;
  return settings;
}

inline const std::vector<CascadeStage>& AllLoaded()
{
  static const std::vector<CascadeStage> sLoaded = {
    { "small", "1" }, { "small", "2" }, { "large", "1" }, { "large", "2" }
  };
  return sLoaded;
}

inline RequestProfile Profile(const std::string& aTarget)
{
  RequestProfile profile;
  profile.mAccount = "records";
  profile.mTarget = aTarget;
  profile.mKind = "summary";
  profile.mPromptTokens = 1000;
  return profile;
}

} // namespace Acaciavale::RoutingFixture
