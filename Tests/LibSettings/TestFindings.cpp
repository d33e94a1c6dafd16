#include "ExampleSettings.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

/// Returns the example settings with one text replaced by another.
std::string ExampleWithReplacement(const std::string& aOld,
                                   const std::string& aNew)
{
  std::string text = ExampleText();
  return text.replace(text.find(aOld), aOld.size(), aNew);
}

/// Invalid settings, and a part of the finding expected for them.
struct Case
{
  std::string mText;
  std::string mExpectedPart;
};

void CheckCase(const Case& aCase)
{
  const std::string findings = FindingLines(Files(aCase.mText));
  const std::string message =
    "expected: " + aCase.mExpectedPart + "\nfound: " + findings;
  CHECK_TEXT(findings.find(aCase.mExpectedPart) != std::string::npos,
             message.c_str());
}

std::string RolloutText(const std::string& aName, const std::string& aSteps)
{
  return "[rollout " + aName +
         "]\nmodel = m\nfrom = a\nto = b\nsteps = " + aSteps + "\n";
}

} // namespace

TEST_GROUP(SettingFindings){};

TEST(SettingFindings, InvalidLinesAreReportedWithLineNumber)
{
  const std::string text = ExampleText();
  const std::vector<Case> cases{
    { "", "s.ini:0: the file is empty" },
    { " \r\n", "s.ini:0: the file is empty" },
    { text + "what is this\n", "s.ini:23: this line is neither a [section]" },
    { text + "[account x\n", "s.ini:23: the section header has no closing ]" },
    { text + "[account x] y\n", "s.ini:23: nothing may follow" },
    { text + "; \xff\n", "s.ini:23: the line is not valid UTF-8" },
    { text + "; \xed\xa0\x80\n", "s.ini:23: the line is not valid UTF-8" },
    { text + "= 3\n", "s.ini:23: the value has no key" },
    { text + ";" + std::string(5000, 'x'),
      "s.ini:23: the line has 5001 bytes" },
    { text + std::string(1, '\0'), "contains a control character" },
    { text + "; \x1b[2J\n", "contains a control character" },
    { text + std::string(1'000'000, '\n'), "bytes; at most 1000000" },
    { "burst = 3\n" + text, "s.ini:1: \"burst\" is stated before any section" },
  };
  for (const Case& testCase : cases) {
    CheckCase(testCase);
  }
}

TEST(SettingFindings, InvalidKeysAndValuesAreReportedWithWhatIsAllowed)
{
  const std::vector<Case> cases{
    { ExampleWithReplacement("burst", "brust"), "did you mean burst?" },
    { ExampleWithReplacement("[service s]", "[servise s]"),
      "did you mean service?" },
    { ExampleWithReplacement("burst = 100", "burst = 100ms"),
      "s.ini:19: \"100ms\" is not allowed for burst; expected a whole" },
    { ExampleWithReplacement("burst = 100", "burst = 0"),
      "out of range for burst" },
    { ExampleWithReplacement("100micros/Mtok", "100micros"),
      "not allowed for input-price" },
    { ExampleWithReplacement("100micros/Mtok",
                             "99999999999999999999micros/Mtok"),
      "not allowed for input-price" },
    { ExampleWithReplacement("0.9", "1.5"), "out of range for prior-quality" },
    { ExampleWithReplacement("0.9", "nan"), "not allowed for prior-quality" },
    { ExampleWithReplacement("00ff00ff", "00FG00ff"),
      "the value is not allowed for session-key" },
    { ExampleWithReplacement("00ff00ff", ""),
      "session-key has 24 digits; at least 32" },
    { ExampleWithReplacement("burst = 100", "burst = 100\nburst = 100"),
      "s.ini:20: burst is already stated at s.ini:19" },
    { ExampleWithReplacement("[version m/b]", "[version m/a]"),
      "is already defined at s.ini:7" },
    { ExampleWithReplacement("[version m/b]", "[version b]"),
      "a version has 2" },
    { ExampleWithReplacement("[version m/b]", "[version]"), "needs a path" },
    { ExampleWithReplacement("[deployment]", "[deployment x]"),
      "takes no name" },
    { ExampleWithReplacement("[deployment]", "[service]"),
      "there is no [deployment]" },
    { ExampleWithReplacement("name = example", ""),
      "[deployment] states no name" },
  };
  for (const Case& testCase : cases) {
    CheckCase(testCase);
  }
}

TEST(SettingFindings, ChildMayNarrowButNotWidenItsParentsValue)
{
  const std::string child = ExampleText();
  CheckCase({ child + "burst = 200\n",
              "burst allows 200, which [account group]"
              " does not (s.ini:19: 100)" });
  CheckCase({ child + "models = m, other\n", "models allows other" });
  CheckCase({ ExampleWithReplacement("prior-quality = 0.9", "state = serving") +
                "[model]\nstate = retiring\n",
              "state allows serving" });
  CheckCase(
    { ExampleWithReplacement("burst", "versions = m/a\nburst") + "versions =\n",
      "versions allows every version" });
  const std::string allowed = ExampleWithReplacement(
    "burst = 100", "burst = 100\nchildren-may-widen = burst");
  STRCMP_EQUAL("", FindingLines(Files(allowed + "burst = 200\n")).c_str());
  STRCMP_EQUAL("", FindingLines(Files(child + "burst = 100\n")).c_str());
  CheckCase(
    { ExampleWithReplacement("burst = 100", "children-may-widen = burst"),
      "lets children widen burst but does not state it" });
}

