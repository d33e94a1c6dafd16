#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

/// True behaviour of a version, from which random answers are generated.
struct VersionBehaviour
{
  double mErrorRate = 0.01;
  double mQuality = 0.9;
  double mRatedFraction = 0.1;
  double mFirstTokenSeconds = 0.4;
};

void AddRandomAnswer(const VersionBehaviour& aVersion,
                     EvidenceCell& aCell,
                     Random& aRandom)
{
  aCell.mAnswers += 1;
  if (aRandom.Unit() < aVersion.mErrorRate) {
    aCell.mErrors += 1;
    return;
  }
  aCell.mFirstTokenSeconds += aVersion.mFirstTokenSeconds * 2 * aRandom.Unit();
  if (aRandom.Unit() < aVersion.mRatedFraction) {
    aCell.mRated += 1;
    aCell.mGood += aRandom.Unit() < aVersion.mQuality ? 1 : 0;
  }
}

struct Trial
{
  RolloutVerdict mVerdict = RolloutVerdict::Stay;
  /// Number of answers of the new version until the halt or the end.
  double mAnswers = 0;
  /// Whether the evidence allowed passing the step at any time.
  bool mWasAdvanced = false;
};

/// Draws one answer in ten from the new version, and checks the verdict and the
/// change detector after each answer of the new version.
Trial RunTrial(const VersionBehaviour& aBefore,
               const VersionBehaviour& aAfter,
               int aChangeAt,
               int aAnswerCount,
               std::uint64_t aSeed)
{
  const RolloutSettings settings;
  const VersionBehaviour old;
  Random random(aSeed);
  EvidenceCell oldCell;
  EvidenceCell newCell;
  RolloutChangeDetector detector;
  bool advanced = false;
  for (int index = 0; index < 1000; ++index) {
    AddRandomAnswer(old, oldCell, random);
  }
  for (int answer = 0; answer < aAnswerCount; ++answer) {
    for (int oldAnswer = 0; oldAnswer < 9; ++oldAnswer) {
      AddRandomAnswer(old, oldCell, random);
    }
    AddRandomAnswer(answer < aChangeAt ? aBefore : aAfter, newCell, random);
    detector = UpdateChangeDetector(settings, detector, oldCell, newCell);
    const RolloutVerdict verdict =
      EvaluateRollout(settings, oldCell, newCell).mVerdict;
    const bool halted = verdict == RolloutVerdict::Halt ||
                        EvaluateChangeDetector(settings, detector).mVerdict ==
                          RolloutVerdict::Halt;
    advanced = advanced || verdict == RolloutVerdict::Advance;
    if (halted) {
      return { RolloutVerdict::Halt, newCell.mAnswers, advanced };
    }
  }
  return { RolloutVerdict::Stay, newCell.mAnswers, advanced };
}

} // namespace

TEST_GROUP(EvaluateRollout){};

TEST(EvaluateRollout, GoodVersionsAreHaltedInAtMostOnePercentOfSeeds)
{
  int halted = 0;
  int advanced = 0;
  for (std::uint64_t seed = 1; seed <= 300; ++seed) {
    const Trial trial = RunTrial({}, {}, 0, 3000, seed);
    halted += trial.mVerdict == RolloutVerdict::Halt ? 1 : 0;
    advanced += trial.mWasAdvanced ? 1 : 0;
  }
  CHECK(halted <= 3);
  CHECK(advanced >= 295);
}

TEST(EvaluateRollout,
     VersionFailingFromTheStartIsHaltedWithinFortyAnswersOnAverage)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = RunTrial({ .mErrorRate = 0.3 }, {}, 3000, 3000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers;
  }
  CHECK(answers / 100 < 40);
}

TEST(EvaluateRollout,
     VersionThatTurnsBadLateIsHaltedWithinSixtyAnswersOnAverage)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = RunTrial({}, { .mErrorRate = 0.3 }, 2000, 4000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers - 2000;
  }
  CHECK(answers / 100 < 60);
}

TEST(EvaluateRollout, VersionWithWorseRatingsIsHalted)
{
  double answers = 0;
  for (std::uint64_t seed = 1; seed <= 100; ++seed) {
    const Trial trial = RunTrial({ .mQuality = 0.6 }, {}, 3000, 3000, seed);
    CHECK(trial.mVerdict == RolloutVerdict::Halt);
    answers += trial.mAnswers;
  }
  CHECK(answers / 100 < 600);
}

TEST(EvaluateRollout, SlowVersionIsHaltedOnlyWithEnoughAnswers)
{
  const RolloutSettings settings;
  EvidenceCell old;
  old.mAnswers = 10000;
  old.mFirstTokenSeconds = 4000;
  EvidenceCell slow;
  slow.mAnswers = 60;
  slow.mFirstTokenSeconds = 40;
  CHECK(EvaluateRollout(settings, old, slow).mVerdict == RolloutVerdict::Stay);
  slow.mAnswers = 4000;
  slow.mFirstTokenSeconds = 3200;
  CHECK(EvaluateRollout(settings, old, slow).mVerdict == RolloutVerdict::Halt);
}

TEST(EvaluateRollout, StepWaitsForEnoughAnswersAndRatings)
{
  const RolloutSettings settings;
  EvidenceCell old;
  old.mAnswers = 10000;
  old.mRated = 1000;
  old.mGood = 900;
  EvidenceCell fresh;
  CHECK(EvaluateRollout(settings, old, fresh).mVerdict == RolloutVerdict::Stay);
  fresh.mAnswers = 1000;
  CHECK(EvaluateRollout(settings, old, fresh).mVerdict == RolloutVerdict::Stay);
  fresh.mRated = 100;
  fresh.mGood = 91;
  CHECK(EvaluateRollout(settings, old, fresh).mVerdict ==
        RolloutVerdict::Advance);
}

TEST(EvaluateRollout, ShareOfNewSessionsFollowsTheStepAndThePhase)
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
