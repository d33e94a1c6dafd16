#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/EndpointPace.h>
#include <Acaciavale/LibRelay/EndpointRegistry.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

/// The half-life that is estimated for endpoints that are slow in 15 % of
/// periods, if figures arrive at random times.
double EstimatedSeconds(double aPeriod, double aMeanGap)
{
  Random random(5);
  PaceHistory history;
  EndpointPace pace;
  double now = 0;
  double current = 1;
  double periodEnd = 0;
  for (int figure = 0; figure < 6000; ++figure) {
    now += 2 * aMeanGap * random.Unit();
    while (periodEnd < now) {
      periodEnd += aPeriod;
      current = random.Unit() < 0.15 ? 2.5 : 1;
    }
    pace = WithFigure(pace, current, At(now), history);
  }
  return InSeconds(history.mHalfLife);
}

} // namespace

TEST_GROUP(EndpointPace){};

/// Guards against a half-life that follows from assumptions rather than from
/// how long the paces of the pool last. Half of a period of fixed length is
/// left after about half of it.
TEST(EndpointPace, TheHalfLifeIsEstimatedFromSuccessiveFigures)
{
  for (const double gap : { 0.1, 0.4 }) {
    DOUBLES_EQUAL(0.35, EstimatedSeconds(0.6, gap), 0.15);
    DOUBLES_EQUAL(2.0, EstimatedSeconds(4, gap), 1.0);
  }
}

/// Guards against an old figure that counts like a fresh one, and against one
/// that counts where the pool has not shown how long paces last.
TEST(EndpointPace, AFigureLosesItsWeightWithItsAge)
{
  PaceHistory history;
  const EndpointPace pace = WithFigure({}, 4, At(0), history);
  DOUBLES_EQUAL(4, PaceFactor(pace, history, At(0)), 0.01);
  DOUBLES_EQUAL(2, PaceFactor(pace, history, At(0.05)), 0.01);
  DOUBLES_EQUAL(1, PaceFactor(pace, history, At(1)), 0.01);
  DOUBLES_EQUAL(1, PaceFactor({}, history, At(0)), 0);
}

/// Guards against an older figure from another VM in place of a newer one, and
/// against a figure that comes back from another VM as evidence that paces
/// last.
TEST(EndpointPace, OlderAndRepeatedFiguresShowNothing)
{
  PaceHistory history;
  EndpointPace pace = WithFigure({}, 4, At(0), history);
  pace = WithFigure(pace, 1, At(-0.5), history);
  DOUBLES_EQUAL(4, *pace.mPace, 0);
  pace = WithFigure(pace, 4, At(0.004), history);
  CHECK(history == PaceHistory{});
}

TEST_GROUP(RegistryPace)
{
  EndpointRegistry mRegistry;
  Random mRandom{ 3 };
  EndpointSelectionQuery mQuery;

  void setup() override
  {
    mQuery.mPool = "pool";
    mQuery.mWork.mPromptTokens = 1000;
    std::vector<EndpointRecord> records;
    for (const char* const id : { "first", "second", "third" }) {
      EndpointRecord record;
      record.mId = id;
      record.mPool = "pool";
      record.mAddress = "127.0.0.1:1";
      record.mSlots = 8;
      records.push_back(record);
    }
    mRegistry.Replace(records, At(0));
  }

  Endpoint& EndpointOf(const std::string& aId) const
  {
    for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
      if (endpoint->mRecord.mId == aId) {
        return *endpoint;
      }
    }
    FAIL("There is no such endpoint.");
    return *mRegistry.EndpointsOf("pool").front();
  }
};

/// Guards against a choice that ignores the reported pace, and against reports
/// without a figure that erase the latest one.
TEST(RegistryPace, TheFasterEndpointIsChosen)
{
  CHECK(!mRegistry.ReportsPace("pool"));
  mRegistry.RecordLoad(EndpointOf("first"), { 1, 0, 8, 2.5 }, At(1));
  mRegistry.RecordLoad(EndpointOf("second"), { 1, 0, 8, 1 }, At(1));
  mRegistry.RecordLoad(EndpointOf("third"), { 1, 0, 8, 2.5 }, At(1));
  mRegistry.RecordLoad(EndpointOf("first"), { 1, 0, 8 }, At(1));
  CHECK(mRegistry.ReportsPace("pool"));
  for (int draw = 0; draw < 10; ++draw) {
    const auto selection = mRegistry.Choose(mQuery, mRandom, At(1));
    STRCMP_EQUAL("second", selection.mEndpoint->mRecord.mId.c_str());
  }
}

/// Guards against an endpoint that counts as slow for seconds because it was
/// slow for a moment.
TEST(RegistryPace, SlownessExcludesTheReportedPace)
{
  for (const char* const id : { "first", "second" }) {
    Endpoint& endpoint = EndpointOf(id);
    mRegistry.RecordAttempt(endpoint, mQuery.mWork, At(0));
    const double usual =
      mRegistry.ExpectedFirstEventSeconds("pool", mQuery.mWork);
    const bool isStated = std::string(id) == "first";
    mRegistry.RecordFirstEvent(endpoint,
                               mQuery.mWork,
                               2.5 * usual,
                               At(1),
                               isStated ? std::optional(2.5) : std::nullopt);
  }
  DOUBLES_EQUAL(1, EndpointOf("first").mSlowness, 0.15);
  CHECK(EndpointOf("second").mSlowness > 1.1);
}

/// Guards against a limit on the silence of an endpoint that one figure
/// stretches or shortens by up to twenty times.
TEST(RegistryPace, ThePaceDoesNotChangeTheExpectedTime)
{
  const double usual =
    mRegistry.Choose(mQuery, mRandom, At(1)).mExpectedFirstEventSeconds;
  for (const double pace : { 0.1, 20.0 }) {
    for (const char* const id : { "first", "second", "third" }) {
      mRegistry.RecordLoad(EndpointOf(id), { 0, 0, 8, pace }, At(1));
    }
    DOUBLES_EQUAL(
      usual,
      mRegistry.Choose(mQuery, mRandom, At(1)).mExpectedFirstEventSeconds,
      1e-6);
  }
}

/// Guards against candidates that differ from those which the selection
/// prefers, and against a choice outside the given endpoints.
TEST(RegistryPace, RanksAndRestrictsCandidates)
{
  mRegistry.RecordLoad(EndpointOf("first"), { 1, 0, 8, 4 }, At(1));
  mRegistry.RecordLoad(EndpointOf("second"), { 1, 0, 8, 1 }, At(1));
  mRegistry.RecordLoad(EndpointOf("third"), { 1, 0, 8, 2 }, At(1));
  mQuery.mRankedCount = 2;
  const auto selection = mRegistry.Choose(mQuery, mRandom, At(1));
  UNSIGNED_LONGS_EQUAL(2, selection.mRanked.size());
  STRCMP_EQUAL("second", selection.mRanked[0].mEndpoint->mRecord.mId.c_str());
  STRCMP_EQUAL("third", selection.mRanked[1].mEndpoint->mRecord.mId.c_str());
  CHECK(selection.mRanked[0].mScore < selection.mRanked[1].mScore);

  mQuery.mOnly = { &EndpointOf("first") };
  STRCMP_EQUAL(
    "first",
    mRegistry.Choose(mQuery, mRandom, At(1)).mEndpoint->mRecord.mId.c_str());
  const Endpoint removed;
  mQuery.mOnly = { &removed };
  CHECK(!mRegistry.Choose(mQuery, mRandom, At(1)).mEndpoint);
}
