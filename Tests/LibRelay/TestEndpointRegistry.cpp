#include <Acaciavale/LibRelay/EndpointRegistry.h>

#include <CppUTest/TestHarness.h>
#include <map>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(EndpointRegistry)
{
  EndpointRegistry mRegistry;
  Random mRandom{ 3 };
  EndpointSelectionQuery mQuery;

  static TimePoint At(double aSeconds)
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  static EndpointRecord Record(const std::string& aId)
  {
    EndpointRecord record;
    record.mId = aId;
    record.mPool = "pool";
    record.mAddress = "127.0.0.1:1";
    record.mFailureDomain = "a";
    record.mVersion = "v1";
    record.mSlots = 8;
    return record;
  }

  void setup() override
  {
    mQuery.mPool = "pool";
  }

  std::string ChooseAt(double aSeconds)
  {
    const EndpointSelection selection =
      mRegistry.Choose(mQuery, mRandom, At(aSeconds));
    return selection.mEndpoint ? selection.mEndpoint->mRecord.mId : "";
  }
};

TEST(EndpointRegistry, DrainingAndRemovedEndpointsAreNotSelected)
{
  EndpointRecord leaving = Record("leaving");
  leaving.mIsDraining = true;
  mRegistry.Replace({ leaving, Record("stays") }, At(0));
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("stays", ChooseAt(0).c_str());
  }
  mRegistry.Replace({ leaving }, At(0));
  STRCMP_EQUAL("", ChooseAt(0).c_str());
}

/// An older snapshot, or an older copy of the store, may list the endpoint
/// again. A restart under the same id and another endpoint at the same address
/// are not meant.
TEST(EndpointRegistry, AnEndpointThatSaidThatItLeavesIsNotSelectedAgain)
{
  mRegistry.Replace({ Record("leaves") }, At(0));
  Endpoint& endpoint = *mRegistry.EndpointsOf("pool").front();
  CHECK(mRegistry.RecordLeaving(endpoint, At(0)));
  CHECK_FALSE(mRegistry.RecordLeaving(endpoint, At(0)));
  STRCMP_EQUAL("", ChooseAt(0).c_str());
  mRegistry.Replace({}, At(1));
  mRegistry.Replace({ Record("leaves") }, At(20));
  STRCMP_EQUAL("", ChooseAt(20).c_str());
  mRegistry.Replace({ Record("leaves"), Record("other") }, At(21));
  STRCMP_EQUAL("other", ChooseAt(21).c_str());
  EndpointRecord restarted = Record("leaves");
  restarted.mIncarnation = 7;
  mRegistry.Replace({ restarted }, At(22));
  STRCMP_EQUAL("leaves", ChooseAt(22).c_str());
}

/// The memory runs from the time at which the endpoint was last listed, not
/// from its word.
TEST(EndpointRegistry, AnEndpointThatStaysListedForLongIsRemembered)
{
  mRegistry.Replace({ Record("leaves") }, At(0));
  mRegistry.RecordLeaving(*mRegistry.EndpointsOf("pool").front(), At(0));
  for (int seconds = 1; seconds <= 100; ++seconds) {
    mRegistry.Replace({ Record("leaves") }, At(seconds));
  }
  mRegistry.Replace({}, At(101));
  mRegistry.Replace({ Record("leaves") }, At(110));
  STRCMP_EQUAL("", ChooseAt(110).c_str());
}

