#include "OwnLedger.h"

#include <Acaciavale/LibCore/Log.h>

#include <algorithm>
#include <condition_variable>
#include <iterator>
#include <mutex>
#include <thread>

namespace Acaciavale {

namespace {

constexpr char kPart[] = "billing";
/// Entries in one message to the holders, some 200 bytes each.
constexpr std::size_t kMaxGroup = 1000;

/// An entry whose answer waits for it to be durable.
struct Pending
{
  BillEntry mEntry;
  std::function<void(bool)> mDone;
};

bool PrecedesByNumber(const LedgerLine& aLeft, const LedgerLine& aRight)
{
  return aLeft.mNumber < aRight.mNumber;
}

void CallBack(const std::vector<Pending>& aPending, bool aDurable)
{
  for (const Pending& pending : aPending) {
    pending.mDone(aDurable);
  }
}

} // namespace

Duration LedgerPeriod(std::size_t aLiveVms)
{
  const Duration shared = Duration(std::chrono::seconds(1)) *
                          static_cast<std::int64_t>(aLiveVms) /
                          kLedgerWritesPerSecond;
  return std::max(kShortestLedgerPeriod, shared);
}

struct Billing::Private
{
  BillingOptions mOptions;
  KeyValueStore mStore;
  ReplicateEntries mReplicate;
  TellHolders mTellHolders;

  /// Guards what follows up to the next lock; never held over I/O.
  mutable std::mutex mMutex;
  std::condition_variable mForHolders;
  std::condition_variable mForLedger;
  Random mRandom;
  LedgerBook mBook;
  std::vector<LedgerBook> mClosedBooks; ///< With entries still to be added.
  std::vector<Pending> mQueue;          ///< On the way to the holders.
  std::vector<Pending> mAwaitLedger;    ///< Not held; waiting for the store.
  BillingCounts mCounts;
  bool mStopping = false;

  /// Held over the I/O on the own ledger. Taken before mMutex.
  std::mutex mLedgerMutex;
  OwnLedger mLedger;

  std::thread mHolderThread;
  std::thread mLedgerThread;

  Private(BillingOptions aOptions,
          KeyValueStore aStore,
          ReplicateEntries aReplicate,
          TellHolders aTellHolders,
          std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mStore(std::move(aStore))
    , mReplicate(std::move(aReplicate))
    , mTellHolders(std::move(aTellHolders))
    , mRandom(aSeed)
    , mBook(NewBook())
    , mLedger(mBook.mIncarnation)
  {
  }

  LedgerBook NewBook()
  {
    ++mCounts.mIncarnations;
    LedgerBook book;
    const std::string life =
      mOptions.mLife.empty() ? RandomToken(mRandom) : mOptions.mLife;
    book.mIncarnation = { mOptions.mVm,
                          life + "-" + std::to_string(mCounts.mIncarnations) };
    return book;
  }

  void Tell(const Incarnation& aIncarnation, std::uint64_t aUpTo) const
  {
    if (mTellHolders) {
      mTellHolders(aIncarnation, aUpTo);
    }
  }

  // The way to the holders.

  std::vector<Pending> NextGroup()
  {
    std::unique_lock lock(mMutex);
    mForHolders.wait(lock, [&] { return mStopping || !mQueue.empty(); });
    if (mStopping) {
      return {};
    }
    const auto count =
      static_cast<std::ptrdiff_t>(std::min(mQueue.size(), kMaxGroup));
    std::vector<Pending> group(std::make_move_iterator(mQueue.begin()),
                               std::make_move_iterator(mQueue.begin() + count));
    mQueue.erase(mQueue.begin(), mQueue.begin() + count);
    ++mCounts.mGroups;
    return group;
  }

  bool HoldersTake(const std::vector<Pending>& aGroup) const
  {
    std::vector<BillEntry> entries;
    entries.reserve(aGroup.size());
    for (const Pending& pending : aGroup) {
      entries.push_back(pending.mEntry);
    }
    return mReplicate && mReplicate(entries) >= mOptions.mHolders;
  }

  void RunHolders()
  {
    for (;;) {
      std::vector<Pending> group = NextGroup();
      if (group.empty()) {
        return;
      }
      if (HoldersTake(group)) {
        CallBack(group, true);
        continue;
      }
      const std::lock_guard lock(mMutex);
      std::move(group.begin(), group.end(), std::back_inserter(mAwaitLedger));
      mForLedger.notify_one();
    }
  }

  // The ledger.

  LedgerBook CopyBook() const
  {
    const std::lock_guard lock(mMutex);
    return mBook;
  }

  /// Drops what the store has now.
  void Settled(std::uint64_t aUpTo)
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mBook.mPast, [&](const LedgerLine& aLine) {
      return aLine.mNumber <= aUpTo;
    });
  }

