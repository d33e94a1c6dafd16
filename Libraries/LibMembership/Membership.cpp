#include <Acaciavale/LibMembership/Membership.h>

#include "EvidenceRumours.h"
#include "Holders.h"
#include "MemberTable.h"
#include "Pacing.h"
#include "PeerClient.h"
#include "PeerServer.h"
#include "StoreRecord.h"
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

constexpr const char* kPart = "membership";
constexpr Duration kExchangeDeadline = std::chrono::milliseconds(800);
constexpr Duration kSettingsDeadline = std::chrono::seconds(2);
constexpr Duration kForgetDeadline = std::chrono::milliseconds(500);
constexpr Duration kLeaveDeadline = std::chrono::milliseconds(300);
/// A peer's settings that were handed on and not taken are asked for again.
constexpr Duration kSettingsAskedAgain = std::chrono::seconds(2);
constexpr Duration kLeastStoreRetry = std::chrono::milliseconds(500);
constexpr std::size_t kLeaveFanOut = 8;
constexpr std::size_t kMostDescribed = 16; ///< Per message.
constexpr std::uint64_t kDeadPeerRounds = 4;
constexpr int kReplicateAttempts = 3;
constexpr std::int64_t kLeasePeriods = 3;
constexpr std::int64_t kBurstSeconds = 4;

} // namespace

struct Membership::Private
{
  MembershipOptions mOptions;
  MembershipCallbacks mCallbacks;
  Random mSeeds;
  StoreRecord mRecord;

  /// The members and the news about them.
  mutable std::mutex mTableMutex;
  MemberTable mTable;
  Random mRandom;
  bool mLeft = false;

  std::mutex mRumourMutex;
  EvidenceRumours mRumours;

  /// The settings being fetched from a peer.
  std::mutex mFetchMutex;
  bool mFetching = false;
  std::int64_t mHandedGeneration = 0;
  TimePoint mHandedAt{};

  /// Highest entry number that each holder was sent, per incarnation.
  std::mutex mHolderMutex;
  std::map<Incarnation, std::map<std::string, std::uint64_t>> mHolders;

  std::mutex mWakeMutex;
  std::condition_variable mWake;
  bool mStopping = false;
  bool mDigestDue = false;
  bool mStoreDue = false;

  std::atomic<std::int64_t> mAnswerBytes{ 0 };
  /// Kept apart: a VM that hands out new settings must not fall silent for it.
  std::atomic<std::int64_t> mSettingsBytes{ 0 };
  std::string mAddress;
  bool mRunning = false;
  std::unique_ptr<WorkQueue> mWork;
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
    , mSeeds(aSeed)
    , mRecord(std::move(aStore), mSeeds.Next())
    , mRandom(mSeeds.Next())
  {
  }

  VmState Self() const
  {
    VmState self = mCallbacks.mSelf ? mCallbacks.mSelf() : mOptions.mSelf;
    self.mPeerAddress = mAddress;
    return self;
  }

  std::size_t MemberCount() const
  {
    const std::lock_guard lock(mTableMutex);
    return LivePeers(mTable).size() + 1;
  }

  std::int64_t DigestBytes() const
  {
    return (mClient ? mClient->ControlBytes() : 0) + mAnswerBytes;
  }

  void WakeDigest()
  {
    {
      const std::lock_guard lock(mWakeMutex);
      mDigestDue = true;
    }
    mWake.notify_all();
  }

  // --- Digests: building and merging.

  Digest BuildDigest()
  {
    Digest digest;
    RoundPlan plan;
    {
      const std::lock_guard lock(mTableMutex);
      plan = PlanRound(mOptions, LivePeers(mTable).size() + 1);
      digest.mSender = mTable.mSelf;
      digest.mRows = ChooseRows(mTable, plan.mRows);
    }
    const std::int64_t room =
      plan.mMessageBytes -
      static_cast<std::int64_t>(digest.mRows.size()) * kRowBytes;
    if (room > 0) {
      const std::lock_guard lock(mRumourMutex);
      digest.mEvidence =
        ChooseRumours(mRumours, static_cast<std::size_t>(room));
    }
    return digest;
  }

