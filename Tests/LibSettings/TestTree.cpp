#include "ExampleSettings.h"

#include <Acaciavale/LibSettings/SettingsDifference.h>
#include <Acaciavale/LibSettings/SettingsEdit.h>
#include <Acaciavale/LibSettings/SettingsReport.h>

#include <fstream>
#include <iterator>
#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

const SectionName kAccountOne{ SectionKind::Account, "group/one" };

std::string LineContaining(const std::string& aText, const std::string& aStart)
{
  const std::size_t at = aText.find(aStart);
  return at == std::string::npos ? ""
                                 : aText.substr(at, aText.find('\n', at) - at);
}

std::string EffectLines(const std::vector<SettingsFile>& aBefore,
                        const std::vector<SettingsFile>& aAfter)
{
  std::string text;
  for (const auto& effect : CompareSettings(aBefore, aAfter).mEffects) {
    text += effect + "\n";
  }
  return text;
}

} // namespace

TEST_GROUP(Tree){};

TEST(Tree, ReferencePageMatchesTheTable)
{
  std::ifstream stream(std::string(ACACIAVALE_SOURCE) + "/docs/SETTINGS.md");
  const std::string page{ std::istreambuf_iterator<char>(stream), {} };
  CHECK_TEXT(page == RenderReference(),
             "regenerate it: acaciavale settings reference > docs/SETTINGS.md");
}

TEST(Tree, ExplainListsOriginAndOverriddenValues)
{
  const auto files =
    Files(ExampleText() + "burst = 50\n[account]\nburst = 400\n");
  const SettingsTree tree = ParseSettingsTree(files).mTree;
  CHECK(FindAccountSection(tree, "one") == kAccountOne);
  STRCMP_EQUAL("[account group/one] burst = 50\n"
               "    set at    s.ini:23 [account group/one] 50\n"
               "    overrides s.ini:19 [account group] 100\n"
               "    overrides s.ini:25 [account] 400\n",
               ExplainText(Explain(tree, { kAccountOne, "burst" })).c_str());
  STRCMP_CONTAINS(
    "the default",
    ExplainText(Explain(tree, { kAccountOne, "priority" })).c_str());
}

TEST(Tree, VersionPermissionsGiveReasons)
{
  auto files = Files(ExampleText() + "models = m\nversions = m/b\n");
  const auto text = [&] {
    return PermissionsText(
      ListVersionPermissions(*ParseSettings(files).mSettings, "one", "m"));
  };
  STRCMP_EQUAL("m/a: not permitted: not listed in models or versions\n"
               "m/b: permitted\n",
               text().c_str());
  files = Files(ExampleText() + "[version m/c]\nstate = withdrawn\n"
                                "[version m/d]\nstate = retiring\n");
  STRCMP_EQUAL("m/a: permitted\nm/b: permitted\n"
               "m/c: withdrawn: serves no requests\n"
               "m/d: permitted, but retiring: existing sessions only\n",
               text().c_str());
}

TEST(Tree, SecretsAreHiddenInAllReports)
{
  const auto files = Files(ExampleText());
  const SettingsTree tree = ParseSettingsTree(files).mTree;
  auto changed = files;
  changed[0].mText.replace(changed[0].mText.find("00ff00ff"), 4, "00ee");
  const std::string all = ExplainText(Explain(tree, {})) +
                          ExplainJson(Explain(tree, {})) + FilesText(files) +
                          FilesJson(files) +
                          DifferenceText(CompareSettings(files, changed)) +
                          DifferenceJson(CompareSettings(files, changed));
  for (const char* secret :
       { "00ff", "00ee", "key-hash = 6", "key-salt = 00" }) {
    CHECK_TEXT(all.find(secret) == std::string::npos, secret);
  }
  STRCMP_CONTAINS("all sessions lose their version",
                  EffectLines(files, changed).c_str());
}

