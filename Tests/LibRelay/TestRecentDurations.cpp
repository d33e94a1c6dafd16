#include <Acaciavale/LibRelay/RecentDurations.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(RecentDurations)
{
  RecentDurations mDurations;
  TimePoint mNow{ seconds(1000) };

  void Record(Duration aDuration)
  {
    mDurations = WithDuration(mDurations, aDuration, mNow);
  }

  double ExpectedSeconds() const
  {
    const auto expected = LongestExpected(RecentSummary(mDurations, mNow));
    return expected ? InSeconds(*expected) : -1;
  }
};

TEST(RecentDurations, NothingIsExpectedOfNoRequests)
{
  CHECK_FALSE(LongestExpected(RecentSummary(mDurations, mNow)));
}

TEST(RecentDurations, FewRequestsSayLittle)
{
  Record(milliseconds(500));
  DOUBLES_EQUAL(1.5, ExpectedSeconds(), 1e-6);
  for (int count = 0; count < 3; ++count) {
    Record(milliseconds(100));
  }
  DOUBLES_EQUAL(1.0, ExpectedSeconds(), 1e-6);
  for (int count = 0; count < 96; ++count) {
    Record(milliseconds(100));
  }
  DOUBLES_EQUAL(0.6, ExpectedSeconds(), 1e-6);
}

/// One slow request in a hundred counts, whatever the others took.
TEST(RecentDurations, TheSlowestOneDecides)
{
  for (int count = 0; count < 99; ++count) {
    Record(milliseconds(15));
  }
  Record(milliseconds(2500));
  CHECK(ExpectedSeconds() >= 2.5);
}

TEST(RecentDurations, ASlowRequestIsForgottenAfterTwoPeriods)
{
  Record(seconds(5));
  mNow += seconds(31);
  Record(milliseconds(100));
  CHECK(ExpectedSeconds() > 5);
  mNow += seconds(31);
  Record(milliseconds(100));
  CHECK(ExpectedSeconds() < 0.3);
  mNow += seconds(61);
  CHECK_FALSE(LongestExpected(RecentSummary(mDurations, mNow)));
}
