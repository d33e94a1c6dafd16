#include <Acaciavale/LibMembership/Membership.h>

#include "EvidenceGossip.h"
#include "Holders.h"
#include "MemberTable.h"
#include "Pacing.h"
#include "PeerClient.h"
#include "PeerServer.h"
#include "VmRegistration.h"
#include "WorkQueue.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Random.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace Acaciavale {

namespace {

constexpr const char* kLogComponent = "membership";
constexpr Duration kExchangeTimeout = std::chrono::milliseconds(800);
constexpr Duration kSettingsTimeout = std::chrono::seconds(2);
constexpr Duration kForgetTimeout = std::chrono::milliseconds(500);
constexpr Duration kLeaveTimeout = std::chrono::milliseconds(300);
/// A peer's settings that were handed on and not taken are asked for again.
constexpr Duration kSettingsRetryDelay = std::chrono::seconds(2);
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(500);
constexpr std::size_t kLeaveFanOut = 8;
constexpr std::size_t kMaxDescriptionsPerMessage = 16; ///< Per message.
constexpr std::uint64_t kRoundsPerDeadPeer = 4;
constexpr int kMaxReplicateAttempts = 3;
constexpr std::int64_t kLeaseStorePeriods = 3;
constexpr std::int64_t kBurstSeconds = 4;

} // namespace

struct Membership::Private
{
  MembershipOptions mOptions;
  MembershipCallbacks mCallbacks;
  Random mSeedRandom;
  VmRegistration mRegistration;

  /// The members and the news about them.
  mutable std::mutex mTableMutex;
  MemberTable mTable;
  Random mRandom;
  bool mLeft = false;

  std::mutex mGossipMutex;
  EvidenceGossip mGossip;

  /// The settings being fetched from a peer.
  std::mutex mFetchMutex;
  bool mFetching = false;
  std::int64_t mFetchedGeneration = 0;
  TimePoint mFetchedAt{};

  /// Highest entry number that each holder was sent, per incarnation.
  std::mutex mSentMutex;
  std::map<Incarnation, std::map<std::string, std::uint64_t>> mHighestSent;

  std::mutex mWakeMutex;
  std::condition_variable mWakeUp;
  bool mStopping = false;
  bool mDigestDue = false;
  bool mStoreDue = false;

  std::atomic<std::int64_t> mReplyBytes{ 0 };
  /// Kept apart: a VM that hands out new settings must not fall silent for it.
  std::atomic<std::int64_t> mSettingsBytes{ 0 };
  std::string mPeerAddress;
  bool mRunning = false;
  std::unique_ptr<WorkQueue> mWorkQueue;
  std::unique_ptr<PeerClient> mClient;
  std::unique_ptr<PeerServer> mServer;
  std::thread mDigestThread;
  std::thread mStoreThread;

