#include <Acaciavale/LibServer/Server.h>

#include "ChatExchange.h"
#include "HttpListener.h"
#include "OperatorPages.h"
#include "Refresher.h"
#include "ServiceExchange.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibPlatform/HttpKeyValueClient.h>
#include <asio/executor_work_guard.hpp>
#include <asio/post.hpp>
#include <condition_variable>
#include <cstdio>
#include <fstream>
#include <thread>

namespace Acaciavale {

namespace {

constexpr std::size_t kBlockingThreads = 8;
constexpr auto kInFlightPoll = std::chrono::milliseconds(10);
/// The longest that a graceful stop waits for requests under way.
constexpr auto kLongestDrain = std::chrono::minutes(10);
/// How long a stop waits for callers that read slowly.
constexpr auto kLongestWrite = std::chrono::seconds(60);
constexpr auto kQuietBeforeStop = std::chrono::milliseconds(300);
/// How long a stop tries to close the ledger while the store is down.
constexpr auto kLongestClose = std::chrono::seconds(60);
constexpr auto kClosePause = std::chrono::milliseconds(250);
/// The least time that new work is still taken after leaving the list.
constexpr auto kLeastKeep = std::chrono::seconds(1);
constexpr std::string_view kServicesPrefix = "/v1/services/";

void RouteCaller(ServerShard& aShard,
                 CallerRequest aRequest,
                 CallerResponse aResponse)
{
  if (aRequest.mPath == "/v1/chat/completions" && aRequest.mMethod == "POST") {
    ChatExchange::Start(aShard, std::move(aRequest), std::move(aResponse));
  } else if (aRequest.mPath.rfind(kServicesPrefix, 0) == 0) {
    ServiceExchange::Start(aShard, std::move(aRequest), std::move(aResponse));
  } else if (aRequest.mPath == "/v1/entries" && aRequest.mMethod == "GET") {
    aResponse.mSend(200,
                    { { "Content-Type", "application/json" } },
                    EntriesBody(aShard.mParts));
  } else {
    SendProblem(aResponse,
                Problem{ 404,
                         "unknown-path",
                         "There is no such path or method.",
                         "Use POST /v1/chat/completions, "
                         "/v1/services/SERVICE/PATH or GET /v1/entries.",
                         Ran::No });
  }
}

/// One serving thread with its listener.
struct ShardThread
{
  ShardThread(ServerParts& aParts, std::uint64_t aSeed)
    : mShard(aParts, aSeed)
    , mWork(asio::make_work_guard(mShard.mContext))
  {
  }

  ServerShard mShard;
  std::unique_ptr<HttpListener> mListener;
  asio::executor_work_guard<asio::io_context::executor_type> mWork;
  std::thread mThread;
};

} // namespace

struct Server::Private
{
  explicit Private(ServerOptions aOptions)
    : mOptions(std::move(aOptions))
    , mParts(kBlockingThreads)
    , mRandom(EntropySeed())
  {
    mParts.mNode = mOptions.mNode;
  }

  ErrorOr<void> OpenCallers();
  ErrorOr<void> OpenOperators();
  ErrorOr<void> StartMembership();
  void StartBilling();
  void Announce() const;
  VmState SelfState() const;
  MembershipCallbacks MakeCallbacks();
  void Drain();
  void WaitUntilWritten();
  void CloseLedger();
  void HandOverHeldEntries();
  void StopThreads();

  ServerOptions mOptions;
  ServerParts mParts;
  Random mRandom;
  std::unique_ptr<HttpKeyValueClient> mKeyValue;
  std::unique_ptr<Upkeep> mUpkeep;
  std::unique_ptr<Refresher> mRefresher;
  std::vector<std::unique_ptr<ShardThread>> mShards;
  std::unique_ptr<ShardThread> mOperators;
  std::string mCallerAddress;
  std::string mOperatorAddress;
  std::string mPeerAddress;
  std::string mIncarnation;

