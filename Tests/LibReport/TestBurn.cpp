#include <Acaciavale/LibReport/BurnReport.h>
#include <Acaciavale/LibReport/SloStore.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace std::chrono_literals;

namespace {

constexpr UnixMilliseconds kNow = 20000 * 24h + 7h + 2min;

const ObjectiveSettings kObjective{};

/// A five-minute bucket with events of one kind.
SloBucket Bucket(UnixMilliseconds aAgo, SloKind aKind, SloTally aTally)
{
  SloBucket bucket;
  bucket.mWidth = 5min;
  bucket.mStart = kNow - aAgo - (kNow - aAgo) % bucket.mWidth;
  bucket.mTallies[static_cast<std::size_t>(aKind)] = aTally;
  return bucket;
}

SloTally TotalOf(const std::vector<SloCell>& aCells, SloKind aKind)
{
  SloTally total;
  for (const SloCell& cell : aCells) {
    for (const SloBucket& bucket : cell.mBuckets) {
      total.mGood += bucket.mTallies[static_cast<std::size_t>(aKind)].mGood;
      total.mTotal += bucket.mTallies[static_cast<std::size_t>(aKind)].mTotal;
    }
  }
  return total;
}

/// A cell with 10,000 good requests on each of 27 past days, and 1000 requests
/// in the last bucket, of which aBadLastHour are bad.
SloCell CellWith(const std::string& aAccount, std::int64_t aBadLastHour)
{
  SloCell cell{ aAccount, "m", {} };
  for (int day = 27; day >= 1; --day) {
    cell.mBuckets.push_back(
      Bucket(day * 24h, SloKind::Availability, { 10000, 10000 }));
  }
  cell.mBuckets.push_back(
    Bucket(2min, SloKind::Availability, { 1000 - aBadLastHour, 1000 }));
  return cell;
}

} // namespace

TEST_GROUP(Burn){};

TEST(Burn, SampleIsCountedAgainstItsObjective)
{
  SloCounters counters;
  counters.Record(kObjective, { "a", "m", true, 1100ms, 27ms }, kNow);
  counters.Record(kObjective, { "a", "m", false, {}, {} }, kNow);
  counters.RecordRating("a", "m", true, kNow);
  const auto cells = counters.Cells(kNow);
  CHECK(TotalOf(cells, SloKind::Availability) == (SloTally{ 1, 2 }));
  CHECK(TotalOf(cells, SloKind::FirstToken) == (SloTally{ 1, 1 }));
  CHECK(TotalOf(cells, SloKind::BetweenTokens) == (SloTally{ 0, 1 }));
  CHECK(TotalOf(cells, SloKind::Quality) == (SloTally{ 1, 1 }));
  CHECK(ParseCells(SerialiseCells(cells)).value() == cells);
}

TEST(Burn, MostSpecificObjectiveIsSelected)
{
  Settings settings;
  settings.mObjectives = { { "", "", 0.9 },
                           { "", "m", 0.91 },
                           { "a", "m", 0.92 } };
  const auto of = [&](const char* aAccount, const char* aModel) {
    return FindObjective(settings, aAccount, aModel).mAvailability;
  };
  DOUBLES_EQUAL(0.92, of("a", "m"), 1e-9);
  DOUBLES_EQUAL(0.91, of("b", "m"), 1e-9);
  DOUBLES_EQUAL(0.9, of("a", "n"), 1e-9);
}

