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
/// Delay before this VM fetches settings again that were passed to
/// mOnNewerSettings but not applied.
constexpr Duration kSettingsRetryDelay = std::chrono::seconds(2);
/// Delay before the next sync after one that failed.
constexpr Duration kStoreRetryDelay = std::chrono::milliseconds(500);
/// Number of peers that a leaving VM notifies directly.
constexpr std::size_t kLeaveFanOut = 8;
constexpr std::size_t kMaxDescriptionsPerMessage = 16;
/// Mean number of rounds between two digests to dead peers.
constexpr std::uint64_t kRoundsPerDeadPeer = 4;
constexpr int kMaxReplicateAttempts = 3;
/// Time to live of the lease, in store periods.
constexpr std::int64_t kLeaseStorePeriods = 3;
/// Unused byte budget is accumulated for at most this time.
constexpr std::int64_t kBurstSeconds = 4;

} // namespace

struct Membership::Private
{
  MembershipOptions mOptions;
  MembershipCallbacks mCallbacks;
  Random mSeedRandom;
  VmRegistration mRegistration;

  /// Guards the member table and the fields up to mLeft.
  mutable std::mutex mTableMutex;
  MemberTable mTable;
  Random mRandom;
  bool mLeft = false; ///< Whether this VM has announced that it leaves.

  /// Guards mGossip.
  std::mutex mGossipMutex;
  EvidenceGossip mGossip;

  /// Guards the state of the settings fetch, up to mFetchedAt.
  std::mutex mFetchMutex;
  bool mFetching = false;
  /// Highest generation passed to mOnNewerSettings.
  std::int64_t mFetchedGeneration = 0;
  TimePoint mFetchedAt{}; ///< Time of the last successful fetch.

  /// Guards mHighestSentNumber.
  std::mutex mSentMutex;
  /// Highest entry number sent to each holder, by incarnation and peer address.
  std::map<Incarnation, std::map<std::string, std::uint64_t>>
    mHighestSentNumber;

  /// Guards the flags up to mStoreDue.
  std::mutex mWakeMutex;
  std::condition_variable mWakeUp;
  bool mStopping = false;
  bool mDigestDue = false; ///< The digest thread is to start a round at once.
  bool mStoreDue = false;  ///< The store thread is to sync at once.

  /// Bytes sent in digest replies.
  std::atomic<std::int64_t> mReplyBytes{ 0 };
  /// Bytes sent in settings replies. They do not use up the digest budget, so
  /// that a VM goes on sending digests while peers fetch new settings from it.
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

  /// The current state of this VM with the peer address in use.
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

  /// Bytes sent that count against the digest budget.
  std::int64_t DigestBytesSent() const
  {
    return (mClient ? mClient->ControlBytes() : 0) + mReplyBytes;
  }

  /// Starts a gossip round at once.
  void WakeDigest()
  {
    {
      const std::lock_guard lock(mWakeMutex);
      mDigestDue = true;
    }
    mWakeUp.notify_all();
  }

  // --- Building and merging digests.

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

  /// Merges a digest from a peer. Returns the ids whose description is needed.
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

  /// Server side of a digest exchange. A request without rows is a follow-up
  /// for descriptions, so its reply has no rows either.
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

  /// Merges the reply. Sends the descriptions that the peer requested, and
  /// requests missing ones, in a second exchange without rows.
  void HandleReply(const std::string& aAddress, const Digest& aReply)
  {
    Digest followUp;
    followUp.mUnknownIds = ApplyDigest(aReply);
    followUp.mDescriptions = DescriptionsFor(aReply.mUnknownIds);
    if (!followUp.mUnknownIds.empty() || !followUp.mDescriptions.empty()) {
      SendDigest(aAddress, followUp);
    }
  }

  // --- Fetching settings from a peer with a higher generation.

  /// Fetches the settings of the highest generation in the digest if it is
  /// above this VM's own.
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
      // NOTE: Among VMs of the same generation this picks the sender, whose row
      //       comes first, since it is responding at the moment.
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

  /// Returns false if a fetch is running or has fetched this generation lately.
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

  // --- Digest thread.

  void RunDigestLoop()
  {
    TimePoint lastRound = MonotonicNow();
    TimePoint lastEvidence = lastRound;
    std::size_t evidenceBytes = 0;
    std::int64_t allowanceBytes = mOptions.mControlBytesPerSecond;
    std::int64_t sentBytesBefore = DigestBytesSent();
    while (true) {
      const RoundPlan plan = PlanRound(mOptions, LiveCount());
      if (!WaitForRound(plan.mPeriod)) {
        return;
      }
      const TimePoint now = MonotonicNow();
      DiscountPauseIfLate(now - lastRound, plan.mPeriod);
      allowanceBytes = RefillAllowance(
        allowanceBytes, now - lastRound, DigestBytesSent() - sentBytesBefore);
      sentBytesBefore = DigestBytesSent();
      lastRound = now;
      UpdateSelfAndHealth(now);
      const std::size_t liveCount = LiveCount();
      if (now - lastEvidence >=
          EvidencePeriod(mOptions, liveCount, evidenceBytes)) {
        lastEvidence = now;
        evidenceBytes = CollectEvidence();
      }
      if (allowanceBytes > 0) {
        SendRound(plan);
      }
    }
  }

