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