TEST(Tree, EditKeepsAllOtherLines)
{
  auto files =
    Files(ExampleText() +
          "requests-per-second = 40/s\nburst = 50 ; for now\r\n; the end");
  auto edited = WithValue(files, kAccountOne, "burst", "60").value();
  STRCMP_EQUAL("burst = 60 ; for now\r",
               LineContaining(edited[0].mText, "burst = 60").c_str());
  LONGS_EQUAL(files[0].mText.size(), edited[0].mText.size());
  edited = WithValue(files, kAccountOne, "priority", "batch").value();
  CHECK(ParseSettings(edited).mSettings->mAccounts.at("one").mPriority ==
        Priority::Batch);
  edited =
    WithValue(files, { SectionKind::Account, "" }, "burst", "300").value();
  STRCMP_CONTAINS("; the end\r\n\r\n[account]\r\nburst = 300\r\n",
                  edited[0].mText.c_str());
  CHECK(WithValue(files, kAccountOne, "burst", "60ms").error().mCode ==
        ErrorCode::Invalid);
  CHECK(WithValue(files, kAccountOne, "brust", "60").error().mCode ==
        ErrorCode::Invalid);
}

TEST(Tree, WithdrawalRemovesCascadeStagesAndPausesRollouts)
{
  const auto files = Files(
    ExampleText() + "[rollout r]\nmodel = m\nfrom = a\nto = b\nsteps = 1\n");
  const auto edited = WithVersionState(files, { "m", "b" }).value();
  const SettingsResult result = ParseSettings(edited);
  STRCMP_EQUAL("", FindingsText(result.mFindings).c_str());
  LONGS_EQUAL(1, result.mSettings->mCascades.at("c").mStages.size());
  CHECK(result.mSettings->mRollouts.at("r").mPaused);
  const std::string effects = EffectLines(files, edited);
  STRCMP_CONTAINS("version m/b serves no requests any more", effects.c_str());
  STRCMP_CONTAINS("1 account loses version m/b: one", effects.c_str());
  STRCMP_CONTAINS("cascade c runs m/a instead of m/a, m/b", effects.c_str());
  CHECK(WithVersionState(files, { "m", "z" }).error().mCode ==
        ErrorCode::NotFound);

  const auto last = WithVersionState(edited, { "m", "a" }).value();
  CHECK(!ParseSettings(last).mFindings.empty());
  const auto emptied =
    WithVersionState(edited, { "m", "a", VersionState::Withdrawn, true })
      .value();
  STRCMP_EQUAL("", FindingsText(ParseSettings(emptied).mFindings).c_str());
}

TEST(Tree, ComparisonReportsAccountsKeysLimitsAndRoutes)
{
  const auto files = Files(ExampleText());
  const auto narrowed = WithValue(files, kAccountOne, "burst", "99").value();
  STRCMP_EQUAL("[account group/one] burst: (not stated) -> 99\n"
               "  means: 1 account has changed limits: one\n",
               DifferenceText(CompareSettings(files, narrowed)).c_str());
  const auto rekeyed = WithValue(files, kAccountOne, "key-hash", "00").value();
  STRCMP_CONTAINS("1 account has a key that is no longer accepted: one",
                  EffectLines(files, rekeyed).c_str());
  const auto repeatable =
    WithValue(files, { SectionKind::Route, "s/log" }, "repeatable", "yes")
      .value();
  STRCMP_CONTAINS("POST /log of service s may be sent twice",
                  EffectLines(files, repeatable).c_str());
  STRCMP_EQUAL("no value differs\n",
               DifferenceText(CompareSettings(files, files)).c_str());
}

TEST(Tree, ChildLimitAboveItsParentsIsAFinding)
{
  const bool holds = rc::check([] {
    const auto parent = *rc::gen::inRange(1, 500);
    const auto child = *rc::gen::inRange(1, 500);
    auto files = Files(ExampleText());
    files = WithValue(files,
                      { SectionKind::Account, "group" },
                      "max-in-flight",
                      std::to_string(parent))
              .value();
    files =
      WithValue(files, kAccountOne, "max-in-flight", std::to_string(child))
        .value();
    RC_ASSERT(ParseSettings(files).mFindings.empty() == (child <= parent));
  });
  CHECK(holds);
}
