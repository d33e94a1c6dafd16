#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <nlohmann/json.hpp>

using namespace Acaciavale::Platform::StandIns;
using Json = nlohmann::json;

/// Which requests run by the accounts and keys of the settings.
TEST_GROUP(Keys)
{
  PlatformFixture mFixture;
  std::int64_t mVersion = 1;

  void setup() override
  {
    mFixture.AddEndpoint("desk", "i-1", RespondWith("done"));
    mFixture.AddEndpoint("engines", "i-2", StreamEvents(1));
    mFixture.PutSettings(mVersion);
    mFixture.StartNode();
  }

  /// Puts the next version of the settings, with aAccounts in place of the list
  /// of accounts; discarded: without the field.
  void PutAccounts(const Json& aAccounts)
  {
    Json settings = Json::parse(*mFixture.mStore.Value("op/config"));
    settings["version"] = ++mVersion;
    settings.erase("tenants");
    if (!aAccounts.is_discarded()) {
      settings["tenants"] = aAccounts;
    }
    mFixture.mStore.Put("op/config", settings.dump());
    mFixture.RunUntilStoreRead();
  }

  unsigned Status(const std::string& aTarget, const std::string& aKey)
  {
    return mFixture.Call({ "POST", aTarget, "body", { { "Key", aKey } } })
      .mHead.result_int();
  }

  /// Checks that no key opens a route of any kind, unless the route is public.
  void CheckIsClosed()
  {
    for (const char* const target :
         { "/once/x", "/again/x", "/stream/x", "/fixed/x", "/sized/x" }) {
      for (const char* const key : { "key-1", "key-2", "" }) {
        LONGS_EQUAL(401, Status(target, key));
      }
    }
    LONGS_EQUAL(200, Status("/open/x", ""));
  }
};

/// Guards against settings that open all routes when they take the last account
/// away.
TEST(Keys, WithoutAccountsNoKeyIsValid)
{
  LONGS_EQUAL(200, Status("/once/x", "key-1"));
  PutAccounts(Json::array());
  CheckIsClosed();
}

/// Guards against the same where the writer encodes an empty list as null.
TEST(Keys, WithNullForAccountsNoKeyIsValid)
{
  PutAccounts(nullptr);
  CheckIsClosed();
}

/// Guards against the same where the account stays without its last key.
TEST(Keys, AnAccountWithoutKeysOpensNothing)
{
  PutAccounts({ { { "name", "first" }, { "api-keys", Json::array() } } });
  CheckIsClosed();
  PutAccounts({ { { "name", "first" }, { "api-keys", nullptr } } });
  CheckIsClosed();
  PutAccounts(Json::array({ { { "name", "first" } } }));
  CheckIsClosed();
}

/// Guards against an empty key, which would be that of requests without one.
TEST(Keys, AnEmptyKeyOpensNothing)
{
  PutAccounts({ { { "name", "first" }, { "api-keys", { "" } } } });
  CheckIsClosed();
}

/// Guards against a VM that stays closed when accounts come back.
TEST(Keys, AccountsThatComeBackAreServed)
{
  PutAccounts(Json::array());
  PutAccounts({ { { "name", "first" }, { "api-keys", { "key-2" } } } });
  LONGS_EQUAL(401, Status("/once/x", "key-1"));
  LONGS_EQUAL(200, Status("/once/x", "key-2"));
}

/// Settings without the field have no accounts at all.
TEST(Keys, SettingsWithoutTheFieldNeedNoKey)
{
  PutAccounts(Json(Json::value_t::discarded));
  LONGS_EQUAL(200, Status("/once/x", ""));
}
