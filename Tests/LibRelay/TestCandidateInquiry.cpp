#include <Acaciavale/LibRelay/CandidateInquiry.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

constexpr auto kOpen = InquiryAnswer::Open;
constexpr auto kReported = InquiryAnswer::Reported;
constexpr auto kFailed = InquiryAnswer::Failed;
constexpr auto kElsewhere = InquiryAnswer::Elsewhere;

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

/// The query for a long prompt of the reader service.
InquiryQuery LongPrompt()
{
  return { true, true, true, 5, 0.22, 0.005, 4 };
}

} // namespace

TEST_GROUP(CandidateInquiry){};

/// Guards against inquiries that delay or cost more than they can save, and
/// against any in pools that do not call for them.
TEST(CandidateInquiry, IsMadeOnlyWhereItIsOfUse)
{
  UNSIGNED_LONGS_EQUAL(3, CandidatesToInquire(LongPrompt()));
  InquiryQuery query = LongPrompt();
  query.mPromptSeconds = 0.1;
  UNSIGNED_LONGS_EQUAL(2, CandidatesToInquire(query));
  query.mPromptSeconds = 0.015;
  UNSIGNED_LONGS_EQUAL(0, CandidatesToInquire(query));
  for (bool InquiryQuery::*const condition : { &InquiryQuery::mIsFirstAttempt,
                                               &InquiryQuery::mHasHealthPath,
                                               &InquiryQuery::mReportsPace }) {
    query = LongPrompt();
    query.*condition = false;
    UNSIGNED_LONGS_EQUAL(0, CandidatesToInquire(query));
  }
  query = LongPrompt();
  query.mCandidates = 1;
  UNSIGNED_LONGS_EQUAL(0, CandidatesToInquire(query));
  query.mCandidates = 2;
  UNSIGNED_LONGS_EQUAL(2, CandidatesToInquire(query));
}

/// Guards against an inquiry that uses up the time which is left until the
/// goal, and against one that cannot be answered in its time.
TEST(CandidateInquiry, TheLimitIsAFewRoundTripsAndASmallShareOfTheGoal)
{
  InquiryQuery query = LongPrompt();
  DOUBLES_EQUAL(0.02, InSeconds(InquiryTimeout(query)), 1e-6);
  query.mAnswerSeconds = 0.015;
  DOUBLES_EQUAL(0.045, InSeconds(InquiryTimeout(query)), 1e-6);
  query.mAnswerSeconds = 1;
  DOUBLES_EQUAL(0.06, InSeconds(InquiryTimeout(query)), 1e-6);
  query = LongPrompt();
  query.mGoalSecondsLeft = 0.08;
  UNSIGNED_LONGS_EQUAL(0, CandidatesToInquire(query));
  query.mGoalSecondsLeft = -1;
  DOUBLES_EQUAL(0, InSeconds(InquiryTimeout(query)), 0);
}

/// Guards against a pool whose health path never answers, where each long
/// prompt would wait for the limit, and against one that is never queried again
/// after that.
TEST(CandidateInquiry, UnansweredInquiriesAreNotRepeatedForSomeTime)
{
  InquiryTiming timing;
  int inquiries = 0;
  InquiryQuery query = LongPrompt();
  for (int request = 0; request < 100; ++request) {
    const TimePoint now = At(0.01 * request);
    query.mAnswerSeconds = UsualAnswerSeconds(timing, now);
    if (CandidatesToInquire(query) > 0) {
      ++inquiries;
      timing = WithTimeout(timing, InquiryTimeout(query), now);
    }
  }
  CHECK(inquiries < 10);
  query.mAnswerSeconds = UsualAnswerSeconds(timing, At(60));
  CHECK(CandidatesToInquire(query) > 0);
}

/// Guards against more inquiries per second than the limit.
TEST(CandidateInquiry, AreLimitedPerSecond)
{
  InquiryPermits permits;
  int used = 0;
  for (int request = 0; request < 1000; ++request) {
    used += TryUsePermit(permits, At(0.01 * request)) ? 1 : 0;
  }
  CHECK(used <= 110);
  CHECK(used >= 100);
}

/// Guards against waiting for all answers when the first one decides, and
/// against placing at a busy candidate when a better one has not answered.
TEST(CandidateInquiry, IsDecidedOnceTheBestCandidateHasAnswered)
{
  CHECK(!DecideByAnswers({ { kOpen, 1 }, { kOpen, 2 } }, false).mIsDecided);
  auto decision = DecideByAnswers({ { kReported, 1 }, { kOpen, 2 } }, false);
  CHECK(decision.mIsDecided && decision.mIndex == 0U);
  STRCMP_EQUAL("kept", decision.mOutcome.data());
  CHECK(!DecideByAnswers({ { kReported, 3 }, { kOpen, 2 } }, false).mIsDecided);
  decision = DecideByAnswers({ { kReported, 3 }, { kReported, 2 } }, false);
  CHECK(decision.mIsDecided && decision.mIndex == 1U);
  STRCMP_EQUAL("moved", decision.mOutcome.data());
}

/// Guards against a request that waits for answers which do not come, and
/// against another choice than the one made without answers.
TEST(CandidateInquiry, WithoutAnswersTheFirstChoiceStands)
{
  for (const bool isTimeUp : { true, false }) {
    const auto answer = isTimeUp ? kOpen : kFailed;
    const auto decision =
      DecideByAnswers({ { answer, 2 }, { answer, 1 } }, isTimeUp);
    CHECK(decision.mIsDecided && decision.mIndex == 0U);
    STRCMP_EQUAL("no-answer", decision.mOutcome.data());
  }
}

/// Guards against a failed answer that counts as evidence against an endpoint.
TEST(CandidateInquiry, AFailedAnswerChangesNoCost)
{
  const auto decision =
    DecideByAnswers({ { kFailed, 1 }, { kReported, 2 } }, false);
  CHECK(decision.mIsDecided && decision.mIndex == 0U);
}

/// Guards against an attempt at an address that another process has, and at an
/// endpoint that can take no request any more.
TEST(CandidateInquiry, CandidatesThatAreGoneAreNotTaken)
{
  auto decision =
    DecideByAnswers({ { kElsewhere, 1 }, { kReported, 2 } }, false);
  CHECK(decision.mIsDecided && decision.mIndex == 1U);
  decision =
    DecideByAnswers({ { kReported, std::nullopt }, { kOpen, 2 } }, true);
  CHECK(decision.mIsDecided && decision.mIndex == 1U);
  decision =
    DecideByAnswers({ { kElsewhere, 1 }, { kOpen, std::nullopt } }, true);
  CHECK(decision.mIsDecided && !decision.mIndex);
}