/// The places of an endpoint that wants quiet do not count, and afterwards it
/// gets few requests at first.
TEST(EndpointRegistry, AnEndpointThatWantsQuietReturnsWithFewRequests)
{
  mRegistry.Replace({ Record("quiet") }, At(0));
  mQuery.mMaximumInFlight = 8;
  Endpoint& endpoint = *mRegistry.EndpointsOf("pool").front();
  CHECK(mRegistry.RecordQuietTime(endpoint, std::chrono::seconds(2), 0, At(0)));
  CHECK_FALSE(
    mRegistry.RecordQuietTime(endpoint, std::chrono::seconds(2), 0, At(0)));
  const EndpointSelection quiet = mRegistry.Choose(mQuery, mRandom, At(1));
  CHECK(quiet.mEndpoint == nullptr);
  CHECK_FALSE(quiet.mIsFull);
  CHECK(quiet.mQuietUntil == At(2));
  mRegistry.Replace({}, At(1));
  mRegistry.Replace({ Record("quiet") }, At(1.5));
  STRCMP_EQUAL("", ChooseAt(1.9).c_str());
  const EndpointSelection first = mRegistry.Choose(mQuery, mRandom, At(2));
  CHECK(first.mEndpoint != nullptr);
  mRegistry.RecordAttempt(*first.mEndpoint, {}, At(2));
  CHECK(mRegistry.Choose(mQuery, mRandom, At(2.1)).mIsFull);
  STRCMP_EQUAL("quiet", ChooseAt(2.6).c_str());
}

/// The home of a prompt prefix and the endpoint that caches it are left too.
TEST(EndpointRegistry, AnEndpointThatSaidThatItLeavesIsNoHomeOfAPrefix)
{
  mRegistry.Replace({ Record("leaves"), Record("stays") }, At(0));
  mQuery.mWork.mSharedPrefixHash = 5;
  mQuery.mWork.mSharedPrefixTokens = 5000;
  for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
    if (endpoint->mRecord.mId == "leaves") {
      mRegistry.RecordAttempt(*endpoint, mQuery.mWork, At(0));
      mRegistry.RecordLeaving(*endpoint, At(0));
    }
  }
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("stays", ChooseAt(1).c_str());
  }
}

TEST(EndpointRegistry, EndpointsThatLeftAreForgottenAfterTheirEntriesLapsed)
{
  for (int id = 0; id < 3000; ++id) {
    mRegistry.Replace({ Record(std::to_string(id)) }, At(id * 0.001));
    mRegistry.RecordLeaving(*mRegistry.EndpointsOf("pool").front(),
                            At(id * 0.001));
  }
  // The memory is bounded, so the earliest are forgotten.
  mRegistry.Replace({ Record("0") }, At(4));
  STRCMP_EQUAL("0", ChooseAt(4).c_str());
  mRegistry.Replace({ Record("2999") }, At(5));
  STRCMP_EQUAL("", ChooseAt(5).c_str());
  mRegistry.Replace({}, At(6));
  mRegistry.Replace({}, At(100));
  mRegistry.Replace({ Record("2999") }, At(101));
  STRCMP_EQUAL("2999", ChooseAt(101).c_str());
}

TEST(EndpointRegistry, RestartUnderTheSameIdResetsTheObservations)
{
  EndpointRecord record = Record("one");
  record.mIncarnation = 100;
  mRegistry.Replace({ record }, At(0));
  const EndpointSelection selection = mRegistry.Choose(mQuery, mRandom, At(0));
  mRegistry.RecordAttempt(*selection.mEndpoint, {}, At(0));
  record.mIncarnation = 200;
  mRegistry.Replace({ record }, At(0));
  CHECK(selection.mEndpoint->mIsRemoved);
  LONGS_EQUAL(0, mRegistry.EndpointsOf("pool")[0]->mInFlight);
}

TEST(EndpointRegistry, FailingEndpointIsSelectedOnlyAsTheLastOne)
{
  mRegistry.Replace({ Record("bad"), Record("good") }, At(0));
  for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
    if (endpoint->mRecord.mId == "bad") {
      for (int failure = 0; failure < 4; ++failure) {
        mRegistry.RecordAttempt(*endpoint, {}, At(0));
        mRegistry.RecordEnd(
          *endpoint, {}, false, { true, true, 0, 0.1 }, At(0.1));
      }
    }
  }
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("good", ChooseAt(0.2).c_str());
  }
  mRegistry.Replace({ Record("bad") }, At(0));
  STRCMP_EQUAL("bad", ChooseAt(0.2).c_str());
}

