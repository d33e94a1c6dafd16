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

bool IsAuthorized(const NodeSettings& aNode, const CallerRequest& aRequest)
{
  if (aNode.mOperatorCredentialHash.empty()) {
    return true;
  }
  if (aRequest.mAuthorization.rfind(kBearer, 0) != 0) {
    return false;
  }
  const std::string hash =
    HashKey(aNode.mOperatorCredentialSalt,
            aRequest.mAuthorization.substr(kBearer.size()));
  return hash.size() == aNode.mOperatorCredentialHash.size() &&
         CRYPTO_memcmp(
           hash.data(), aNode.mOperatorCredentialHash.data(), hash.size()) == 0;
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

Json StatusJson(const ServerState& aServer)
{
  const auto settings = aServer.CurrentSettings();
  Json members = Json::array();
  for (const Member& member : aServer.mMembership->Members()) {
    members.push_back(
      { { "vm", member.mState.mName },
        { "health", NameOf(member.mHealth) },
        { "failure_domain", member.mState.mFailureDomain },
        { "caller_address", member.mState.mCallerAddress },
        { "weight", member.mState.mWeight },
        { "draining", member.mState.mDraining },
        { "settings_generation", member.mState.mSettingsGeneration } });
  }
  return { { "vm", aServer.mNodeSettings.mVmName },
           { "failure_domain", aServer.mNodeSettings.mFailureDomain },
           { "settings_generation", settings ? settings->mGeneration : 0 },
           { "settings_digest", settings ? settings->mDigest : "" },
           { "in_flight", aServer.mInFlight.load() },
           { "draining", aServer.mDraining.load() },
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

Json DecisionJson(const DecisionRecord& aRecord)
{
  Json candidates = Json::array();
  for (const VersionCandidate& candidate : aRecord.mDecision.mCandidates) {
    candidates.push_back(
      { { "stages", StagesJson(candidate.mStages) },
        { "expected_cost_micros", candidate.mExpectedCost.mMicros },
        { "quality_lower_bound", candidate.mQualityLowerBound },
        { "expected_latency_seconds",
          std::chrono::duration<double>(candidate.mExpectedLatency).count() },
        { "excluded_by", Describe(candidate.mExclusion) } });
  }
  Json attempts = Json::array();
  for (const AttemptRecord& attempt : aRecord.mAttempts) {
    attempts.push_back({ { "endpoint", attempt.mEndpointName },
                         { "stage", StagesJson({ attempt.mStage })[0] },
                         { "reason", attempt.mReason },
                         { "outcome", attempt.mOutcome } });
  }
  return { { "request", aRecord.mRequestId },
           { "time_ms", aRecord.mTime.count() },
           { "account", aRecord.mProfile.mAccount },
           { "target", aRecord.mProfile.mTarget },
           { "kind", aRecord.mProfile.mKind },
           { "settings_generation", aRecord.mSettingsGeneration },
           { "stages", StagesJson(aRecord.mDecision.mStages) },
           { "reason", aRecord.mDecision.mReason },
           { "candidates", candidates },
           { "dispatches", attempts },
           { "claim", aRecord.mClaimVerdict },
           { "cost_micros", aRecord.mCharge.mMicros },
           { "outcome", aRecord.mOutcome } };
}

void SendDecision(const ServerState& aServer,
                  const std::string& aRequestId,
                  const CallerResponse& aResponse)
{
  const auto record = aServer.mDecisionLog.Find(aRequestId);
  if (!record) {
    SendProblem(
      aResponse,
      Problem{ 404,
               "unknown-request",
               "This VM has no decision for this request id.",
               "Query the VM that answered; old decisions are dropped.",
               Executed::No });
    return;
  }
  SendJson(aResponse, DecisionJson(*record));
}

void SendSerializedJson(const CallerResponse& aResponse, std::string aJson)
{
  aResponse.mSend(
    200, { { "Content-Type", "application/json" } }, std::move(aJson));
}

/// Sends the settings in force with the origin of each, or the settings files
/// as they were applied.
void SendSettings(const ServerState& aServer,
                  const CallerRequest& aRequest,
                  const CallerResponse& aResponse)
{
  const auto stored = aServer.mSettings.Stored();
  if (!stored) {
    SendProblem(aResponse,
                Problem{ 503,
                         "no-settings",
                         "This VM has no settings from the store.",
                         "Query another VM.",
                         Executed::No,
                         std::chrono::seconds(1) });
    return;
  }
  if (aRequest.mPath == "/settings/files") {
    SendSerializedJson(aResponse, FilesJson(stored->mFiles));
    return;
  }
  const SettingsTreeResult reading = ParseSettingsTree(stored->mFiles);
  ExplainQuery query;
  constexpr std::string_view kAccount = "account=";
  if (aRequest.mQuery.rfind(kAccount, 0) == 0) {
    query.mSection = FindAccountSection(
      reading.mTree, aRequest.mQuery.substr(kAccount.size()));
    if (!query.mSection) {
      SendProblem(aResponse,
                  Problem{ 404,
                           "unknown-account",
                           "The settings contain no such account.",
                           "See /settings for all settings.",
                           Executed::No });
      return;
    }
  }
  SendSerializedJson(aResponse, ExplainJson(Explain(reading.mTree, query)));
}

/// Sends the history of the settings.
///
/// NOTE: Reads from the store and may block the other operator pages until it
///       answers. Callers are served by other threads.
void SendHistory(const ServerState& aServer, const CallerResponse& aResponse)
{
  const auto history = FetchHistory(aServer.mStore);
  if (!history) {
    SendProblem(
      aResponse,
      Problem{ 503,
               "store-down",
               "The store cannot be read: " + history.error().mMessage,
               "Retry after the stated time.",
               Executed::No,
               std::chrono::seconds(2) });
    return;
  }
  SendSerializedJson(aResponse, HistoryJson(*history));
}

void SendPage(ServerState& aServer,
              const CallerRequest& aRequest,
              const CallerResponse& aResponse)
{
  if (aRequest.mPath == "/metrics") {
    aServer.mMetrics.SetGauge("acaciavale_in_flight",
                              {},
                              static_cast<double>(aServer.mInFlight.load()));
    SendText(aResponse, 200, aServer.mMetrics.Text());
  } else if (aRequest.mPath == "/status") {
    SendJson(aResponse, StatusJson(aServer));
  } else if (aRequest.mPath == "/settings" ||
             aRequest.mPath == "/settings/files") {
    SendSettings(aServer, aRequest, aResponse);
  } else if (aRequest.mPath == "/history") {
    SendHistory(aServer, aResponse);
  } else if (aRequest.mPath.rfind(kDecisionsPrefix, 0) == 0) {
    SendDecision(
      aServer, aRequest.mPath.substr(kDecisionsPrefix.size()), aResponse);
  } else {
    SendProblem(aResponse,
                Problem{ 404,
                         "unknown-page",
                         "There is no such page.",
                         "Pages: /healthz /readyz /metrics /status /settings "
                         "/settings/files /history /decisions/REQUEST",
                         Executed::No });
  }
}

} // namespace

void HandleOperatorRequest(ServerState& aServer,
                           const CallerRequest& aRequest,
                           const CallerResponse& aResponse)
{
  if (aRequest.mPath == "/healthz") {
    SendText(aResponse, 200, "ok\n");
    return;
  }
  if (aRequest.mPath == "/readyz") {
    const bool ready = aServer.IsReady() && !aServer.mDraining;
    SendText(aResponse, ready ? 200 : 503, ready ? "ready\n" : "not ready\n");
    return;
  }
  if (!IsAuthorized(aServer.mNodeSettings, aRequest)) {
    SendProblem(aResponse,
                Problem{ 401,
                         "wrong-credential",
                         "The operator credential is wrong.",
                         "Send it as 'Authorization: Bearer CREDENTIAL'.",
                         Executed::No });
    return;
  }
  SendPage(aServer, aRequest, aResponse);
}

} // namespace Acaciavale