  Private(MembershipOptions aOptions,
          MembershipCallbacks aCallbacks,
          KeyValueStore aStore,
          std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mCallbacks(std::move(aCallbacks))
    , mSeedRandom(aSeed)
    , mRegistration(std::move(aStore), mSeedRandom.Next())
    , mRandom(mSeedRandom.Next())
  {
  }

  VmState SelfState() const
  {
    VmState self =
      mCallbacks.mSelfState ? mCallbacks.mSelfState() : mOptions.mSelfState;
    self.mPeerAddress = mPeerAddress;
    return self;
  }

  std::size_t LiveCount() const
  {
    const std::lock_guard lock(mTableMutex);
    return LivePeers(mTable).size() + 1;
  }

  std::int64_t DigestBytesSent() const
  {
    return (mClient ? mClient->ControlBytes() : 0) + mReplyBytes;
  }

  void WakeDigest()
  {
    {
      const std::lock_guard lock(mWakeMutex);
      mDigestDue = true;
    }
    mWakeUp.notify_all();
  }

  // --- Digests: building and merging.

  Digest BuildDigest()
  {
    Digest digest;
    RoundPlan plan;
    {
      const std::lock_guard lock(mTableMutex);
      plan = PlanRound(mOptions, LivePeers(mTable).size() + 1);
      digest.mSender = mTable.mSelfId;
      digest.mRows = ChooseRows(mTable, plan.mMaxRows);
    }
    const std::int64_t evidenceBytes =
      plan.mMaxMessageBytes -
      static_cast<std::int64_t>(digest.mRows.size()) * kRowBytes;
    if (evidenceBytes > 0) {
      const std::lock_guard lock(mGossipMutex);
      digest.mEvidence =
        ChooseEvidenceUpdates(mGossip, static_cast<std::size_t>(evidenceBytes));
    }
    return digest;
  }

  /// Takes in what a peer told; returns the ids that need a description.
  std::vector<ShortId> ApplyDigest(const Digest& aDigest)
  {
    MergeOutcome outcome;
    ShortId selfId = 0;
    {
      const std::lock_guard lock(mTableMutex);
      outcome = MergeDigest(mTable, aDigest, MonotonicNow());
      selfId = mTable.mSelfId;
    }
    MergeEvidence(aDigest, selfId);
    FetchNewerSettings(aDigest);
    if (outcome.mUnknownIds.size() > kMaxDescriptionsPerMessage) {
      outcome.mUnknownIds.resize(kMaxDescriptionsPerMessage);
    }
    return outcome.mUnknownIds;
  }

  void MergeEvidence(const Digest& aDigest, ShortId aSelfId)
  {
    EvidenceView newEvidence;
    {
      const std::lock_guard lock(mGossipMutex);
      newEvidence = MergeEvidenceUpdates(
        mGossip, aSelfId, aDigest.mEvidence, kEvidenceTransmissions);
    }
    if (!newEvidence.empty() && mCallbacks.mMergeEvidence) {
      mWorkQueue->Push(
        [this, newEvidence] { mCallbacks.mMergeEvidence(newEvidence); });
    }
  }

  std::vector<VmDescription> DescriptionsFor(const std::vector<ShortId>& aIds)
  {
    const std::lock_guard lock(mTableMutex);
    std::vector<VmDescription> descriptions = DescribeVms(mTable, aIds);
    if (descriptions.size() > kMaxDescriptionsPerMessage) {
      descriptions.resize(kMaxDescriptionsPerMessage);
    }
    return descriptions;
  }

  /// The server's side of an exchange.
  Digest HandleExchange(const Digest& aDigest)
  {
    const std::vector<ShortId> unknownIds = ApplyDigest(aDigest);
    Digest reply;
    if (!aDigest.mRows.empty()) {
      reply = BuildDigest();
    }
    reply.mDescriptions = DescriptionsFor(aDigest.mUnknownIds);
    reply.mUnknownIds = unknownIds;
    return reply;
  }

  void SendDigest(const std::string& aAddress, const Digest& aDigest)
  {
    mClient->Exchange(aAddress,
                      aDigest,
                      kExchangeTimeout,
                      [this, aAddress](const ErrorOr<Digest>& aReply) {
                        if (aReply) {
                          HandleReply(aAddress, *aReply);
                        }
                      });
  }

  /// Descriptions are sent and asked for in one more exchange without rows.
  void HandleReply(const std::string& aAddress, const Digest& aReply)
  {
    Digest followUp;
    followUp.mUnknownIds = ApplyDigest(aReply);
    followUp.mDescriptions = DescriptionsFor(aReply.mUnknownIds);
    if (!followUp.mUnknownIds.empty() || !followUp.mDescriptions.empty()) {
      SendDigest(aAddress, followUp);
    }
  }

  // --- Settings: a peer with a higher generation is asked for the body.

  void FetchNewerSettings(const Digest& aDigest)
  {
    std::string address;
    std::int64_t generation = 0;
    {
      const std::lock_guard lock(mTableMutex);
      const auto self = mTable.mRecords.find(mTable.mSelfId);
      generation = self == mTable.mRecords.end()
                     ? 0
                     : self->second.mState.mSettingsGeneration;
      // NOTE: The sender comes first among equals, since it answers just now.
      for (const DigestRow& row : aDigest.mRows) {
        const auto record = mTable.mRecords.find(row.mId);
        if (row.mSettingsGeneration > generation &&
            record != mTable.mRecords.end()) {
          generation = row.mSettingsGeneration;
          address = record->second.mState.mPeerAddress;
        }
      }
    }
    if (!address.empty() && TryStartFetch(generation)) {
      FetchSettings(address, generation);
    }
  }

  bool TryStartFetch(std::int64_t aGeneration)
  {
    const std::lock_guard lock(mFetchMutex);
    const bool recentlyFetched =
      aGeneration <= mFetchedGeneration &&
      MonotonicNow() - mFetchedAt < kSettingsRetryDelay;
    if (mFetching || recentlyFetched || !mCallbacks.mOnNewerSettings) {
      return false;
    }
    mFetching = true;
    return true;
  }

  void FetchSettings(const std::string& aAddress, std::int64_t aGeneration)
  {
    mClient->FetchSettings(
      aAddress,
      aGeneration,
      kSettingsTimeout,
      [this](const ErrorOr<SettingsBody>& aBody) {
        const bool usable = aBody && !aBody->mBody.empty();
        {
          const std::lock_guard lock(mFetchMutex);
          mFetching = false;
          if (usable) {
            mFetchedGeneration =
              std::max(mFetchedGeneration, aBody->mGeneration);
            mFetchedAt = MonotonicNow();
          }
        }
        if (usable) {
          mWorkQueue->Push([this, body = *aBody] {
            mCallbacks.mOnNewerSettings(body.mGeneration, body.mBody);
            WakeDigest();
          });
        }
      });
  }

  // --- The digest thread.

  void RunDigestLoop()
  {
    TimePoint lastRound = MonotonicNow();
    TimePoint lastEvidence = lastRound;
    std::size_t evidenceBytes = 0;
    std::int64_t allowance = mOptions.mControlBytesPerSecond;
    std::int64_t sentBefore = DigestBytesSent();
    while (true) {
      const RoundPlan plan = PlanRound(mOptions, LiveCount());
      if (!WaitForRound(plan.mPeriod)) {
        return;
      }
      const TimePoint now = MonotonicNow();
      DiscountPauseIfLate(now - lastRound, plan.mPeriod);
      allowance = RefillAllowance(
        allowance, now - lastRound, DigestBytesSent() - sentBefore);
      sentBefore = DigestBytesSent();
      lastRound = now;
      UpdateSelfAndHealth(now);
      const std::size_t liveCount = LiveCount();
      if (now - lastEvidence >=
          EvidencePeriod(mOptions, liveCount, evidenceBytes)) {
        lastEvidence = now;
        evidenceBytes = CollectEvidence();
      }
      if (allowance > 0) {
        SendRound(plan);
      }
    }
  }

  /// False when the part stops. News end the wait early.
  bool WaitForRound(Duration aPeriod)
  {
    std::unique_lock lock(mWakeMutex);
    mWakeUp.wait_for(lock, aPeriod, [this] { return mStopping || mDigestDue; });
    mDigestDue = false;
    return !mStopping;
  }

  void DiscountPauseIfLate(Duration aSinceLastRound, Duration aPeriod)
  {
    const Duration lateness = aSinceLastRound - aPeriod;
    if (lateness < mOptions.mSuspectAfter / 2) {
      return;
    }
    Log(
      LogLevel::Warning,
      kLogComponent,
      "This process stood still.",
      { { "seconds",
          std::to_string(std::chrono::duration<double>(lateness).count()) } });
    const std::lock_guard lock(mTableMutex);
    DiscountPause(mTable, lateness);
  }

  std::int64_t RefillAllowance(std::int64_t aAllowance,
                               Duration aElapsed,
                               std::int64_t aSent) const
  {
    const double seconds = std::chrono::duration<double>(aElapsed).count();
    const auto earned = static_cast<std::int64_t>(
      std::min(seconds, static_cast<double>(kBurstSeconds)) *
      static_cast<double>(mOptions.mControlBytesPerSecond));
    return std::min(aAllowance + earned - aSent,
                    mOptions.mControlBytesPerSecond * kBurstSeconds);
  }

  void UpdateSelfAndHealth(TimePoint aNow)
  {
    std::vector<Incarnation> died;
    VmState self = SelfState();
    {
      const std::lock_guard lock(mTableMutex);
      UpdateSelf(mTable, std::move(self), mLeft, aNow);
      const FailureTimes times =
        ScaledFailureTimes(mOptions, LivePeers(mTable).size() + 1);
      died = UpdateHealth(mTable, times, aNow);
    }
    for (const Incarnation& incarnation : died) {
      Log(LogLevel::Info,
          kLogComponent,
          "A VM is taken for dead.",
          { { "vm", incarnation.mVm }, { "incarnation", incarnation.mNonce } });
      if (mCallbacks.mOnVmDead) {
        mWorkQueue->Push(
          [this, incarnation] { mCallbacks.mOnVmDead(incarnation); });
      }
    }
  }

  /// Returns the bytes of what was gathered.
  std::size_t CollectEvidence()
  {
    if (!mCallbacks.mCollectEvidence) {
      return 0;
    }
    const EvidenceView evidence = mCallbacks.mCollectEvidence();
    std::vector<ShortId> memberIds;
    ShortId selfId = 0;
    {
      const std::lock_guard lock(mTableMutex);
      selfId = mTable.mSelfId;
      for (const auto& [id, record] : mTable.mRecords) {
        memberIds.push_back(id);
      }
    }
    const std::lock_guard lock(mGossipMutex);
    RetainOrigins(mGossip, memberIds);
    return AddLocalEvidence(mGossip, selfId, evidence, kEvidenceTransmissions);
  }

  std::vector<std::string> ChooseTargets(std::size_t aFanOut)
  {
    const std::lock_guard lock(mTableMutex);
    std::vector<ShortId> ids =
      ChoosePeers(mTable, aFanOut, MonotonicNow(), mRandom);
    if (mRandom.Below(kRoundsPerDeadPeer) == 0) {
      const auto dead = ChooseDeadPeer(mTable, mRandom);
      if (dead && ids.size() >= aFanOut) {
        ids.back() = *dead;
      } else if (dead) {
        ids.push_back(*dead);
      }
    }
    std::vector<std::string> addresses;
    addresses.reserve(ids.size());
    for (const ShortId id : ids) {
      addresses.push_back(mTable.mRecords.at(id).mState.mPeerAddress);
    }
    return addresses;
  }

  void SendRound(const RoundPlan& aPlan)
  {
    for (const std::string& address : ChooseTargets(aPlan.mFanOut)) {
      SendDigest(address, BuildDigest());
    }
  }

  // --- The store thread.

  void RunStoreLoop()
  {
    while (true) {
      const Duration period = StorePeriod(mOptions, LiveCount());
      const bool synced = SyncStore(period);
      const Duration wait =
        synced ? period : std::min<Duration>(period, kStoreRetryDelay);
      if (!WaitForStore(Jittered(wait))) {
        return;
      }
    }
  }

  Duration Jittered(Duration aWait)
  {
    const std::lock_guard lock(mTableMutex);
    const double factor = 0.75 + 0.5 * mRandom.Unit();
    return Duration(
      static_cast<std::int64_t>(static_cast<double>(aWait.count()) * factor));
  }

  bool WaitForStore(Duration aWait)
  {
    std::unique_lock lock(mWakeMutex);
    mWakeUp.wait_for(lock, aWait, [this] { return mStopping || mStoreDue; });
    mStoreDue = false;
    return !mStopping;
  }

  bool SyncStore(Duration aPeriod)
  {
    const auto updated =
      mRegistration.Update(SelfState(), aPeriod * kLeaseStorePeriods);
    const auto found = mRegistration.List();
    if (found) {
      const std::lock_guard lock(mTableMutex);
      for (const VmState& state : *found) {
        AddSeed(mTable, state, MonotonicNow());
      }
    }
    return updated && found;
  }

  // --- Bill entries.

  struct PendingCalls
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::size_t mPending = 0;
    std::set<std::string> mAcknowledgedDomains;
  };

