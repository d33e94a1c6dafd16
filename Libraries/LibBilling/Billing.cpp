#include "OwnLedger.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>

namespace Acaciavale {

namespace {

constexpr char kLogComponent[] = "billing";
/// Maximum number of entries in one message to the holders, at about 200 bytes
/// per entry.
constexpr std::size_t kMaxGroupEntries = 1000;

/// An entry whose caller waits for it to become durable.
struct PendingEntry
{
  BillEntry mEntry;
  std::function<void(bool)> mCallback;
};

bool PrecedesByNumber(const LedgerLine& aLeft, const LedgerLine& aRight)
{
  return aLeft.mNumber < aRight.mNumber;
}

void CallBack(const std::vector<PendingEntry>& aPending, bool aDurable)
{
  for (const PendingEntry& pending : aPending) {
    pending.mCallback(aDurable);
  }
}

} // namespace

Duration LedgerPeriod(std::size_t aLiveVms)
{
  const Duration shared = Duration(std::chrono::seconds(1)) *
                          static_cast<std::int64_t>(aLiveVms) /
                          kLedgerWritesPerSecond;
  return std::max(kMinLedgerPeriod, shared);
}

struct Billing::Private
{
  BillingOptions mOptions;
  KeyValueStore mStore;
  ReplicateEntries mReplicate;
  NotifyHolders mNotifyHolders;

  /// Guards the members below, up to mLedgerMutex. Never held during I/O.
  mutable std::mutex mMutex;
  std::condition_variable mReplicationWork;
  std::condition_variable mLedgerWork;
  Random mRandom;
  LedgerBacklog mBacklog;
  /// Entries of ended incarnations, to be added to the archive.
  std::vector<LedgerBacklog> mClosedBacklogs;
  std::vector<PendingEntry> mReplicationQueue; ///< To be sent to the holders.
  /// Entries with too few holders, which wait for a ledger write.
  std::vector<PendingEntry> mAwaitingLedger;
  BillingCounts mCounts;
  bool mStopping = false;

  /// Held during I/O on the ledger of this VM. Locked before mMutex.
  std::mutex mLedgerMutex;
  OwnLedger mLedger;

  std::thread mReplicationThread;
  std::thread mLedgerThread;

  Private(BillingOptions aOptions,
          KeyValueStore aStore,
          ReplicateEntries aReplicate,
          NotifyHolders aNotifyHolders,
          std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mStore(std::move(aStore))
    , mReplicate(std::move(aReplicate))
    , mNotifyHolders(std::move(aNotifyHolders))
    , mRandom(aSeed)
    , mBacklog(NewBacklog())
    , mLedger(mBacklog.mIncarnation)
  {
  }

  LedgerBacklog NewBacklog()
  {
    ++mCounts.mIncarnations;
    LedgerBacklog backlog;
    const std::string prefix = mOptions.mNoncePrefix.empty()
                                 ? RandomToken(mRandom)
                                 : mOptions.mNoncePrefix;
    backlog.mIncarnation = {
      mOptions.mVm, prefix + "-" + std::to_string(mCounts.mIncarnations)
    };
    return backlog;
  }

  void Notify(const Incarnation& aIncarnation, std::uint64_t aUpTo) const
  {
    if (mNotifyHolders) {
      mNotifyHolders(aIncarnation, aUpTo);
    }
  }

  // Replication to the holders.

  std::vector<PendingEntry> NextGroup()
  {
    std::unique_lock lock(mMutex);
    mReplicationWork.wait(
      lock, [&] { return mStopping || !mReplicationQueue.empty(); });
    if (mStopping) {
      return {};
    }
    const auto count = static_cast<std::ptrdiff_t>(
      std::min(mReplicationQueue.size(), kMaxGroupEntries));
    std::vector<PendingEntry> group(
      std::make_move_iterator(mReplicationQueue.begin()),
      std::make_move_iterator(mReplicationQueue.begin() + count));
    mReplicationQueue.erase(mReplicationQueue.begin(),
                            mReplicationQueue.begin() + count);
    ++mCounts.mHolderMessages;
    return group;
  }

  bool ReplicateGroup(const std::vector<PendingEntry>& aGroup) const
  {
    std::vector<BillEntry> entries;
    entries.reserve(aGroup.size());
    for (const PendingEntry& pending : aGroup) {
      entries.push_back(pending.mEntry);
    }
    return mReplicate && mReplicate(entries) >= mOptions.mHolderDomains;
  }

  void RunReplication()
  {
    for (;;) {
      std::vector<PendingEntry> group = NextGroup();
      if (group.empty()) {
        return;
      }
      if (ReplicateGroup(group)) {
        CallBack(group, true);
        continue;
      }
      const std::lock_guard lock(mMutex);
      std::move(
        group.begin(), group.end(), std::back_inserter(mAwaitingLedger));
      mLedgerWork.notify_one();
    }
  }

  // Ledger writes.

  LedgerBacklog CopyBacklog() const
  {
    const std::lock_guard lock(mMutex);
    return mBacklog;
  }

  /// Removes the lines that the store has now.
  void RemoveStored(std::uint64_t aUpTo)
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mBacklog.mUnstoredLines, [&](const LedgerLine& aLine) {
      return aLine.mNumber <= aUpTo;
    });
  }

