#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

/// Draws answers of a version with a given true behaviour.
struct TrueVersion
{
  double mErrorShare = 0.01;
  double mQuality = 0.9;
  double mRatedShare = 0.1;
  double mFirstTokenSeconds = 0.4;
};

void DrawAnswer(const TrueVersion& aVersion,
                EvidenceCell& aCell,
                Random& aRandom)
{
  aCell.mAnswers += 1;
  if (aRandom.Unit() < aVersion.mErrorShare) {
    aCell.mErrors += 1;
    return;
  }
  aCell.mFirstTokenSeconds += aVersion.mFirstTokenSeconds * 2 * aRandom.Unit();
  if (aRandom.Unit() < aVersion.mRatedShare) {
    aCell.mRated += 1;
    aCell.mGood += aRandom.Unit() < aVersion.mQuality ? 1 : 0;
  }
}

struct Trial
{
  RolloutVerdict mVerdict = RolloutVerdict::Stay;
  double mAnswers = 0;  ///< Of the new version until the halt or the end.
  bool mPassed = false; ///< Whether the step could be passed at some time.
};

/// One answer in ten goes to the new version; both judges look after each.
Trial Run(const TrueVersion& aBefore,
          const TrueVersion& aAfter,
          int aTurnAt,
          int aAnswers,
          std::uint64_t aSeed)
{
  const RolloutSettings settings;
  const TrueVersion old;
  Random random(aSeed);
  EvidenceCell oldCell;
  EvidenceCell newCell;
  RolloutWatch watch;
  bool passed = false;
  for (int warm = 0; warm < 1000; ++warm) {
    DrawAnswer(old, oldCell, random);
  }
  for (int answer = 0; answer < aAnswers; ++answer) {
    for (int share = 0; share < 9; ++share) {
      DrawAnswer(old, oldCell, random);
    }
    DrawAnswer(answer < aTurnAt ? aBefore : aAfter, newCell, random);
    watch = WatchRollout(settings, watch, oldCell, newCell);
    const RolloutVerdict verdict =
      JudgeRollout(settings, oldCell, newCell).mVerdict;
    const bool halted =
      verdict == RolloutVerdict::Halt ||
      JudgeWatch(settings, watch).mVerdict == RolloutVerdict::Halt;
    passed = passed || verdict == RolloutVerdict::Advance;
    if (halted) {
      return { RolloutVerdict::Halt, newCell.mAnswers, passed };
    }
  }
  return { RolloutVerdict::Stay, newCell.mAnswers, passed };
}

} // namespace

TEST_GROUP(JudgeRollout){};

TEST(JudgeRollout, GoodVersionsAreHaltedInAtMostOneSeedOfAHundred)
{
  int halted = 0;
  int passed = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Trial trial = Run({}, {}, 0, 3000, seed);
    halted += trial.mVerdict == RolloutVerdict::Halt ? 1 : 0;
    passed += trial.mPassed ? 1 : 0;
  }
  CHECK(halted <= 3);
  CHECK(passed >= 295);
}

TEST(JudgeRollout, AVersionThatFailsFromTheStartIsHaltedWithinAFewAnswers)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = Run({ .mErrorShare = 0.3 }, {}, 3000, 3000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers;
  }
  CHECK(answers / 100 < 40);
}

TEST(JudgeRollout, AVersionThatTurnsBadLateIsHaltedNearlyAsSoon)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = Run({}, { .mErrorShare = 0.3 }, 2000, 4000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers - 2000;
  }
  CHECK(answers / 100 < 60);
}

TEST(JudgeRollout, AVersionWithWorseRatingsIsHalted)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = Run({ .mQuality = 0.6 }, {}, 3000, 3000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers;
  }
  CHECK(answers / 100 < 600);
}

TEST(JudgeRollout, ASlowVersionIsHaltedAndAFewSlowAnswersAreNot)
{
  const RolloutSettings settings;
  EvidenceCell old;
  old.mAnswers = 10000;
  old.mFirstTokenSeconds = 4000;
  EvidenceCell slow;
  slow.mAnswers = 60;
  slow.mFirstTokenSeconds = 40;
  CHECK(JudgeRollout(settings, old, slow).mVerdict == RolloutVerdict::Stay);
  slow.mAnswers = 4000;
  slow.mFirstTokenSeconds = 3200;
  CHECK(JudgeRollout(settings, old, slow).mVerdict == RolloutVerdict::Halt);
}

TEST(JudgeRollout, AStepWaitsForAnswersAndRatings)
{
  const RolloutSettings settings;
  EvidenceCell old;
  old.mAnswers = 10000;
  old.mRated = 1000;
  old.mGood = 900;
  EvidenceCell fresh;
  CHECK(JudgeRollout(settings, old, fresh).mVerdict == RolloutVerdict::Stay);
  fresh.mAnswers = 1000;
  CHECK(JudgeRollout(settings, old, fresh).mVerdict == RolloutVerdict::Stay);
  fresh.mRated = 100;
  fresh.mGood = 91;
  CHECK(JudgeRollout(settings, old, fresh).mVerdict == RolloutVerdict::Advance);
}

TEST(JudgeRollout, AHaltTakesTheNewVersionOutOfTheShares)
{
  RolloutSettings settings;
  settings.mSteps = { 0.01, 0.1, 0.5 };
  RolloutProgress progress;
  progress.mStep = 1;
  DOUBLES_EQUAL(0.1, ViewOf(settings, progress).mShare, 1e-9);
  progress.mPhase = RolloutPhase::Paused;
  DOUBLES_EQUAL(0.1, ViewOf(settings, progress).mShare, 1e-9);
  progress.mPhase = RolloutPhase::Halted;
  DOUBLES_EQUAL(0.0, ViewOf(settings, progress).mShare, 1e-9);
  CHECK(ViewOf(settings, progress).mHalted);
  progress.mPhase = RolloutPhase::Done;
  DOUBLES_EQUAL(1.0, ViewOf(settings, progress).mShare, 1e-9);
}
