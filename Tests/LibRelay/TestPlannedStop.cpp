#include <Acaciavale/LibRelay/PlannedStop.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;
using std::chrono::milliseconds;

TEST_GROUP(PlannedStop){};

TEST(PlannedStop, ARequestIsTakenIfItCanEndBeforeTheCut)
{
  struct Case
  {
    int mSinceStop;
    std::optional<int> mLongestExpected;
    int mTimeLeft;
    bool mIsTaken;
  };
  // All in ms; open requests are ended after 7,000.
  for (const Case& expected : { Case{ 0, 7000, 20000, true },
                                Case{ 0, 7001, 20000, false },
                                Case{ 2500, 4500, 20000, true },
                                Case{ 3500, 4000, 20000, false },
                                Case{ 3500, 4000, 3000, true },
                                Case{ 6200, 800, 20000, true },
                                Case{ 6300, 800, 20000, false },
                                Case{ 6300, 800, 700, true },
                                Case{ 0, std::nullopt, 20000, false },
                                Case{ 0, std::nullopt, 7000, true },
                                Case{ 7100, 0, 700, false } }) {
    LateRequest request;
    request.mSinceStop = milliseconds(expected.mSinceStop);
    request.mOpenTime = milliseconds(7000);
    request.mTimeLeft = milliseconds(expected.mTimeLeft);
    if (expected.mLongestExpected) {
      request.mLongestExpected = milliseconds(*expected.mLongestExpected);
    }
    CHECK_EQUAL(expected.mIsTaken, CanEndBeforeCut(request));
  }
}

TEST(PlannedStop, PhasesFollowTheTimeAndTheOpenRequests)
{
  struct Case
  {
    int mElapsed;
    bool mHasRequests;
    StopPhase mPhase;
  };
  // All in ms; the process is killed after 8,000.
  for (const Case& expected : { Case{ 0, false, StopPhase::Accepting },
                                Case{ 2400, true, StopPhase::Accepting },
                                Case{ 2500, false, StopPhase::Over },
                                Case{ 2500, true, StopPhase::Draining },
                                Case{ 6900, true, StopPhase::Draining },
                                Case{ 7000, true, StopPhase::Ending },
                                Case{ 7000, false, StopPhase::Over },
                                Case{ 7400, true, StopPhase::Ending },
                                Case{ 7500, true, StopPhase::Over } }) {
    const StopProgress progress{ milliseconds(expected.mElapsed),
                                 milliseconds(8000),
                                 expected.mHasRequests };
    CHECK(expected.mPhase == PhaseOfStop(progress));
  }
}

/// Less time than the margins: what is open is ended at once.
TEST(PlannedStop, AShortStopEndsRequestsAtOnce)
{
  CHECK(PhaseOfStop({ milliseconds(0), milliseconds(800), true }) ==
        StopPhase::Ending);
  CHECK(PhaseOfStop({ milliseconds(0), milliseconds(400), true }) ==
        StopPhase::Over);
}
