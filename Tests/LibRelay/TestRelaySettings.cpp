#include <Acaciavale/LibRelay/RelaySettings.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::Relay;

TEST_GROUP(RelaySettings)
{
  RelaySettings mSettings;

  void setup() override
  {
    Route wide;
    wide.mName = "wide";
    wide.mHost = "a.example";
    wide.mPathPrefix = "/one/";
    wide.mPriority = 1;
    Route narrow = wide;
    narrow.mName = "narrow";
    narrow.mPathPrefix = "/one/two/";
    narrow.mPriority = 0;
    mSettings.mRoutes = { wide, narrow };
    mSettings.mAccounts = { { "first", { "k1", "k2" }, 0 },
                            { "second", { "k3" }, 1 } };
  }
};

TEST(RelaySettings, FindsTheRouteWithTheLongestMatchingPrefix)
{
  STRCMP_EQUAL("narrow",
               FindRoute(mSettings, "a.example", "/one/two/3")->mName.c_str());
  STRCMP_EQUAL("wide",
               FindRoute(mSettings, "a.example", "/one/3")->mName.c_str());
  POINTERS_EQUAL(nullptr, FindRoute(mSettings, "a.example", "/two/"));
  POINTERS_EQUAL(nullptr, FindRoute(mSettings, "b.example", "/one/3"));
  POINTERS_EQUAL(nullptr, FindRoute(mSettings, "a.example", "/onerous"));
}

TEST(RelaySettings, ComparesHostsWithoutCase)
{
  mSettings.mRoutes[0].mHost = "A.Example";
  STRCMP_EQUAL("wide",
               FindRoute(mSettings, "a.example", "/one/3")->mName.c_str());
  STRCMP_EQUAL("wide",
               FindRoute(mSettings, "A.EXAMPLE", "/one/3")->mName.c_str());
  POINTERS_EQUAL(nullptr, FindRoute(mSettings, "a.example.org", "/one/3"));
}

TEST(RelaySettings, FindsTheAccountOfAKey)
{
  STRCMP_EQUAL("first", FindAccount(mSettings, "k2")->mName.c_str());
  POINTERS_EQUAL(nullptr, FindAccount(mSettings, ""));
}

/// Guards against an account that takes requests without a key for its own.
TEST(RelaySettings, AnEmptyKeyBelongsToNoAccount)
{
  mSettings.mAccounts[0].mKeys.emplace_back();
  POINTERS_EQUAL(nullptr, FindAccount(mSettings, ""));
}

TEST(RelaySettings, AccountPriorityIsComparedBeforeRoutePriority)
{
  const Route& wide = mSettings.mRoutes[0];
  const Route& narrow = mSettings.mRoutes[1];
  const ClientAccount* first = &mSettings.mAccounts[0];
  const ClientAccount* second = &mSettings.mAccounts[1];
  CHECK(UrgencyOf(mSettings, first, narrow) <
        UrgencyOf(mSettings, first, wide));
  CHECK(UrgencyOf(mSettings, first, wide) <
        UrgencyOf(mSettings, second, narrow));
}

TEST(RelaySettings, ManyPrioritiesMapToTenUrgenciesInOrder)
{
  mSettings.mAccounts.clear();
  for (std::int64_t priority = 0; priority < 30; ++priority) {
    mSettings.mAccounts.push_back(
      { std::to_string(priority), { std::to_string(priority) }, priority });
  }
  std::int64_t before = 0;
  for (const ClientAccount& account : mSettings.mAccounts) {
    const auto urgency =
      UrgencyOf(mSettings, &account, mSettings.mRoutes.front());
    CHECK(urgency >= before && urgency <= 9);
    before = urgency;
  }
}

TEST(RelaySettings, OnlyRepeatableAndResumableRoutesMayRepeat)
{
  Route route;
  CHECK_FALSE(MayRepeat(route));
  route.mKind = RequestKind::Stream;
  CHECK_FALSE(MayRepeat(route));
  route.mResumable = true;
  CHECK(MayRepeat(route));
  route.mKind = RequestKind::Repeatable;
  CHECK(MayRepeat(route));
}
