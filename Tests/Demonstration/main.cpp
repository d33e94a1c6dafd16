#include "Callers/CallerClient.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <string>
#include <sys/types.h>
#include <vector>

/// Sends the requests of one deployment's scenario to three running VMs and
/// prints each request as a row of a table. Exits with 0 only if every outcome
/// is as expected.
using namespace Acaciavale;

namespace {

constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

/// One row of the printed table.
struct TableRow
{
  std::string mLabel;
  std::string mAccount;
  std::string mVm;
  std::string mModel;
  std::string mStages;
  long mCostMicros = 0;
  std::string mOutcome;
  bool mPassed = false;
};

/// Account, models, services and row labels of a deployment.
struct Scenario
{
  std::string mAccount;
  std::string mCascade;
  std::string mModel;
  std::string mDraftLabel;
  std::string mShortLabel;
  std::string mLookupPath;
  std::string mLookupLabel;
  std::string mNonRepeatablePath;
  std::string mNonRepeatableLabel;
};

Scenario ScenarioFor(const std::string& aDeployment)
{
  if (aDeployment == "jadran") {
    return { "croatian-wings",
             "dossier-cascade",
             "checker",
             "dossier summary, streamed",
             "certificate check by the model",
             "/v1/services/records/certificates/HR-1207",
             "currency look-up",
             "/v1/services/records/drills",
             "evacuation drill" };
  }
  return { "addis-bath-showroom",
           "planner-cascade",
           "planner",
           "layout draft, streamed",
           "fixture suggestion",
           "/v1/services/bookings/labels/tile-42",
           "price labels",
           "/v1/services/bookings/deposits",
           "deposit" };
}

class Demonstration
{
public:
  Demonstration(const std::string& aDeployment, std::vector<std::string> aVms)
    : mScenario(ScenarioFor(aDeployment))
    , mVms(std::move(aVms))
  {
  }

  void RunStreamedDraft(std::size_t aVm)
  {
    const ClientResponse response =
      SendRequest(MakeChatRequest(aVm, mScenario.mCascade, true));
    AddChatRow(mScenario.mDraftLabel, aVm, response);
    const auto session = response.mHeaders.find("x-session");
    mSessionToken = session == response.mHeaders.end() ? "" : session->second;
    mSessionStages = mRows.back().mStages;
  }

  void RunSessionOnOtherVm(std::size_t aVm)
  {
    ClientRequest request = MakeChatRequest(aVm, mScenario.mCascade, true);
    request.mHeaders.emplace_back("X-Session", mSessionToken);
    AddChatRow("same session on another VM", aVm, SendRequest(request));
    const std::string& stages = mRows.back().mStages;
    // NOTE: A session keeps its versions, but the number of stages that run may
    //       differ between its requests: one list is a prefix of the other.
    const bool versionsKept = stages.rfind(mSessionStages, 0) == 0 ||
                              mSessionStages.rfind(stages, 0) == 0;
    mRows.back().mPassed = mRows.back().mPassed && versionsKept;
  }

  void RunShortChat(std::size_t aVm)
  {
    AddChatRow(mScenario.mShortLabel,
               aVm,
               SendRequest(MakeChatRequest(aVm, mScenario.mModel, false)));
  }

  void RunLookup(std::size_t aVm)
  {
    ClientRequest request;
    request.mAddress = mVms[aVm];
    request.mApiKey = ApiKey();
    request.mPath = mScenario.mLookupPath;
    AddServiceRow(mScenario.mLookupLabel, aVm, SendRequest(request), false);
  }

  void RunCatalogueLookup(std::size_t aVm)
  {
    ClientRequest request;
    request.mAddress = mVms[aVm];
    request.mApiKey = ApiKey();
    request.mPath = "/v1/services/bookings/catalogue/basins";
    AddServiceRow("catalogue look-up", aVm, SendRequest(request), false);
  }