  std::mutex mStopLock;
  std::condition_variable mStopAsked;
  bool mStop = false;
};

ErrorOr<void> Server::Private::OpenCallers()
{
  const auto settings = mParts.CurrentSettings();
  ListenerLimits limits;
  if (settings) {
    limits.mMaxBodyBytes = settings->mDeployment.mMaxBodyBytes;
    limits.mMaxConnections = settings->mDeployment.mMaxConnections /
                             static_cast<std::int64_t>(mOptions.mNode.mThreads);
  }
  mCallerAddress = mOptions.mNode.mCallerAddress;
  for (std::size_t index = 0; index < mOptions.mNode.mThreads; ++index) {
    auto shard = std::make_unique<ShardThread>(mParts, mRandom.Next());
    shard->mListener = std::make_unique<HttpListener>(
      shard->mShard.mContext,
      limits,
      [&own = shard->mShard](CallerRequest aRequest, CallerResponse aResponse) {
        RouteCaller(own, std::move(aRequest), std::move(aResponse));
      });
    // NOTE: The first listener may let the kernel choose a port; the others
    //       share the port that was chosen.
    mCallerAddress = ACACIAVALE_TRY(shard->mListener->Open(mCallerAddress));
    mShards.push_back(std::move(shard));
  }
  return {};
}

ErrorOr<void> Server::Private::OpenOperators()
{
  mOperators = std::make_unique<ShardThread>(mParts, mRandom.Next());
  mOperators->mListener = std::make_unique<HttpListener>(
    mOperators->mShard.mContext,
    ListenerLimits{},
    [this](const CallerRequest& aRequest, const CallerResponse& aResponse) {
      AnswerOperator(mParts, aRequest, aResponse);
    });
  mOperatorAddress = ACACIAVALE_TRY(
    mOperators->mListener->Open(mOptions.mNode.mOperatorAddress));
  return {};
}

VmState Server::Private::SelfState() const
{
  VmState state;
  state.mName = mOptions.mNode.mVm;
  state.mIncarnation = mIncarnation;
  state.mCallerAddress = mCallerAddress;
  state.mPeerAddress = mPeerAddress;
  state.mOperatorAddress = mOperatorAddress;
  state.mFailureDomain = mOptions.mNode.mFailureDomain;
  state.mWeight = mOptions.mNode.mWeight;
  // NOTE: Peers take this for "not on the list of addresses", which holds for a
  //       VM that is still starting as well.
  state.mDraining = mParts.mDraining || !mParts.IsReady();
  state.mInFlight = mParts.mInFlight;
  const auto settings = mParts.CurrentSettings();
  state.mStoreReachable = mParts.mSeesStore;
  state.mSettingsGeneration = settings ? settings->mGeneration : 0;
  return state;
}

MembershipCallbacks Server::Private::MakeCallbacks()
{
  MembershipCallbacks callbacks;
  callbacks.mSelfState = [this] { return SelfState(); };
  callbacks.mSettingsBody = [this](std::int64_t aGeneration) {
    return mRefresher->SettingsBody(aGeneration);
  };
  callbacks.mOnNewerSettings = [this](std::int64_t aGeneration,
                                      const std::string& aBody) {
    mRefresher->OfferSettings(aGeneration, aBody);
  };
  callbacks.mHoldEntries = [this](const std::vector<BillEntry>& aEntries) {
    mParts.mHeld.Hold(aEntries);
  };
  callbacks.mForgetEntries = [this](const Incarnation& aIncarnation,
                                    std::uint64_t aUpTo) {
    mParts.mHeld.Forget(aIncarnation, aUpTo);
  };
  callbacks.mOnVmDead = [this](const Incarnation&) { mUpkeep->OnVmDead(); };
  callbacks.mCollectEvidence = [this] {
    EvidenceView report = mParts.mEvidence.TakeReport();
    mUpkeep->CountEvidence(report);
    return report;
  };
  callbacks.mMergeEvidence = [this](const EvidenceView& aEvidence) {
    mParts.mEvidence.Merge(aEvidence, MonotonicNow());
    mUpkeep->CountEvidence(aEvidence);
  };
  return callbacks;
}

ErrorOr<void> Server::Private::StartMembership()
{
  MembershipOptions options;
  options.mListenAddress = mOptions.mNode.mPeerAddress;
  options.mSelfState = SelfState();
  mParts.mMembership = std::make_unique<Membership>(
    options, MakeCallbacks(), mParts.mStore, mRandom.Next());
  mPeerAddress = ACACIAVALE_TRY(mParts.mMembership->Start());
  return {};
}

void Server::Private::StartBilling()
{
  BillingOptions options;
  options.mVm = mOptions.mNode.mVm;
  options.mLife = mIncarnation;
  mParts.mBilling = std::make_unique<Billing>(
    options,
    mParts.mStore,
    [this](const std::vector<BillEntry>& aEntries) {
      return mParts.mMembership->Replicate(aEntries);
    },
    mRandom.Next(),
    [this](const Incarnation& aIncarnation, std::uint64_t aUpTo) {
      mParts.mMembership->SendForget(aIncarnation, aUpTo);
    });
}

void Server::Private::Announce() const
{
  Log(LogLevel::Info,
      "server",
      "Serving.",
      { { "vm", mOptions.mNode.mVm },
        { "callers", mCallerAddress },
        { "operators", mOperatorAddress },
        { "peers", mPeerAddress } });
  if (mOptions.mAnnounceFile.empty()) {
    return;
  }
  const std::string temporary = mOptions.mAnnounceFile + ".new";
  {
    std::ofstream file(temporary);
    file << "callers=" << mCallerAddress << "\noperators=" << mOperatorAddress
         << "\npeers=" << mPeerAddress << "\n";
  }
  std::rename(temporary.c_str(), mOptions.mAnnounceFile.c_str());
}

Server::Server(ServerOptions aOptions)
  : mPrivate(std::make_unique<Private>(std::move(aOptions)))
{
}

Server::~Server() = default;

ErrorOr<void> Server::Start()
{
  Private& self = *mPrivate;
  self.mIncarnation = RandomToken(self.mRandom);
  KeyValueClientOptions options;
  options.mAddress = self.mOptions.mNode.mKeyValueAddress;
  options.mCallsPerSecond = self.mOptions.mNode.mKeyValueCallsPerSecond;
  self.mKeyValue = std::make_unique<HttpKeyValueClient>(options);
  self.mParts.mStore = self.mKeyValue->Store();
  if (self.mOptions.mFixedSettings) {
    self.mParts.mFixedSettings =
      std::make_shared<const Settings>(*self.mOptions.mFixedSettings);
  }
  LimitOptions limits;
  limits.mVm = self.mOptions.mNode.mVm;
  self.mParts.mLimits = std::make_unique<LimitShares>(
    limits, self.mParts.mStore, self.mRandom.Next());
  self.mUpkeep = std::make_unique<Upkeep>(
    self.mParts, self.mIncarnation, self.mRandom.Next());
  self.mRefresher = std::make_unique<Refresher>(self.mParts, *self.mUpkeep);
  ACACIAVALE_TRY_VOID(self.OpenCallers());
  ACACIAVALE_TRY_VOID(self.OpenOperators());
  ACACIAVALE_TRY_VOID(self.StartMembership());
  self.StartBilling();
  self.mRefresher->Start();
  self.mUpkeep->Start();
  for (const auto& shard : self.mShards) {
    shard->mThread = std::thread([&shard] { shard->mShard.mContext.run(); });
  }
  self.mOperators->mThread =
    std::thread([&self] { self.mOperators->mShard.mContext.run(); });
  self.Announce();
  return {};
}

void Server::RequestStop()
{
  const std::lock_guard guard(mPrivate->mStopLock);
  mPrivate->mStop = true;
  mPrivate->mStopAsked.notify_all();
}

void Server::WaitUntilStopped()
{
  {
    std::unique_lock lock(mPrivate->mStopLock);
    mPrivate->mStopAsked.wait(lock, [this] { return mPrivate->mStop; });
  }
  mPrivate->Drain();
  mPrivate->StopThreads();
  Log(LogLevel::Info,
      "server",
      "Stopped.",
      { { "vm", mPrivate->mOptions.mNode.mVm } });
}

void Server::Private::Drain()
{
  Log(LogLevel::Info, "server", "Leaving the list of addresses.");
  mParts.mDraining = true;
  mParts.mMembership->Announce();
  const auto settings = mParts.CurrentSettings();
  const Duration keep =
    settings
      ? std::max<Duration>(kLeastKeep, settings->mDeployment.mEntryTimeToKeep)
      : Duration(kLeastKeep);
  // Callers keep an address for this long, so new work is taken until then.
  std::this_thread::sleep_for(keep);
  mParts.mRefusing = true;
  for (const auto& shard : mShards) {
    shard->mListener->CloseAfterAnswers();
  }
  Log(LogLevel::Info, "server", "Waiting for requests under way.");
  const auto deadline = MonotonicNow() + kLongestDrain;
  while (mParts.mInFlight.load() > 0 && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kInFlightPoll);
  }
}

