#include "Recording.h"

#include <nlohmann/json.hpp>

#include <fstream>

namespace Acaciavale::History {

using nlohmann::json;

namespace {

json JsonOf(const Call& aCall)
{
  return { { "number", aCall.mNumber },
           { "reference", aCall.mReference },
           { "kind", static_cast<int>(aCall.mKind) },
           { "account", aCall.mAccount },
           { "vm", aCall.mVm },
           { "target", aCall.mTarget },
           { "idempotency_key", aCall.mIdempotencyKey },
           { "session", aCall.mSession },
           { "max_tokens", aCall.mMaxTokens },
           { "start", aCall.mStartMicroseconds },
           { "end", aCall.mEndMicroseconds },
           { "outcome", static_cast<int>(aCall.mOutcome) },
           { "status", aCall.mStatus },
           { "ran", aCall.mExecuted },
           { "reason", aCall.mReason },
           { "request", aCall.mRequestId },
           { "stages", aCall.mStages },
           { "cost_micros", aCall.mCostMicros },
           { "content", aCall.mContent } };
}

Call CallOf(const json& aJson)
{
  Call call;
  call.mNumber = aJson.at("number").get<std::uint64_t>();
  call.mReference = aJson.at("reference").get<std::string>();
  call.mKind = static_cast<CallKind>(aJson.at("kind").get<int>());
  call.mAccount = aJson.at("account").get<std::string>();
  call.mVm = aJson.at("vm").get<std::string>();
  call.mTarget = aJson.at("target").get<std::string>();
  call.mIdempotencyKey = aJson.at("idempotency_key").get<std::string>();
  call.mSession = aJson.at("session").get<std::string>();
  call.mMaxTokens = aJson.at("max_tokens").get<int>();
  call.mStartMicroseconds = aJson.at("start").get<std::int64_t>();
  call.mEndMicroseconds = aJson.at("end").get<std::int64_t>();
  call.mOutcome = static_cast<CallOutcome>(aJson.at("outcome").get<int>());
  call.mStatus = aJson.at("status").get<int>();
  call.mExecuted = aJson.at("ran").get<std::string>();
  call.mReason = aJson.at("reason").get<std::string>();
  call.mRequestId = aJson.at("request").get<std::string>();
  call.mStages = aJson.at("stages").get<std::vector<Stage>>();
  call.mCostMicros = aJson.at("cost_micros").get<std::int64_t>();
  call.mContent = aJson.at("content").get<std::string>();
  return call;
}

json JsonOf(const GenerationObservation& aObservation)
{
  return { { "vm", aObservation.mVm },
           { "start", aObservation.mStartMicroseconds },
           { "end", aObservation.mEndMicroseconds },
           { "generation", aObservation.mGeneration } };
}

GenerationObservation GenerationObservationOf(const json& aJson)
{
  return { aJson.at("vm").get<std::string>(),
           aJson.at("start").get<std::int64_t>(),
           aJson.at("end").get<std::int64_t>(),
           aJson.at("generation").get<std::int64_t>() };
}

} // namespace

bool WriteRecording(const Recording& aRecording, const std::string& aFile)
{
  json calls = json::array();
  for (const Call& call : aRecording.mCalls) {
    calls.push_back(JsonOf(call));
  }
  json generations = json::array();
  for (const GenerationObservation& observation :
       aRecording.mGenerationObservations) {
    generations.push_back(JsonOf(observation));
  }
  const json document{ { "calls", calls }, { "generations", generations } };
  std::ofstream out(aFile);
  out << document.dump(-1, ' ', false, json::error_handler_t::replace);
  return static_cast<bool>(out.flush());
}

Recording ReadRecording(const std::string& aFile)
{
  std::ifstream in(aFile);
  const json document = json::parse(in);
  Recording recording;
  for (const json& call : document.at("calls")) {
    recording.mCalls.push_back(CallOf(call));
  }
  for (const json& observation : document.at("generations")) {
    recording.mGenerationObservations.push_back(
      GenerationObservationOf(observation));
  }
  return recording;
}

} // namespace Acaciavale::History