  /// One attempt over several holders at once; returns when all have answered
  /// or their deadlines have passed.
  std::set<std::string> SendHoldEntries(const std::vector<Holder>& aHolders,
                                        const std::vector<BillEntry>& aEntries)
  {
    const auto pending = std::make_shared<PendingCalls>();
    pending->mPending = aHolders.size();
    for (const Holder& holder : aHolders) {
      mClient->HoldEntries(holder.mPeerAddress,
                           aEntries,
                           mOptions.mHoldTimeout,
                           [pending, holder](const ErrorOr<void>& aResult) {
                             const std::lock_guard lock(pending->mMutex);
                             if (aResult) {
                               pending->mAcknowledgedDomains.insert(
                                 holder.mFailureDomain);
                             }
                             --pending->mPending;
                             pending->mChanged.notify_all();
                           });
    }
    std::unique_lock lock(pending->mMutex);
    pending->mChanged.wait(lock, [&pending] { return pending->mPending == 0; });
    return pending->mAcknowledgedDomains;
  }

  void RecordSentEntries(const std::vector<Holder>& aHolders,
                         const std::vector<BillEntry>& aEntries)
  {
    const std::lock_guard lock(mSentMutex);
    for (const BillEntry& entry : aEntries) {
      auto& holders = mHighestSent[entry.mIncarnation];
      for (const Holder& holder : aHolders) {
        std::uint64_t& highest = holders[holder.mPeerAddress];
        highest = std::max(highest, entry.mNumber);
      }
    }
  }

