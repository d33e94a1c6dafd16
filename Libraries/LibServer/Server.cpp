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
constexpr auto kPollInterval = std::chrono::milliseconds(10);
/// Longest time that a graceful stop waits for requests in flight.
constexpr auto kMaxDrainTime = std::chrono::minutes(10);
/// Longest time that a stop waits for callers to read their answers.
constexpr auto kMaxWriteTime = std::chrono::seconds(60);
/// Time without unanswered requests after which the serving threads stop.
constexpr auto kQuietTimeBeforeStop = std::chrono::milliseconds(300);
/// Longest time that a stop retries to close the ledger while the store is
/// down.
constexpr auto kMaxLedgerCloseTime = std::chrono::seconds(60);
constexpr auto kLedgerCloseRetryDelay = std::chrono::milliseconds(250);
/// Shortest time that new requests are still accepted after this VM has left
/// the entry list.
constexpr auto kMinServingTimeAfterLeaving = std::chrono::seconds(1);
constexpr std::string_view kServicesPrefix = "/v1/services/";

void RouteCallerRequest(ServerShard& aShard,
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
                    EntriesJson(aShard.mServer));
  } else {
    SendProblem(aResponse,
                Problem{ 404,
                         "unknown-path",
                         "There is no such path or method.",
                         "Use POST /v1/chat/completions, "
                         "/v1/services/SERVICE/PATH or GET /v1/entries.",
                         Executed::No });
  }
}

/// A serving thread with its state and its listener.
struct ShardThread
{
  ShardThread(ServerState& aServer, std::uint64_t aSeed)
    : mShard(aServer, aSeed)
    , mWorkGuard(asio::make_work_guard(mShard.mContext))
  {
  }

  ServerShard mShard;
  std::unique_ptr<HttpListener> mListener;
  asio::executor_work_guard<asio::io_context::executor_type> mWorkGuard;
  std::thread mThread;
};

} // namespace

struct Server::Private
{
  explicit Private(ServerOptions aOptions)
    : mOptions(std::move(aOptions))
    , mServer(kBlockingThreads)
    , mRandom(EntropySeed())
  {
    mServer.mNodeSettings = mOptions.mNodeSettings;
  }

  ErrorOr<void> OpenCallerListeners();
  ErrorOr<void> OpenOperatorListener();
  ErrorOr<void> StartMembership();
  void StartBilling();
  void AnnounceAddresses() const;
  VmState CurrentVmState() const;
  MembershipCallbacks MakeCallbacks();
  void Drain();
  void WaitUntilAnswersWritten();
  void CloseLedger();
  void ReplicateHeldEntries();
  void StopThreads();

  ServerOptions mOptions;
  ServerState mServer;
  Random mRandom;
  std::unique_ptr<HttpKeyValueClient> mKeyValueClient;
  std::unique_ptr<Upkeep> mUpkeep;
  std::unique_ptr<Refresher> mRefresher;
  std::vector<std::unique_ptr<ShardThread>> mShardThreads;
  std::unique_ptr<ShardThread> mOperatorThread;
  std::string mCallerAddress;
  std::string mOperatorAddress;
  std::string mPeerAddress;
  std::string mIncarnation;

  std::mutex mStopLock;
  std::condition_variable mStopCondition;
  bool mStopRequested = false;
};

ErrorOr<void> Server::Private::OpenCallerListeners()
{
  const auto settings = mServer.CurrentSettings();
  ListenerLimits limits;
  if (settings) {
    limits.mMaxBodyBytes = settings->mDeployment.mMaxBodyBytes;
    limits.mMaxConnections =
      settings->mDeployment.mMaxConnections /
      static_cast<std::int64_t>(mOptions.mNodeSettings.mCallerThreads);
  }
  mCallerAddress = mOptions.mNodeSettings.mCallerAddress;
  for (std::size_t index = 0; index < mOptions.mNodeSettings.mCallerThreads;
       ++index) {
    auto shard = std::make_unique<ShardThread>(mServer, mRandom.Next());
    shard->mListener = std::make_unique<HttpListener>(
      shard->mShard.mContext,
      limits,
      [&servingShard = shard->mShard](CallerRequest aRequest,
                                      CallerResponse aResponse) {
        RouteCallerRequest(
          servingShard, std::move(aRequest), std::move(aResponse));
      });
    // NOTE: With port 0 the kernel chooses a port for the first listener; the
    //       other listeners share that port.
    mCallerAddress = ACACIAVALE_TRY(shard->mListener->Open(mCallerAddress));
    mShardThreads.push_back(std::move(shard));
  }
  return {};
}