  /// Leaves the incarnation. What it has past the ledger goes on to the
  /// archive under its old numbers: the holders may bring the same entries, and
  /// only the same number shows that they are the same.
  void StartIncarnation()
  {
    const std::lock_guard lock(mMutex);
    if (!mBook.mPast.empty()) {
      mClosedBooks.push_back(mBook);
    }
    mBook = NewBook();
    mLedger = OwnLedger(mBook.mIncarnation);
  }

  ErrorOr<void> WriteLedger(bool aClose)
  {
    const LedgerBook book = CopyBook();
    const bool unused = book.mPast.empty() && !mLedger.IsWritten();
    if (unused || (book.mPast.empty() && !aClose)) {
      return {};
    }
    const auto written = mLedger.Write(mStore, book.mPast, aClose);
    Count(written.has_value());
    if (!written) {
      return tl::make_unexpected(written.error());
    }
    if (*written == LedgerWrite::WasClosed) {
      Log(LogLevel::Warning,
          kPart,
          "The ledger was closed by another VM.",
          { { "incarnation", book.mIncarnation.mNonce } });
      StartIncarnation();
      return SettleClosedBooks();
    }
    Settled(mLedger.UpTo());
    Tell(book.mIncarnation, mLedger.UpTo());
    if (aClose) {
      StartIncarnation();
    }
    return {};
  }

  void Count(bool aWritten)
  {
    const std::lock_guard lock(mMutex);
    ++(aWritten ? mCounts.mLedgerWrites : mCounts.mLedgerFailures);
  }

  std::vector<LedgerBook> CopyClosedBooks() const
  {
    const std::lock_guard lock(mMutex);
    return mClosedBooks;
  }

  void DropClosedBook(const Incarnation& aIncarnation)
  {
    const std::lock_guard lock(mMutex);
    std::erase_if(mClosedBooks, [&](const LedgerBook& aBook) {
      return aBook.mIncarnation == aIncarnation;
    });
  }

  ErrorOr<void> SettleClosedBook(const LedgerBook& aBook)
  {
    const auto settled =
      ACACIAVALE_TRY(SettledNumbers(mStore, aBook.mIncarnation));
    const auto late = LinesOutside(aBook.mPast, settled.value_or(NumberSet{}));
    if (late.empty()) {
      return {};
    }
    return AddLateEntries(mStore, aBook.mIncarnation, late);
  }

  ErrorOr<void> SettleClosedBooks()
  {
    for (const LedgerBook& book : CopyClosedBooks()) {
      auto settled = SettleClosedBook(book);
      if (!settled && settled.error().mCode != ErrorCode::NotFound) {
        return settled;
      }
      if (!settled) {
        // NOTE: Paused for longer than kFoldedRetention. Nobody can say any
        //       more whether these were counted, and twice would be worse.
        Log(LogLevel::Error,
            kPart,
            "Entries of a forgotten ledger are dropped.",
            { { "entries", std::to_string(book.mPast.size()) } });
      }
      DropClosedBook(book.mIncarnation);
      Tell(book.mIncarnation, book.mLastNumber);
    }
    return {};
  }

  ErrorOr<void> WriteAll(bool aClose)
  {
    const std::lock_guard lock(mLedgerMutex);
    ACACIAVALE_TRY_VOID(SettleClosedBooks());
    return WriteLedger(aClose);
  }

