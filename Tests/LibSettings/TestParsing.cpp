#include "ExampleSettings.h"

#include <Acaciavale/LibSettings/SettingsFiles.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(Parsing){};

TEST(Parsing, ExampleDeploymentsHaveNoFindings)
{
  for (const std::string name : { "jadran", "gebeta" }) {
    const auto loaded =
      LoadSettingsFiles({ std::string(ACACIAVALE_SOURCE) + "/Examples/" + name +
                          "/settings.ini" });
    LONGS_EQUAL(2, loaded.mFiles.size());
    STRCMP_EQUAL("", FindingLines(loaded.mFiles).c_str());
    const Settings settings = *ParseSettings(loaded.mFiles).mSettings;
    LONGS_EQUAL(10, settings.mAccounts.size());
    for (const auto& [account, accountSettings] : settings.mAccounts) {
      CHECK(KeyMatches(accountSettings, "key-" + account));
      CHECK(!KeyMatches(accountSettings, "key-" + account + "x"));
    }
  }
}

TEST(Parsing, TableDefaultsMatchStructDefaults)
{
  Settings settings = *ParseSettings(Files(ExampleText())).mSettings;
  DeploymentSettings deployment;
  deployment.mName = "example";
  deployment.mSessionKey = "00ff00ff00ff00ff00ff00ff00ff00ff";
  CHECK(settings.mDeployment == deployment);
  ClientAccountSettings account = settings.mAccounts.at("one");
  const ClientAccountSettings defaults;
  CHECK(account.mRequestsPerSecond == defaults.mRequestsPerSecond);
  CHECK(account.mMaxInFlight == defaults.mMaxInFlight);
  CHECK(account.mPriority == defaults.mPriority);
  CHECK(account.mQualityTarget == defaults.mQualityTarget);
  const ServiceRoute route = settings.mServices.at("s").mRoutes.at(0);
  CHECK(route == (ServiceRoute{ "POST", "/log" }));
  VersionSettings version = settings.mModels.at("m").mVersions.at(0);
  CHECK(version ==
        (VersionSettings{
          "a", VersionState::Serving, TokenPrice{ 100 }, TokenPrice{ 200 } }));
}

TEST(Parsing, ChildInheritsAllValuesItDoesNotState)
{
  const Settings settings = *ParseSettings(Files(ExampleText())).mSettings;
  const VersionSettings* version = FindVersion(settings, "m", "b");
  DOUBLES_EQUAL(0.9, version->mPriorQuality, 1e-9);
  CHECK(version->mOutputPrice == TokenPrice{ 200 });
  const ClientAccountSettings& account = settings.mAccounts.at("one");
  LONGS_EQUAL(100, account.mBurst);
  CHECK(Permits(account, "m", "a"));
  CHECK(!Permits(account, "other", "a"));
  CHECK(FindVersion(settings, "m", "c") == nullptr);
}

TEST(Parsing, CrLfLineEndingsAndByteOrderMarkAreAccepted)
{
  std::string text = "\xef\xbb\xbf";
  for (const char character : ExampleText()) {
    text += character == '\n' ? "\r\n" : std::string(1, character);
  }
  STRCMP_EQUAL("", FindingLines(Files(text)).c_str());
}
