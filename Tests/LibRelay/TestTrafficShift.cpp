#include <Acaciavale/LibRelay/TrafficShift.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(TrafficShift)
{
  TrafficShift mShift{ { "pool", "v2", std::chrono::seconds(24), 7 },
                       TrafficShiftStage::Probe,
                       0,
                       0 };

  static EvidenceCell Cell(double aAnswers, double aErrors, double aSeconds)
  {
    EvidenceCell cell;
    cell.mAnswers = aAnswers;
    cell.mErrors = aErrors;
    cell.mFirstTokenSeconds = aSeconds * (aAnswers - aErrors);
    return cell;
  }

  struct SimulationResult
  {
    TrafficShiftStage mStage = TrafficShiftStage::Probe;
    double mNewVersionRequests = 0;
    double mAllRequests = 0;
    double mLastStageChangeSeconds = 0; ///< Time since the start.
  };

  /// Simulates a roll-out of 24 seconds at 47 requests per second. The versions
  /// fail with the given error shares; the new version has the error share and
  /// the latency of the old one before aFailsFromSeconds.
  SimulationResult Simulate(double aOldErrors,
                            double aNewErrors,
                            double aNewSlowness,
                            double aFailsFromSeconds,
                            std::uint64_t aSeed,
                            bool aHasSessions = true)
  {
    Random random(aSeed);
    SimulationResult result;
    TrafficShiftEvidence evidence;
    RolloutChangeDetector watch;
    for (double now = 0; now < 24; now += 1.0 / 47) {
      mShift = WithShares(mShift, FromSeconds(now));
      const VersionSide side = SideOf(mShift, aHasSessions, random.Unit());
      result.mAllRequests += 1;
      const bool isNew = side == VersionSide::Target;
      result.mNewVersionRequests += isNew ? 1 : 0;
      const bool isBad = isNew && now >= aFailsFromSeconds;
      const bool fails = random.Unit() < (isBad ? aNewErrors : aOldErrors);
      EvidenceCell& cell = isNew ? evidence.mNew : evidence.mOld;
      cell.mAnswers += 1;
      cell.mErrors += fails ? 1 : 0;
      cell.mFirstTokenSeconds +=
        fails ? 0 : 0.2 * (isBad ? aNewSlowness : 1) * (0.5 + random.Unit());
      watch = WatchTrafficShift(std::move(watch), evidence);
      const TrafficShiftDecision decision =
        DecideStage(mShift, evidence, watch, FromSeconds(now));
      if (decision.mStage != mShift.mStage) {
        mShift.mStage = decision.mStage;
        result.mLastStageChangeSeconds = now;
      }
    }
    result.mStage = mShift.mStage;
    return result;
  }
};

TEST(TrafficShift, GoodVersionCompletesWithinTheDuration)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult result = Simulate(0.02, 0.02, 1, 0, seed);
    CHECK(result.mStage == TrafficShiftStage::Completed);
    CHECK(result.mLastStageChangeSeconds < 24);
  }
}

TEST(TrafficShift, BadVersionIsRevertedWithinTheExposureLimit)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult result = Simulate(0.02, 0.4, 1, 0, seed);
    CHECK(result.mStage == TrafficShiftStage::Reverted);
    CHECK(result.mNewVersionRequests <= 0.12 * result.mAllRequests + 30);
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult plain = Simulate(0.02, 0.4, 1, 0, seed, false);
    CHECK(plain.mStage == TrafficShiftStage::Reverted);
    CHECK(plain.mNewVersionRequests <= 0.12 * plain.mAllRequests + 30);
    CHECK(plain.mLastStageChangeSeconds < 12);
  }
}

/// Guards against missing a bad version because the old version fails as well,
/// for other reasons: the probe yields only a few samples.
TEST(TrafficShift, BadVersionIsRevertedDespiteErrorsOfTheOldVersion)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult result = Simulate(0.14, 0.6, 1, 0, seed);
    CHECK(result.mStage == TrafficShiftStage::Reverted);
  }
}

TEST(TrafficShift, SlowOrLaterFailingVersionIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    CHECK(Simulate(0.02, 0.02, 8, 0, seed).mStage ==
          TrafficShiftStage::Reverted);
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult late = Simulate(0.02, 0.5, 1, 6, seed);
    CHECK(late.mStage == TrafficShiftStage::Reverted);
    CHECK(late.mNewVersionRequests <= 0.12 * late.mAllRequests + 30);
  }
}

TEST(TrafficShift, VersionThatFailsAfterTheFullShiftIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const SimulationResult late = Simulate(0.02, 0.5, 1, 16.4, seed);
    CHECK(late.mStage == TrafficShiftStage::Reverted);
    CHECK(late.mLastStageChangeSeconds < 18.4);
  }
}

