#include "Control.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

using nlohmann::json;

namespace {

std::int64_t Microseconds(TimePoint aTime)
{
  return std::chrono::duration_cast<std::chrono::microseconds>(
           aTime.time_since_epoch())
    .count();
}

json JsonOf(const Run& aRun)
{
  return { { "number", aRun.mNumber },
           { "part", aRun.mPart },
           { "request", aRun.mRequest },
           { "reference", aRun.mReference },
           { "idempotency_key", aRun.mIdempotencyKey },
           { "model", aRun.mModel },
           { "version", aRun.mVersion },
           { "method", aRun.mMethod },
           { "path", aRun.mPath },
           { "resume_from", aRun.mResumeFrom },
           { "outcome", Describe(aRun.mOutcome) },
           { "start_us", Microseconds(aRun.mStart) } };
}

json JsonOf(const KeyValueChange& aChange)
{
  return { { "time_us", Microseconds(aChange.mTime) },
           { "kind", aChange.mKind },
           { "key", aChange.mEntry.mKey },
           { "value", aChange.mEntry.mValue },
           { "revision", aChange.mEntry.mRevision },
           { "answer_lost", aChange.mAnswerLost } };
}

std::string RunsBody(const RunLog& aRuns, std::uint64_t aAfter)
{
  json runs = json::array();
  for (const Run& run : aRuns.After(aAfter)) {
    runs.push_back(JsonOf(run));
  }
  return json{ { "runs", runs } }.dump();
}

std::string HistoryBody(const KeyValueService& aKeyValue,
                        const FaultBoard& aFaults)
{
  json writes = json::array();
  for (const KeyValueChange& change : aKeyValue.History()) {
    writes.push_back(JsonOf(change));
  }
  json faults = json::array();
  for (const FaultSet& fault : aFaults.History()) {
    faults.push_back({ { "time_us", Microseconds(fault.mTime) },
                       { "fault", json::parse(fault.mBody) } });
  }
  return json{ { "writes", writes }, { "faults", faults } }.dump();
}

std::string SeedBody(std::uint64_t aSeed)
{
  return json{ { "seed", aSeed } }.dump();
}

std::string CountsBody(const KeyValueCalls& aCalls)
{
  return json{
    { "reads", aCalls.mReads },
    { "writes", aCalls.mWrites },
    { "watches", aCalls.mWatches },
    { "lease_calls", aCalls.mLeaseCalls }
  }.dump();
}

} // namespace

Control::Control(std::uint64_t aSeed,
                 FaultBoard& aFaults,
                 RunLog& aRuns,
                 KeyValueService& aKeyValue)
  : mSeed(aSeed)
  , mFaults(aFaults)
  , mRuns(aRuns)
  , mKeyValue(aKeyValue)
{
}

Task Control::Serve(Exchange& aExchange)
{
  const Request& asked = aExchange.Asked();
  if (asked.mPath == "/faults" && asked.mMethod == "POST") {
    mFaults.Set(asked.mBody);
    co_await aExchange.Reply(200, "{}");
  } else if (asked.mPath == "/runs") {
    const auto after = std::stoull(ValueOr(asked.mQuery, "after", "0"));
    co_await aExchange.Reply(200, RunsBody(mRuns, after));
  } else if (asked.mPath == "/history") {
    co_await aExchange.Reply(200, HistoryBody(mKeyValue, mFaults));
  } else if (asked.mPath == "/seed") {
    co_await aExchange.Reply(200, SeedBody(mSeed));
  } else if (asked.mPath == "/counts") {
    co_await aExchange.Reply(200, CountsBody(mKeyValue.Calls()));
  } else {
    co_await aExchange.Reply(404, "{}");
  }
}

} // namespace Acaciavale::StandIns