void Server::Private::WaitUntilWritten()
{
  // NOTE: A request is over for the exchange when its answer is handed to the
  //       listener; a slow caller may still be reading it. And a connection
  //       taken just now may not have sent its request yet.
  const auto deadline = MonotonicNow() + kLongestWrite;
  auto quietSince = MonotonicNow();
  while (MonotonicNow() < deadline &&
         MonotonicNow() - quietSince < kQuietBeforeStop) {
    for (const auto& shard : mShards) {
      if (shard->mListener->Unanswered() > 0) {
        quietSince = MonotonicNow();
      }
    }
    std::this_thread::sleep_for(kInFlightPoll);
  }
}

void Server::Private::CloseLedger()
{
  const auto deadline = MonotonicNow() + kLongestClose;
  auto closed = mParts.mBilling->Close();
  while (!closed && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kClosePause);
    closed = mParts.mBilling->Close();
  }
  if (!closed) {
    Log(LogLevel::Warning,
        "server",
        "The ledger could not be closed; its holders will close it.",
        { { "error", closed.error().mMessage } });
  }
}

void Server::Private::HandOverHeldEntries()
{
  // NOTE: What this VM holds for others may be the last copy but one, so it
  //       goes to VMs that stay. An entry held twice is billed once.
  for (const Incarnation& incarnation : mParts.mHeld.Incarnations()) {
    const auto entries = mParts.mHeld.Of(incarnation);
    if (!entries.empty() && mParts.mMembership->Replicate(entries) == 0) {
      Log(LogLevel::Warning,
          "server",
          "Held bill entries could not be handed over.",
          { { "vm", incarnation.mVm },
            { "entries", std::to_string(entries.size()) } });
    }
  }
}

void Server::Private::StopThreads()
{
  mRefresher->Stop();
  mUpkeep->Stop();
  CloseLedger();
  HandOverHeldEntries();
  mParts.mMembership->Stop();
  mParts.mBlocking.join();
  for (const auto& shard : mShards) {
    asio::post(shard->mShard.mContext,
               [&listener = *shard->mListener] { listener.Close(); });
  }
  WaitUntilWritten();
  for (const auto& shard : mShards) {
    shard->mShard.mContext.stop();
    shard->mThread.join();
  }
  mOperators->mShard.mContext.stop();
  mOperators->mThread.join();
}

} // namespace Acaciavale