TEST(TrafficShift, SessionStaysOnItsSideInTheFirstHalf)
{
  const auto sideAt = [this](int aSeconds, bool aHasSession, double aDraw) {
    return SideOf(
      WithShares(mShift, std::chrono::seconds(aSeconds)), aHasSession, aDraw);
  };
  // The side depends neither on the age of the session nor on the VM.
  for (int seconds = 0; seconds <= 12; ++seconds) {
    CHECK(sideAt(seconds, true, 0) == VersionSide::NotTarget);
    CHECK(sideAt(seconds, false, 0) == VersionSide::Target);
    CHECK(sideAt(seconds, false, 0.5) == VersionSide::NotTarget);
  }
  CHECK(sideAt(13, true, 0.1) == VersionSide::Target);
  CHECK(sideAt(13, true, 0.5) == VersionSide::NotTarget);
  const TrafficShiftEvidence good{ Cell(400, 2, 0.2), Cell(60, 0, 0.2) };
  CHECK(DecideStage(mShift, good, {}, std::chrono::seconds(11)).mStage ==
        TrafficShiftStage::Probe);
  CHECK(DecideStage(mShift, good, {}, std::chrono::seconds(18)).mStage ==
        TrafficShiftStage::Shift);
}

TEST(TrafficShift, ProbeWithFewSamplesPassesOnlyWithoutErrors)
{
  const TrafficShiftEvidence passing{ Cell(100, 0, 0.2), Cell(6, 0, 0.2) };
  const TrafficShiftEvidence failing{ Cell(100, 0, 0.2), Cell(6, 3, 0.2) };
  CHECK(DecideStage(mShift, passing, {}, std::chrono::seconds(19)).mStage ==
        TrafficShiftStage::Shift);
  CHECK(DecideStage(mShift, failing, {}, std::chrono::seconds(19)).mStage ==
        TrafficShiftStage::Reverted);
}

/// The shift was decided by few answers, and all traffic shows that they were
/// not typical.
TEST(TrafficShift, AVersionThatIsWorseUnderAllTrafficIsNotCompleted)
{
  mShift.mStage = TrafficShiftStage::Shift;
  EvidenceCell before = Cell(900, 0, 0.2);
  before.mRated = 400;
  before.mGood = 300;
  EvidenceCell after = Cell(60, 0, 0.2);
  after.mRated = 30;
  const auto stage = [&](double aSlow) {
    after.mGood = after.mRated - aSlow;
    return DecideStage(mShift, { before, after }, {}, std::chrono::seconds(22))
      .mStage;
  };
  CHECK(stage(0) == TrafficShiftStage::Completed);
  CHECK(stage(8) == TrafficShiftStage::Completed);
  CHECK(stage(13) == TrafficShiftStage::Reverted);
}

TEST(TrafficShift, RevertedVersionIsNotAFallback)
{
  mShift.mStage = TrafficShiftStage::Reverted;
  CHECK_FALSE(AcceptsVersion(FallbackSide(mShift), mShift, "v2"));
  CHECK(AcceptsVersion(FallbackSide(mShift), mShift, "v1"));
  mShift.mStage = TrafficShiftStage::Shift;
  CHECK(AcceptsVersion(FallbackSide(mShift), mShift, "v1"));
  CHECK(AcceptsVersion(SideOf(std::nullopt, true, 0.5), std::nullopt, "v1"));
}

/// Guards against the loss of a stream that was interrupted on the old version
/// in the second half of a roll-out: both further attempts went to the new
/// version, which failed.
TEST(TrafficShift, ResumedStreamStaysOnTheVersionThatBeganIt)
{
  for (const TrafficShiftStage stage :
       { TrafficShiftStage::Probe, TrafficShiftStage::Shift }) {
    mShift.mStage = stage;
    for (const bool hasSession : { false, true }) {
      CHECK(
        VersionSide::NotTarget ==
        SideAfterFailure(VersionSide::Target, mShift, hasSession, true, "v1"));
    }
    CHECK(VersionSide::Target ==
          SideAfterFailure(VersionSide::Target, mShift, true, true, "v2"));
  }
}

TEST(TrafficShift, RequestIsNotRetriedOnTheNewVersionThatFailedIt)
{
  const auto retry = [this](bool aHasSession, const char* aVersion) {
    return SideAfterFailure(
      VersionSide::Target, mShift, aHasSession, false, aVersion);
  };
  CHECK(VersionSide::NotTarget == retry(false, "v2"));
  // A session that moved to the new version does not return to the old one.
  CHECK(VersionSide::Target == retry(true, "v2"));
  CHECK(VersionSide::Target == retry(true, "v1"));
}

TEST(TrafficShift, RetriesIgnoreVersionsAfterTheRollout)
{
  for (const VersionSide side : { VersionSide::Any, VersionSide::NotTarget }) {
    CHECK(side == SideAfterFailure(side, std::nullopt, false, true, "v1"));
    mShift.mStage = TrafficShiftStage::Completed;
    CHECK(side == SideAfterFailure(side, mShift, false, true, "v1"));
    mShift.mStage = TrafficShiftStage::Reverted;
    CHECK(side == SideAfterFailure(side, mShift, false, true, "v1"));
  }
}
