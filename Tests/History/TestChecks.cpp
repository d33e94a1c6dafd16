#include "Checks.h"

#include "StandIns/Answer.h"

#include <functional>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale::History;

namespace {

constexpr std::uint64_t kSeed = 7;
constexpr int kMaxTokens = 12;

std::string TextOf(const std::string& aRequest, const std::string& aVersion)
{
  return Acaciavale::StandIns::AnswerText(
    { kSeed, aRequest, { "dossier", aVersion }, kMaxTokens });
}

Call ChatCall(std::int64_t aNumber, const std::string& aVersion)
{
  Call call;
  call.mNumber = static_cast<std::uint64_t>(aNumber);
  call.mReference = "ref-" + std::to_string(aNumber);
  call.mAccount = "school";
  call.mVm = "vm-1";
  call.mTarget = "dossier";
  call.mSession = "session-1";
  call.mMaxTokens = kMaxTokens;
  call.mStart = aNumber * 100;
  call.mEnd = aNumber * 100 + 50;
  call.mOutcome = CallOutcome::Answered;
  call.mStatus = 200;
  call.mRequest = "r" + std::to_string(aNumber);
  call.mStages = { "dossier/" + aVersion };
  call.mCostMicros = 10;
  call.mContent = TextOf(call.mRequest, aVersion);
  return call;
}

EndpointRun RunOf(const Call& aCall)
{
  EndpointRun run;
  run.mPart = aCall.mKind == CallKind::Chat ? "engine-1" : "service-1";
  run.mReference = aCall.mReference;
  run.mRequest = aCall.mRequest;
  run.mIdempotencyKey = aCall.mIdempotencyKey;
  run.mStage = aCall.mStages.empty() ? "" : aCall.mStages.back();
  run.mStart = aCall.mStart + 10;
  run.mOutcome = "completed";
  return run;
}

Call DrillCall(std::int64_t aNumber, const std::string& aVm)
{
  Call call;
  call.mNumber = static_cast<std::uint64_t>(aNumber);
  call.mReference = "ref-drill";
  call.mKind = CallKind::NonRepeatable;
  call.mAccount = "carrier";
  call.mVm = aVm;
  call.mIdempotencyKey = "key-1";
  call.mStart = aNumber * 100;
  call.mEnd = aNumber * 100 + 50;
  call.mOutcome = CallOutcome::Answered;
  call.mRequest = "r" + std::to_string(aNumber);
  call.mCostMicros = 5;
  call.mContent = R"({"reference":"ref-drill","run":3})";
  return call;
}

/// Two answers of one session, a look-up that was refused, and a drill that
/// was asked for twice and ran once.
History GoodHistory()
{
  History history;
  history.mSeed = kSeed;
  history.mCalls = { ChatCall(1, "small-1"),
                     ChatCall(2, "small-1"),
                     DrillCall(3, "vm-1"),
                     DrillCall(4, "vm-2") };
  Call refused = ChatCall(5, "small-1");
  refused.mOutcome = CallOutcome::Refused;
  refused.mRan = "no";
  refused.mStages.clear();
  history.mCalls.push_back(refused);
  for (int at = 0; at < 3; ++at) {
    history.mRuns.push_back(
      RunOf(history.mCalls[static_cast<std::size_t>(at)]));
  }
  history.mPermissions["school"] = { { "dossier" }, { "dossier/small-1" } };
  history.mBills = { { "school", { 2, 20 } }, { "carrier", { 1, 5 } } };
  history.mGenerations = { { "vm-1", 100, 110, 1 }, { "vm-1", 200, 210, 2 } };
  history.mGenerationsWritten = { 1, 2 };
  return history;
}

using Plant = std::function<void(History&)>;

/// The promises that a history breaks.
std::string BrokenPromises(const Plant& aPlant)
{
  History history = GoodHistory();
  aPlant(history);
  std::string broken;
  for (const PromiseCheck& check : PromiseChecks()) {
    if (!check.mCheck(history).empty()) {
      broken += std::string(broken.empty() ? "" : "; ") + check.mPromise;
    }
  }
  return broken;
}

void CheckBreaks(const char* aPromise, const Plant& aPlant)
{
  STRCMP_EQUAL(aPromise, BrokenPromises(aPlant).c_str());
}

} // namespace

TEST_GROUP(HistoryChecks){};

TEST(HistoryChecks, AGoodHistoryBreaksNothing)
{
  CheckBreaks("", [](History&) {});
}

TEST(HistoryChecks, CatchesAVersionThatIsNotPermitted)
{
  CheckBreaks("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns[1].mStage = "dossier/large-1";
  });
  CheckBreaks("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns[1].mStage = "checker/v1";
  });
  CheckBreaks("only on a permitted model and version", [](History& aHistory) {
    aHistory.mRuns.push_back(RunOf(ChatCall(9, "small-1")));
  });
}

TEST(HistoryChecks, CatchesNewWorkOnAWithdrawnVersion)
{
  CheckBreaks("no new work on a withdrawn version", [](History& aHistory) {
    aHistory.mWithdrawn = { { "dossier/small-1", 205 } };
  });
  CheckBreaks("", [](History& aHistory) {
    aHistory.mWithdrawn = { { "dossier/small-1", 210 } };
  });
}

TEST(HistoryChecks, CatchesASessionThatLosesItsVersion)
{
  const Plant plant = [](History& aHistory) {
    aHistory.mCalls[1] = ChatCall(2, "large-1");
    aHistory.mPermissions["school"].mVersions.clear();
  };
  CheckBreaks("a session keeps its version", plant);
  CheckBreaks("", [&](History& aHistory) {
    plant(aHistory);
    aHistory.mWithdrawn = { { "dossier/small-1", 9999 } };
  });
}