  std::vector<std::string> TakeHoldersToForget(const Incarnation& aIncarnation,
                                               std::uint64_t aUpTo)
  {
    const std::lock_guard lock(mSentMutex);
    std::vector<std::string> addresses;
    const auto it = mHighestSent.find(aIncarnation);
    if (it == mHighestSent.end()) {
      return addresses;
    }
    for (const auto& [address, highest] : it->second) {
      addresses.push_back(address);
    }
    std::erase_if(it->second,
                  [aUpTo](const auto& aItem) { return aItem.second <= aUpTo; });
    if (it->second.empty()) {
      mHighestSent.erase(it);
    }
    return addresses;
  }

  // --- Start and stop.

  PeerHandlers MakeHandlers()
  {
    PeerHandlers handlers;
    handlers.mExchange = [this](const Digest& aDigest) {
      return HandleExchange(aDigest);
    };
    handlers.mFetchSettings = [this](std::int64_t aGeneration) {
      return SettingsBodyFor(aGeneration);
    };
    handlers.mHoldEntries = [this](const std::vector<BillEntry>& aEntries) {
      if (mCallbacks.mHoldEntries) {
        mCallbacks.mHoldEntries(aEntries);
      }
    };
    handlers.mForgetEntries = [this](const Incarnation& aIncarnation,
                                     std::uint64_t aUpTo) {
      if (mCallbacks.mForgetEntries) {
        mCallbacks.mForgetEntries(aIncarnation, aUpTo);
      }
    };
    handlers.mCountDigestBytes = [this](std::int64_t aBytes) {
      mReplyBytes += aBytes + kCallOverheadBytes;
    };
    handlers.mCountSettingsBytes = [this](std::int64_t aBytes) {
      mSettingsBytes += aBytes + kCallOverheadBytes;
    };
    return handlers;
  }