  /// Waits until the next round is due; WakeDigest() ends the wait early.
  /// Returns false when Stop() was called.
  bool WaitForRound(Duration aPeriod)
  {
    std::unique_lock lock(mWakeMutex);
    mWakeUp.wait_for(lock, aPeriod, [this] { return mStopping || mDigestDue; });
    mDigestDue = false;
    return !mStopping;
  }

  /// Detects from a late round that this process was paused.
  void DiscountPauseIfLate(Duration aSinceLastRound, Duration aPeriod)
  {
    const Duration lateness = aSinceLastRound - aPeriod;
    if (lateness < mOptions.mSuspectAfter / 2) {
      return;
    }
    Log(
      LogLevel::Warning,
      kLogComponent,
      "Process was paused; peers are not suspected for that time.",
      { { "seconds",
          std::to_string(std::chrono::duration<double>(lateness).count()) } });
    const std::lock_guard lock(mTableMutex);
    DiscountPause(mTable, lateness);
  }

  /// The byte budget after a round: a token bucket.
  std::int64_t RefillAllowance(std::int64_t aAllowanceBytes,
                               Duration aElapsed,
                               std::int64_t aSentBytes) const
  {
    const double seconds = std::chrono::duration<double>(aElapsed).count();
    const auto earnedBytes = static_cast<std::int64_t>(
      std::min(seconds, static_cast<double>(kBurstSeconds)) *
      static_cast<double>(mOptions.mControlBytesPerSecond));
    return std::min(aAllowanceBytes + earnedBytes - aSentBytes,
                    mOptions.mControlBytesPerSecond * kBurstSeconds);
  }

  /// Updates the record of this VM and the health of its peers, and reports
  /// those that died.
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
          "VM left or is declared dead after missing heartbeats.",
          { { "vm", incarnation.mVm }, { "incarnation", incarnation.mNonce } });
      if (mCallbacks.mOnVmDead) {
        mWorkQueue->Push(
          [this, incarnation] { mCallbacks.mOnVmDead(incarnation); });
      }
    }
  }

  /// Queues the evidence that this VM has gathered. Returns its estimated size
  /// in bytes.
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

  /// Addresses of the peers for one round of digests.
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

  // --- Store thread.

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

  /// Varies the wait at random by up to 25 % in either direction.
  Duration Jittered(Duration aWait)
  {
    const std::lock_guard lock(mTableMutex);
    const double factor = 0.75 + 0.5 * mRandom.Unit();
    return Duration(
      static_cast<std::int64_t>(static_cast<double>(aWait.count()) * factor));
  }

  /// Waits until the next sync is due; Announce() ends the wait early. Returns
  /// false when Stop() was called.
  bool WaitForStore(Duration aWait)
  {
    std::unique_lock lock(mWakeMutex);
    mWakeUp.wait_for(lock, aWait, [this] { return mStopping || mStoreDue; });
    mStoreDue = false;
    return !mStopping;
  }

  /// Updates this VM's record in the key-value service and adds the VMs listed
  /// there. Returns whether both succeeded.
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

  /// Results of calls that run concurrently.
  struct PendingCalls
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::size_t mPending = 0;
    std::set<std::string> mAcknowledgedDomains;
  };

  /// Sends the entries to all given holders concurrently. Returns the failure
  /// domains that acknowledged them, once each call has ended or timed out.
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
      auto& holders = mHighestSentNumber[entry.mIncarnation];
      for (const Holder& holder : aHolders) {
        std::uint64_t& highest = holders[holder.mPeerAddress];
        highest = std::max(highest, entry.mNumber);
      }
    }
  }

  /// Returns the addresses of the holders that were sent entries of the
  /// incarnation. Drops the records of holders that were sent no entry above
  /// aUpTo.
  std::vector<std::string> TakeHoldersToForget(const Incarnation& aIncarnation,
                                               std::uint64_t aUpTo)
  {
    const std::lock_guard lock(mSentMutex);
    std::vector<std::string> addresses;
    const auto it = mHighestSentNumber.find(aIncarnation);
    if (it == mHighestSentNumber.end()) {
      return addresses;
    }
    for (const auto& [address, highest] : it->second) {
      addresses.push_back(address);
    }
    std::erase_if(it->second,
                  [aUpTo](const auto& aItem) { return aItem.second <= aUpTo; });
    if (it->second.empty()) {
      mHighestSentNumber.erase(it);
    }
    return addresses;
  }

  // --- Starting and stopping.

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

  /// The settings that a peer requests, if this VM has them.
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

  /// Announces to some peers that this VM leaves. Waits for the calls to end.
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
  // NOTE: This must precede the lock, since the callback may call Members().
  VmState self = state.SelfState();
  {
    // NOTE: A peer may call before the bound address is stored below. The lock
    //       makes such a call wait.
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
      "Peer server is listening.",
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
  // NOTE: The client object is kept, since Replicate may still be called.
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
