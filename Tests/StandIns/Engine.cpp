#include "Engine.h"

#include "Answer.h"
#include "Truth.h"

#include <Acaciavale/LibPlatform/LoadReport.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Acaciavale::StandIns {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kReportLag{ 200 };
constexpr std::chrono::milliseconds kLoadTime{ 300 };
constexpr std::chrono::microseconds kPrefillPerToken{ 20 };
constexpr std::size_t kCachedPrefixes = 64;
constexpr std::size_t kKeptPrefixEvents = 128;
constexpr double kLostPrefixEvents = 0.05;
constexpr int kDefaultTokens = 32;
constexpr int kDefaultPriority = 1;

json ErrorBody(const std::string& aMessage, const char* aRan)
{
  return { { "error", { { "message", aMessage } } }, { "ran", aRan } };
}

std::string PromptOf(const json& aBody)
{
  std::string prompt;
  for (const json& message : aBody.value("messages", json::array())) {
    prompt += message.value("content", "") + "\n";
  }
  return prompt;
}

int WordsIn(const std::string& aText)
{
  return 1 + static_cast<int>(std::count(aText.begin(), aText.end(), ' '));
}

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

double ConfidenceOf(bool aGood, std::uint64_t aSeed)
{
  Random random(aSeed);
  const double draw = random.Unit();
  return aGood ? 0.75 + 0.24 * draw : 0.25 + 0.5 * draw;
}

} // namespace

/// One request as it runs here.
struct Engine::Job
{
  std::string mRequest;
  std::string mKind;
  LoadedVersion mVersion;
  bool mStream = false;
  int mPriority = kDefaultPriority;
  std::size_t mResumeFrom = 0;
  int mPromptTokens = 0;
  std::uint64_t mPrefix = 0;
  std::vector<std::string> mTokens;
  double mConfidence = 0;
  std::uint64_t mRun = 0;
};

Engine::Engine(EngineWorld aWorld, EngineSetup aSetup)
  : mWorld(aWorld)
  , mSetup(std::move(aSetup))
  , mSlots(mSetup.mSlots)
  , mLoaded(mSetup.mListing.mLoaded.begin(), mSetup.mListing.mLoaded.end())
{
}

Task Engine::Serve(Exchange& aExchange)
{
  const PartFaults faults = mWorld.mFaults.Of(mSetup.mListing.mName);
  if (mWorld.mFaults.IsDown(mSetup.mListing.mName)) {
    aExchange.Drop();
    co_return;
  }
  if (faults.mDelay > Duration::zero()) {
    co_await aExchange.Sleep(faults.mDelay);
  }
  const std::string& path = aExchange.Asked().mPath;
  if (path == "/v1/chat/completions") {
    co_await Complete(aExchange);
  } else if (path == "/v1/load") {
    co_await aExchange.Reply(200, LoadReport());
  } else if (path == "/v1/orders") {
    co_await Order(aExchange);
  } else {
    co_await aExchange.Reply(404, ErrorBody("no such path", "no").dump());
  }
}

Task Engine::Complete(Exchange& aExchange)
{
  Job job = JobOf(aExchange.Asked());
  if (!HasLoaded(job.mVersion)) {
    co_await aExchange.Reply(503, ErrorBody("version not loaded", "no").dump());
    co_return;
  }
  struct Run run;
  run.mPart = mSetup.mListing.mName;
  run.mRequest = job.mRequest;
  run.mReference = ReferenceIn(aExchange.Asked().mBody);
  run.mIdempotencyKey =
    ValueOr(aExchange.Asked().mHeader, "idempotency-key", "");
  run.mModel = job.mVersion.mModel;
  run.mVersion = job.mVersion.mVersion;
  run.mMethod = aExchange.Asked().mMethod;
  run.mPath = aExchange.Asked().mPath;
  run.mResumeFrom = static_cast<std::int64_t>(job.mResumeFrom);
  job.mRun = mWorld.mRuns.Start(run);
  co_await Run(aExchange, job);
}

Task Engine::Run(Exchange& aExchange, const Job& aJob)
{
  const double errors =
    mWorld.mFaults.Of(mSetup.mListing.mName).mErrorShare +
    mWorld.mFaults.Of(VersionPart(aJob.mVersion)).mErrorShare;
  if (mWorld.mFaults.Chance(errors)) {
    mWorld.mRuns.End(aJob.mRun, RunOutcome::Failed);
    co_await aExchange.Reply(500, ErrorBody("engine fault", "unknown").dump());
    co_return;
  }
  bool granted = false;
  co_await mSlots.Acquire(aExchange, aJob.mPriority, granted);
  if (!granted) {
    mWorld.mRuns.End(aJob.mRun, RunOutcome::Cancelled);
    co_return;
  }
  RunOutcome outcome = RunOutcome::Cancelled;
  co_await Generate(aExchange, aJob, outcome);
  mSlots.Release();
  mWorld.mRuns.End(aJob.mRun, outcome);
}