  /// Ends the current incarnation and starts a new one. Entries that the closed
  /// ledger lacks are added to the archive under their old numbers: the holders
  /// may add the same entries, and only the number identifies duplicates.
  void StartIncarnation()
  {
    const std::lock_guard lock(mMutex);
    if (!mBacklog.mUnstoredLines.empty()) {
      mClosedBacklogs.push_back(mBacklog);
    }
    mBacklog = NewBacklog();
    mLedger = OwnLedger(mBacklog.mIncarnation);
  }

  ErrorOr<void> WriteLedger(bool aClose)
  {
    const LedgerBacklog backlog = CopyBacklog();
    const bool unused = backlog.mUnstoredLines.empty() && !mLedger.IsWritten();
    if (unused || (backlog.mUnstoredLines.empty() && !aClose)) {
      return {};
    }
    const auto written = mLedger.Write(mStore, backlog.mUnstoredLines, aClose);
    CountWrite(written.has_value());
    if (!written) {
      return tl::make_unexpected(written.error());
    }
    if (*written == LedgerWrite::WasClosed) {
      Log(
        LogLevel::Warning,
        kLogComponent,
        "Another VM closed the ledger of this VM; starting a new incarnation.",
        { { "incarnation", backlog.mIncarnation.mNonce } });
      StartIncarnation();
      return AddClosedBacklogs();
    }
    RemoveStored(mLedger.StoredUpTo());
    Notify(backlog.mIncarnation, mLedger.StoredUpTo());
    if (aClose) {
      StartIncarnation();
    }
    return {};
  }

  void CountWrite(bool aWritten)
  {
    const std::lock_guard lock(mMutex);
    ++(aWritten ? mCounts.mLedgerWrites : mCounts.mLedgerFailures);
  }

  std::vector<LedgerBacklog> CopyClosedBacklogs() const
  {
    const std::lock_guard lock(mMutex);
    return mClosedBacklogs;
  }

