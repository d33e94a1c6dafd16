#include <Acaciavale/LibRelay/RolloutCourse.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(RolloutCourse)
{
  Course mCourse{
    { "pool", "v2", std::chrono::seconds(24), 7 }, CourseStage::Probe, 0, 0
  };

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
    CourseStage mStage = CourseStage::Probe;
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
    CourseEvidence evidence;
    RolloutChangeDetector watch;
    for (double now = 0; now < 24; now += 1.0 / 47) {
      mCourse = WithShares(mCourse, FromSeconds(now));
      const VersionSide side = SideOf(mCourse, aHasSessions, random.Unit());
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
      watch = WatchCourse(std::move(watch), evidence);
      const CourseDecision decision =
        DecideStage(mCourse, evidence, watch, FromSeconds(now));
      if (decision.mStage != mCourse.mStage) {
        mCourse.mStage = decision.mStage;
        played.mEnd = now;
      }
    }
    played.mStage = mCourse.mStage;
    return played;
  }
};

TEST(RolloutCourse, AGoodVersionIsCompletedInTime)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mCourse.mStage = CourseStage::Probe;
    const Played played = Play(0.02, 0.02, 1, 0, seed);
    CHECK(played.mStage == CourseStage::Completed);
    CHECK(played.mEnd < 24);
  }
}

TEST(RolloutCourse, ABadVersionIsRevertedWithinItsExposure)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mCourse.mStage = CourseStage::Probe;
    const Played played = Play(0.02, 0.4, 1, 0, seed);
    CHECK(played.mStage == CourseStage::Reverted);
    CHECK(played.mExposed <= 0.12 * played.mAll + 30);
    mCourse.mStage = CourseStage::Probe;
    const Played plain = Play(0.02, 0.4, 1, 0, seed, false);
    CHECK(plain.mStage == CourseStage::Reverted);
    CHECK(plain.mExposed <= 0.12 * plain.mAll + 30);
    CHECK(plain.mEnd < 12);
  }
}

/// The old version fails too, and for other reasons: what a probe of a few
/// answers shows must still be told from it.
TEST(RolloutCourse, ABadVersionIsFoundBesideAnOldOneWithErrors)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mCourse.mStage = CourseStage::Probe;
    const Played played = Play(0.14, 0.6, 1, 0, seed);
    CHECK(played.mStage == CourseStage::Reverted);
  }
}

TEST(RolloutCourse, AVersionThatTurnsSlowOrBadLateIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mCourse.mStage = CourseStage::Probe;
    CHECK(Play(0.02, 0.02, 8, 0, seed).mStage == CourseStage::Reverted);
    mCourse.mStage = CourseStage::Probe;
    const Played late = Play(0.02, 0.5, 1, 6, seed);
    CHECK(late.mStage == CourseStage::Reverted);
    CHECK(late.mExposed <= 0.12 * late.mAll + 30);
  }
}

TEST(RolloutCourse, AVersionThatTurnsBadOnceItHasAllTheTrafficIsReverted)
{
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    mCourse.mStage = CourseStage::Probe;
    const Played late = Play(0.02, 0.5, 1, 14, seed);
    CHECK(late.mStage == CourseStage::Reverted);
    CHECK(late.mEnd < 16);
  }
}

TEST(RolloutCourse, ASessionStaysOnItsSideThroughTheFirstHalf)
{
  const auto sideAt = [this](int aSeconds, bool aHasSession, double aDraw) {
    return SideOf(
      WithShares(mCourse, std::chrono::seconds(aSeconds)), aHasSession, aDraw);
  };
  // However long it has been open, and whichever VM it goes on at.
  for (int seconds = 0; seconds <= 12; ++seconds) {
    CHECK(sideAt(seconds, true, 0) == VersionSide::NotTarget);
    CHECK(sideAt(seconds, false, 0) == VersionSide::Target);
    CHECK(sideAt(seconds, false, 0.5) == VersionSide::NotTarget);
  }
  CHECK(sideAt(13, true, 0.1) == VersionSide::Target);
  CHECK(sideAt(13, true, 0.5) == VersionSide::NotTarget);
  const CourseEvidence good{ Cell(400, 2, 0.2), Cell(60, 0, 0.2) };
  CHECK(DecideStage(mCourse, good, {}, std::chrono::seconds(11)).mStage ==
        CourseStage::Probe);
  CHECK(DecideStage(mCourse, good, {}, std::chrono::seconds(15)).mStage ==
        CourseStage::Shift);
}

TEST(RolloutCourse, AThinProbePassesOnlyWithoutFailures)
{
  const CourseEvidence thin{ Cell(100, 0, 0.2), Cell(6, 0, 0.2) };
  const CourseEvidence failing{ Cell(100, 0, 0.2), Cell(6, 3, 0.2) };
  CHECK(DecideStage(mCourse, thin, {}, std::chrono::seconds(17)).mStage ==
        CourseStage::Shift);
  CHECK(DecideStage(mCourse, failing, {}, std::chrono::seconds(17)).mStage ==
        CourseStage::Reverted);
}

TEST(RolloutCourse, ARevertedVersionIsNoFallbackEither)
{
  mCourse.mStage = CourseStage::Reverted;
  CHECK_FALSE(MayTake(FallbackSide(mCourse), mCourse, "v2"));
  CHECK(MayTake(FallbackSide(mCourse), mCourse, "v1"));
  mCourse.mStage = CourseStage::Shift;
  CHECK(MayTake(FallbackSide(mCourse), mCourse, "v1"));
  CHECK(MayTake(SideOf(std::nullopt, true, 0.5), std::nullopt, "v1"));
}

/// A stream of the old version was cut in the second half of a roll-out to a
/// version that fails; its two further sends both went there, and it broke off.
TEST(RolloutCourse, AStreamGoesOnWithTheVersionThatBeganIt)
{
  for (const CourseStage stage : { CourseStage::Probe, CourseStage::Shift }) {
    mCourse.mStage = stage;
    for (const bool hasSession : { false, true }) {
      CHECK(
        VersionSide::NotTarget ==
        SideAfterFailure(VersionSide::Target, mCourse, hasSession, true, "v1"));
    }
    CHECK(VersionSide::Target ==
          SideAfterFailure(VersionSide::Target, mCourse, true, true, "v2"));
  }
}

TEST(RolloutCourse, ANewVersionThatFailedARequestGetsItOnlyOnce)
{
  const auto retry = [this](bool aHasSession, const char* aVersion) {
    return SideAfterFailure(
      VersionSide::Target, mCourse, aHasSession, false, aVersion);
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
    mCourse.mStage = CourseStage::Completed;
    CHECK(side == SideAfterFailure(side, mCourse, false, true, "v1"));
    mCourse.mStage = CourseStage::Reverted;
    CHECK(side == SideAfterFailure(side, mCourse, false, true, "v1"));
  }
}
