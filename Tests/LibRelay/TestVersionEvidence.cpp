#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/VersionEvidence.h>

#include <CppUTest/TestHarness.h>
#include <vector>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

constexpr double kSecondsPerEvent = 0.02;
constexpr int kEventCount = 40;
constexpr UsualTiming kUsual{ 2, 0.1, kSecondsPerEvent };

TimePoint At(double aSeconds)
{
  return TimePoint{} + FromSeconds(1000 + aSeconds);
}

/// A stream whose events come at a steady pace.
struct SimulatedStream
{
  std::shared_ptr<JudgedAttempt> mAttempt;
  double mStartedAt = 0;
  double mSecondsPerEvent = 0;

  /// Returns whether the stream has ended.
  bool Advance(double aNow) const
  {
    AttemptTiming& timing = mAttempt->mTiming;
    const double streamSeconds = aNow - mStartedAt - kUsual.mFirstEventSeconds;
    if (streamSeconds < 0) {
      return false;
    }
    timing.mFirstEventSeconds = kUsual.mFirstEventSeconds;
    timing.mEvents =
      1 + static_cast<std::int64_t>(streamSeconds / mSecondsPerEvent);
    if (timing.mEvents < kEventCount) {
      return false;
    }
    timing.mEvents = kEventCount;
    timing.mSecondsSinceStart = aNow - mStartedAt;
    mAttempt->mState = AttemptState::Answered;
    return true;
  }
};

} // namespace

TEST_GROUP(VersionEvidence)
{
  struct SimulationResult
  {
    TrafficShiftStage mStage = TrafficShiftStage::Probe;
    double mNewVersionRequests = 0;
    double mAllRequests = 0;
  };

  /// Simulates a roll-out of 15 seconds at 47 streams per second, all of them
  /// in sessions. Half of the new version's streams have the given slowness.
  SimulationResult Simulate(double aSlowness, std::uint64_t aSeed)
  {
    constexpr double kStep = 0.02;
    Random random(aSeed);
    SimulationResult result;
    VersionEvidence evidence;
    TrafficShift shift{ { "pool", "v2", std::chrono::seconds(15), 1 },
                        TrafficShiftStage::Probe,
                        0,
                        0 };
    std::vector<SimulatedStream> open;
    for (double now = 0; now < 15; now += kStep) {
      shift = WithShares(shift, FromSeconds(now));
      if (random.Unit() < 47 * kStep) {
        const bool isNew =
          SideOf(shift, true, random.Unit()) == VersionSide::Target;
        const bool isSlow = isNew && random.Unit() < 0.5;
        const auto attempt = std::make_shared<JudgedAttempt>();
        attempt->mStartedAt = At(now);
        attempt->mIsOfTarget = isNew;
        attempt->mIsStream = true;
        attempt->mUsual = kUsual;
        evidence.mPending.push_back(attempt);
        const double pace = kSecondsPerEvent * (0.6 + random.Unit());
        open.push_back({ attempt, now, pace * (isSlow ? aSlowness : 1) });
        result.mAllRequests += 1;
        result.mNewVersionRequests += isNew ? 1 : 0;
      }
      std::erase_if(open, [&](const SimulatedStream& aStream) {
        const bool hasEnded = aStream.Advance(now);
        if (hasEnded) {
          CountEnd(evidence, *aStream.mAttempt);
        }
        return hasEnded;
      });
      RateDueAttempts(evidence, At(now));
      shift.mStage =
        DecideStage(shift, evidence.mCounted, {}, FromSeconds(now)).mStage;
    }
    result.mStage = shift.mStage;
    return result;
  }
};

/// The streams that have ended when the roll-out is decided are the fast ones.
TEST(VersionEvidence, AVersionThatGeneratesSlowlyIsReverted)
{
  for (const double slowness : { 5.0, 8.0 }) {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
      const SimulationResult result = Simulate(slowness, seed);
      CHECK(result.mStage == TrafficShiftStage::Reverted);
      CHECK(result.mNewVersionRequests <= 0.15 * result.mAllRequests + 30);
    }
  }
}

TEST(VersionEvidence, AVersionOfTheSamePaceIsCompleted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CHECK(Simulate(1, seed).mStage == TrafficShiftStage::Completed);
  }
}

TEST(VersionEvidence, PaceIsJudgedOnlyWhereItShows)
{
  const auto pace = [](double aSeconds, double aFirst, std::int64_t aEvents) {
    return PaceOf({ aSeconds, aFirst, aEvents }, kUsual, true);
  };
  CHECK(pace(1.2, 0.1, 50) == Pace::Usual);
  CHECK(pace(1.2, 0.1, 8) == Pace::Slow);
  CHECK(pace(0.2, 0.1, 3) == Pace::Unknown);  // too short
  CHECK(pace(0.45, 0.1, 1) == Pace::Unknown); // behind one long prompt
  CHECK(pace(1.2, 0, 0) == Pace::Unknown);    // no event yet
  CHECK(pace(2.5, 0, 0) == Pace::Slow);       // later than the goal
  CHECK(pace(2.5, 2.1, 8) == Pace::Slow);
  CHECK(PaceOf({ 0.3, 0.3, 0 }, kUsual, false) == Pace::Usual);
  // Without a usual pace, only the first event tells.
  CHECK(PaceOf({ 1.2, 0.1, 8 }, { 2, 0.1, 0 }, true) == Pace::Usual);
}

/// Slow answers lose their callers, which cancels them.
TEST(VersionEvidence, ASlowAttemptCountsThoughItIsNoLongerNeeded)
{
  const auto rated = [](AttemptState aState, std::int64_t aEvents) {
    VersionEvidence evidence;
    auto attempt = std::make_shared<JudgedAttempt>();
    attempt->mStartedAt = At(0);
    attempt->mIsStream = true;
    attempt->mState = aState;
    attempt->mTiming = { 1.2, 0.1, aEvents };
    attempt->mUsual = kUsual;
    evidence.mPending.push_back(attempt);
    RateDueAttempts(evidence, At(1));
    UNSIGNED_LONGS_EQUAL(1, evidence.mPending.size());
    RateDueAttempts(evidence, At(2));
    UNSIGNED_LONGS_EQUAL(0, evidence.mPending.size());
    return evidence.mCounted.mOld;
  };
  DOUBLES_EQUAL(1, rated(AttemptState::NotNeeded, 8).mRated, 0);
  DOUBLES_EQUAL(0, rated(AttemptState::NotNeeded, 50).mRated, 0);
  DOUBLES_EQUAL(0, rated(AttemptState::NoEvidence, 8).mRated, 0);
  DOUBLES_EQUAL(1, rated(AttemptState::Answered, 50).mGood, 0);
  DOUBLES_EQUAL(0, rated(AttemptState::Silent, 50).mGood, 0);
  DOUBLES_EQUAL(1, rated(AttemptState::Silent, 50).mRated, 0);
}