namespace {

json ChunkOf(const std::string& aRequest,
             const LoadedVersion& aVersion,
             const json& aDelta,
             const json& aFinish)
{
  return { { "id", aRequest },
           { "model", aVersion.mModel },
           { "choices",
             { { { "index", 0 },
                 { "delta", aDelta },
                 { "finish_reason", aFinish } } } } };
}

json UsageOf(int aPromptTokens, std::size_t aTokens)
{
  return { { "prompt_tokens", aPromptTokens },
           { "completion_tokens", aTokens } };
}

} // namespace

Task Engine::Generate(Exchange& aExchange,
                      const Job& aJob,
                      RunOutcome& aOutcome)
{
  const PartFaults faults = mWorld.mFaults.Of(mSetup.mListing.mName);
  const VersionSetup* version = FindVersion(mWorld.mDeployment, aJob.mVersion);
  const double factor =
    mSetup.mSpeedFactor * faults.mSlowFactor *
    mWorld.mFaults.Of(VersionPart(aJob.mVersion)).mSlowFactor;
  const bool breaks = mWorld.mFaults.Chance(faults.mBreakShare);
  const auto breakAt =
    aJob.mResumeFrom + static_cast<std::size_t>(faults.mBreakAfterChunks);
  Duration first = version != nullptr ? version->mFirstToken : Duration{};
  const Duration perToken =
    version != nullptr ? version->mPerToken : Duration{};
  if (!TouchPrefix(aJob.mPrefix)) {
    first += kPrefillPerToken * aJob.mPromptTokens;
  }
  co_await aExchange.Sleep(Scaled(first, factor));
  if (aJob.mStream && !aExchange.Gone()) {
    co_await aExchange.BeginEvents();
  }
  std::string whole;
  for (std::size_t at = aJob.mResumeFrom; at < aJob.mTokens.size(); ++at) {
    if (aExchange.Gone()) {
      co_return;
    }
    if (breaks && at >= breakAt) {
      aOutcome = RunOutcome::Broken;
      aExchange.Drop();
      co_return;
    }
    const SlotCounts counts = mSlots.Counts();
    const double batch = 1.0 + static_cast<double>(counts.mInFlight) /
                                 static_cast<double>(counts.mSlots);
    co_await aExchange.Sleep(Scaled(perToken, factor * batch));
    if (aJob.mStream) {
      const json delta{ { "content", aJob.mTokens[at] } };
      co_await aExchange.SendEvent(
        ChunkOf(aJob.mRequest, aJob.mVersion, delta, nullptr).dump());
    } else {
      whole += aJob.mTokens[at];
    }
  }
  if (aExchange.Gone()) {
    co_return;
  }
  const json usage = UsageOf(aJob.mPromptTokens, aJob.mTokens.size());
  if (aJob.mStream) {
    json last = ChunkOf(aJob.mRequest, aJob.mVersion, json::object(), "stop");
    last["usage"] = usage;
    last["confidence"] = aJob.mConfidence;
    co_await aExchange.SendEvent(last.dump());
    co_await aExchange.SendEvent("[DONE]");
    co_await aExchange.EndEvents();
  } else {
    const json message{ { "role", "assistant" }, { "content", whole } };
    const json body{ { "id", aJob.mRequest },
                     { "model", aJob.mVersion.mModel },
                     { "choices",
                       { { { "index", 0 },
                           { "message", message },
                           { "finish_reason", "stop" } } } },
                     { "usage", usage },
                     { "confidence", aJob.mConfidence } };
    co_await aExchange.Reply(200, body.dump());
  }
  aOutcome = aExchange.Gone() ? RunOutcome::Cancelled : RunOutcome::Completed;
}

Task Engine::Order(Exchange& aExchange)
{
  int status = 200;
  const json order = json::parse(aExchange.Asked().mBody);
  if (order.at("action") == "load") {
    co_await aExchange.Sleep(kLoadTime);
  }
  const std::string body = TakeOrder(aExchange.Asked().mBody, status);
  co_await aExchange.Reply(status, body);
}