TEST(SettingFindings, ReferencesBetweenSectionsAreChecked)
{
  const std::string text = ExampleText();
  const std::vector<Case> cases{
    { text + "models = n\n", "there is no model or cascade n; did you mean" },
    { text + "services = t\n", "there is no service t" },
    { text + "versions = m/z\n", "there is no version m/z" },
    { text + "versions = m/a\n",
      "may request cascade c but not use its stage m/b" },
    { text + "inherits = nobody\n", "[account nobody], which does not exist" },
    { text + "inherits = group/one\n", "[account group/one] inherits from" },
    { text + "key-hash = 00\n", "key-hash is already stated" },
    { text + "[account lone]\nmodels = m\n", "account lone has no key-hash" },
    { text + "[account two]\n" + text.substr(text.find("key-salt")),
      "account two has the same key as account one" },
    { text + "[account g2/one]\n",
      "account one is already defined at s.ini:20" },
    { text + "[account g2/one]\n", "[account g2], which does not exist" },
    { ExampleWithReplacement("[version m/b]",
                             "[version m/b]\nstate = withdrawn"),
      "cascade c has the withdrawn stage m/b" },
    { ExampleWithReplacement("[model m]", "[model m]\nstate = withdrawn"),
      "may request model m but has no permitted version of it that serves" },
    { ExampleWithReplacement("[model m]", "[model m]\nstate = withdrawn"),
      "model m has no version that is not withdrawn" },
    { ExampleWithReplacement("stages = m/a, m/b", "stages = m/a, m/z"),
      "s.ini:11: there is no version m/z; did you mean m/a?" },
    { ExampleWithReplacement("stages = m/a, m/b", "stages = m/a, m/a"),
      "runs m/a twice" },
    { ExampleWithReplacement("stages = m/a, m/b", "stages ="),
      "cascade c has no stage" },
    { ExampleWithReplacement("/log\n", "log\n"), "\"log\" is not a path" },
    { text + "[route s/two]\nmethod = POST\npath = /log\n",
      "the route s POST /log is already defined" },
    { text + "requests-per-second = 101/s\nburst = 100\n",
      "rate cannot be reached" },
    { text + "[objective o]\naccount = nobody\n",
      "there is no account nobody" },
  };
  for (const Case& testCase : cases) {
    CheckCase(testCase);
  }
}

TEST(SettingFindings, InvalidRolloutsAreReported)
{
  const std::string text = ExampleText();
  STRCMP_EQUAL(
    "", FindingLines(Files(text + RolloutText("r", "0.1, 0.5"))).c_str());
  const SettingsResult result =
    ParseSettings(Files(text + "[rollout r]\nmodel = m\nfrom = a\nto = b\n"));
  LONGS_EQUAL(4, result.mSettings->mRollouts.at("r").mSteps.size());
  CheckCase({ text + RolloutText("r", "0.6") + RolloutText("q", "0.1, 0.5"),
              "add up to a share of more than 1" });
  CheckCase(
    { text + RolloutText("r", "0.5, 0.1"), "expected increasing shares" });
  CheckCase({ text + "[rollout r]\nmodel = m\nfrom = a\nto = a\nsteps = 1\n",
              "leads to the version it replaces" });
  CheckCase(
    { ExampleWithReplacement("prior-quality = 0.9", "state = retiring") +
        RolloutText("r", "1"),
      "leads to m/b, which does not serve" });
}

TEST(SettingFindings, ModelWithoutUsableVersionIsAllowedByMayBeEmpty)
{
  const std::string text = ExampleWithReplacement(
    "[model m]", "[model m]\nstate = withdrawn\nmay-be-empty = yes");
  STRCMP_EQUAL("", FindingLines(Files(text)).c_str());
}

TEST(SettingFindings, MissingAndCyclicIncludesAreReported)
{
  const std::string text = ExampleText();
  CheckCase({ "include = sub/gone.ini\n" + text,
              "s.ini:1: the included file sub/gone.ini is missing" });
  CheckCase(
    { "include = /etc/x.ini\n" + text, "a path relative to this file" });
  const std::string findings =
    FindingLines({ { "d/s.ini", "include = ../d/t.ini\n" + text },
                   { "d/t.ini", "include = s.ini\n; nothing else\n" } });
  STRCMP_EQUAL("d/s.ini:1: including d/t.ini leads back to d/s.ini\n"
               "d/t.ini:1: including d/s.ini leads back to d/t.ini\n",
               findings.c_str());
  CHECK(FindingLines({ { "s.ini", text }, { "s.ini", text } })
          .find("given twice") != std::string::npos);
  CHECK(FindingLines({}).find("no settings file") != std::string::npos);
}

TEST(SettingFindings, AllFindingsAreReportedInFileOrder)
{
  const std::string findings =
    FindingLines(Files(ExampleWithReplacement("0.9", "high") +
                       "brust = 3\n[account lone]\nmodels = m\n"));
  STRCMP_CONTAINS("s.ini:9: \"high\"", findings.c_str());
  STRCMP_CONTAINS("\ns.ini:23: unknown key", findings.c_str());
  STRCMP_CONTAINS("\ns.ini:24: account lone", findings.c_str());
}

TEST(SettingFindings, ArbitraryTextYieldsSettingsOrFindings)
{
  const bool holds = rc::check([] {
    std::string text = ExampleText();
    const auto edits = *rc::gen::inRange(1, 8);
    for (int edit = 0; edit < edits; ++edit) {
      const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
      const auto junk = *rc::gen::container<std::string>(
        rc::gen::elementOf(std::string("[]=/;, \n\r\xc3\xff"
                                       "ab0")));
      text.replace(at, *rc::gen::inRange<std::size_t>(0, 9), junk);
    }
    const SettingsResult result = ParseSettings(Files(text));
    RC_ASSERT(result.mSettings.has_value() == result.mFindings.empty());
  });
  CHECK(holds);
}