  std::optional<SettingsBody> SettingsBodyFor(std::int64_t aGeneration)
  {
    if (!mCallbacks.mSettingsBody) {
      return std::nullopt;
    }
    std::string body = mCallbacks.mSettingsBody(aGeneration);
    if (body.empty()) {
      return std::nullopt;
    }
    return SettingsBody{ aGeneration, std::move(body) };
  }

  void Leave()
  {
    std::vector<std::string> addresses;
    VmState self = SelfState();
    {
      const std::lock_guard lock(mTableMutex);
      mLeft = true;
      UpdateSelf(mTable, std::move(self), true, MonotonicNow());
    }
    addresses = ChooseTargets(kLeaveFanOut);
    const auto pending = std::make_shared<PendingCalls>();
    pending->mPending = addresses.size();
    for (const std::string& address : addresses) {
      mClient->Exchange(address,
                        BuildDigest(),
                        kLeaveTimeout,
                        [pending](const ErrorOr<Digest>&) {
                          const std::lock_guard lock(pending->mMutex);
                          --pending->mPending;
                          pending->mChanged.notify_all();
                        });
    }
    std::unique_lock lock(pending->mMutex);
    pending->mChanged.wait(lock, [&pending] { return pending->mPending == 0; });
  }

  void StopThreads()
  {
    {
      const std::lock_guard lock(mWakeMutex);
      mStopping = true;
    }
    mWakeUp.notify_all();
    mDigestThread.join();
    mStoreThread.join();
  }
};

