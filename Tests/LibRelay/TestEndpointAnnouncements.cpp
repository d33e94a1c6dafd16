#include <Acaciavale/LibRelay/EndpointAnnouncements.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(EndpointAnnouncements){ static TimePoint At(int aSeconds){
  return TimePoint{} + std::chrono::hours(1) + std::chrono::seconds(aSeconds);
}

static EndpointAnnouncement WithLimit(double aPerSecond, int aAt)
{
  return { false, {}, WithStatement({}, aPerSecond, At(aAt)) };
}
}
;

/// An endpoint that states a slightly other limit with each response makes no
/// VM push each of them to the readers.
TEST(EndpointAnnouncements, OnlyLargeChangesOfALimitAreNews)
{
  CHECK(IsNews(WithLimit(2, 1), {}));
  CHECK(IsNews(WithLimit(0, 1), {}));
  CHECK(!IsNews(WithLimit(2.2, 2), WithLimit(2, 1)));
  CHECK(!IsNews(WithLimit(1.8, 2), WithLimit(2, 1)));
  CHECK(IsNews(WithLimit(2.5, 2), WithLimit(2, 1)));
  CHECK(IsNews(WithLimit(1, 2), WithLimit(2, 1)));
  CHECK(!IsNews(WithLimit(0, 2), WithLimit(0, 1)));
  CHECK(IsNews(WithLimit(0, 2), WithLimit(1, 1)));
  CHECK(IsNews(WithLimit(1, 2), WithLimit(0, 1)));
  EndpointAnnouncement ended = WithLimit(2, 1);
  ended.mLimit = WithStatement(ended.mLimit, std::nullopt, At(2));
  CHECK(IsNews(ended, WithLimit(2, 1)));
  CHECK(!IsNews(ended, ended));
}

TEST(EndpointAnnouncements, TheLaterStatementOfTwoVmsCounts)
{
  const EndpointLifetime lifetime{ "i-1", 1, "127.0.0.1:1" };
  const AnnouncementReport report{ lifetime, true, WithLimit(3, 5).mLimit };
  const EndpointAnnouncement earlier = WithReport(WithLimit(2, 4), report);
  CHECK(earlier.mIsLeaving);
  DOUBLES_EQUAL(3, earlier.mLimit.mPerSecond, 0);
  const EndpointAnnouncement later = WithReport(WithLimit(2, 6), report);
  CHECK(later.mIsLeaving);
  DOUBLES_EQUAL(2, later.mLimit.mPerSecond, 0);
}

/// Quiet times stay with the VM whose request was turned away.
TEST(EndpointAnnouncements, OnlyWhatConcernsAllVmsIsReported)
{
  AnnouncementMemory memory;
  EndpointAnnouncement quiet;
  quiet.mQuiet.mEndsAt = At(9);
  Remember(memory, { "i-1", 0, "" }, quiet, At(1));
  CHECK(ReportsOf(memory).empty());
  Remember(memory, { "i-2", 0, "" }, WithLimit(1, 1), At(1));
  UNSIGNED_LONGS_EQUAL(1, ReportsOf(memory).size());
}
