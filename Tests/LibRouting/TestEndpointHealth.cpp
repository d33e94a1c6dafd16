#include <Acaciavale/LibRouting/EndpointHealth.h>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint{} + std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(aSeconds));
}

constexpr EndpointOutcome kFailure{ false, 0 };
constexpr EndpointOutcome kSuccess{ true, 1 };

} // namespace

TEST_GROUP(EndpointHealth){};

TEST(EndpointHealth, FailingEndpointIsEjectedForLongerEachTime)
{
  std::vector<EndpointHealth> pool(4);
  double time = 1;
  Duration previousLength{};
  for (int round = 0; round < 4; ++round) {
    while (!IsEjected(pool[0], At(time))) {
      pool[0] = WithOutcome(pool[0], kFailure, At(time));
      pool = WithEjections(pool, 0.5, At(time));
    }
    const Duration length = pool[0].mEjectedUntil - At(time);
    CHECK(length > previousLength);
    previousLength = length;
    time += std::chrono::duration<double>(length).count() + 0.001;
    CHECK(IsBlocked(pool[0], 1, At(time)));
  }
}

TEST(EndpointHealth, ProbationOutlastsABurstOfSuccesses)
{
  std::vector<EndpointHealth> pool(4);
  for (int failure = 0; failure < 3; ++failure) {
    pool[0] = WithOutcome(pool[0], kFailure, At(0));
  }
  pool = WithEjections(pool, 0.5, At(0));
  for (int success = 0; success < 20; ++success) {
    pool[0] = WithOutcome(pool[0], kSuccess, At(11 + 0.1 * success));
  }
  CHECK(IsBlocked(pool[0], 1, At(13)));
  pool[0] = WithOutcome(pool[0], kSuccess, At(17));
  CHECK(!IsBlocked(pool[0], 1, At(17)));
}

TEST(EndpointHealth, LastFailureRaisesExpectedErrorRateBriefly)
{
  EndpointHealth health;
  for (int success = 0; success < 9; ++success) {
    health = WithOutcome(health, kSuccess, At(0));
  }
  health = WithOutcome(health, kFailure, At(0));
  CHECK(ExpectedErrorRate(health, At(1)) >= 0.5);
  CHECK(ExpectedErrorRate(health, At(3)) < 0.2);
}

TEST(EndpointHealth, ServiceTimeStartsAsAPlainMean)
{
  EndpointHealth health;
  health = WithOutcome(health, { true, 1 }, At(0));
  health = WithOutcome(health, { true, 3 }, At(0));
  DOUBLES_EQUAL(2, health.mSecondsPerRequest, 1e-9);
}

TEST(EndpointHealth, EjectionsStayWithinTheCeiling)
{
  CHECK(rc::check([] {
    std::vector<EndpointHealth> pool(*rc::gen::inRange(1, 40));
    const double ceiling = *rc::gen::inRange(0, 101) / 100.0;
    const auto outcomes =
      *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 1000));
    double time = 0;
    for (const int outcome : outcomes) {
      time += 0.05;
      EndpointHealth& health = pool[outcome % pool.size()];
      health =
        WithOutcome(health, outcome < 700 ? kFailure : kSuccess, At(time));
      pool = WithEjections(pool, ceiling, At(time));
      double ejected = 0;
      for (const EndpointHealth& endpoint : pool) {
        ejected += IsEjected(endpoint, At(time)) ? 1 : 0;
        RC_ASSERT(endpoint.mErrors >= 0 && endpoint.mSuccesses >= 0);
      }
      RC_ASSERT(ejected <= ceiling * static_cast<double>(pool.size()));
    }
  }));
}