TEST(EndpointRegistry, FullPoolIsDistinguishedFromEmptyPool)
{
  mRegistry.Replace({ Record("one") }, At(0));
  mQuery.mMaximumInFlight = 1;
  const EndpointSelection selection = mRegistry.Choose(mQuery, mRandom, At(0));
  mRegistry.RecordAttempt(*selection.mEndpoint, {}, At(0));
  CHECK(mRegistry.Choose(mQuery, mRandom, At(0)).mIsFull);
  mRegistry.Replace({}, At(0));
  CHECK_FALSE(mRegistry.Choose(mQuery, mRandom, At(0)).mIsFull);
}

/// Guards against overload of a busy endpoint in a large fleet, in which each
/// VM rarely receives a load report from a given endpoint itself.
TEST(EndpointRegistry, LoadReportsFromOtherVmsKeepRequestsOffABusyEndpoint)
{
  mRegistry.Replace({ Record("busy"), Record("idle") }, At(0));
  mRegistry.ApplyLoadReports(
    { { "busy", { 8, 0, 8 }, std::chrono::milliseconds(100) },
      { "gone", { 1, 0, 8 }, {} } },
    At(0));
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("idle", ChooseAt(0.1).c_str());
  }
  const auto reports =
    mRegistry.LoadReportsWithin(std::chrono::seconds(1), At(0.5));
  UNSIGNED_LONGS_EQUAL(1, reports.size());
  CHECK(reports[0].mAge == std::chrono::milliseconds(600));
  // An older report does not replace a newer one.
  mRegistry.ApplyLoadReports(
    { { "busy", { 0, 0, 8 }, std::chrono::seconds(5) } }, At(0.5));
  STRCMP_EQUAL("idle", ChooseAt(0.5).c_str());
}

TEST(EndpointRegistry, PromptGoesToTheEndpointWithFewerWaitingPrompts)
{
  // Both engines have the same number of requests. On one of them all requests
  // run; on the other, long prompts wait ahead of the next one.
  mRegistry.Replace({ Record("runs"), Record("waits") }, At(0));
  mQuery.mWork.mPromptTokens = 1000;
  for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
    const bool waits = endpoint->mRecord.mId == "waits";
    mRegistry.RecordAttempt(*endpoint, mQuery.mWork, At(0));
    mRegistry.RecordFirstEvent(*endpoint, mQuery.mWork, 0.2, At(0));
    mRegistry.RecordEnd(*endpoint, mQuery.mWork, true, {}, At(0));
    mRegistry.RecordLoad(*endpoint,
                         waits ? ReportedLoad{ 1, 4, 8 }
                               : ReportedLoad{ 5, 0, 8 },
                         At(0));
  }
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("runs", ChooseAt(0.1).c_str());
  }
}

TEST(EndpointRegistry, OwnWaitingPromptsAreNotCountedTwice)
{
  mRegistry.Replace({ Record("one") }, At(0));
  mQuery.mWork.mPromptTokens = 1000;
  const auto endpoint = mRegistry.EndpointsOf("pool")[0];
  for (int send = 0; send < 4; ++send) {
    mRegistry.RecordAttempt(*endpoint, mQuery.mWork, At(0));
  }
  mRegistry.RecordFirstEvent(*endpoint, mQuery.mWork, 0.2, At(0));
  mRegistry.RecordEnd(*endpoint, mQuery.mWork, true, {}, At(0));
  const auto expected = [this] {
    return mRegistry.Choose(mQuery, mRandom, At(0)).mExpectedFirstEventSeconds;
  };
  const double before = expected();
  mRegistry.RecordLoad(*endpoint, { 0, 3, 8 }, At(0));
  DOUBLES_EQUAL(before, expected(), 1e-9);
  mRegistry.RecordLoad(*endpoint, { 0, 5, 8 }, At(0));
  CHECK(expected() > before);
}