TEST(HistoryChecks, ASessionOnACascadeKeepsToItsStages)
{
  const Plant plant = [](History& aHistory) {
    aHistory.mPermissions["school"].mVersions.clear();
    aHistory.mCalls[0].mTarget = "both";
    aHistory.mCalls[1] = ChatCall(2, "large-1");
    aHistory.mCalls[1].mTarget = "both";
    aHistory.mCascades["both"] = { "dossier/small-1", "dossier/large-1" };
  };
  CheckBreaks("", plant);
  CheckBreaks("a session keeps its version", [&](History& aHistory) {
    plant(aHistory);
    aHistory.mCascades["both"].erase("dossier/large-1");
  });
}

TEST(HistoryChecks, CatchesAPlannedStopThatCutsARequest)
{
  const Plant plant = [](History& aHistory) {
    aHistory.mCalls[1].mOutcome = CallOutcome::Lost;
    aHistory.mCalls[1].mReason = kCutReason;
  };
  CheckBreaks("a planned stop cuts no request", [&](History& aHistory) {
    plant(aHistory);
    aHistory.mStops = { { "vm-1", 240, 300 } };
  });
  CheckBreaks("", [&](History& aHistory) {
    plant(aHistory);
    aHistory.mStops = { { "vm-1", 251, 300 }, { "vm-2", 240, 300 } };
  });
}

TEST(HistoryChecks, CatchesARequestBilledTwiceOrNotAtAll)
{
  for (const std::int64_t requests : { 1, 3 }) {
    CheckBreaks("billed exactly once", [&](History& aHistory) {
      aHistory.mBills["school"].mRequests = requests;
    });
  }
  for (const int micros : { 19, 21 }) {
    CheckBreaks("billed exactly once", [&](History& aHistory) {
      aHistory.mBills["school"].mMicros = micros;
    });
  }
  CheckBreaks("billed exactly once", [](History& aHistory) {
    aHistory.mBills["nobody"] = { 1, 0 };
  });
  CheckBreaks("billed exactly once", [](History& aHistory) {
    aHistory.mBills["carrier"] = { 2, 10 };
  });
}

TEST(HistoryChecks, ALostAnswerMayBeBilledOnceOrNot)
{
  for (const std::int64_t requests : { 1, 2, 3 }) {
    const char* broken = requests == 3 ? "billed exactly once" : "";
    CheckBreaks(broken, [&](History& aHistory) {
      aHistory.mCalls[1].mOutcome = CallOutcome::Lost;
      aHistory.mBills["school"] = { requests, 10 * requests };
    });
  }
}

TEST(HistoryChecks, CatchesAnAnswerThatIsCutOrSomebodyElses)
{
  CheckBreaks("each caller its own whole answer", [](History& aHistory) {
    aHistory.mCalls[0].mContent.pop_back();
  });
  CheckBreaks("each caller its own whole answer", [](History& aHistory) {
    std::swap(aHistory.mCalls[0].mContent, aHistory.mCalls[1].mContent);
  });
  CheckBreaks("each caller its own whole answer", [](History& aHistory) {
    aHistory.mCalls[2].mContent = R"({"reference":"ref-other"})";
    aHistory.mCalls[3].mContent = aHistory.mCalls[2].mContent;
  });
}

TEST(HistoryChecks, CatchesARefusalThatIsNotTrue)
{
  CheckBreaks("a refusal saying not run is true", [](History& aHistory) {
    EndpointRun run = RunOf(aHistory.mCalls[4]);
    run.mStage = "dossier/small-1";
    aHistory.mRuns.push_back(run);
  });
  CheckBreaks("a refusal saying not run is true", [](History& aHistory) {
    for (const std::size_t at : { 2U, 3U }) {
      aHistory.mCalls[at].mOutcome = CallOutcome::Refused;
      aHistory.mCalls[at].mRan = "no";
    }
    aHistory.mRuns[2].mRequest = "unknown";
    aHistory.mBills.erase("carrier");
  });
}

TEST(HistoryChecks, CatchesACallThatRanTwice)
{
  CheckBreaks("at most once without repetition", [](History& aHistory) {
    aHistory.mRuns.push_back(RunOf(aHistory.mCalls[3]));
  });
  CheckBreaks("at most once without repetition", [](History& aHistory) {
    aHistory.mCalls[3].mContent = R"({"reference":"ref-drill","run":4})";
  });
  CheckBreaks("at most once without repetition",
              [](History& aHistory) { aHistory.mRuns.pop_back(); });
}

TEST(HistoryChecks, CatchesNewWorkOnALeavingEndpoint)
{
  CheckBreaks("no new work on a leaving endpoint", [](History& aHistory) {
    aHistory.mLeaving = { { "engine-1", 205 } };
  });
}

TEST(HistoryChecks, CatchesAGenerationThatGoesBack)
{
  CheckBreaks("settings never go back", [](History& aHistory) {
    aHistory.mGenerations.push_back({ "vm-1", 220, 230, 1 });
  });
  CheckBreaks("settings never go back", [](History& aHistory) {
    aHistory.mGenerationsWritten = { 1, 2, 2 };
  });
  CheckBreaks("", [](History& aHistory) {
    aHistory.mGenerations.push_back({ "vm-1", 205, 230, 1 });
    aHistory.mGenerations.push_back({ "vm-2", 220, 230, 1 });
  });
}
