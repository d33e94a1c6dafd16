#include "StandInPlatform.h"

#include <CppUTest/TestHarness.h>
#include <cstdio>
#include <fstream>
#include <sstream>

using namespace Acaciavale::Platform;
using namespace Acaciavale::Platform::StandIns;

/// Changes of the settings file while the VM runs.
TEST_GROUP(SettingsFile)
{
  PlatformFixture mFixture;
  std::string mPath = "/tmp/acaciavale-settings-" +
                      std::to_string(reinterpret_cast<std::uintptr_t>(this));

  void setup() override
  {
    mFixture.PutSettings(1);
  }

  void teardown() override
  {
    std::remove(mPath.c_str());
  }

  static std::string Text(const std::string& aStoreAddress)
  {
    std::ostringstream text;
    text << "[node]\nname = vm\naddress = 127.0.0.1\n"
            "failure-domain = zone-a\nregion = region\nlink-mbps = 1000\n"
            "first-start = false\n"
            "[listen]\ncallers = 127.0.0.1:0\nreadiness = 127.0.0.1:0\n"
            "directory = 127.0.0.1:0\npeers = 127.0.0.1:0\n"
            "metrics = 127.0.0.1:0\n"
            "[store]\naddress = "
         << aStoreAddress
         << "\nshortest-lease-ms = 1000\n"
            "[bounds]\nstop-s = 8\nsettings-in-force-ms = 2000\n"
            "leaving-ms = 2000\nkey-proof-ms = 5000\nretry-ratio = 0.9\n"
            "retry-window-s = 10\nretry-slack = 56\nlongest-entry-s = 5\n";
    return text.str();
  }

  /// Starts a VM whose settings name a store that does not exist.
  void StartWithoutStore()
  {
    const std::string text = Text(mFixture.UnusedAddress());
    std::ofstream(mPath) << text;
    const NodeConfigResult parsed = ParseNodeConfig(mPath, text);
    CHECK(parsed.mConfig.has_value());
    mFixture.mNode =
      std::make_unique<Node>(mFixture.mIoContext, mPath, *parsed.mConfig, text);
    mFixture.mNode->Start();
  }

  void CheckBecomesReady()
  {
    mFixture.RunUntil([this] {
      return mFixture
               .FetchPage(mFixture.mNode->ReadinessAddress(), "/api/readyz")
               .mHead.result_int() == 200;
    });
  }
};

/// Guards against a change that is taken for what was read at the start.
TEST(SettingsFile, AChangeRightAfterTheStartIsApplied)
{
  StartWithoutStore();
  std::ofstream(mPath) << Text(mFixture.mStore.Address());
  CheckBecomesReady();
}

/// Guards against a change that is lost behind a read of an empty file.
TEST(SettingsFile, AChangeBehindAnEmptyFileIsApplied)
{
  StartWithoutStore();
  std::ofstream(mPath, std::ios::trunc).flush();
  mFixture.RunFor(std::chrono::milliseconds(2500));
  std::ofstream(mPath) << Text(mFixture.mStore.Address());
  CheckBecomesReady();
}
