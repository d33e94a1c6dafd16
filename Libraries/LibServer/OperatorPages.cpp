#include "OperatorPages.h"

#include "Problem.h"

#include <Acaciavale/LibSettings/SettingsReport.h>
#include <Acaciavale/LibSettings/SettingsStore.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

namespace Acaciavale {

namespace {

using Json = nlohmann::ordered_json;

constexpr std::string_view kDecisionsPrefix = "/decisions/";
constexpr std::string_view kBearer = "Bearer ";

void SendJson(const CallerResponse& aResponse, const Json& aJson)
{
  aResponse.mSend(200,
                  { { "Content-Type", "application/json" } },
                  aJson.dump(2, ' ', false, Json::error_handler_t::replace));
}

void SendText(const CallerResponse& aResponse, int aStatus, std::string aText)
{
  aResponse.mSend(
    aStatus, { { "Content-Type", "text/plain" } }, std::move(aText));
}

bool MayRead(const NodeSettings& aNode, const CallerRequest& aRequest)
{
  if (aNode.mOperatorHash.empty()) {
    return true;
  }
  if (aRequest.mAuthorization.rfind(kBearer, 0) != 0) {
    return false;
  }
  const std::string hash = HashKey(
    aNode.mOperatorSalt, aRequest.mAuthorization.substr(kBearer.size()));
  return hash.size() == aNode.mOperatorHash.size() &&
         CRYPTO_memcmp(hash.data(), aNode.mOperatorHash.data(), hash.size()) ==
           0;
}

std::string NameOf(VmHealth aHealth)
{
  switch (aHealth) {
    case VmHealth::Alive:
      return "alive";
    case VmHealth::Suspect:
      return "suspect";
    case VmHealth::Dead:
      return "dead";
  }
  return {};
}

Json StatusJson(const ServerParts& aParts)
{
  const auto settings = aParts.CurrentSettings();
  Json members = Json::array();
  for (const Member& member : aParts.mMembership->Members()) {
    members.push_back(
      { { "vm", member.mState.mName },
        { "health", NameOf(member.mHealth) },
        { "failure_domain", member.mState.mFailureDomain },
        { "caller_address", member.mState.mCallerAddress },
        { "weight", member.mState.mWeight },
        { "draining", member.mState.mDraining },
        { "settings_generation", member.mState.mSettingsGeneration } });
  }
  return { { "vm", aParts.mNode.mVm },
           { "failure_domain", aParts.mNode.mFailureDomain },
           { "settings_generation", settings ? settings->mGeneration : 0 },
           { "settings_digest", settings ? settings->mDigest : "" },
           { "in_flight", aParts.mInFlight.load() },
           { "draining", aParts.mDraining.load() },
           { "members", members } };
}

Json StagesJson(const std::vector<CascadeStage>& aStages)
{
  Json stages = Json::array();
  for (const CascadeStage& stage : aStages) {
    stages.push_back(stage.mModel + "/" + stage.mVersion);
  }
  return stages;
}

Json DecisionJson(const DecisionNote& aNote)
{
  Json candidates = Json::array();
  for (const VersionCandidate& candidate : aNote.mDecision.mCandidates) {
    candidates.push_back(
      { { "stages", StagesJson(candidate.mStages) },
        { "expected_cost_micros", candidate.mExpectedCost.mMicros },
        { "quality_lower_bound", candidate.mQualityLowerBound },
        { "expected_latency_seconds",
          std::chrono::duration<double>(candidate.mExpectedLatency).count() },
        { "excluded_by", Describe(candidate.mExclusion) } });
  }
  Json dispatches = Json::array();
  for (const DispatchNote& dispatch : aNote.mDispatches) {
    dispatches.push_back({ { "endpoint", dispatch.mEndpoint },
                           { "stage", StagesJson({ dispatch.mStage })[0] },
                           { "reason", dispatch.mReason },
                           { "outcome", dispatch.mOutcome } });
  }
  return { { "request", aNote.mRequest },
           { "time_ms", aNote.mTime.count() },
           { "account", aNote.mProfile.mAccount },
           { "target", aNote.mProfile.mTarget },
           { "kind", aNote.mProfile.mKind },
           { "settings_generation", aNote.mSettingsGeneration },
           { "stages", StagesJson(aNote.mDecision.mStages) },
           { "reason", aNote.mDecision.mReason },
           { "candidates", candidates },
           { "dispatches", dispatches },
           { "claim", aNote.mClaim },
           { "cost_micros", aNote.mCharge.mMicros },
           { "outcome", aNote.mOutcome } };
}

void AnswerDecision(const ServerParts& aParts,
                    const std::string& aRequest,
                    const CallerResponse& aResponse)
{
  const auto note = aParts.mDecisions.Find(aRequest);
  if (!note) {
    SendProblem(aResponse,
                Problem{ 404,
                         "unknown-request",
                         "This VM has no decision of this request id.",
                         "Ask the VM that answered; old decisions go.",
                         Ran::No });
    return;
  }
  SendJson(aResponse, DecisionJson(*note));
}

void SendReady(const CallerResponse& aResponse, std::string aJson)
{
  aResponse.mSend(
    200, { { "Content-Type", "application/json" } }, std::move(aJson));
}

/// The settings in force with the origin of each, or the files as applied.
void AnswerSettings(const ServerParts& aParts,
                    const CallerRequest& aRequest,
                    const CallerResponse& aResponse)
{
  const auto stored = aParts.mSettings.Stored();
  if (!stored) {
    SendProblem(aResponse,
                Problem{ 503,
                         "no-settings",
                         "This VM has no settings of the store.",
                         "Ask another VM.",
                         Ran::No,
                         std::chrono::seconds(1) });
    return;
  }
  if (aRequest.mPath == "/settings/files") {
    SendReady(aResponse, FilesJson(stored->mFiles));
    return;
  }
  const TreeReading reading = ReadSettingsTree(stored->mFiles);
  ExplainQuery query;
  constexpr std::string_view kAccount = "account=";
  if (aRequest.mQuery.rfind(kAccount, 0) == 0) {
    query.mSection = FindAccountSection(
      reading.mTree, aRequest.mQuery.substr(kAccount.size()));
    if (!query.mSection) {
      SendProblem(aResponse,
                  Problem{ 404,
                           "unknown-account",
                           "The settings have no such account.",
                           "See /settings for all.",
                           Ran::No });
      return;
    }
  }
  SendReady(aResponse, ExplainJson(Explain(reading.mTree, query)));
}

/// NOTE: Reads the store, and so may hold up the operators' other pages for as
///       long as the store takes; callers have threads of their own.
void AnswerHistory(const ServerParts& aParts, const CallerResponse& aResponse)
{
  const auto history = FetchHistory(aParts.mStore);
  if (!history) {
    SendProblem(
      aResponse,
      Problem{ 503,
               "store-down",
               "The store cannot be read: " + history.error().mMessage,
               "Ask again after the stated time.",
               Ran::No,
               std::chrono::seconds(2) });
    return;
  }
  SendReady(aResponse, HistoryJson(*history));
}

void AnswerPage(ServerParts& aParts,
                const CallerRequest& aRequest,
                const CallerResponse& aResponse)
{
  if (aRequest.mPath == "/metrics") {
    aParts.mMetrics.Level(
      "acaciavale_in_flight", {}, static_cast<double>(aParts.mInFlight.load()));
    SendText(aResponse, 200, aParts.mMetrics.Text());
  } else if (aRequest.mPath == "/status") {
    SendJson(aResponse, StatusJson(aParts));
  } else if (aRequest.mPath == "/settings" ||
             aRequest.mPath == "/settings/files") {
    AnswerSettings(aParts, aRequest, aResponse);
  } else if (aRequest.mPath == "/history") {
    AnswerHistory(aParts, aResponse);
  } else if (aRequest.mPath.rfind(kDecisionsPrefix, 0) == 0) {
    AnswerDecision(
      aParts, aRequest.mPath.substr(kDecisionsPrefix.size()), aResponse);
  } else {
    SendProblem(aResponse,
                Problem{ 404,
                         "unknown-page",
                         "There is no such page.",
                         "Pages: /healthz /readyz /metrics /status /settings "
                         "/settings/files /history /decisions/REQUEST",
                         Ran::No });
  }
}

} // namespace

void AnswerOperator(ServerParts& aParts,
                    const CallerRequest& aRequest,
                    const CallerResponse& aResponse)
{
  if (aRequest.mPath == "/healthz") {
    SendText(aResponse, 200, "ok\n");
    return;
  }
  if (aRequest.mPath == "/readyz") {
    const bool ready = aParts.IsReady() && !aParts.mDraining;
    SendText(aResponse, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    return;
  }
  if (!MayRead(aParts.mNode, aRequest)) {
    SendProblem(aResponse,
                Problem{ 401,
                         "wrong-credential",
                         "The operators' credential is wrong.",
                         "Send it as 'Authorization: Bearer CREDENTIAL'.",
                         Ran::No });
    return;
  }
  AnswerPage(aParts, aRequest, aResponse);
}

} // namespace Acaciavale