  /// Takes in what a peer told; returns the ids that need a description.
  std::vector<ShortId> TakeDigest(const Digest& aDigest)
  {
    MergeOutcome outcome;
    ShortId self = 0;
    {
      const std::lock_guard lock(mTableMutex);
      outcome = MergeDigest(mTable, aDigest, MonotonicNow());
      self = mTable.mSelf;
    }
    TakeEvidence(aDigest, self);
    AskForSettings(aDigest);
    if (outcome.mUnknown.size() > kMostDescribed) {
      outcome.mUnknown.resize(kMostDescribed);
    }
    return outcome.mUnknown;
  }

  void TakeEvidence(const Digest& aDigest, ShortId aSelf)
  {
    EvidenceView fresh;
    {
      const std::lock_guard lock(mRumourMutex);
      fresh = MergeRumours(mRumours, aSelf, aDigest.mEvidence, kEvidenceTells);
    }
    if (!fresh.empty() && mCallbacks.mMergeEvidence) {
      mWork->Push([this, fresh] { mCallbacks.mMergeEvidence(fresh); });
    }
  }

  std::vector<VmDescribed> DescribedFor(const std::vector<ShortId>& aIds)
  {
    const std::lock_guard lock(mTableMutex);
    std::vector<VmDescribed> described = Describe(mTable, aIds);
    if (described.size() > kMostDescribed) {
      described.resize(kMostDescribed);
    }
    return described;
  }

  /// The server's side of an exchange.
  Digest AnswerDigest(const Digest& aDigest)
  {
    const std::vector<ShortId> unknown = TakeDigest(aDigest);
    Digest answer;
    if (!aDigest.mRows.empty()) {
      answer = BuildDigest();
    }
    answer.mDescribed = DescribedFor(aDigest.mUnknown);
    answer.mUnknown = unknown;
    return answer;
  }

  void SendDigest(const std::string& aAddress, const Digest& aDigest)
  {
    mClient->Exchange(aAddress,
                      aDigest,
                      kExchangeDeadline,
                      [this, aAddress](const ErrorOr<Digest>& aAnswer) {
                        if (aAnswer) {
                          TakeAnswer(aAddress, *aAnswer);
                        }
                      });
  }

  /// Descriptions are sent and asked for in one more exchange without rows.
  void TakeAnswer(const std::string& aAddress, const Digest& aAnswer)
  {
    Digest more;
    more.mUnknown = TakeDigest(aAnswer);
    more.mDescribed = DescribedFor(aAnswer.mUnknown);
    if (!more.mUnknown.empty() || !more.mDescribed.empty()) {
      SendDigest(aAddress, more);
    }
  }

  // --- Settings: a peer with a higher generation is asked for the body.

  void AskForSettings(const Digest& aDigest)
  {
    std::string address;
    std::int64_t generation = 0;
    {
      const std::lock_guard lock(mTableMutex);
      const auto self = mTable.mRecords.find(mTable.mSelf);
      generation = self == mTable.mRecords.end()
                     ? 0
                     : self->second.mState.mSettingsGeneration;
      // NOTE: The sender comes first among equals, since it answers just now.
      for (const DigestRow& row : aDigest.mRows) {
        const auto owner = mTable.mRecords.find(row.mId);
        if (row.mSettingsGeneration > generation &&
            owner != mTable.mRecords.end()) {
          generation = row.mSettingsGeneration;
          address = owner->second.mState.mPeerAddress;
        }
      }
    }
    if (!address.empty() && StartFetch(generation)) {
      FetchSettings(address, generation);
    }
  }

