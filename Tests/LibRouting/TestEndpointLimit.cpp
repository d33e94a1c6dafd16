#include <Acaciavale/LibRouting/EndpointLimit.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <functional>
#include <string>
#include <vector>

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

namespace {

/// The operators' rule on the requests in a window of four seconds.
double Allowed(double aLimit)
{
  return 1.5 * 4 * aLimit + 5;
}

std::vector<std::uint64_t> VmKeys(std::uint64_t aCount)
{
  std::vector<std::uint64_t> keys;
  for (std::uint64_t vm = 1; vm <= aCount; ++vm) {
    keys.push_back(vm * 0x9e3779b97f4a7c15ULL);
  }
  return keys;
}

/// The most requests in a window if all VMs send whenever they may.
/// aListAt returns the VMs that are live at a time.
int MostInWindow(
  const RateBound& aBound,
  double aWindowSeconds,
  const std::vector<std::uint64_t>& aVms,
  const std::function<std::vector<std::uint64_t>(double)>& aListAt)
{
  std::vector<PermitState> states(aVms.size());
  std::vector<double> sent;
  for (double at = 0; at < 20; at += 0.05) {
    const std::vector<std::uint64_t> live = aListAt(at);
    for (std::size_t vm = 0; vm < aVms.size(); ++vm) {
      const auto share = ShareOf(aBound,
                                 PermitRank(42, aVms[vm], live),
                                 static_cast<std::uint32_t>(live.size()));
      while (share && NextPermitAt(states[vm], *share) <= At(at)) {
        states[vm] = WithUse(states[vm], share, At(at));
        sent.push_back(at);
      }
    }
  }
  int most = 0;
  for (const double first : sent) {
    const auto count = std::count_if(sent.begin(), sent.end(), [&](double aAt) {
      return aAt >= first && aAt < first + aWindowSeconds;
    });
    most = std::max(most, static_cast<int>(count));
  }
  return most;
}

} // namespace

TEST_GROUP(EndpointLimitShares)
{
  const std::vector<double> mLimits{ 0.25, 0.5, 1.2, 3.2, 6, 20 };
};

TEST(EndpointLimitShares, AllVmsTogetherKeepToTheLimit)
{
  for (const std::uint64_t vms : { 1, 8, 84, 295 }) {
    const auto keys = VmKeys(vms);
    const auto listAt = [&](double) { return std::vector(keys); };
    for (const double limit : mLimits) {
      const int most = MostInWindow(BoundOfLimit(limit), 4, keys, listAt);
      CHECK(most <= Allowed(limit));
      CHECK(most >= 4 * limit - 1);
    }
  }
}

/// Half of the VMs leave at once, and others come in their place.
TEST(EndpointLimitShares, TheyKeepToItWhileHalfOfTheVmsChange)
{
  for (const std::uint64_t vms : { 8, 84, 295 }) {
    const auto keys = VmKeys(2 * vms);
    const auto half = static_cast<std::ptrdiff_t>(vms / 2);
    const auto listAt = [&](double aAt) {
      const auto first = keys.begin() + (aAt < 10 ? 0 : half);
      return std::vector<std::uint64_t>(first, first + 2 * half);
    };
    for (const double limit : mLimits) {
      CHECK(MostInWindow(BoundOfLimit(limit), 4, keys, listAt) <=
            Allowed(limit));
    }
  }
}

/// Cold endpoints bear one and a half times their rate, and five more, in any
/// second.
TEST(EndpointLimitShares, ColdEndpointsGetWhatTheyBear)
{
  for (const std::uint64_t vms : { 1, 8, 84, 295 }) {
    const auto keys = VmKeys(2 * vms);
    const auto half = static_cast<std::ptrdiff_t>(vms / 2);
    const auto listAt = [&](double aAt) {
      const auto first = keys.begin() + (aAt < 10 ? 0 : half);
      return std::vector<std::uint64_t>(
        first, first + std::max<std::ptrdiff_t>(1, 2 * half));
    };
    for (const double rate : { 1.0, 5.0, 8.7, 20.0 }) {
      CHECK(MostInWindow(BoundOfColdEndpoint(rate), 1, keys, listAt) <=
            1.5 * rate + 5);
    }
  }
}

