#include <Acaciavale/LibServer/NodeSettings.h>
#include <LibServer/ServiceExchange.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

TEST_GROUP(NodeSettings){};

TEST(NodeSettings, AllFindingsAreReportedWithLineNumbers)
{
  const auto result = ParseNodeSettings("vm.ini",
                                        "[vm]\n"
                                        "name = vm-1\n"
                                        "weight = heavy\n"
                                        "colour = red\n"
                                        "[platform]\n"
                                        "key-value = localhost:1\n");
  CHECK_FALSE(result.mSettings.has_value());
  LONGS_EQUAL(5, result.mFindings.size());
  STRCMP_EQUAL("vm.ini:0: [platform] endpoint-list is needed",
               Describe(result.mFindings[0]).c_str());
  STRCMP_EQUAL("vm.ini:0: [vm] failure-domain is needed",
               Describe(result.mFindings[1]).c_str());
  LONGS_EQUAL(3, result.mFindings[2].mPlace.mLine);
  LONGS_EQUAL(4, result.mFindings[3].mPlace.mLine);
  LONGS_EQUAL(6, result.mFindings[4].mPlace.mLine);
}

TEST(NodeSettings, CompleteFileIsParsed)
{
  const auto result = ParseNodeSettings("vm.ini",
                                        "[vm]\r\n"
                                        "name = vm-1\r\n"
                                        "failure-domain = hr-central-a\r\n"
                                        "[platform]\r\n"
                                        "key-value = 127.0.0.1:1\r\n"
                                        "endpoint-list = 127.0.0.1:2\r\n");
  CHECK(result.mSettings.has_value());
  STRCMP_EQUAL("hr-central-a", result.mSettings->mFailureDomain.c_str());
}

TEST(NodeSettings, RoutePatternsMatchExactlyOrByTrailingStar)
{
  CHECK(PathMatches("/drills", "/drills"));
  CHECK_FALSE(PathMatches("/drills", "/drills/1"));
  CHECK(PathMatches("/certificates/*", "/certificates/HR-1"));
  CHECK_FALSE(PathMatches("/certificates/*", "/certificate"));
}
