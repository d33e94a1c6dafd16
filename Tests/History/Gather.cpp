#include "Gather.h"

#include "VmFiles.h"

#include "Callers/CallerClient.h"

#include <Acaciavale/LibBilling/Ledger.h>
#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>
#include <Acaciavale/LibSettings/SettingsRecord.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace Acaciavale::History {

namespace {

using nlohmann::json;

constexpr std::int64_t kNoEndYet = std::numeric_limits<std::int64_t>::max();

json FetchJson(const std::string& aStandInsFile, const std::string& aPath)
{
  ClientRequest request;
  request.mAddress = ReadAnnouncement(aStandInsFile)["control"];
  request.mPath = aPath;
  const ClientResponse response = Acaciavale::SendRequest(request);
  if (!response.mTransferred) {
    throw std::runtime_error(
      "no complete response from the control port of the stand-ins for " +
      aPath);
  }
  return json::parse(response.mBody);
}

EndpointRun MakeRun(const json& aJson)
{
  const std::string model = aJson.at("model").get<std::string>();
  EndpointRun run;
  run.mEndpoint = aJson.at("part").get<std::string>();
  run.mReference = aJson.at("reference").get<std::string>();
  run.mRequestId = aJson.at("request").get<std::string>();
  run.mIdempotencyKey = aJson.at("idempotency_key").get<std::string>();
  run.mPath = aJson.at("path").get<std::string>();
  run.mOutcome = aJson.at("outcome").get<std::string>();
  run.mStartMicroseconds = aJson.at("start_us").get<std::int64_t>();
  if (!model.empty()) {
    run.mStage = model + "/" + aJson.at("version").get<std::string>();
  }
  return run;
}

/// Adds the withdrawals, planned stops and draining endpoints to the history.
/// Test scripts record them in the fault log of the stand-in servers.
void ApplyFaultLog(const json& aFaults,
                   std::int64_t aDrainingGraceMicroseconds,
                   History& aHistory)
{
  for (const json& entry : aFaults) {
    const json& fault = entry.at("fault");
    const auto time = entry.at("time_us").get<std::int64_t>();
    if (fault.contains("withdrawn")) {
      aHistory.mWithdrawals.push_back(
        { fault["withdrawn"].get<std::string>(), time });
    }
    if (fault.contains("stop_begins")) {
      aHistory.mPlannedStops.push_back(
        { fault["stop_begins"].get<std::string>(), time, kNoEndYet });
    }
    if (fault.contains("stop_ends")) {
      aHistory.mPlannedStops.back().mEndMicroseconds = time;
    }
    if (fault.value("leaving", false)) {
      aHistory.mDrainingEndpoints.push_back(
        { fault.at("part").get<std::string>(),
          time + aDrainingGraceMicroseconds });
    }
  }
}

void ApplySettingsWrites(const json& aWrites, History& aHistory)
{
  for (const json& write : aWrites) {
    if (write.at("key") != kSettingsRootKey) {
      continue;
    }
    const auto root = ParseRoot(write.at("value").get<std::string>());
    aHistory.mWrittenGenerations.push_back(root ? root->mGeneration : 0);
  }
}

Permission PermissionOf(const ClientAccountSettings& aAccount)
{
  return { { aAccount.mModels.begin(), aAccount.mModels.end() },
           { aAccount.mVersions.begin(), aAccount.mVersions.end() } };
}

} // namespace

History GatherHistory(const GatherOptions& aOptions,
                      const Settings& aSettings,
                      Recording aRecording)
{
  const auto grace = std::chrono::duration_cast<std::chrono::microseconds>(
    aOptions.mDrainingGrace);
  History history;
  history.mSeed = FetchJson(aOptions.mStandInsFile, "/seed").at("seed");
  history.mCalls = std::move(aRecording.mCalls);
  history.mGenerationObservations =
    std::move(aRecording.mGenerationObservations);
  const json runs = FetchJson(aOptions.mStandInsFile, "/runs");
  for (const json& run : runs.at("runs")) {
    history.mRuns.push_back(MakeRun(run));
  }
  const json log = FetchJson(aOptions.mStandInsFile, "/history");
  ApplyFaultLog(log.at("faults"), grace.count(), history);
  ApplySettingsWrites(log.at("writes"), history);
  for (const auto& [name, account] : aSettings.mAccounts) {
    history.mPermissions[name] = PermissionOf(account);
  }
  for (const auto& [name, cascade] : aSettings.mCascades) {
    for (const CascadeStage& stage : cascade.mStages) {
      history.mCascadeStages[name].insert(stage.mModel + "/" + stage.mVersion);
    }
  }
  history.mBills = FetchBills(aOptions.mStandInsFile);
  return history;
}

FaultCounts CountFaults(const std::string& aStandInsFile)
{
  FaultCounts counts;
  const json log = FetchJson(aStandInsFile, "/history");
  for (const json& entry : log.at("faults")) {
    for (const auto& [name, value] : entry.at("fault").items()) {
      if (name != "part" && name != "clear") {
        ++counts[name];
      }
    }
  }
  int lost = 0;
  for (const json& write : log.at("writes")) {
    lost += write.at("answer_lost").get<bool>() ? 1 : 0;
  }
  counts["answers of the key-value service lost"] = lost;
  return counts;
}

std::map<std::string, Bill> FetchBills(const std::string& aStandInsFile)
{
  KeyValueClientOptions options;
  options.mAddress = ReadAnnouncement(aStandInsFile)["key-value"];
  options.mTimeout = std::chrono::seconds(10);
  HttpKeyValueClient client(options);
  const auto totals = ReadTotals(client.Store());
  if (!totals) {
    throw std::runtime_error("the bills could not be read: " +
                             totals.error().mMessage);
  }
  std::map<std::string, Bill> bills;
  for (const auto& [account, total] : *totals) {
    bills[account] = { static_cast<std::int64_t>(total.mRequests),
                       total.mCharge.mMicros };
  }
  return bills;
}

} // namespace Acaciavale::History