  void RunDuplicateOnTwoVms(std::size_t aFirstVm, std::size_t aSecondVm)
  {
    const ClientResponse first =
      SendNonRepeatable(aFirstVm, mScenario.mNonRepeatablePath, "once-1");
    AddServiceRow(mScenario.mNonRepeatableLabel + ", first attempt",
                  aFirstVm,
                  first,
                  false);
    const ClientResponse second =
      SendNonRepeatable(aSecondVm, mScenario.mNonRepeatablePath, "once-1");
    AddServiceRow(
      mScenario.mNonRepeatableLabel + ", same key", aSecondVm, second, true);
    mRows.back().mPassed = mRows.back().mPassed && first.mBody == second.mBody;
  }

  void RunWithoutIdempotencyKey(std::size_t aVm)
  {
    AddRefusalRow(mScenario.mNonRepeatableLabel + ", no key",
                  aVm,
                  SendNonRepeatable(aVm, mScenario.mNonRepeatablePath, ""),
                  kBadRequest);
  }

  void RunUnpermittedModel(std::size_t aVm)
  {
    AddRefusalRow("model of another account",
                  aVm,
                  SendRequest(MakeChatRequest(aVm, "somebody-elses", false)),
                  kNotFound);
  }

  /// Sends SIGTERM to the VM once the first bytes of a stream have arrived.
  void RunStreamDuringVmStop(std::size_t aVm, pid_t aPid)
  {
    bool signalled = false;
    const ClientResponse response =
      SendRequest(MakeChatRequest(aVm, mScenario.mCascade, true, 400),
                  [&signalled, aPid](std::string_view) {
                    if (!signalled) {
                      signalled = true;
                      ::kill(aPid, SIGTERM);
                    }
                  });
    AddChatRow("stream while its VM stops", aVm, response);
    mRows.back().mPassed = mRows.back().mPassed && signalled;
  }

  void CheckStoppedVmIsUnlisted(std::size_t aQueriedVm, std::size_t aStoppedVm)
  {
    ClientRequest request;
    request.mAddress = mVms[aQueriedVm];
    request.mPath = "/v1/entries";
    const ClientResponse response = SendRequest(request);
    TableRow row{
      "list of VM addresses", "", VmNameOf(aQueriedVm), "", "", 0, "", false
    };
    const bool listed =
      response.mBody.find(mVms[aStoppedVm]) != std::string::npos;
    row.mPassed = response.mStatus == 200 && !listed &&
                  response.mBody.find(mVms[aQueriedVm]) != std::string::npos;
    row.mOutcome = listed ? "still lists " + VmNameOf(aStoppedVm)
                          : VmNameOf(aStoppedVm) + " is no longer listed";
    mRows.push_back(row);
  }

  bool PrintTable(const std::string& aDeployment) const
  {
    std::printf("\n%s\n", aDeployment.c_str());
    std::printf("%-30s %-19s %-5s %-8s %-34s %13s  %s\n",
                "request",
                "account",
                "VM",
                "model",
                "stages",
                "cost (micros)",
                "outcome");
    bool passed = true;
    for (const TableRow& row : mRows) {
      passed = passed && row.mPassed;
      std::printf("%-30s %-19s %-5s %-8s %-34s %13ld  %s %s\n",
                  row.mLabel.c_str(),
                  row.mAccount.c_str(),
                  row.mVm.c_str(),
                  row.mModel.c_str(),
                  row.mStages.c_str(),
                  row.mCostMicros,
                  row.mPassed ? "✓" : "✗ WRONG:",
                  row.mOutcome.c_str());
    }
    return passed;
  }

private:
  std::string ApiKey() const { return "key-" + mScenario.mAccount; }

  static std::string VmNameOf(std::size_t aVm)
  {
    return "vm-" + std::to_string(aVm + 1);
  }

  ClientRequest MakeChatRequest(std::size_t aVm,
                                const std::string& aModel,
                                bool aStream,
                                int aMaxTokens = 60) const
  {
    ClientRequest request;
    request.mAddress = mVms[aVm];
    request.mMethod = "POST";
    request.mPath = "/v1/chat/completions";
    request.mApiKey = ApiKey();
    request.mHeaders = { { "Content-Type", "application/json" },
                         { "X-Request-Kind", "summary" } };
    request.mBody =
      MakeChatBody(aModel, mScenario.mDraftLabel, aStream, aMaxTokens);
    return request;
  }

