#include "Engine.h"

#include "Answer.h"
#include "AnswerQuality.h"

#include <Acaciavale/LibPlatform/LoadReport.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace Acaciavale::StandIns {

using nlohmann::json;

namespace {

constexpr std::chrono::milliseconds kReportLag{ 200 };
constexpr std::chrono::milliseconds kVersionLoadTime{ 300 };
constexpr std::chrono::microseconds kPrefillPerToken{ 20 };
constexpr std::size_t kMaxCachedPrefixes = 64;
constexpr std::size_t kMaxPrefixEvents = 128;
constexpr double kLostPrefixEventShare = 0.05;
constexpr int kDefaultTokens = 32;
constexpr int kDefaultPriority = 1;

json ErrorBody(const std::string& aMessage, const char* aExecuted)
{
  return { { "error", { { "message", aMessage } } }, { "ran", aExecuted } };
}

std::string JoinPrompt(const json& aBody)
{
  std::string prompt;
  for (const json& message : aBody.value("messages", json::array())) {
    prompt += message.value("content", "") + "\n";
  }
  return prompt;
}

int CountWords(const std::string& aText)
{
  return 1 + static_cast<int>(std::count(aText.begin(), aText.end(), ' '));
}

Duration Scaled(Duration aTime, double aFactor)
{
  return Duration(
    static_cast<std::int64_t>(static_cast<double>(aTime.count()) * aFactor));
}

double DrawConfidence(bool aGood, std::uint64_t aSeed)
{
  Random random(aSeed);
  const double draw = random.Unit();
  return aGood ? 0.75 + 0.24 * draw : 0.25 + 0.5 * draw;
}

} // namespace

/// A completion request that this engine processes.
struct Engine::Job
{
  std::string mRequestId;
  std::string mRequestKind;
  LoadedVersion mVersion;
  bool mStream = false;
  int mPriority = kDefaultPriority;
  std::size_t mResumeFrom = 0;
  int mPromptTokens = 0;
  std::uint64_t mPrefixHash = 0;
  std::vector<std::string> mTokens;
  double mConfidence = 0;
  std::uint64_t mRunNumber = 0;
};

Engine::Engine(EngineContext aContext, EngineSetup aSetup)
  : mContext(aContext)
  , mSetup(std::move(aSetup))
  , mSlots(mSetup.mSlots)
  , mLoaded(mSetup.mListing.mLoaded.begin(), mSetup.mListing.mLoaded.end())
{
}

Task Engine::Serve(Exchange& aExchange)
{
  const TargetFaults faults = mContext.mFaults.FaultsFor(mSetup.mListing.mName);
  if (mContext.mFaults.IsDown(mSetup.mListing.mName)) {
    aExchange.Abort();
    co_return;
  }
  if (faults.mDelay > Duration::zero()) {
    co_await aExchange.Sleep(faults.mDelay);
  }
  const std::string& path = aExchange.IncomingRequest().mPath;
  if (path == "/v1/chat/completions") {
    co_await ServeCompletion(aExchange);
  } else if (path == "/v1/load") {
    co_await aExchange.Reply(200, LoadReport());
  } else if (path == "/v1/orders") {
    co_await ServeOrder(aExchange);
  } else {
    co_await aExchange.Reply(404, ErrorBody("no such path", "no").dump());
  }
}

Task Engine::ServeCompletion(Exchange& aExchange)
{
  Job job = ParseJob(aExchange.IncomingRequest());
  if (!HasLoaded(job.mVersion)) {
    co_await aExchange.Reply(503, ErrorBody("version not loaded", "no").dump());
    co_return;
  }
  struct Run run;
  run.mEndpointName = mSetup.mListing.mName;
  run.mRequestId = job.mRequestId;
  run.mReference = FindReference(aExchange.IncomingRequest().mBody);
  run.mIdempotencyKey =
    ValueOr(aExchange.IncomingRequest().mHeaders, "idempotency-key", "");
  run.mModel = job.mVersion.mModel;
  run.mVersion = job.mVersion.mVersion;
  run.mMethod = aExchange.IncomingRequest().mMethod;
  run.mPath = aExchange.IncomingRequest().mPath;
  run.mResumeFrom = static_cast<std::int64_t>(job.mResumeFrom);
  job.mRunNumber = mContext.mRuns.Start(run);
  co_await RunJob(aExchange, job);
}

Task Engine::RunJob(Exchange& aExchange, const Job& aJob)
{
  const double errorShare =
    mContext.mFaults.FaultsFor(mSetup.mListing.mName).mErrorShare +
    mContext.mFaults.FaultsFor(VersionFaultTarget(aJob.mVersion)).mErrorShare;
  if (mContext.mFaults.Chance(errorShare)) {
    mContext.mRuns.End(aJob.mRunNumber, RunOutcome::Failed);
    co_await aExchange.Reply(500, ErrorBody("engine fault", "unknown").dump());
    co_return;
  }
  bool granted = false;
  co_await mSlots.Acquire(aExchange, aJob.mPriority, granted);
  if (!granted) {
    mContext.mRuns.End(aJob.mRunNumber, RunOutcome::Cancelled);
    co_return;
  }
  RunOutcome outcome = RunOutcome::Cancelled;
  co_await Generate(aExchange, aJob, outcome);
  mSlots.Release();
  mContext.mRuns.End(aJob.mRunNumber, outcome);
}

