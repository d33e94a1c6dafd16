#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <CppUTest/TestHarness.h>
#include <set>

using namespace Acaciavale;

TEST_GROUP(EndpointQuiet){ static TimePoint At(double aSeconds){
  return TimePoint(FromSeconds(1000 + aSeconds));
}
}
;

TEST(EndpointQuiet, ParsesSecondsAndRejectsTheRest)
{
  const struct
  {
    std::string_view mText;
    double mSeconds;
    bool mHasProblem;
  } cases[] = {
    { "", 0, false },
    { "0", 0, false },
    { "2", 2, false },
    { "1.5", 1.5, false },
    { "0.25", 0.25, false },
    { "30", 30, false },
    { "31", 30, true },
    { "86400", 30, true },
    { "99999999999999999999999", 30, true },
    { "-1", 0, true },
    { "-0.5", 0, true },
    { " 2", 0, true },
    { "2 ", 0, true },
    { "2s", 0, true },
    { "1,5", 0, true },
    { "+2", 0, true },
    { "0x10", 0, true },
    { "nan", 0, true },
    { "inf", 0, true },
    { "soon", 0, true },
    { "Fri, 04 Dec 2026 12:00:00 GMT", 0, true },
  };
  for (const auto& aCase : cases) {
    const QuietTime time = ParseQuietTime(aCase.mText);
    DOUBLES_EQUAL_TEXT(aCase.mSeconds,
                       InSeconds(time.mDuration),
                       1e-9,
                       std::string(aCase.mText).c_str());
    CHECK_EQUAL_TEXT(aCase.mHasProblem,
                     !time.mProblem.empty(),
                     std::string(aCase.mText).c_str());
  }
}

TEST(EndpointQuiet, ALaterTurnAwayMayProlongItAndNotShortenIt)
{
  QuietPeriod period = WithQuietTime({}, std::chrono::seconds(2), 0, At(0));
  CHECK(IsQuiet(period, At(1.99)));
  CHECK_FALSE(IsQuiet(period, At(2)));
  period = WithQuietTime(period, std::chrono::milliseconds(100), 0, At(1));
  CHECK(IsQuiet(period, At(1.99)));
  period = WithQuietTime(period, std::chrono::seconds(5), 0, At(1));
  CHECK(IsQuiet(period, At(5.99)));
  CHECK(WithQuietTime(period, Duration{}, 0.5, At(9)) == period);
}

TEST(EndpointQuiet, VmsReturnOneByOneAndWithFewRequests)
{
  std::set<TimePoint> ends;
  for (int vm = 0; vm < 10; ++vm) {
    const QuietPeriod period =
      WithQuietTime({}, std::chrono::seconds(4), vm / 10.0, At(0));
    CHECK(period.mEndsAt >= At(4));
    CHECK(period.mEndsAt <= At(5));
    ends.insert(period.mEndsAt);
  }
  UNSIGNED_LONGS_EQUAL(10, ends.size());
  const QuietPeriod period{ At(4) };
  LONGS_EQUAL(0, PlacesAfterQuiet(period, 16, At(3.9)));
  LONGS_EQUAL(1, PlacesAfterQuiet(period, 16, At(4)));
  LONGS_EQUAL(2, PlacesAfterQuiet(period, 16, At(4.6)));
  LONGS_EQUAL(4, PlacesAfterQuiet(period, 16, At(5.1)));
  LONGS_EQUAL(16, PlacesAfterQuiet(period, 16, At(100000)));
  LONGS_EQUAL(3, PlacesAfterQuiet(period, 3, At(8)));
  LONGS_EQUAL(16, PlacesAfterQuiet({}, 16, At(0)));
}