TEST(EndpointLimitShares, ALimitOfAColdEndpointKeepsToBothBounds)
{
  const RateBound bound = Stricter(BoundOfLimit(1.2), BoundOfColdEndpoint(8.7));
  DOUBLES_EQUAL(1.2, bound.mPerSecond, 0);
  const auto keys = VmKeys(84);
  const auto listAt = [&](double) { return std::vector(keys); };
  CHECK(MostInWindow(bound, 4, keys, listAt) <= Allowed(1.2));
  CHECK(MostInWindow(bound, 1, keys, listAt) <= 1.5 * 8.7 + 5);
}

/// A change of one VM changes the share of few others.
TEST(EndpointLimitShares, OneVmThatLeavesIsReplacedByOne)
{
  const auto before = VmKeys(84);
  const std::vector<std::uint64_t> after(before.begin() + 1, before.end());
  int changed = 0;
  for (const std::uint64_t vm : after) {
    const bool held =
      ShareOf(BoundOfLimit(6), PermitRank(42, vm, before), 84).has_value();
    const bool holds =
      ShareOf(BoundOfLimit(6), PermitRank(42, vm, after), 83).has_value();
    changed += held != holds ? 1 : 0;
  }
  CHECK(changed <= 1);
}

TEST(EndpointLimitShares, AVmThatIsNotListedHoldsNoPermits)
{
  CHECK(!PermitRank(42, 1, VmKeys(3)));
  CHECK(!ShareOf(BoundOfLimit(20), std::nullopt, 3));
  LONGS_EQUAL(0, *PermitRank(42, 1, {}));
  CHECK(ShareOf(BoundOfLimit(1), 0, 0).has_value());
}

TEST(EndpointLimitShares, ALimitOfZeroIsTriedNowAndThen)
{
  const RequestLimit limit = WithStatement({}, 0, At(0));
  CHECK(*EffectiveLimit(limit, At(1)) > 0);
  CHECK(*EffectiveLimit(limit, At(1)) * 4 <= 1);
}

TEST(EndpointLimitShares, ALimitThatEndsIsLiftedBySteps)
{
  RequestLimit limit = WithStatement({}, 2, At(0));
  DOUBLES_EQUAL(2, *EffectiveLimit(limit, At(20)), 0);
  limit = WithStatement(limit, std::nullopt, At(20));
  DOUBLES_EQUAL(2, *EffectiveLimit(limit, At(20.1)), 0);
  DOUBLES_EQUAL(8, *EffectiveLimit(limit, At(21.1)), 0);
  CHECK(!EffectiveLimit(limit, At(26)));
}

TEST(EndpointLimitShares, ALimitThatNobodyStatesAgainIsLiftedBySteps)
{
  const RequestLimit limit = WithStatement({}, 2, At(0));
  DOUBLES_EQUAL(2, *EffectiveLimit(limit, At(29)), 0);
  CHECK(*EffectiveLimit(limit, At(34)) > 2);
  CHECK(!EffectiveLimit(limit, At(90)));
}

/// A limit that falls or rises counts at once for the time to the next permit.
TEST(EndpointLimitShares, AChangedLimitCountsAtOnce)
{
  const PermitShare slow{ FromSeconds(10), 1 };
  const PermitShare fast{ FromSeconds(0.1), 3 };
  const PermitState used = WithUse({}, slow, At(0));
  CHECK(NextPermitAt(used, slow) == At(10));
  CHECK(NextPermitAt(used, fast) <= At(0.1));
  CHECK(NextPermitAt(WithUse({}, fast, At(0)), slow) == At(10));
  CHECK(NextPermitAt(WithUse({}, std::nullopt, At(0)), slow) == At(10));
}

TEST(EndpointLimitShares, CallersAreToldWhenAPermitComes)
{
  LimitedEndpoints endpoints;
  endpoints = WithEndpoint(endpoints, 0.5, std::nullopt, TimePoint::max());
  CHECK(!TimeToPermit(endpoints, 0, At(0)));
  DOUBLES_EQUAL(2, InSeconds(RetryAfterLimit(endpoints, 0, 0, At(0))), 1e-6);
  endpoints =
    WithEndpoint(endpoints, 1, PermitShare{ FromSeconds(4), 1 }, At(3));
  DOUBLES_EQUAL(3, InSeconds(*TimeToPermit(endpoints, 0, At(0))), 1e-6);
  DOUBLES_EQUAL(7, InSeconds(*TimeToPermit(endpoints, 1, At(0))), 1e-6);
  const double latest = InSeconds(RetryAfterLimit(endpoints, 1, 1, At(0)));
  DOUBLES_EQUAL(8.75, latest, 1e-6);
}
