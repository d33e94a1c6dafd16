#include "Checks.h"

#include "StandIns/Answer.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::History;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kMaxTokens = 12;

std::string ExpectedContent(const std::string& aRequest,
                            const std::string& aVersion)
{
  return Acaciavale::StandIns::AnswerText(
    { kSeed, aRequest, { "dossier", aVersion }, kMaxTokens });
}

Call MakeChatCall(std::int64_t aNumber, const std::string& aVersion)
{
  Call call;
  call.mNumber = static_cast<std::uint64_t>(aNumber);
  call.mReference = "ref-" + std::to_string(aNumber);
  call.mAccount = "school";
  call.mVm = "vm-1";
  call.mTarget = "dossier";
  call.mSession = "session-1";
  call.mMaxTokens = kMaxTokens;
  call.mStartMicroseconds = aNumber * 100;
  call.mEndMicroseconds = aNumber * 100 + 50;
  call.mOutcome = CallOutcome::Answered;
  call.mStatus = 200;
  call.mRequestId = "r" + std::to_string(aNumber);
  call.mStages = { "dossier/" + aVersion };
  call.mCostMicros = 10;
  call.mContent = ExpectedContent(call.mRequestId, aVersion);
  return call;
}

EndpointRun MakeRun(const Call& aCall)
{
  EndpointRun run;
  run.mEndpoint = aCall.mKind == CallKind::Chat ? "engine-1" : "service-1";
  run.mReference = aCall.mReference;
  run.mRequestId = aCall.mRequestId;
  run.mIdempotencyKey = aCall.mIdempotencyKey;
  run.mStage = aCall.mStages.empty() ? "" : aCall.mStages.back();
  run.mStartMicroseconds = aCall.mStartMicroseconds + 10;
  run.mOutcome = "completed";
  return run;
}

Call MakeDrillCall(std::int64_t aNumber, const std::string& aVm)
{
  Call call;
  call.mNumber = static_cast<std::uint64_t>(aNumber);
  call.mReference = "ref-drill";
  call.mKind = CallKind::NonRepeatable;
  call.mAccount = "carrier";
  call.mVm = aVm;
  call.mIdempotencyKey = "key-1";
  call.mStartMicroseconds = aNumber * 100;
  call.mEndMicroseconds = aNumber * 100 + 50;
  call.mOutcome = CallOutcome::Answered;
  call.mRequestId = "r" + std::to_string(aNumber);
  call.mCostMicros = 5;
  call.mContent = R"({"reference":"ref-drill","run":3})";
  return call;
}

/// History without violations: two answered calls of one session, a refused
/// chat call, and a non-repeatable service call that was sent twice and ran
/// once.
History ValidHistory()
{
  History history;
  history.mSeed = kSeed;
  history.mCalls = { MakeChatCall(1, "small-1"),
                     MakeChatCall(2, "small-1"),
                     MakeDrillCall(3, "vm-1"),
                     MakeDrillCall(4, "vm-2") };
  Call refused = MakeChatCall(5, "small-1");
  refused.mOutcome = CallOutcome::Refused;
  refused.mExecuted = "no";
  refused.mStages.clear();
  history.mCalls.push_back(refused);
  for (int at = 0; at < 3; ++at) {
    history.mRuns.push_back(
      MakeRun(history.mCalls[static_cast<std::size_t>(at)]));
  }
  history.mPermissions["school"] = { { "dossier" }, { "dossier/small-1" } };
  history.mBills = { { "school", { 2, 20 } }, { "carrier", { 1, 5 } } };
  history.mGenerationObservations = { { "vm-1", 100, 110, 1 },
                                      { "vm-1", 200, 210, 2 } };
  history.mWrittenGenerations = { 1, 2 };
  return history;
}

using Mutation = std::function<void(History&)>;

/// Names of the invariants that the valid history violates after aMutation.
std::string ViolatedInvariants(const Mutation& aMutation)
{
  History history = ValidHistory();
  aMutation(history);
  std::string violated;
  for (const InvariantCheck& check : InvariantChecks()) {
    if (!check.mCheck(history).empty()) {
      violated += std::string(violated.empty() ? "" : "; ") + check.mInvariant;
    }
  }
  return violated;
}

void CheckViolates(const char* aInvariant, const Mutation& aMutation)
{
  STRCMP_EQUAL(aInvariant, ViolatedInvariants(aMutation).c_str());
}

} // namespace

TEST_GROUP(HistoryChecks){};

TEST(HistoryChecks, AValidHistoryHasNoViolations)
{
  CheckViolates("", [](History&) {});
}

TEST(HistoryChecks, DetectsARunOnAVersionThatIsNotPermitted)
{
  CheckViolates("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns[1].mStage = "dossier/large-1";
  });
  CheckViolates("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns[1].mStage = "checker/v1";
  });
  CheckViolates("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns.push_back(MakeRun(MakeChatCall(9, "small-1")));
  });
}

TEST(HistoryChecks, DetectsNewWorkOnAWithdrawnVersion)
{
  CheckViolates("no new work on a withdrawn version", [](History& aHistory) {
    aHistory.mWithdrawals = { { "dossier/small-1", 205 } };
  });
  CheckViolates("", [](History& aHistory) {
    aHistory.mWithdrawals = { { "dossier/small-1", 210 } };
  });
}

TEST(HistoryChecks, DetectsASessionThatChangesItsVersion)
{
  const Mutation mutation = [](History& aHistory) {
    aHistory.mCalls[1] = MakeChatCall(2, "large-1");
    aHistory.mPermissions["school"].mVersions.clear();
  };
  CheckViolates("a session keeps its version", mutation);
  CheckViolates("", [&](History& aHistory) {
    mutation(aHistory);
    aHistory.mWithdrawals = { { "dossier/small-1", 9999 } };
  });
}

