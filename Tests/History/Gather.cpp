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

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

json Ask(const std::string& aStandInsFile, const std::string& aPath)
{
  CallerCall call;
  call.mAddress = ReadAnnouncement(aStandInsFile)["control"];
  call.mPath = aPath;
  const CallerAnswer answer = Acaciavale::Call(call);
  if (!answer.mTransferred) {
    throw std::runtime_error("the stand-ins do not answer " + aPath);
  }
  return json::parse(answer.mBody);
}

EndpointRun RunOf(const json& aJson)
{
  const std::string model = aJson.at("model").get<std::string>();
  EndpointRun run;
  run.mPart = aJson.at("part").get<std::string>();
  run.mReference = aJson.at("reference").get<std::string>();
  run.mRequest = aJson.at("request").get<std::string>();
  run.mIdempotencyKey = aJson.at("idempotency_key").get<std::string>();
  run.mPath = aJson.at("path").get<std::string>();
  run.mOutcome = aJson.at("outcome").get<std::string>();
  run.mStart = aJson.at("start_us").get<std::int64_t>();
  if (!model.empty()) {
    run.mStage = model + "/" + aJson.at("version").get<std::string>();
  }
  return run;
}

/// Notes and leavings, which tests set as faults.
void TakeMoments(const json& aFaults,
                 std::int64_t aLeavingGrace,
                 History& aHistory)
{
  for (const json& entry : aFaults) {
    const json& fault = entry.at("fault");
    const auto time = entry.at("time_us").get<std::int64_t>();
    if (fault.contains("withdrawn")) {
      aHistory.mWithdrawn.push_back(
        { fault["withdrawn"].get<std::string>(), time });
    }
    if (fault.contains("stop_begins")) {
      aHistory.mStops.push_back(
        { fault["stop_begins"].get<std::string>(), time, kNever });
    }
    if (fault.contains("stop_ends")) {
      aHistory.mStops.back().mEnd = time;
    }
    if (fault.value("leaving", false)) {
      aHistory.mLeaving.push_back(
        { fault.at("part").get<std::string>(), time + aLeavingGrace });
    }
  }
}

void TakeGenerations(const json& aWrites, History& aHistory)
{
  for (const json& write : aWrites) {
    if (write.at("key") != kSettingsRootKey) {
      continue;
    }
    const auto root = ParseRoot(write.at("value").get<std::string>());
    aHistory.mGenerationsWritten.push_back(root ? root->mGeneration : 0);
  }
}

Permission PermissionOf(const ClientAccountSettings& aAccount)
{
  return { { aAccount.mModels.begin(), aAccount.mModels.end() },
           { aAccount.mVersions.begin(), aAccount.mVersions.end() } };
}

} // namespace

History Gather(const GatherOptions& aOptions,
               const Settings& aSettings,
               Recording aRecording)
{
  const auto grace = std::chrono::duration_cast<std::chrono::microseconds>(
    aOptions.mLeavingGrace);
  History history;
  history.mSeed = Ask(aOptions.mStandInsFile, "/seed").at("seed");
  history.mCalls = std::move(aRecording.mCalls);
  history.mGenerations = std::move(aRecording.mGenerations);
  const json runs = Ask(aOptions.mStandInsFile, "/runs");
  for (const json& run : runs.at("runs")) {
    history.mRuns.push_back(RunOf(run));
  }
  const json told = Ask(aOptions.mStandInsFile, "/history");
  TakeMoments(told.at("faults"), grace.count(), history);
  TakeGenerations(told.at("writes"), history);
  for (const auto& [name, account] : aSettings.mAccounts) {
    history.mPermissions[name] = PermissionOf(account);
  }
  for (const auto& [name, cascade] : aSettings.mCascades) {
    for (const CascadeStage& stage : cascade.mStages) {
      history.mCascades[name].insert(stage.mModel + "/" + stage.mVersion);
    }
  }
  history.mBills = FetchBills(aOptions.mStandInsFile);
  return history;
}

FaultCounts CountFaults(const std::string& aStandInsFile)
{
  FaultCounts counts;
  const json told = Ask(aStandInsFile, "/history");
  for (const json& entry : told.at("faults")) {
    for (const auto& [name, value] : entry.at("fault").items()) {
      if (name != "part" && name != "clear") {
        ++counts[name];
      }
    }
  }
  int lost = 0;
  for (const json& write : told.at("writes")) {
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
    throw std::runtime_error("no bills: " + totals.error().mMessage);
  }
  std::map<std::string, Bill> bills;
  for (const auto& [account, total] : *totals) {
    bills[account] = { static_cast<std::int64_t>(total.mRequests),
                       total.mCharge.mMicros };
  }
  return bills;
}

} // namespace Acaciavale::History