  bool StartFetch(std::int64_t aGeneration)
  {
    const std::lock_guard lock(mFetchMutex);
    const bool handed = aGeneration <= mHandedGeneration &&
                        MonotonicNow() - mHandedAt < kSettingsAskedAgain;
    if (mFetching || handed || !mCallbacks.mNewerSettings) {
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
      kSettingsDeadline,
      [this](const ErrorOr<SettingsBody>& aBody) {
        const bool usable = aBody && !aBody->mBody.empty();
        {
          const std::lock_guard lock(mFetchMutex);
          mFetching = false;
          if (usable) {
            mHandedGeneration = std::max(mHandedGeneration, aBody->mGeneration);
            mHandedAt = MonotonicNow();
          }
        }
        if (usable) {
          mWork->Push([this, body = *aBody] {
            mCallbacks.mNewerSettings(body.mGeneration, body.mBody);
            WakeDigest();
          });
        }
      });
  }

  // --- The digest thread.

  void RunDigests()
  {
    TimePoint last = MonotonicNow();
    TimePoint lastEvidence = last;
    std::size_t evidenceBytes = 0;
    std::int64_t allowance = mOptions.mBytesPerSecond;
    std::int64_t spent = DigestBytes();
    while (true) {
      const RoundPlan plan = PlanRound(mOptions, MemberCount());
      if (!WaitForRound(plan.mPeriod)) {
        return;
      }
      const TimePoint now = MonotonicNow();
      NoticePause(now - last, plan.mPeriod);
      allowance = Refill(allowance, now - last, DigestBytes() - spent);
      spent = DigestBytes();
      last = now;
      Beat(now);
      const std::size_t members = MemberCount();
      if (now - lastEvidence >=
          EvidencePeriod(mOptions, members, evidenceBytes)) {
        lastEvidence = now;
        evidenceBytes = GatherEvidence();
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
    mWake.wait_for(lock, aPeriod, [this] { return mStopping || mDigestDue; });
    mDigestDue = false;
    return !mStopping;
  }

  void NoticePause(Duration aGap, Duration aPeriod)
  {
    const Duration lateness = aGap - aPeriod;
    if (lateness < mOptions.mSuspectAfter / 2) {
      return;
    }
    Log(
      LogLevel::Warning,
      kPart,
      "This process stood still.",
      { { "seconds",
          std::to_string(std::chrono::duration<double>(lateness).count()) } });
    const std::lock_guard lock(mTableMutex);
    ForgiveSilence(mTable, lateness);
  }

  std::int64_t Refill(std::int64_t aAllowance,
                      Duration aPassed,
                      std::int64_t aSpent) const
  {
    const double seconds = std::chrono::duration<double>(aPassed).count();
    const auto earned = static_cast<std::int64_t>(
      std::min(seconds, static_cast<double>(kBurstSeconds)) *
      static_cast<double>(mOptions.mBytesPerSecond));
    return std::min(aAllowance + earned - aSpent,
                    mOptions.mBytesPerSecond * kBurstSeconds);
  }

  void Beat(TimePoint aNow)
  {
    std::vector<Incarnation> died;
    VmState self = Self();
    {
      const std::lock_guard lock(mTableMutex);
      BeatSelf(mTable, std::move(self), mLeft, aNow);
      const FailureTimes times =
        ScaledTimes(mOptions, LivePeers(mTable).size() + 1);
      died = JudgeHealth(mTable, times, aNow);
    }
    for (const Incarnation& incarnation : died) {
      Log(LogLevel::Info,
          kPart,
          "A VM is taken for dead.",
          { { "vm", incarnation.mVm }, { "incarnation", incarnation.mNonce } });
      if (mCallbacks.mVmDead) {
        mWork->Push([this, incarnation] { mCallbacks.mVmDead(incarnation); });
      }
    }
  }

  /// Returns the bytes of what was gathered.
  std::size_t GatherEvidence()
  {
    if (!mCallbacks.mTakeEvidence) {
      return 0;
    }
    const EvidenceView evidence = mCallbacks.mTakeEvidence();
    std::vector<ShortId> known;
    ShortId self = 0;
    {
      const std::lock_guard lock(mTableMutex);
      self = mTable.mSelf;
      for (const auto& [id, record] : mTable.mRecords) {
        known.push_back(id);
      }
    }
    const std::lock_guard lock(mRumourMutex);
    ForgetOrigins(mRumours, known);
    return AddOwnEvidence(mRumours, self, evidence, kEvidenceTells);
  }

  std::vector<std::string> Targets(std::size_t aFanOut)
  {
    const std::lock_guard lock(mTableMutex);
    std::vector<ShortId> ids =
      DrawPeers(mTable, aFanOut, MonotonicNow(), mRandom);
    if (mRandom.Below(kDeadPeerRounds) == 0) {
      const auto dead = DrawDeadPeer(mTable, mRandom);
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
    for (const std::string& address : Targets(aPlan.mFanOut)) {
      SendDigest(address, BuildDigest());
    }
  }

  // --- The store thread.

  void RunStore()
  {
    while (true) {
      const Duration period = StorePeriod(mOptions, MemberCount());
      const bool done = UseStore(period);
      const Duration wait =
        done ? period : std::min<Duration>(period, kLeastStoreRetry);
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
    mWake.wait_for(lock, aWait, [this] { return mStopping || mStoreDue; });
    mStoreDue = false;
    return !mStopping;
  }

  bool UseStore(Duration aPeriod)
  {
    const auto updated = mRecord.Update(Self(), aPeriod * kLeasePeriods);
    const auto found = mRecord.List();
    if (found) {
      const std::lock_guard lock(mTableMutex);
      for (const VmState& state : *found) {
        AddSeed(mTable, state, MonotonicNow());
      }
    }
    return updated && found;
  }

  // --- Bill entries.

  struct Acknowledged
  {
    std::mutex mMutex;
    std::condition_variable mChanged;
    std::size_t mPending = 0;
    std::set<std::string> mDomains;
  };

  /// One attempt over several holders at once; returns when all have answered
  /// or their deadlines have passed.
  std::set<std::string> HoldAt(const std::vector<Holder>& aHolders,
                               const std::vector<BillEntry>& aEntries)
  {
    const auto acknowledged = std::make_shared<Acknowledged>();
    acknowledged->mPending = aHolders.size();
    for (const Holder& holder : aHolders) {
      mClient->HoldEntries(
        holder.mPeerAddress,
        aEntries,
        mOptions.mHoldDeadline,
        [acknowledged, holder](const ErrorOr<void>& aResult) {
          const std::lock_guard lock(acknowledged->mMutex);
          if (aResult) {
            acknowledged->mDomains.insert(holder.mFailureDomain);
          }
          --acknowledged->mPending;
          acknowledged->mChanged.notify_all();
        });
    }
    std::unique_lock lock(acknowledged->mMutex);
    acknowledged->mChanged.wait(
      lock, [&acknowledged] { return acknowledged->mPending == 0; });
    return acknowledged->mDomains;
  }

  void NoteHolders(const std::vector<Holder>& aHolders,
                   const std::vector<BillEntry>& aEntries)
  {
    const std::lock_guard lock(mHolderMutex);
    for (const BillEntry& entry : aEntries) {
      auto& holders = mHolders[entry.mIncarnation];
      for (const Holder& holder : aHolders) {
        std::uint64_t& highest = holders[holder.mPeerAddress];
        highest = std::max(highest, entry.mNumber);
      }
    }
  }

  std::vector<std::string> HoldersOf(const Incarnation& aIncarnation,
                                     std::uint64_t aUpTo)
  {
    const std::lock_guard lock(mHolderMutex);
    std::vector<std::string> addresses;
    const auto place = mHolders.find(aIncarnation);
    if (place == mHolders.end()) {
      return addresses;
    }
    for (const auto& [address, highest] : place->second) {
      addresses.push_back(address);
    }
    std::erase_if(place->second,
                  [aUpTo](const auto& aItem) { return aItem.second <= aUpTo; });
    if (place->second.empty()) {
      mHolders.erase(place);
    }
    return addresses;
  }

  // --- Start and stop.

  PeerHandlers Handlers()
  {
    PeerHandlers handlers;
    handlers.mExchange = [this](const Digest& aDigest) {
      return AnswerDigest(aDigest);
    };
    handlers.mFetchSettings = [this](std::int64_t aGeneration) {
      return BodyOf(aGeneration);
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
    handlers.mCountDigest = [this](std::int64_t aBytes) {
      mAnswerBytes += aBytes + kCallOverheadBytes;
    };
    handlers.mCountSettings = [this](std::int64_t aBytes) {
      mSettingsBytes += aBytes + kCallOverheadBytes;
    };
    return handlers;
  }

  std::optional<SettingsBody> BodyOf(std::int64_t aGeneration)
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
    VmState self = Self();
    {
      const std::lock_guard lock(mTableMutex);
      mLeft = true;
      BeatSelf(mTable, std::move(self), true, MonotonicNow());
    }
    addresses = Targets(kLeaveFanOut);
    const auto told = std::make_shared<Acknowledged>();
    told->mPending = addresses.size();
    for (const std::string& address : addresses) {
      mClient->Exchange(
        address, BuildDigest(), kLeaveDeadline, [told](const ErrorOr<Digest>&) {
          const std::lock_guard lock(told->mMutex);
          --told->mPending;
          told->mChanged.notify_all();
        });
    }
    std::unique_lock lock(told->mMutex);
    told->mChanged.wait(lock, [&told] { return told->mPending == 0; });
  }

  void StopThreads()
  {
    {
      const std::lock_guard lock(mWakeMutex);
      mStopping = true;
    }
    mWake.notify_all();
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
  state.mWork = std::make_unique<WorkQueue>();
  state.mClient = std::make_unique<PeerClient>();
  state.mServer = std::make_unique<PeerServer>(state.Handlers());
  // NOTE: Asked before the lock is taken, since it may ask for the members.
  VmState self = state.Self();
  {
    // NOTE: A peer may call before the address is known here; it waits.
    const std::lock_guard lock(state.mTableMutex);
    auto bound = state.mServer->Start(state.mOptions.mListenAddress);
    if (!bound) {
      return bound;
    }
    state.mAddress = *bound;
    self.mPeerAddress = state.mAddress;
    BeatSelf(state.mTable, std::move(self), false, MonotonicNow());
  }
  state.mRunning = true;
  state.mDigestThread = std::thread([&state] { state.RunDigests(); });
  state.mStoreThread = std::thread([&state] { state.RunStore(); });
  Log(LogLevel::Info,
      kPart,
      "Peers are served.",
      { { "address", state.mAddress } });
  return state.mAddress;
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
  state.mRecord.Revoke();
  state.mServer->Stop();
  // NOTE: The client object stays, since callers of Replicate may come late.
  state.mClient->Close();
  state.mWork.reset();
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
  return MembersOf(mPrivate->mTable);
}

std::size_t Membership::LiveCount() const
{
  return mPrivate->MemberCount();
}

std::size_t Membership::Replicate(const std::vector<BillEntry>& aEntries)
{
  HolderQuery query;
  query.mWanted = mPrivate->mOptions.mHolders;
  for (int attempt = 0; attempt < kReplicateAttempts; ++attempt) {
    std::vector<Holder> holders;
    {
      const std::lock_guard lock(mPrivate->mTableMutex);
      holders = ChooseHolders(mPrivate->mTable, query);
    }
    if (holders.empty() || !mPrivate->mClient) {
      break;
    }
    mPrivate->NoteHolders(holders, aEntries);
    query.mAcked.merge(mPrivate->HoldAt(holders, aEntries));
    for (const Holder& holder : holders) {
      query.mTried.insert(holder.mPeerAddress);
    }
  }
  return query.mAcked.size();
}

void Membership::TellForget(const Incarnation& aIncarnation,
                            std::uint64_t aUpTo)
{
  if (!mPrivate->mClient) {
    return;
  }
  for (const std::string& address : mPrivate->HoldersOf(aIncarnation, aUpTo)) {
    mPrivate->mClient->ForgetEntries(
      address, aIncarnation, aUpTo, kForgetDeadline);
  }
}

std::int64_t Membership::BytesSent() const
{
  return mPrivate->DigestBytes() + mPrivate->mSettingsBytes;
}

std::int64_t Membership::EntryBytesSent() const
{
  return mPrivate->mClient ? mPrivate->mClient->EntryBytes() : 0;
}

} // namespace Acaciavale