TEST(HistoryChecks, ASessionOnACascadeRunsOnlyStagesOfTheCascade)
{
  const Mutation mutation = [](History& aHistory) {
    aHistory.mPermissions["school"].mVersions.clear();
    aHistory.mCalls[0].mTarget = "both";
    aHistory.mCalls[1] = MakeChatCall(2, "large-1");
    aHistory.mCalls[1].mTarget = "both";
    aHistory.mCascadeStages["both"] = { "dossier/small-1", "dossier/large-1" };
  };
  CheckViolates("", mutation);
  CheckViolates("a session keeps its version", [&](History& aHistory) {
    mutation(aHistory);
    aHistory.mCascadeStages["both"].erase("dossier/large-1");
  });
}

TEST(HistoryChecks, DetectsAPlannedStopThatCutsARequest)
{
  const Mutation mutation = [](History& aHistory) {
    aHistory.mCalls[1].mOutcome = CallOutcome::Lost;
    aHistory.mCalls[1].mReason = kConnectionCutReason;
  };
  CheckViolates("a planned stop cuts no request", [&](History& aHistory) {
    mutation(aHistory);
    aHistory.mPlannedStops = { { "vm-1", 240, 300 } };
  });
  CheckViolates("", [&](History& aHistory) {
    mutation(aHistory);
    aHistory.mPlannedStops = { { "vm-1", 251, 300 }, { "vm-2", 240, 300 } };
  });
}

TEST(HistoryChecks, DetectsARequestBilledTwiceOrNotAtAll)
{
  for (const std::int64_t requests : { 1, 3 }) {
    CheckViolates("billed exactly once", [&](History& aHistory) {
      aHistory.mBills["school"].mRequestCount = requests;
    });
  }
  for (const int micros : { 19, 21 }) {
    CheckViolates("billed exactly once", [&](History& aHistory) {
      aHistory.mBills["school"].mChargeMicros = micros;
    });
  }
  CheckViolates("billed exactly once", [](History& aHistory) {
    aHistory.mBills["nobody"] = { 1, 0 };
  });
  CheckViolates("billed exactly once", [](History& aHistory) {
    aHistory.mBills["carrier"] = { 2, 10 };
  });
}

TEST(HistoryChecks, ALostAnswerIsBilledAtMostOnce)
{
  for (const std::int64_t requests : { 1, 2, 3 }) {
    const char* violated = requests == 3 ? "billed exactly once" : "";
    CheckViolates(violated, [&](History& aHistory) {
      aHistory.mCalls[1].mOutcome = CallOutcome::Lost;
      aHistory.mBills["school"] = { requests, 10 * requests };
    });
  }
}

TEST(HistoryChecks, DetectsAnAnswerThatIsTruncatedOrOfAnotherCall)
{
  CheckViolates("each caller its own whole answer", [](History& aHistory) {
    aHistory.mCalls[0].mContent.pop_back();
  });
  CheckViolates("each caller its own whole answer", [](History& aHistory) {
    std::swap(aHistory.mCalls[0].mContent, aHistory.mCalls[1].mContent);
  });
  CheckViolates("each caller its own whole answer", [](History& aHistory) {
    aHistory.mCalls[2].mContent = R"({"reference":"ref-other"})";
    aHistory.mCalls[3].mContent = aHistory.mCalls[2].mContent;
  });
}

TEST(HistoryChecks, DetectsARefusalAsNotRunAlthoughTheCallRan)
{
  CheckViolates("a refusal saying not run is true", [](History& aHistory) {
    EndpointRun run = MakeRun(aHistory.mCalls[4]);
    run.mStage = "dossier/small-1";
    aHistory.mRuns.push_back(run);
  });
  CheckViolates("a refusal saying not run is true", [](History& aHistory) {
    for (const std::size_t at : { 2U, 3U }) {
      aHistory.mCalls[at].mOutcome = CallOutcome::Refused;
      aHistory.mCalls[at].mExecuted = "no";
    }
    aHistory.mRuns[2].mRequestId = "unknown";
    aHistory.mBills.erase("carrier");
  });
}

TEST(HistoryChecks, DetectsANonRepeatableCallThatRanTwice)
{
  CheckViolates("at most once without repetition", [](History& aHistory) {
    aHistory.mRuns.push_back(MakeRun(aHistory.mCalls[3]));
  });
  CheckViolates("at most once without repetition", [](History& aHistory) {
    aHistory.mCalls[3].mContent = R"({"reference":"ref-drill","run":4})";
  });
  CheckViolates("at most once without repetition",
                [](History& aHistory) { aHistory.mRuns.pop_back(); });
}

TEST(HistoryChecks, DetectsNewWorkOnADrainingEndpoint)
{
  CheckViolates("no new work on a leaving endpoint", [](History& aHistory) {
    aHistory.mDrainingEndpoints = { { "engine-1", 205 } };
  });
}

TEST(HistoryChecks, DetectsASettingsGenerationThatDecreases)
{
  CheckViolates("settings never go back", [](History& aHistory) {
    aHistory.mGenerationObservations.push_back({ "vm-1", 220, 230, 1 });
  });
  CheckViolates("settings never go back", [](History& aHistory) {
    aHistory.mWrittenGenerations = { 1, 2, 2 };
  });
  CheckViolates("", [](History& aHistory) {
    aHistory.mGenerationObservations.push_back({ "vm-1", 205, 230, 1 });
    aHistory.mGenerationObservations.push_back({ "vm-2", 220, 230, 1 });
  });
}
