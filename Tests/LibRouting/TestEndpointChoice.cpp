#include <Acaciavale/LibRouting/EndpointChoice.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

std::vector<EndpointView> Pool(std::uint32_t aCount)
{
  std::vector<EndpointView> pool(aCount);
  for (std::uint32_t index = 0; index < aCount; ++index) {
    pool[index].mIndex = index;
    pool[index].mSecondsPerRequest = 1;
    pool[index].mSlots = 4;
  }
  return pool;
}

EndpointDecision Choose(const std::vector<EndpointView>& aPool,
                        const EndpointQuery& aQuery = {},
                        std::uint64_t aSeed = 1)
{
  Random random(aSeed);
  return ChooseEndpoint(aPool, aQuery, random);
}

} // namespace

TEST_GROUP(EndpointChoice){};

TEST(EndpointChoice, SelectsNothingWhenNoEndpointIsEligible)
{
  std::vector<EndpointView> pool = Pool(2);
  pool[0].mLeaving = true;
  pool[1].mEjected = true;
  CHECK(!Choose(pool).mIndex.has_value());
  CHECK(!Choose({}).mIndex.has_value());
}

TEST(EndpointChoice, CountsOwnRequestsStartedSinceTheReport)
{
  std::vector<EndpointView> pool = Pool(2);
  pool[0].mOwnInFlight = 40;
  pool[1].mOwnInFlightAtReport = 40;
  pool[1].mReportedInFlight = 40;
  CHECK(Choose(pool).mIndex == 1U);
}

TEST(EndpointChoice, KeepsTheSessionEndpointUnlessItIsOverloaded)
{
  std::vector<EndpointView> pool = Pool(6);
  EndpointQuery query;
  query.mSessionEndpoint = 3;
  CHECK(Choose(pool, query).mIndex == 3U);
  pool[3].mOwnInFlight = 40;
  CHECK(Choose(pool, query).mIndex != 3U);
}

TEST(EndpointChoice, SkipsIneligibleEndpointsAndIsDeterministicPerSeed)
{
  CHECK(rc::check([] {
    std::vector<EndpointView> pool = Pool(*rc::gen::inRange(1, 200));
    EndpointQuery query;
    query.mLiveVms = *rc::gen::inRange(1, 400);
    for (EndpointView& endpoint : pool) {
      endpoint.mLeaving = *rc::gen::inRange(0, 4) == 0;
      endpoint.mEjected = *rc::gen::inRange(0, 4) == 0;
      endpoint.mOwnInFlight = *rc::gen::inRange(0, 50);
      endpoint.mSecondsPerRequest = *rc::gen::inRange(0, 50) / 10.0;
    }
    query.mExcluded = { 0, 1 };
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    const EndpointDecision decision = Choose(pool, query, seed);
    RC_ASSERT(decision == Choose(pool, query, seed));
    bool isAnyEligible = false;
    for (const EndpointView& endpoint : pool) {
      isAnyEligible |=
        endpoint.mIndex > 1 && !endpoint.mLeaving && !endpoint.mEjected;
    }
    RC_ASSERT(decision.mIndex.has_value() == isAnyEligible);
    if (decision.mIndex) {
      RC_ASSERT(*decision.mIndex > 1);
      RC_ASSERT(!pool[*decision.mIndex].mLeaving);
      RC_ASSERT(!pool[*decision.mIndex].mEjected);
    }
  }));
}

TEST(EndpointChoice, BatchWorkAvoidsReservedEndpoints)
{
  std::vector<EndpointView> pool = Pool(2);
  pool[0].mReserved = true;
  pool[1].mOwnInFlight = 4;
  EndpointQuery query;
  CHECK(Choose(pool, query).mIndex == 0U);
  query.mReservedShare = 0.15;
  CHECK(Choose(pool, query).mIndex == 1U);
  pool[1].mEjected = true;
  CHECK(Choose(pool, query).mIndex == 0U);
}

TEST(EndpointChoice, RetryPrefersAnotherFailureDomain)
{
  std::vector<EndpointView> pool = Pool(3);
  pool[2].mFailureDomain = 1;
  pool[2].mOwnInFlight = 3;
  EndpointQuery query;
  query.mExcluded = { 0 };
  CHECK(Choose(pool, query).mIndex == 2U);
}

TEST(EndpointChoice, PrefersThePrefixHomeUnlessItIsOverloaded)
{
  std::vector<EndpointView> pool = Pool(6);
  for (EndpointView& view : pool) {
    view.mKey = view.mIndex + 1;
  }
  EndpointQuery query;
  query.mPrefillSeconds = 0.5;
  query.mPrefixHash = 99;
  const auto home = Choose(pool, query, 1).mIndex;
  CHECK(home == Choose(pool, query, 2).mIndex);
  pool[*home].mOwnInFlight = 40;
  CHECK(Choose(pool, query).mIndex != home);
}

TEST(EndpointChoice, EndpointsWithoutAKeyCannotBePrefixHomes)
{
  EndpointQuery query;
  query.mPrefillSeconds = 0.5;
  query.mPrefixHash = 99;
  std::vector<bool> seen(6, false);
  for (std::uint64_t seed = 0; seed < 100; ++seed) {
    seen[*Choose(Pool(6), query, seed).mIndex] = true;
  }
  CHECK(seen == std::vector<bool>(6, true));
}