namespace {

json MakeChunk(const std::string& aRequestId,
               const LoadedVersion& aVersion,
               const json& aDelta,
               const json& aFinishReason)
{
  return { { "id", aRequestId },
           { "model", aVersion.mModel },
           { "choices",
             { { { "index", 0 },
                 { "delta", aDelta },
                 { "finish_reason", aFinishReason } } } } };
}

json MakeUsage(int aPromptTokens, std::size_t aCompletionTokens)
{
  return { { "prompt_tokens", aPromptTokens },
           { "completion_tokens", aCompletionTokens } };
}

} // namespace

Task Engine::Generate(Exchange& aExchange,
                      const Job& aJob,
                      RunOutcome& aOutcome)
{
  const TargetFaults faults = mContext.mFaults.FaultsFor(mSetup.mListing.mName);
  const VersionSetup* version =
    FindVersion(mContext.mDeployment, aJob.mVersion);
  const double factor =
    mSetup.mSpeedFactor * faults.mSlowFactor *
    mContext.mFaults.FaultsFor(VersionFaultTarget(aJob.mVersion)).mSlowFactor;
  const bool shouldBreak = mContext.mFaults.Chance(faults.mBreakShare);
  const auto breakIndex =
    aJob.mResumeFrom + static_cast<std::size_t>(faults.mBreakAfterChunks);
  Duration firstTokenTime =
    version != nullptr ? version->mFirstTokenTime : Duration{};
  const Duration perToken =
    version != nullptr ? version->mTimePerToken : Duration{};
  if (!TouchPrefix(aJob.mPrefixHash)) {
    firstTokenTime += kPrefillPerToken * aJob.mPromptTokens;
  }
  co_await aExchange.Sleep(Scaled(firstTokenTime, factor));
  if (aJob.mStream && !aExchange.IsClientDisconnected()) {
    co_await aExchange.BeginEvents();
  }
  std::string text;
  for (std::size_t at = aJob.mResumeFrom; at < aJob.mTokens.size(); ++at) {
    if (aExchange.IsClientDisconnected()) {
      co_return;
    }
    if (shouldBreak && at >= breakIndex) {
      aOutcome = RunOutcome::Broken;
      aExchange.Abort();
      co_return;
    }
    const SlotCounts counts = mSlots.Counts();
    const double batchFactor = 1.0 + static_cast<double>(counts.mInFlight) /
                                       static_cast<double>(counts.mSlots);
    co_await aExchange.Sleep(Scaled(perToken, factor * batchFactor));
    if (aJob.mStream) {
      const json delta{ { "content", aJob.mTokens[at] } };
      co_await aExchange.SendEvent(
        MakeChunk(aJob.mRequestId, aJob.mVersion, delta, nullptr).dump());
    } else {
      text += aJob.mTokens[at];
    }
  }
  if (aExchange.IsClientDisconnected()) {
    co_return;
  }
  // NOTE: A client may close the connection as soon as it has the last byte,
  //       before the write of it returns here.
  aOutcome = RunOutcome::Completed;
  const json usage = MakeUsage(aJob.mPromptTokens, aJob.mTokens.size());
  if (aJob.mStream) {
    json lastChunk =
      MakeChunk(aJob.mRequestId, aJob.mVersion, json::object(), "stop");
    lastChunk["usage"] = usage;
    lastChunk["confidence"] = aJob.mConfidence;
    co_await aExchange.SendEvent(lastChunk.dump());
    co_await aExchange.SendEvent("[DONE]");
    co_await aExchange.EndEvents();
  } else {
    const json message{ { "role", "assistant" }, { "content", text } };
    const json body{ { "id", aJob.mRequestId },
                     { "model", aJob.mVersion.mModel },
                     { "choices",
                       { { { "index", 0 },
                           { "message", message },
                           { "finish_reason", "stop" } } } },
                     { "usage", usage },
                     { "confidence", aJob.mConfidence } };
    co_await aExchange.Reply(200, body.dump());
  }
}

Task Engine::ServeOrder(Exchange& aExchange)
{
  int status = 200;
  const json order = json::parse(aExchange.IncomingRequest().mBody);
  if (order.at("action") == "load") {
    co_await aExchange.Sleep(kVersionLoadTime);
  }
  const std::string body =
    ApplyOrder(aExchange.IncomingRequest().mBody, status);
  co_await aExchange.Reply(status, body);
}

