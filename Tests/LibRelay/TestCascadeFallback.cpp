#include <Acaciavale/LibRelay/CascadeFallback.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::Relay;

/// Short tags of a deployment with a goal of 3 s and a time limit of 4 s.
TEST_GROUP(CascadeFallback)
{
  LargerModelTimes mTimes;

  void setup() override
  {
    mTimes.mGoalLeft = 2.9;
    mTimes.mTimeLeft = 3.9;
    mTimes.mExpectedFirstEvent = 0.2;
    mTimes.mLowQuartile = 0.05;
  }

  double Wait(KeptAnswerState aState) const
  {
    return SecondsUntilFallback(mTimes, aState).value_or(-1);
  }
};

/// Guards against a wait up to the deadline for an endpoint that is gone, and
/// against an answer that is late because it waited for the larger model.
TEST(CascadeFallback, TheGoalLimitsTheWait)
{
  for (const auto state :
       { KeptAnswerState::Complete, KeptAnswerState::Incomplete }) {
    mTimes.mGoalLeft = 2.9;
    DOUBLES_EQUAL(2.85, Wait(state), 1e-9);
    mTimes.mGoalLeft = 0.45;
    DOUBLES_EQUAL(0.4, Wait(state), 1e-9);
  }
  CHECK_FALSE(
    SecondsUntilFallback(mTimes, KeptAnswerState::WithoutEvent).has_value());
}

/// Guards against an unsure answer in place of a better one that would have
/// been in time: three times the expected time may end long before the goal.
TEST(CascadeFallback, ASlowButTimelyLargerModelIsAwaited)
{
  mTimes.mGoalLeft = 1.5;
  mTimes.mWaited = 1.4;
  DOUBLES_EQUAL(1.45, Wait(KeptAnswerState::Complete), 1e-9);
}

/// Guards against a fallback at once where the escalation was worth a late
/// answer, and against a wait without limit there.
TEST(CascadeFallback, AGoalOutOfReachDoesNotLimitTheWait)
{
  for (const double left : { 0.1, 0.0, -1.0 }) {
    mTimes.mGoalLeft = left;
    DOUBLES_EQUAL(0.6, Wait(KeptAnswerState::Complete), 1e-9);
    DOUBLES_EQUAL(0.6, Wait(KeptAnswerState::Incomplete), 1e-9);
  }
  mTimes.mLowQuartile = 0.5;
  DOUBLES_EQUAL(1.5, Wait(KeptAnswerState::Complete), 1e-9);
  mTimes.mWaited = 2;
  DOUBLES_EQUAL(0, Wait(KeptAnswerState::Complete), 1e-9);
}

/// Guards against a fallback because of one lost packet.
TEST(CascadeFallback, TheWaitOutlastsTheRepeatOfALostPacket)
{
  mTimes.mGoalLeft = 0;
  mTimes.mExpectedFirstEvent = 0.01;
  mTimes.mLowQuartile = 0;
  CHECK(Wait(KeptAnswerState::Complete) > 0.2);
}

/// Guards against 504 in place of the kept answer.
TEST(CascadeFallback, TheDeadlineLimitsTheWait)
{
  mTimes.mTimeLeft = 0.8;
  DOUBLES_EQUAL(0.75, Wait(KeptAnswerState::Complete), 1e-9);
  mTimes.mTimeLeft = 0.04;
  DOUBLES_EQUAL(0, Wait(KeptAnswerState::Complete), 1e-9);
}

/// Guards against work of a larger model that no caller waits for.
TEST(CascadeFallback, ALargerModelIsNotAskedForWhatItCannotBegin)
{
  mTimes.mTimeLeft = 0.26;
  CHECK(CanBeginInTime(mTimes));
  mTimes.mTimeLeft = 0.24;
  CHECK_FALSE(CanBeginInTime(mTimes));
  mTimes.mTimeLeft = 0.7;
  mTimes.mLowQuartile = 0.7;
  CHECK_FALSE(CanBeginInTime(mTimes));
}

/// Guards against a third attempt that the fallback would cancel.
TEST(CascadeFallback, AnotherEndpointIsAskedOnlyIfItCanBeginBefore)
{
  mTimes.mGoalLeft = 0.3;
  mTimes.mWaited = 0.3;
  CHECK(MayAskAnotherEndpoint(mTimes, KeptAnswerState::Complete));
  mTimes.mGoalLeft = 0.2;
  CHECK_FALSE(MayAskAnotherEndpoint(mTimes, KeptAnswerState::Complete));
  CHECK(MayAskAnotherEndpoint(mTimes, KeptAnswerState::WithoutEvent));
  mTimes.mTimeLeft = 0.2;
  CHECK_FALSE(MayAskAnotherEndpoint(mTimes, KeptAnswerState::WithoutEvent));
}

/// Guards against kept answers that take the room of bodies and responses that
/// callers need for certain.
TEST(CascadeFallback, AQuarterOfTheBudgetIsNotForKeptAnswers)
{
  CHECK(HasRoomToKeep(1000, 0, 750));
  CHECK(HasRoomToKeep(1000, 740, 10));
  CHECK_FALSE(HasRoomToKeep(1000, 740, 11));
  CHECK_FALSE(HasRoomToKeep(1000, 1200, 0));
}