std::string Engine::TakeOrder(const std::string& aBody, int& aStatus)
{
  const json order = json::parse(aBody);
  const auto fence = order.at("fence").get<std::int64_t>();
  const std::string action = order.at("action").get<std::string>();
  const LoadedVersion version{ order.value("model", ""),
                               order.value("version", "") };
  const std::lock_guard lock(mMutex);
  if (mSetup.mListing.mChecksFencing && fence < mFence) {
    aStatus = 409;
    return json{ { "fence", mFence } }.dump();
  }
  mFence = std::max(mFence, fence);
  if (!mOrders.insert(order.at("order_id").get<std::string>()).second) {
    return json{ { "fence", mFence }, { "repeated", true } }.dump();
  }
  if (action == "load") {
    mLoaded.insert(version);
  } else if (action == "unload") {
    mLoaded.erase(version);
  } else if (action == "drain") {
    mDraining = true;
  }
  return json{ { "fence", mFence }, { "repeated", false } }.dump();
}

std::string Engine::LoadReport()
{
  const SlotCounts counts = mSlots.Counts();
  const bool leaving = IsLeaving();
  const std::lock_guard lock(mMutex);
  if (!mReport.empty() && MonotonicNow() < mReportTime + kReportLag) {
    return mReport;
  }
  json events = json::array();
  for (const PrefixEvent& event : mPrefixEvents) {
    events.push_back({ { "number", event.mNumber },
                       { "stored", event.mStored },
                       { "prefix", event.mPrefix } });
  }
  json loaded = json::array();
  for (const LoadedVersion& version : mLoaded) {
    loaded.push_back(
      { { "model", version.mModel }, { "version", version.mVersion } });
  }
  mReport = json{
    { "in_flight", counts.mInFlight },
    { "queued", counts.mQueued },
    { "slots", counts.mSlots },
    { "leaving", leaving },
    { "loaded", loaded },
    { "prefix_events", events }
  }.dump();
  mReportTime = MonotonicNow();
  return mReport;
}

Engine::Job Engine::JobOf(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::string prompt = PromptOf(body);
  Job job;
  job.mRequest = ValueOr(aRequest.mHeader, "x-request-id", "");
  job.mKind = ValueOr(aRequest.mHeader, "x-request-kind", "");
  job.mVersion = { body.at("model").get<std::string>(),
                   ValueOr(aRequest.mHeader, "x-model-version", "") };
  job.mStream = body.value("stream", false);
  job.mPriority = std::stoi(
    ValueOr(aRequest.mHeader, "x-priority", std::to_string(kDefaultPriority)));
  job.mResumeFrom = std::stoul(ValueOr(aRequest.mHeader, "x-resume-from", "0"));
  job.mPromptTokens = WordsIn(prompt);
  job.mPrefix = PromptPrefixHash(prompt);
  const std::uint64_t seed =
    Mixed(mWorld.mSeed, job.mRequest + VersionPart(job.mVersion));
  job.mTokens = AnswerTokens({ mWorld.mSeed,
                               job.mRequest,
                               job.mVersion,
                               body.value("max_tokens", kDefaultTokens) });
  const bool good = IsGood(mWorld.mDeployment,
                           mWorld.mFaults,
                           mWorld.mSeed,
                           { job.mRequest, job.mVersion, job.mKind });
  job.mConfidence = ConfidenceOf(good, seed);
  return job;
}

bool Engine::HasLoaded(const LoadedVersion& aVersion) const
{
  const std::lock_guard lock(mMutex);
  return mLoaded.contains(aVersion);
}

bool Engine::TouchPrefix(std::uint64_t aPrefix)
{
  const std::lock_guard lock(mMutex);
  const auto found = std::find(mPrefixes.begin(), mPrefixes.end(), aPrefix);
  const bool cached = found != mPrefixes.end();
  if (cached) {
    mPrefixes.erase(found);
  } else {
    AddPrefixEvent(aPrefix, true);
  }
  mPrefixes.push_back(aPrefix);
  if (mPrefixes.size() > kCachedPrefixes) {
    AddPrefixEvent(mPrefixes.front(), false);
    mPrefixes.pop_front();
  }
  return cached;
}

void Engine::AddPrefixEvent(std::uint64_t aPrefix, bool aStored)
{
  ++mLastPrefixEvent;
  if (mWorld.mFaults.Chance(kLostPrefixEvents)) {
    return;
  }
  mPrefixEvents.push_back({ mLastPrefixEvent, aStored, aPrefix });
  if (mPrefixEvents.size() > kKeptPrefixEvents) {
    mPrefixEvents.pop_front();
  }
}

bool Engine::IsLeaving() const
{
  const bool faulted = mWorld.mFaults.Of(mSetup.mListing.mName).mLeaving;
  const std::lock_guard lock(mMutex);
  return mDraining || faulted;
}

EndpointListing Engine::Listing() const
{
  EndpointListing listing = mSetup.mListing;
  listing.mLeaving = IsLeaving();
  const std::lock_guard lock(mMutex);
  listing.mLoaded.assign(mLoaded.begin(), mLoaded.end());
  return listing;
}

} // namespace Acaciavale::StandIns