/// Guards against a herd effect: if eighty VMs receive the report of an idle
/// engine within a second and all select it, its queue is the longest before
/// the next report.
TEST(EndpointRegistry, ManyVmsDoNotAllSelectTheSameIdleEndpoint)
{
  std::vector<EndpointRecord> records(30);
  for (std::size_t id = 0; id < records.size(); ++id) {
    records[id] = Record(std::to_string(100 + id));
  }
  mRegistry.Replace(records, At(0));
  mQuery.mWork.mPromptTokens = 1000;
  mQuery.mFailureDomain = "a";
  for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
    const bool isIdle = endpoint->mRecord.mId == "107";
    mRegistry.RecordLoad(*endpoint, { isIdle ? 0 : 3, 0, 8 }, At(0));
  }
  const auto shareOfIdleEndpoint = [this](std::uint32_t aVms) {
    mQuery.mLiveVms = aVms;
    int idle = 0;
    for (int choice = 0; choice < 500; ++choice) {
      idle += ChooseAt(0.1) == "107" ? 1 : 0;
    }
    return idle / 500.0;
  };
  DOUBLES_EQUAL(1, shareOfIdleEndpoint(8), 0.01);
  // The idle endpoint may receive a few times its equal share of one in thirty,
  // but not all requests.
  CHECK(shareOfIdleEndpoint(84) > 2 / 30.0);
  CHECK(shareOfIdleEndpoint(84) < 6 / 30.0);
}

/// Prompts share long prefixes. All VMs send a prefix to the same engine, so
/// that it is read only once.
TEST(EndpointRegistry, AllVmsSelectTheSameEndpointForASharedPrefix)
{
  std::vector<EndpointRecord> records;
  records.reserve(12);
  for (int engine = 0; engine < 12; ++engine) {
    records.push_back(Record("engine-" + std::to_string(engine)));
  }
  EndpointRegistry other;
  mRegistry.Replace(records, At(0));
  other.Replace(records, At(0));
  Random otherRandom(99);
  mQuery.mWork.mPromptTokens = 12000;
  mQuery.mWork.mSharedPrefixTokens = 5400;
  std::map<std::string, int> homes;
  for (std::uint64_t part = 1; part <= 98; ++part) {
    mQuery.mWork.mSharedPrefixHash = part * 0x9e3779b97f4a7c15ULL;
    const EndpointSelection here = mRegistry.Choose(mQuery, mRandom, At(0));
    const EndpointSelection there = other.Choose(mQuery, otherRandom, At(0));
    CHECK(here.mEndpoint->mRecord.mId == there.mEndpoint->mRecord.mId);
    homes[here.mEndpoint->mRecord.mId] += 1;
  }
  UNSIGNED_LONGS_EQUAL(12, homes.size());
}

/// Half of the pool is slow. Requests move to the fast half, and the slow
/// endpoints are tried again after a while.
TEST(EndpointRegistry, SlowEndpointsReceiveFewerRequestsAndAreRetried)
{
  std::vector<EndpointRecord> records;
  records.reserve(4);
  for (int engine = 0; engine < 4; ++engine) {
    records.push_back(
      Record((engine < 2 ? "slow-" : "quick-") + std::to_string(engine)));
  }
  mRegistry.Replace(records, At(0));
  mQuery.mWork.mPromptTokens = 1000;
  int slow = 0;
  constexpr int kRequests = 1200;
  for (int request = 0; request < kRequests; ++request) {
    const double now = request * 0.05;
    const EndpointSelection selection =
      mRegistry.Choose(mQuery, mRandom, At(now));
    const bool isSlow = selection.mEndpoint->mRecord.mId.starts_with("slow");
    slow += isSlow ? 1 : 0;
    const double seconds = isSlow ? 0.4 : 0.05;
    mRegistry.RecordAttempt(*selection.mEndpoint, mQuery.mWork, At(now));
    mRegistry.RecordFirstEvent(
      *selection.mEndpoint, mQuery.mWork, seconds, At(now));
    mRegistry.RecordEnd(*selection.mEndpoint,
                        mQuery.mWork,
                        true,
                        { false, true, seconds, seconds },
                        At(now));
  }
  CHECK(slow < kRequests / 4);
  CHECK(slow > 2);
}
