#include <Acaciavale/LibRelay/TrafficShift.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(RolloutCourse)
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

  /// Plays a roll-out at 47 requests a second, of which the share that goes to
  /// the new version fails as given; returns the bad version's requests.
  struct Played
  {
    TrafficShiftStage mStage = TrafficShiftStage::Probe;
    double mExposed = 0;
    double mAll = 0;
    double mEnd = 0;
  };

  Played Play(double aOldErrors,
              double aNewErrors,
              double aNewSlowness,
              double aTurnsBadAt,
              std::uint64_t aSeed,
              bool aHasSessions = true)
  {
    Random random(aSeed);
    Played played;
    TrafficShiftEvidence evidence;
    RolloutWatch watch;
    for (double now = 0; now < 24; now += 1.0 / 47) {
      mShift = WithShares(mShift, FromSeconds(now));
      const VersionSide side = SideOf(mShift, aHasSessions, random.Unit());
      played.mAll += 1;
      const bool isNew = side == VersionSide::Target;
      played.mExposed += isNew ? 1 : 0;
      const bool isBad = isNew && now >= aTurnsBadAt;
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
        played.mEnd = now;
      }
    }
    played.mStage = mShift.mStage;
    return played;
  }
};

TEST(RolloutCourse, AGoodVersionIsCompletedInTime)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const Played played = Play(0.02, 0.02, 1, 0, seed);
    CHECK(played.mStage == TrafficShiftStage::Completed);
    CHECK(played.mEnd < 24);
  }
}

TEST(RolloutCourse, ABadVersionIsRevertedWithinItsExposure)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const Played played = Play(0.02, 0.4, 1, 0, seed);
    CHECK(played.mStage == TrafficShiftStage::Reverted);
    CHECK(played.mExposed <= 0.12 * played.mAll + 30);
    mShift.mStage = TrafficShiftStage::Probe;
    const Played plain = Play(0.02, 0.4, 1, 0, seed, false);
    CHECK(plain.mStage == TrafficShiftStage::Reverted);
    CHECK(plain.mExposed <= 0.12 * plain.mAll + 30);
    CHECK(plain.mEnd < 12);
  }
}

/// The old version fails too, and for other reasons: what a probe of a few
/// answers shows must still be told from it.
TEST(RolloutCourse, ABadVersionIsFoundBesideAnOldOneWithErrors)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const Played played = Play(0.14, 0.6, 1, 0, seed);
    CHECK(played.mStage == TrafficShiftStage::Reverted);
  }
}

TEST(RolloutCourse, AVersionThatTurnsSlowOrBadLateIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    CHECK(Play(0.02, 0.02, 8, 0, seed).mStage == TrafficShiftStage::Reverted);
    mShift.mStage = TrafficShiftStage::Probe;
    const Played late = Play(0.02, 0.5, 1, 6, seed);
    CHECK(late.mStage == TrafficShiftStage::Reverted);
    CHECK(late.mExposed <= 0.12 * late.mAll + 30);
  }
}

TEST(RolloutCourse, AVersionThatTurnsBadOnceItHasAllTheTrafficIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mShift.mStage = TrafficShiftStage::Probe;
    const Played late = Play(0.02, 0.5, 1, 14, seed);
    CHECK(late.mStage == TrafficShiftStage::Reverted);
    CHECK(late.mEnd < 16);
  }
}

TEST(RolloutCourse, ASessionStaysOnItsSideThroughTheFirstHalf)
{
  const auto sideAt = [this](int aSeconds, bool aHasSession, double aDraw) {
    return SideOf(
      WithShares(mShift, std::chrono::seconds(aSeconds)), aHasSession, aDraw);
  };
  // However long it has been open, and whichever VM it goes on at.
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
  CHECK(DecideStage(mShift, good, {}, std::chrono::seconds(15)).mStage ==
        TrafficShiftStage::Shift);
}

TEST(RolloutCourse, AThinProbePassesOnlyWithoutFailures)
{
  const TrafficShiftEvidence thin{ Cell(100, 0, 0.2), Cell(6, 0, 0.2) };
  const TrafficShiftEvidence failing{ Cell(100, 0, 0.2), Cell(6, 3, 0.2) };
  CHECK(DecideStage(mShift, thin, {}, std::chrono::seconds(17)).mStage ==
        TrafficShiftStage::Shift);
  CHECK(DecideStage(mShift, failing, {}, std::chrono::seconds(17)).mStage ==
        TrafficShiftStage::Reverted);
}

TEST(RolloutCourse, ARevertedVersionIsNoFallbackEither)
{
  mShift.mStage = TrafficShiftStage::Reverted;
  CHECK_FALSE(AcceptsVersion(FallbackSide(mShift), mShift, "v2"));
  CHECK(AcceptsVersion(FallbackSide(mShift), mShift, "v1"));
  mShift.mStage = TrafficShiftStage::Shift;
  CHECK(AcceptsVersion(FallbackSide(mShift), mShift, "v1"));
  CHECK(AcceptsVersion(SideOf(std::nullopt, true, 0.5), std::nullopt, "v1"));
}

/// A stream of the old version was cut in the second half of a roll-out to a
/// version that fails; its two further sends both went there, and it broke off.
TEST(RolloutCourse, AStreamGoesOnWithTheVersionThatBeganIt)
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

TEST(RolloutCourse, ANewVersionThatFailedARequestGetsItOnlyOnce)
{
  const auto retry = [this](bool aHasSession, const char* aVersion) {
    return SideAfterFailure(
      VersionSide::Target, mShift, aHasSession, false, aVersion);
  };
  CHECK(VersionSide::NotTarget == retry(false, "v2"));
  // A session that has crossed over does not go back.
  CHECK(VersionSide::Target == retry(true, "v2"));
  CHECK(VersionSide::Target == retry(true, "v1"));
}

TEST(RolloutCourse, AfterARolloutItsVersionsNoLongerMatterToRetries)
{
  for (const VersionSide side : { VersionSide::Any, VersionSide::NotTarget }) {
    CHECK(side == SideAfterFailure(side, std::nullopt, false, true, "v1"));
    mShift.mStage = TrafficShiftStage::Completed;
    CHECK(side == SideAfterFailure(side, mShift, false, true, "v1"));
    mShift.mStage = TrafficShiftStage::Reverted;
    CHECK(side == SideAfterFailure(side, mShift, false, true, "v1"));
  }
}