Membership::Membership(MembershipOptions aOptions,
                       MembershipCallbacks aCallbacks,
                       KeyValueStore aStore,
                       std::uint64_t aSeed)
  : mPrivate(std::make_unique<Private>(std::move(aOptions),
                                       std::move(aCallbacks),
                                       std::move(aStore),
                                       aSeed))
{
}

Membership::~Membership()
{
  Stop();
}

ErrorOr<std::string> Membership::Start()
{
  Private& state = *mPrivate;
  state.mWorkQueue = std::make_unique<WorkQueue>();
  state.mClient = std::make_unique<PeerClient>();
  state.mServer = std::make_unique<PeerServer>(state.MakeHandlers());
  // NOTE: Asked before the lock is taken, since it may ask for the members.
  VmState self = state.SelfState();
  {
    // NOTE: A peer may call before the address is known here; it waits.
    const std::lock_guard lock(state.mTableMutex);
    auto bound = state.mServer->Start(state.mOptions.mListenAddress);
    if (!bound) {
      return bound;
    }
    state.mPeerAddress = *bound;
    self.mPeerAddress = state.mPeerAddress;
    UpdateSelf(state.mTable, std::move(self), false, MonotonicNow());
  }
  state.mRunning = true;
  state.mDigestThread = std::thread([&state] { state.RunDigestLoop(); });
  state.mStoreThread = std::thread([&state] { state.RunStoreLoop(); });
  Log(LogLevel::Info,
      kLogComponent,
      "Peers are served.",
      { { "address", state.mPeerAddress } });
  return state.mPeerAddress;
}

void Membership::Stop()
{
  Private& state = *mPrivate;
  if (!state.mRunning) {
    return;
  }
  state.mRunning = false;
  state.StopThreads();
  state.Leave();
  state.mRegistration.Revoke();
  state.mServer->Stop();
  // NOTE: The client object stays, since callers of Replicate may come late.
  state.mClient->Close();
  state.mWorkQueue.reset();
}

void Membership::Announce()
{
  {
    const std::lock_guard lock(mPrivate->mWakeMutex);
    mPrivate->mStoreDue = true;
  }
  mPrivate->WakeDigest();
}

std::vector<Member> Membership::Members() const
{
  const std::lock_guard lock(mPrivate->mTableMutex);
  return ListMembers(mPrivate->mTable);
}

std::size_t Membership::LiveCount() const
{
  return mPrivate->LiveCount();
}

std::size_t Membership::Replicate(const std::vector<BillEntry>& aEntries)
{
  HolderQuery query;
  query.mWantedDomains = mPrivate->mOptions.mHolderDomains;
  for (int attempt = 0; attempt < kMaxReplicateAttempts; ++attempt) {
    std::vector<Holder> holders;
    {
      const std::lock_guard lock(mPrivate->mTableMutex);
      holders = ChooseHolders(mPrivate->mTable, query);
    }
    if (holders.empty() || !mPrivate->mClient) {
      break;
    }
    mPrivate->RecordSentEntries(holders, aEntries);
    query.mAcknowledgedDomains.merge(
      mPrivate->SendHoldEntries(holders, aEntries));
    for (const Holder& holder : holders) {
      query.mTriedAddresses.insert(holder.mPeerAddress);
    }
  }
  return query.mAcknowledgedDomains.size();
}

void Membership::SendForget(const Incarnation& aIncarnation,
                            std::uint64_t aUpTo)
{
  if (!mPrivate->mClient) {
    return;
  }
  for (const std::string& address :
       mPrivate->TakeHoldersToForget(aIncarnation, aUpTo)) {
    mPrivate->mClient->ForgetEntries(
      address, aIncarnation, aUpTo, kForgetTimeout);
  }
}

std::int64_t Membership::ControlBytesSent() const
{
  return mPrivate->DigestBytesSent() + mPrivate->mSettingsBytes;
}

std::int64_t Membership::EntryBytesSent() const
{
  return mPrivate->mClient ? mPrivate->mClient->EntryBytes() : 0;
}

} // namespace Acaciavale
