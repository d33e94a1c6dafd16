#include "ControlService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

using nlohmann::json;

namespace {

std::int64_t MonotonicMicroseconds(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

json ToJson(const Run& aRun)
{
  return { { "number", aRun.mNumber },
           { "part", aRun.mEndpointName },
           { "request", aRun.mRequestId },
           { "reference", aRun.mReference },
           { "idempotency_key", aRun.mIdempotencyKey },
           { "model", aRun.mModel },
           { "version", aRun.mVersion },
           { "method", aRun.mMethod },
           { "path", aRun.mPath },
           { "resume_from", aRun.mResumeFrom },
           { "outcome", Describe(aRun.mOutcome) },
           { "start_us", MonotonicMicroseconds(aRun.mStart) } };
}

json ToJson(const KeyValueChange& aChange)
{
  return { { "time_us", MonotonicMicroseconds(aChange.mTime) },
           { "kind", aChange.mKind },
           { "key", aChange.mEntry.mKey },
           { "value", aChange.mEntry.mValue },
           { "revision", aChange.mEntry.mRevision },
           { "answer_lost", aChange.mAnswerLost } };
}

std::string RunsBody(const RunLog& aRuns, std::uint64_t aAfter)
{
  json runs = json::array();
  for (const Run& run : aRuns.RunsAfter(aAfter)) {
    runs.push_back(ToJson(run));
  }
  return json{ { "runs", runs } }.dump();
}

std::string HistoryBody(const KeyValueService& aKeyValue,
                        const FaultInjector& aFaults)
{
  json writes = json::array();
  for (const KeyValueChange& change : aKeyValue.History()) {
    writes.push_back(ToJson(change));
  }
  json faults = json::array();
  for (const FaultRecord& fault : aFaults.History()) {
    faults.push_back({ { "time_us", MonotonicMicroseconds(fault.mTime) },
                       { "fault", json::parse(fault.mBody) } });
  }
  return json{ { "writes", writes }, { "faults", faults } }.dump();
}

std::string SeedBody(std::uint64_t aSeed)
{
  return json{ { "seed", aSeed } }.dump();
}

std::string CountsBody(const KeyValueCallCounts& aCalls)
{
  return json{
    { "reads", aCalls.mReads },
    { "writes", aCalls.mWrites },
    { "watches", aCalls.mWatches },
    { "lease_calls", aCalls.mLeaseCalls }
  }.dump();
}

} // namespace

ControlService::ControlService(std::uint64_t aSeed,
                               FaultInjector& aFaults,
                               RunLog& aRuns,
                               KeyValueService& aKeyValue)
  : mSeed(aSeed)
  , mFaults(aFaults)
  , mRuns(aRuns)
  , mKeyValue(aKeyValue)
{
}

Task ControlService::Serve(Exchange& aExchange)
{
  const Request& request = aExchange.IncomingRequest();
  if (request.mPath == "/faults" && request.mMethod == "POST") {
    mFaults.Set(request.mBody);
    co_await aExchange.Reply(200, "{}");
  } else if (request.mPath == "/runs") {
    const auto after = std::stoull(ValueOr(request.mQuery, "after", "0"));
    co_await aExchange.Reply(200, RunsBody(mRuns, after));
  } else if (request.mPath == "/history") {
    co_await aExchange.Reply(200, HistoryBody(mKeyValue, mFaults));
  } else if (request.mPath == "/seed") {
    co_await aExchange.Reply(200, SeedBody(mSeed));
  } else if (request.mPath == "/counts") {
    co_await aExchange.Reply(200, CountsBody(mKeyValue.CallCounts()));
  } else {
    co_await aExchange.Reply(404, "{}");
  }
}

} // namespace Acaciavale::StandIns