ErrorOr<void> Server::Private::OpenOperatorListener()
{
  mOperatorThread = std::make_unique<ShardThread>(mServer, mRandom.Next());
  mOperatorThread->mListener = std::make_unique<HttpListener>(
    mOperatorThread->mShard.mContext,
    ListenerLimits{},
    [this](const CallerRequest& aRequest, const CallerResponse& aResponse) {
      HandleOperatorRequest(mServer, aRequest, aResponse);
    });
  mOperatorAddress = ACACIAVALE_TRY(
    mOperatorThread->mListener->Open(mOptions.mNodeSettings.mOperatorAddress));
  return {};
}

VmState Server::Private::CurrentVmState() const
{
  VmState state;
  state.mName = mOptions.mNodeSettings.mVmName;
  state.mIncarnation = mIncarnation;
  state.mCallerAddress = mCallerAddress;
  state.mPeerAddress = mPeerAddress;
  state.mOperatorAddress = mOperatorAddress;
  state.mFailureDomain = mOptions.mNodeSettings.mFailureDomain;
  state.mWeight = mOptions.mNodeSettings.mWeight;
  // NOTE: Peers leave a draining VM out of the entry list. A VM that is still
  //       starting has to be left out as well.
  state.mDraining = mServer.mDraining || !mServer.IsReady();
  state.mInFlight = mServer.mInFlight;
  const auto settings = mServer.CurrentSettings();
  state.mStoreReachable = mServer.mStoreReachable;
  state.mSettingsGeneration = settings ? settings->mGeneration : 0;
  return state;
}

MembershipCallbacks Server::Private::MakeCallbacks()
{
  MembershipCallbacks callbacks;
  callbacks.mSelfState = [this] { return CurrentVmState(); };
  callbacks.mSettingsBody = [this](std::int64_t aGeneration) {
    return mRefresher->SettingsRecord(aGeneration);
  };
  callbacks.mOnNewerSettings = [this](std::int64_t aGeneration,
                                      const std::string& aBody) {
    mRefresher->OfferSettings(aGeneration, aBody);
  };
  callbacks.mHoldEntries = [this](const std::vector<BillEntry>& aEntries) {
    mServer.mHeldEntries.Hold(aEntries);
  };
  callbacks.mForgetEntries = [this](const Incarnation& aIncarnation,
                                    std::uint64_t aUpTo) {
    mServer.mHeldEntries.DiscardUpTo(aIncarnation, aUpTo);
  };
  callbacks.mOnVmDead = [this](const Incarnation&) { mUpkeep->OnVmDead(); };
  callbacks.mCollectEvidence = [this] {
    EvidenceView report = mServer.mEvidenceStore.TakeReport();
    mUpkeep->AddEvidence(report);
    return report;
  };
  callbacks.mMergeEvidence = [this](const EvidenceView& aEvidence) {
    mServer.mEvidenceStore.Merge(aEvidence, MonotonicNow());
    mUpkeep->AddEvidence(aEvidence);
  };
  return callbacks;
}

ErrorOr<void> Server::Private::StartMembership()
{
  MembershipOptions options;
  options.mListenAddress = mOptions.mNodeSettings.mPeerAddress;
  options.mSelfState = CurrentVmState();
  mServer.mMembership = std::make_unique<Membership>(
    options, MakeCallbacks(), mServer.mStore, mRandom.Next());
  mPeerAddress = ACACIAVALE_TRY(mServer.mMembership->Start());
  return {};
}

void Server::Private::StartBilling()
{
  BillingOptions options;
  options.mVm = mOptions.mNodeSettings.mVmName;
  options.mNoncePrefix = mIncarnation;
  mServer.mBilling = std::make_unique<Billing>(
    options,
    mServer.mStore,
    [this](const std::vector<BillEntry>& aEntries) {
      return mServer.mMembership->Replicate(aEntries);
    },
    mRandom.Next(),
    [this](const Incarnation& aIncarnation, std::uint64_t aUpTo) {
      mServer.mMembership->SendForget(aIncarnation, aUpTo);
    });
}