TEST(Burn, ConcurrentCountingLosesNoEvents)
{
  SloCounters counters;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int thread = 0; thread < 4; ++thread) {
    threads.emplace_back([&, thread] {
      for (int sample = 0; sample < 500; ++sample) {
        const std::string account = std::to_string((sample + thread) % 150);
        counters.Record(kObjective, { account, "m", true, {}, {} }, kNow);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  const auto cells = counters.Cells(kNow);
  CHECK(TotalOf(cells, SloKind::Availability) == (SloTally{ 2000, 2000 }));
  LONGS_EQUAL(101, cells.size());
}

TEST(Burn, CoarseningAndMergingKeepEveryEventOfThePeriod)
{
  const bool holds = rc::check([] {
    std::vector<std::vector<SloCell>> cellSets(3);
    std::int64_t within = 0;
    for (auto& cellSet : cellSets) {
      SloCell cell{ "a", "m", {} };
      for (int event = 0; event < 20; ++event) {
        const UnixMilliseconds ago = *rc::gen::inRange(0, 40 * 24 * 60) * 1min;
        cell.mBuckets.push_back(Bucket(ago, SloKind::Quality, { 1, 2 }));
        within += ago < kBudgetPeriod ? 2 : 0;
      }
      cell.mBuckets = Coarsened(cell.mBuckets, kNow);
      cellSet.push_back(cell);
    }
    const auto merged = Merged(cellSets);
    RC_ASSERT(merged.size() == 1U);
    RC_ASSERT(TotalOf(merged, SloKind::Quality).mTotal >= within);
    RC_ASSERT(ParseCells(SerialiseCells(merged)).value() == merged);
    const auto later =
      Coarsened(merged[0].mBuckets, kNow + kBudgetPeriod + 24h);
    RC_ASSERT(later.empty());
  });
  CHECK(holds);
}

TEST(Burn, LinesAreOrderedByUrgencyWithTimeToExhaustion)
{
  const auto report = MakeBurnReport(
    {},
    { CellWith("calm", 0), CellWith("slow", 10), CellWith("fast", 100) },
    kNow);
  LONGS_EQUAL(3, report.mLines.size());
  const BurnLine& fast = report.mLines[0];
  STRCMP_EQUAL("fast", fast.mAccount.c_str());
  CHECK(fast.mLevel == BurnLevel::Fast);
  // NOTE: 100 of 1000 requests are bad and 1 of 1000 is allowed: a rate of 100.
  DOUBLES_EQUAL(100, fast.mRates[0], 1e-6);
  // NOTE: 271,000 events in 27 days extrapolate to 281,000 in 28 days, of which
  //       about 281 may be bad.
  DOUBLES_EQUAL(100.0 / 281, fast.mBudgetSpent, 0.01);
  LONGS_EQUAL(
    1,
    std::chrono::duration_cast<std::chrono::hours>(*fast.mExhaustedIn).count());
  CHECK(report.mLines[1].mLevel == BurnLevel::Slow);
  CHECK(report.mLines[2].mLevel == BurnLevel::None);
  CHECK(!report.mLines[2].mExhaustedIn.has_value());
}

TEST(Burn, SpentBudgetIsReportedAsSpent)
{
  const auto report = MakeBurnReport({}, { CellWith("a", 900) }, kNow);
  CHECK(report.mLines[0].mBudgetSpent > 1);
  CHECK(report.mLines[0].mExhaustedIn == UnixMilliseconds(0));
  STRCMP_CONTAINS(">", BurnText(report).c_str());
  STRCMP_CONTAINS("spent\n", BurnText(report).c_str());
}

TEST(Burn, ReportIsRenderedAsTextJsonAndHtml)
{
  BurnReport report = MakeBurnReport({}, { CellWith("<b>&", 100) }, kNow);
  STRCMP_CONTAINS("█", BurnText(report).c_str());
  const auto json = nlohmann::json::parse(BurnJson(report));
  STRCMP_EQUAL("fast",
               json["objectives"][0]["level"].get<std::string>().c_str());
  const std::string page = BurnHtml(report);
  STRCMP_CONTAINS("&lt;b&gt;&amp;", page.c_str());
  CHECK(page.find("<b>") == std::string::npos);
  CHECK(page.find("http") == std::string::npos);
  CHECK(page.find("nan") == std::string::npos);
  STRCMP_CONTAINS("nothing was counted", BurnText({}).c_str());
}

TEST(Burn, RecordsOfStoppedVmsStayCounted)
{
  FakeKeyValueStore fake;
  const KeyValueStore store = fake.Store();
  const SloRecordKey stoppedVm{ "vm-1", "first" };
  CHECK(StoreSlo(store, stoppedVm, { CellWith("a", 0) }).has_value());
  fake.SetFaults({ .mLoseAnswers = 1 });
  SloRecordKey restartedVm{ "vm-1", "second" };
  restartedVm.mRevision =
    StoreSlo(store, restartedVm, { CellWith("a", 1) }).value();
  CHECK(StoreSlo(store, restartedVm, { CellWith("a", 2) }).has_value());
  // NOTE: The revision is outdated, as after a lost response.
  CHECK(StoreSlo(store, restartedVm, { CellWith("a", 3) }).has_value());
  CHECK(store.mCompareAndSwap({ "slo/vm-2/x", "{", 0, 0 }).has_value());
  const FleetSlo fleet = FetchSlo(store).value();
  LONGS_EQUAL(2, fleet.mRecords);
  LONGS_EQUAL(1, fleet.mUnreadableKeys.size());
  LONGS_EQUAL(3, TotalOf(fleet.mCells, SloKind::Availability).Bad());
}