  ClientResponse SendNonRepeatable(std::size_t aVm,
                                   const std::string& aPath,
                                   const std::string& aIdempotencyKey) const
  {
    ClientRequest request;
    request.mAddress = mVms[aVm];
    request.mMethod = "POST";
    request.mPath = aPath;
    request.mApiKey = ApiKey();
    request.mBody = "{\"note\":\"demonstration\"}";
    request.mHeaders = { { "Content-Type", "application/json" } };
    if (!aIdempotencyKey.empty()) {
      request.mHeaders.emplace_back("Idempotency-Key", aIdempotencyKey);
    }
    return SendRequest(request);
  }

  void AddChatRow(const std::string& aLabel,
                  std::size_t aVm,
                  const ClientResponse& aResponse)
  {
    const ChatResponse chat = ParseChatResponse(aResponse);
    TableRow row{ aLabel,
                  mScenario.mAccount,
                  VmNameOf(aVm),
                  chat.mModel,
                  chat.mStages,
                  chat.mCostMicros,
                  "",
                  false };
    const bool matchesRequest =
      !chat.mRequestId.empty() &&
      chat.mContent.find(chat.mRequestId) != std::string::npos;
    row.mPassed = chat.mComplete && matchesRequest && chat.mCostMicros > 0;
    row.mOutcome = chat.mComplete ? "complete answer to this request"
                                  : "incomplete answer: " + chat.mError;
    mRows.push_back(row);
  }

  void AddRefusalRow(const std::string& aLabel,
                     std::size_t aVm,
                     const ClientResponse& aResponse,
                     int aStatus)
  {
    TableRow row{ aLabel, mScenario.mAccount, VmNameOf(aVm), "", "", 0, "",
                  false };
    const ChatResponse problem = ParseChatResponse(aResponse);
    row.mPassed = aResponse.mStatus == aStatus && problem.mExecuted == "no";
    row.mOutcome = "refused: " + problem.mError + ", ran: " + problem.mExecuted;
    mRows.push_back(row);
  }

  void AddServiceRow(const std::string& aLabel,
                     std::size_t aVm,
                     const ClientResponse& aResponse,
                     bool aExpectStored)
  {
    const auto stored = aResponse.mHeaders.find("x-acaciavale-stored");
    const auto cost = aResponse.mHeaders.find("x-acaciavale-cost-micros");
    const bool wasStored = stored != aResponse.mHeaders.end();
    TableRow row{ aLabel, mScenario.mAccount, VmNameOf(aVm), "", "", 0, "",
                  false };
    row.mCostMicros = cost == aResponse.mHeaders.end()
                        ? 0
                        : std::strtol(cost->second.c_str(), nullptr, 10);
    row.mPassed = aResponse.mTransferred && aResponse.mStatus / 100 == 2 &&
                  wasStored == aExpectStored;
    row.mOutcome = "status " + std::to_string(aResponse.mStatus) +
                   (wasStored ? ", stored answer, not run again" : "");
    mRows.push_back(row);
  }

  const Scenario mScenario;
  const std::vector<std::string> mVms;
  std::string mSessionToken;
  std::string mSessionStages;
  std::vector<TableRow> mRows;
};

} // namespace

int main(int aArgumentCount, char** aArguments)
{
  if (aArgumentCount != 6) {
    std::fprintf(stderr,
                 "usage: acaciavale-demonstration jadran|gebeta "
                 "VM1 VM2 VM3 PID-OF-VM3\n");
    return 2;
  }
  const std::string deployment = aArguments[1];
  Demonstration demonstration(deployment,
                              { aArguments[2], aArguments[3], aArguments[4] });
  demonstration.RunStreamedDraft(0);
  demonstration.RunSessionOnOtherVm(1);
  demonstration.RunShortChat(1);
  demonstration.RunLookup(2);
  if (deployment == "gebeta") {
    demonstration.RunCatalogueLookup(1);
  }
  demonstration.RunDuplicateOnTwoVms(0, 1);
  demonstration.RunWithoutIdempotencyKey(0);
  demonstration.RunUnpermittedModel(1);
  demonstration.RunStreamDuringVmStop(
    2, static_cast<pid_t>(std::strtol(aArguments[5], nullptr, 10)));
  demonstration.CheckStoppedVmIsUnlisted(0, 2);
  return demonstration.PrintTable(deployment) ? 0 : 1;
}
