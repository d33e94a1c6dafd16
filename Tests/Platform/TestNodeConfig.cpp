#include <NodeConfig.h>

#include <CppUTest/TestHarness.h>
#include <fstream>
#include <regex>
#include <sstream>

using namespace Acaciavale;
using namespace Acaciavale::Platform;

TEST_GROUP(NodeConfig)
{
  std::string mText;

  /// Reads the template and replaces each placeholder by a value of its type.
  void setup() override
  {
    std::ifstream file(std::string(ACACIAVALE_SOURCE) +
                       "/platform/node.ini.template");
    std::ostringstream text;
    text << file.rdbuf();
    mText = text.str();
    const auto fill = [this](const char* aPlaceholder, const char* aValue) {
      mText = std::regex_replace(mText, std::regex(aPlaceholder), aValue);
    };
    fill("\\{\\{(listen\\.[a-z]+|platform\\.address)\\}\\}", "10.0.0.1:80");
    fill("\\{\\{ip\\}\\}:\\{\\{inner-port-range\\.0\\}\\}", "10.0.0.1:7340");
    fill("\\{\\{ip\\}\\}", "10.0.0.1");
    fill(
      "\\{\\{(bounds\\.[a-z_-]+|limits\\.[a-z-]+|platform\\.ttl-min-ms)\\}\\}",
      "2.5");
    fill("\\{\\{is-bootstrap\\}\\}", "true");
    fill("\\{\\{[a-z-]+\\}\\}", "name");
  }
};

TEST(NodeConfig, TemplateContainsEveryRequiredKey)
{
  CHECK(mText.find("{{") == std::string::npos);
  const NodeConfigResult result = ParseNodeConfig("node.ini", mText);
  CHECK(result.mFindings.empty());
  CHECK(result.mConfig.has_value());
  STRCMP_EQUAL("10.0.0.1:80", result.mConfig->mCallerAddress.c_str());
  CHECK(result.mConfig->mStopTimeout == std::chrono::milliseconds(2500));
}

TEST(NodeConfig, ReportsEachInvalidKeyWithItsLine)
{
  mText = std::regex_replace(mText, std::regex("callers = [^\n]*"), "");
  mText = std::regex_replace(
    mText, std::regex("directory = [^\n]*"), "directory = here");
  mText =
    std::regex_replace(mText, std::regex("stop-s = [^\n]*"), "stop-s = soon");
  const NodeConfigResult result = ParseNodeConfig("node.ini", mText);
  CHECK_FALSE(result.mConfig.has_value());
  UNSIGNED_LONGS_EQUAL(3, result.mFindings.size());
  std::string all;
  for (const Finding& finding : result.mFindings) {
    all += Describe(finding) + '\n';
  }
  CHECK(all.find("listen.callers is missing") != std::string::npos);
  CHECK(all.find("node.ini:15: listen.directory is \"here\"") !=
        std::string::npos);
  CHECK(all.find("bounds.stop-s is \"soon\"") != std::string::npos);
}

TEST(NodeConfig, ReportsNumbersOutOfRange)
{
  for (const char* value : { "-1", "1e300", "nan", "inf" }) {
    const std::string text =
      std::regex_replace(mText,
                         std::regex("memory-mb = [^\n]*"),
                         std::string("memory-mb = ") + value);
    const NodeConfigResult result = ParseNodeConfig("node.ini", text);
    UNSIGNED_LONGS_EQUAL(1, result.mFindings.size());
  }
}

/// The platform may not know the value.
TEST(NodeConfig, TheMemoryMayBeLeftOut)
{
  for (const char* line : { "", "memory-mb =", "memory-mb = {{limits}}" }) {
    const std::string text =
      std::regex_replace(mText, std::regex("memory-mb = [^\n]*"), line);
    const NodeConfigResult result = ParseNodeConfig("node.ini", text);
    CHECK(result.mConfig.has_value());
    UNSIGNED_LONGS_EQUAL(NodeConfig().mMemoryBytes,
                         result.mConfig->mMemoryBytes);
  }
}

TEST(NodeConfig, IgnoresUnknownKeys)
{
  mText += "\n[later]\nnew-field = 7\n";
  CHECK(ParseNodeConfig("node.ini", mText).mConfig.has_value());
}