  // The thread of the ledger.

  /// Waits for work; returns what waits for the store, and nothing to stop.
  std::optional<std::vector<Pending>> NextWaiting(TimePoint aNextWrite)
  {
    std::unique_lock lock(mMutex);
    mForLedger.wait_until(
      lock, aNextWrite, [&] { return mStopping || !mAwaitLedger.empty(); });
    if (mStopping) {
      return std::nullopt;
    }
    return std::exchange(mAwaitLedger, {});
  }

  Duration Period() const
  {
    const std::lock_guard lock(mMutex);
    return mOptions.mLedgerPeriod;
  }

  bool IsSettled(const BillEntry& aEntry) const
  {
    const std::lock_guard lock(mMutex);
    const auto lacks = [&](const LedgerBook& aBook) {
      return aBook.mIncarnation == aEntry.mIncarnation &&
             std::binary_search(aBook.mPast.begin(),
                                aBook.mPast.end(),
                                LineOf(aEntry),
                                PrecedesByNumber);
    };
    return !lacks(mBook) &&
           std::none_of(mClosedBooks.begin(), mClosedBooks.end(), lacks);
  }

  void Answer(const std::vector<Pending>& aWaiting)
  {
    for (const Pending& pending : aWaiting) {
      const bool durable = IsSettled(pending.mEntry);
      if (!durable) {
        const std::lock_guard lock(mMutex);
        ++mCounts.mNotDurable;
      }
      pending.mDone(durable);
    }
  }

  void RunLedger()
  {
    TimePoint nextWrite = MonotonicNow() + Period();
    while (const auto waiting = NextWaiting(nextWrite)) {
      const auto written = WriteAll(false);
      if (!written) {
        Log(LogLevel::Warning,
            kPart,
            "The ledger is not written.",
            { { "why", written.error().mMessage } });
      }
      Answer(*waiting);
      nextWrite = MonotonicNow() + Period();
    }
  }

  void Start()
  {
    mHolderThread = std::thread([this] { RunHolders(); });
    mLedgerThread = std::thread([this] { RunLedger(); });
  }

  void Stop()
  {
    {
      const std::lock_guard lock(mMutex);
      mStopping = true;
    }
    mForHolders.notify_all();
    mForLedger.notify_all();
    mHolderThread.join();
    mLedgerThread.join();
    CallBack(mQueue, false);
    CallBack(mAwaitLedger, false);
  }
};

Billing::Billing(BillingOptions aOptions,
                 KeyValueStore aStore,
                 ReplicateEntries aReplicate,
                 std::uint64_t aSeed,
                 TellHolders aTellHolders)
  : mPrivate(std::make_unique<Private>(std::move(aOptions),
                                       std::move(aStore),
                                       std::move(aReplicate),
                                       std::move(aTellHolders),
                                       aSeed))
{
  mPrivate->Start();
}

Billing::~Billing()
{
  mPrivate->Stop();
}

void Billing::Record(BillEntry aEntry, std::function<void(bool)> aDone)
{
  {
    const std::lock_guard lock(mPrivate->mMutex);
    LedgerBook& book = mPrivate->mBook;
    aEntry.mIncarnation = book.mIncarnation;
    aEntry.mNumber = ++book.mLastNumber;
    book.mPast.push_back(LineOf(aEntry));
    ++mPrivate->mCounts.mEntries;
    mPrivate->mQueue.push_back({ std::move(aEntry), std::move(aDone) });
  }
  mPrivate->mForHolders.notify_one();
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
  return mPrivate->mBook.mIncarnation;
}

BillingCounts Billing::Counts() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  BillingCounts counts = mPrivate->mCounts;
  counts.mPastLedger = mPrivate->mBook.mPast.size();
  for (const LedgerBook& book : mPrivate->mClosedBooks) {
    counts.mPastLedger += book.mPast.size();
  }
  return counts;
}

} // namespace Acaciavale