void Server::Private::AnnounceAddresses() const
{
  Log(LogLevel::Info,
      "server",
      "Serving.",
      { { "vm", mOptions.mNodeSettings.mVmName },
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
  options.mAddress = self.mOptions.mNodeSettings.mKeyValueAddress;
  options.mCallsPerSecond = self.mOptions.mNodeSettings.mKeyValueCallsPerSecond;
  self.mKeyValueClient = std::make_unique<HttpKeyValueClient>(options);
  self.mServer.mStore = self.mKeyValueClient->Store();
  if (self.mOptions.mFixedSettings) {
    self.mServer.mFixedSettings =
      std::make_shared<const Settings>(*self.mOptions.mFixedSettings);
  }
  LimitOptions limits;
  limits.mVm = self.mOptions.mNodeSettings.mVmName;
  self.mServer.mLimitShares = std::make_unique<LimitShares>(
    limits, self.mServer.mStore, self.mRandom.Next());
  self.mUpkeep = std::make_unique<Upkeep>(
    self.mServer, self.mIncarnation, self.mRandom.Next());
  self.mRefresher = std::make_unique<Refresher>(self.mServer, *self.mUpkeep);
  ACACIAVALE_TRY_VOID(self.OpenCallerListeners());
  ACACIAVALE_TRY_VOID(self.OpenOperatorListener());
  ACACIAVALE_TRY_VOID(self.StartMembership());
  self.StartBilling();
  self.mRefresher->Start();
  self.mUpkeep->Start();
  for (const auto& shard : self.mShardThreads) {
    shard->mThread = std::thread([&shard] { shard->mShard.mContext.run(); });
  }
  self.mOperatorThread->mThread =
    std::thread([&self] { self.mOperatorThread->mShard.mContext.run(); });
  self.AnnounceAddresses();
  return {};
}

void Server::RequestStop()
{
  const std::lock_guard guard(mPrivate->mStopLock);
  mPrivate->mStopRequested = true;
  mPrivate->mStopCondition.notify_all();
}

void Server::WaitUntilStopped()
{
  {
    std::unique_lock lock(mPrivate->mStopLock);
    mPrivate->mStopCondition.wait(lock,
                                  [this] { return mPrivate->mStopRequested; });
  }
  mPrivate->Drain();
  mPrivate->StopThreads();
  Log(LogLevel::Info,
      "server",
      "Stopped.",
      { { "vm", mPrivate->mOptions.mNodeSettings.mVmName } });
}

void Server::Private::Drain()
{
  Log(LogLevel::Info, "server", "Draining: leaving the entry list.");
  mServer.mDraining = true;
  mServer.mMembership->Announce();
  const auto settings = mServer.CurrentSettings();
  const Duration keepTime =
    settings ? std::max<Duration>(kMinServingTimeAfterLeaving,
                                  settings->mDeployment.mEntryTimeToKeep)
             : Duration(kMinServingTimeAfterLeaving);
  // Callers cache an entry address for this long, so requests are accepted
  // until then.
  std::this_thread::sleep_for(keepTime);
  mServer.mRefusesNewWork = true;
  for (const auto& shard : mShardThreads) {
    shard->mListener->CloseAfterAnswers();
  }
  Log(LogLevel::Info, "server", "Draining: waiting for requests in flight.");
  const auto deadline = MonotonicNow() + kMaxDrainTime;
  while (mServer.mInFlight.load() > 0 && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Server::Private::WaitUntilAnswersWritten()
{
  // NOTE: An exchange ends when its answer is passed to the listener, while a
  //       slow caller may still be reading it. Also, a connection accepted just
  //       now may not have sent its request yet.
  const auto deadline = MonotonicNow() + kMaxWriteTime;
  auto quietSince = MonotonicNow();
  while (MonotonicNow() < deadline &&
         MonotonicNow() - quietSince < kQuietTimeBeforeStop) {
    for (const auto& shard : mShardThreads) {
      if (shard->mListener->UnansweredRequests() > 0) {
        quietSince = MonotonicNow();
      }
    }
    std::this_thread::sleep_for(kPollInterval);
  }
}

void Server::Private::CloseLedger()
{
  const auto deadline = MonotonicNow() + kMaxLedgerCloseTime;
  auto closed = mServer.mBilling->Close();
  while (!closed && MonotonicNow() < deadline) {
    std::this_thread::sleep_for(kLedgerCloseRetryDelay);
    closed = mServer.mBilling->Close();
  }
  if (!closed) {
    Log(LogLevel::Warning,
        "server",
        "Could not close the ledger of this VM; the VMs that hold its entries "
        "will close it.",
        { { "error", closed.error().mMessage } });
  }
}

void Server::Private::ReplicateHeldEntries()
{
  // NOTE: Only one other copy may exist of the entries that this VM holds for
  //       other VMs, so they are replicated to the remaining VMs. An entry held
  //       twice is billed once.
  for (const Incarnation& incarnation : mServer.mHeldEntries.Incarnations()) {
    const auto entries = mServer.mHeldEntries.EntriesOf(incarnation);
    if (!entries.empty() && mServer.mMembership->Replicate(entries) == 0) {
      Log(LogLevel::Warning,
          "server",
          "Could not replicate the bill entries held for another VM.",
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
  ReplicateHeldEntries();
  mServer.mMembership->Stop();
  mServer.mBlockingPool.join();
  for (const auto& shard : mShardThreads) {
    asio::post(shard->mShard.mContext,
               [&listener = *shard->mListener] { listener.Close(); });
  }
  WaitUntilAnswersWritten();
  for (const auto& shard : mShardThreads) {
    shard->mShard.mContext.stop();
    shard->mThread.join();
  }
  mOperatorThread->mShard.mContext.stop();
  mOperatorThread->mThread.join();
}

} // namespace Acaciavale
