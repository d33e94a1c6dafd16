#include <Acaciavale/LibRouting/EndpointLimit.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Acaciavale;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint{} + std::chrono::hours(1) + FromSeconds(aSeconds);
}

} // namespace

TEST_GROUP(EndpointLimit){};

TEST(EndpointLimit, ParsesDecimalNumbers)
{
  DOUBLES_EQUAL(1.2, *ParseRequestLimit("1.2").mPerSecond, 1e-9);
  DOUBLES_EQUAL(0, *ParseRequestLimit("0").mPerSecond, 0);
  DOUBLES_EQUAL(0, *ParseRequestLimit("-0").mPerSecond, 0);
  DOUBLES_EQUAL(0.25, *ParseRequestLimit(".25").mPerSecond, 1e-9);
  DOUBLES_EQUAL(20, *ParseRequestLimit("20.").mPerSecond, 1e-9);
  CHECK(ParseRequestLimit("20").mProblem.empty());
}

TEST(EndpointLimit, AnInvalidTextStatesNothing)
{
  for (const char* const text : { "",
                                  " ",
                                  "-1",
                                  "-0.1",
                                  "soon",
                                  "1e3",
                                  "1,2",
                                  "1.2 ",
                                  " 1",
                                  "+1",
                                  "nan",
                                  "inf",
                                  "0x10",
                                  "1.2.3",
                                  "1;2" }) {
    const StatedLimit limit = ParseRequestLimit(text);
    CHECK_TEXT(limit.mIsStated, text);
    CHECK_TEXT(!limit.mPerSecond, text);
    CHECK_TEXT(!limit.mProblem.empty(), text);
  }
}

TEST(EndpointLimit, AHugeNumberIsReduced)
{
  for (const std::string& text :
       { std::string("1000001"), std::string(400, '9') }) {
    const StatedLimit limit = ParseRequestLimit(text);
    DOUBLES_EQUAL(kMaximumRequestLimit, *limit.mPerSecond, 0);
    CHECK(!limit.mProblem.empty());
  }
}

TEST(EndpointLimit, TheLatestStatementCounts)
{
  RequestLimit limit = WithStatement({}, std::nullopt, At(0));
  CHECK(!IsInForce(limit));
  limit = WithStatement(limit, 2, At(1));
  CHECK(IsInForce(limit));
  limit = WithStatement(limit, 5, At(0.5));
  DOUBLES_EQUAL(2, limit.mPerSecond, 0);
  limit = WithStatement(limit, 5, At(2));
  DOUBLES_EQUAL(5, limit.mPerSecond, 0);
  limit = WithStatement(limit, std::nullopt, At(3));
  CHECK(!IsInForce(limit));
  DOUBLES_EQUAL(5, limit.mPerSecond, 0);
  limit = WithStatement(limit, 1, At(4));
  CHECK(IsInForce(limit));
}
