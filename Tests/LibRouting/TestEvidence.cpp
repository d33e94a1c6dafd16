#include <Acaciavale/LibRouting/EvidenceStore.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

const EvidenceKey kKey{ "m", "1", "check" };

} // namespace

TEST_GROUP(Evidence){};

TEST(Evidence, CountsHalveEachHalfLife)
{
  EvidenceStore store(std::chrono::seconds(10));
  store.RecordRating(kKey, true, TimePoint{});
  const TimePoint later = TimePoint{} + std::chrono::seconds(20);
  DOUBLES_EQUAL(0.25, store.Snapshot(later).at(kKey).mGood, 1e-9);
}

TEST(Evidence, ReportHoldsOwnRecordsOnceAndNoMergedOnes)
{
  EvidenceStore store;
  EvidenceStore peer;
  store.RecordAnswer(kKey, { true, false, 0, 0 }, TimePoint{});
  const EvidenceView report = store.TakeReport();
  DOUBLES_EQUAL(1, report.at(kKey).mErrors, 1e-9);
  CHECK(store.TakeReport().empty());
  peer.Merge(report, TimePoint{});
  CHECK(peer.TakeReport().empty());
  CHECK(peer.Snapshot(TimePoint{}) == store.Snapshot(TimePoint{}));
}

TEST(Evidence, ConfidenceBoundsEncloseTheObservedShare)
{
  CHECK(rc::check([] {
    const double trials = *rc::gen::inRange(1, 5000);
    const double good = trials * *rc::gen::inRange(0, 101) / 100.0;
    const double lower = LowerBound(good, trials);
    const double upper = UpperBound(good, trials);
    RC_ASSERT(lower >= 0 && upper <= 1);
    RC_ASSERT(lower <= good / trials + 1e-9 && good / trials <= upper + 1e-9);
    RC_ASSERT(lower <= LowerBound(2 * good, 2 * trials) + 1e-9);
  }));
}