std::string Engine::ApplyOrder(const std::string& aBody, int& aStatus)
{
  const json order = json::parse(aBody);
  const auto fence = order.at("fence").get<std::int64_t>();
  const std::string action = order.at("action").get<std::string>();
  const LoadedVersion version{ order.value("model", ""),
                               order.value("version", "") };
  const std::lock_guard lock(mMutex);
  if (mSetup.mListing.mChecksFencing && fence < mHighestFence) {
    aStatus = 409;
    return json{ { "fence", mHighestFence } }.dump();
  }
  mHighestFence = std::max(mHighestFence, fence);
  if (!mAppliedOrderIds.insert(order.at("order_id").get<std::string>())
         .second) {
    return json{ { "fence", mHighestFence }, { "repeated", true } }.dump();
  }
  if (action == "load") {
    mLoaded.insert(version);
  } else if (action == "unload") {
    mLoaded.erase(version);
  } else if (action == "drain") {
    mDraining = true;
  }
  return json{ { "fence", mHighestFence }, { "repeated", false } }.dump();
}

std::string Engine::LoadReport()
{
  const SlotCounts counts = mSlots.Counts();
  const bool leaving = IsLeaving();
  const std::lock_guard lock(mMutex);
  if (!mCachedReport.empty() && MonotonicNow() < mReportTime + kReportLag) {
    return mCachedReport;
  }
  json events = json::array();
  for (const PrefixEvent& event : mPrefixEvents) {
    events.push_back({ { "number", event.mNumber },
                       { "stored", event.mStored },
                       { "prefix", event.mPrefixHash } });
  }
  json loaded = json::array();
  for (const LoadedVersion& version : mLoaded) {
    loaded.push_back(
      { { "model", version.mModel }, { "version", version.mVersion } });
  }
  mCachedReport = json{
    { "in_flight", counts.mInFlight },
    { "queued", counts.mQueued },
    { "slots", counts.mSlots },
    { "leaving", leaving },
    { "loaded", loaded },
    { "prefix_events", events }
  }.dump();
  mReportTime = MonotonicNow();
  return mCachedReport;
}

Engine::Job Engine::ParseJob(const Request& aRequest)
{
  const json body = json::parse(aRequest.mBody);
  const std::string prompt = JoinPrompt(body);
  Job job;
  job.mRequestId = ValueOr(aRequest.mHeaders, "x-request-id", "");
  job.mRequestKind = ValueOr(aRequest.mHeaders, "x-request-kind", "");
  job.mVersion = { body.at("model").get<std::string>(),
                   ValueOr(aRequest.mHeaders, "x-model-version", "") };
  job.mStream = body.value("stream", false);
  job.mPriority = std::stoi(
    ValueOr(aRequest.mHeaders, "x-priority", std::to_string(kDefaultPriority)));
  job.mResumeFrom =
    std::stoul(ValueOr(aRequest.mHeaders, "x-resume-from", "0"));
  job.mPromptTokens = CountWords(prompt);
  job.mPrefixHash = PromptPrefixHash(prompt);
  const std::uint64_t seed = HashWithSeed(
    mContext.mSeed, job.mRequestId + VersionFaultTarget(job.mVersion));
  job.mTokens = AnswerTokens({ mContext.mSeed,
                               job.mRequestId,
                               job.mVersion,
                               body.value("max_tokens", kDefaultTokens) });
  const bool good = IsGood(mContext.mDeployment,
                           mContext.mFaults,
                           mContext.mSeed,
                           { job.mRequestId, job.mVersion, job.mRequestKind });
  job.mConfidence = DrawConfidence(good, seed);
  return job;
}

bool Engine::HasLoaded(const LoadedVersion& aVersion) const
{
  const std::lock_guard lock(mMutex);
  return mLoaded.contains(aVersion);
}

bool Engine::TouchPrefix(std::uint64_t aPrefixHash)
{
  const std::lock_guard lock(mMutex);
  const auto found =
    std::find(mCachedPrefixes.begin(), mCachedPrefixes.end(), aPrefixHash);
  const bool cached = found != mCachedPrefixes.end();
  if (cached) {
    mCachedPrefixes.erase(found);
  } else {
    AddPrefixEvent(aPrefixHash, true);
  }
  mCachedPrefixes.push_back(aPrefixHash);
  if (mCachedPrefixes.size() > kMaxCachedPrefixes) {
    AddPrefixEvent(mCachedPrefixes.front(), false);
    mCachedPrefixes.pop_front();
  }
  return cached;
}

void Engine::AddPrefixEvent(std::uint64_t aPrefixHash, bool aStored)
{
  ++mLastPrefixEvent;
  if (mContext.mFaults.Chance(kLostPrefixEventShare)) {
    return;
  }
  mPrefixEvents.push_back({ mLastPrefixEvent, aStored, aPrefixHash });
  if (mPrefixEvents.size() > kMaxPrefixEvents) {
    mPrefixEvents.pop_front();
  }
}

bool Engine::IsLeaving() const
{
  const bool faulted =
    mContext.mFaults.FaultsFor(mSetup.mListing.mName).mLeaving;
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