  void RemoveClosedBacklog(const Incarnation& aIncarnation)
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mClosedBacklogs, [&](const LedgerBacklog& aBacklog) {
      return aBacklog.mIncarnation == aIncarnation;
    });
  }

  ErrorOr<void> AddClosedBacklog(const LedgerBacklog& aBacklog)
  {
    const auto counted =
      ACACIAVALE_TRY(CountedNumbers(mStore, aBacklog.mIncarnation));
    const auto late =
      LinesNotIn(aBacklog.mUnstoredLines, counted.value_or(NumberSet{}));
    if (late.empty()) {
      return {};
    }
    return AddLateEntries(mStore, aBacklog.mIncarnation, late);
  }

  ErrorOr<void> AddClosedBacklogs()
  {
    for (const LedgerBacklog& backlog : CopyClosedBacklogs()) {
      auto added = AddClosedBacklog(backlog);
      if (!added && added.error().mCode != ErrorCode::NotFound) {
        return added;
      }
      if (!added) {
        // NOTE: This VM was paused for longer than kFoldedRetention. It is no
        //       longer known whether these entries were counted, and counting
        //       them twice would be worse than losing them.
        Log(LogLevel::Error,
            kLogComponent,
            "Dropping billing entries whose incarnation the archive no longer "
            "lists.",
            { { "entries", std::to_string(backlog.mUnstoredLines.size()) } });
      }
      RemoveClosedBacklog(backlog.mIncarnation);
      Notify(backlog.mIncarnation, backlog.mLastNumber);
    }
    return {};
  }

  ErrorOr<void> WriteAll(bool aClose)
  {
    const std::lock_guard lock(mLedgerMutex);
    ACACIAVALE_TRY_VOID(AddClosedBacklogs());
    return WriteLedger(aClose);
  }

  // The ledger thread.

  /// Waits for the next write time or for entries that await the ledger.
  /// Returns these entries, or an empty optional when stopping.
  std::optional<std::vector<PendingEntry>> NextAwaitingLedger(
    TimePoint aNextWrite)
  {
    std::unique_lock lock(mMutex);
    mLedgerWork.wait_until(
      lock, aNextWrite, [&] { return mStopping || !mAwaitingLedger.empty(); });
    if (mStopping) {
      return std::nullopt;
    }
    return std::exchange(mAwaitingLedger, {});
  }

  Duration CurrentLedgerPeriod() const
  {
    const std::lock_guard lock(mMutex);
    return mOptions.mLedgerPeriod;
  }

  bool IsStored(const BillEntry& aEntry) const
  {
    const std::lock_guard lock(mMutex);
    const auto hasEntry = [&](const LedgerBacklog& aBacklog) {
      return aBacklog.mIncarnation == aEntry.mIncarnation &&
             std::binary_search(aBacklog.mUnstoredLines.begin(),
                                aBacklog.mUnstoredLines.end(),
                                LineOf(aEntry),
                                PrecedesByNumber);
    };
    return !hasEntry(mBacklog) && std::none_of(mClosedBacklogs.begin(),
                                               mClosedBacklogs.end(),
                                               hasEntry);
  }

  void CompleteWaiting(const std::vector<PendingEntry>& aWaiting)
  {
    for (const PendingEntry& pending : aWaiting) {
      const bool durable = IsStored(pending.mEntry);
      if (!durable) {
        const std::lock_guard lock(mMutex);
        ++mCounts.mNotDurable;
      }
      pending.mCallback(durable);
    }
  }

  void RunLedgerWrites()
  {
    TimePoint nextWrite = MonotonicNow() + CurrentLedgerPeriod();
    while (const auto waiting = NextAwaitingLedger(nextWrite)) {
      const auto written = WriteAll(false);
      if (!written) {
        Log(LogLevel::Warning,
            kLogComponent,
            "Writing the ledger failed.",
            { { "why", written.error().mMessage } });
      }
      CompleteWaiting(*waiting);
      nextWrite = MonotonicNow() + CurrentLedgerPeriod();
    }
  }

  void Start()
  {
    mReplicationThread = std::thread([this] { RunReplication(); });
    mLedgerThread = std::thread([this] { RunLedgerWrites(); });
  }

  void Stop()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mReplicationWork.notify_all();
    mLedgerWork.notify_all();
    mReplicationThread.join();
    mLedgerThread.join();
    CallBack(mReplicationQueue, false);
    CallBack(mAwaitingLedger, false);
  }
};

Billing::Billing(BillingOptions aOptions,
                 KeyValueStore aStore,
                 ReplicateEntries aReplicate,
                 std::uint64_t aSeed,
                 NotifyHolders aNotifyHolders)
  : mPrivate(std::make_unique<Private>(std::move(aOptions),
                                       std::move(aStore),
                                       std::move(aReplicate),
                                       std::move(aNotifyHolders),
                                       aSeed))
{
  mPrivate->Start();
}

Billing::~Billing()
{
  mPrivate->Stop();
}

void Billing::Record(BillEntry aEntry, std::function<void(bool)> aCallback)
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    LedgerBacklog& backlog = mPrivate->mBacklog;
    aEntry.mIncarnation = backlog.mIncarnation;
    aEntry.mNumber = ++backlog.mLastNumber;
    backlog.mUnstoredLines.push_back(LineOf(aEntry));
    ++mPrivate->mCounts.mEntries;
    mPrivate->mReplicationQueue.push_back(
      { std::move(aEntry), std::move(aCallback) });
  }
  mPrivate->mReplicationWork.notify_one();
}

ErrorOr<void> Billing::Close()
{
  return mPrivate->WriteAll(true);
}

ErrorOr<void> Billing::Flush()
{
  return mPrivate->WriteAll(false);
}

void Billing::SetLedgerPeriod(Duration aPeriod)
{
  const std::lock_guard lock(mPrivate->mMutex);
  mPrivate->mOptions.mLedgerPeriod = aPeriod;
}

Incarnation Billing::CurrentIncarnation() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mBacklog.mIncarnation;
}

BillingCounts Billing::Counts() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  BillingCounts counts = mPrivate->mCounts;
  counts.mUnstoredEntries = mPrivate->mBacklog.mUnstoredLines.size();
  for (const LedgerBacklog& backlog : mPrivate->mClosedBacklogs) {
    counts.mUnstoredEntries += backlog.mUnstoredLines.size();
  }
  return counts;
}

} // namespace Acaciavale
