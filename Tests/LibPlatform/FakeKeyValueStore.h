#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <condition_variable>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Acaciavale {

/// Faults that the fake injects, and how many times.
struct FakeStoreFaults
{
  bool mDown = false; ///< Every call fails with Unavailable, without effect.
  /// Number of next writes that fail with Unavailable, without effect.
  int mFailWrites = 0;
  /// Number of next writes that take effect but return OutcomeUnknown.
  int mLoseAnswers = 0;
  /// Number of next writes that have no effect and return OutcomeUnknown.
  int mLoseRequests = 0;
  /// Number of next reads that fail with Unavailable.
  int mFailReads = 0;
};

/// Numbers of calls to the fake.
struct FakeStoreCounts
{
  int mReads = 0;
  int mWrites = 0;
};

/// An in-memory key-value service for tests. Thread-safe. Leases expire only by
/// an explicit call, so that no test depends on time.
class FakeKeyValueStore
{
public:
  /// Operations on this fake; valid as long as the fake lives.
  KeyValueStore Store()
  {
    KeyValueStore store;
    store.mRead = [this](const std::string& aKey) { return Read(aKey); };
    store.mList = [this](const std::string& aPrefix) { return List(aPrefix); };
    store.mCompareAndSwap = [this](const CompareAndSwap& aWrite) {
      return Write(aWrite);
    };
    store.mRemove = [this](const std::string& aKey, std::int64_t aExpected) {
      return Remove(aKey, aExpected);
    };
    store.mWatch =
      [this](const std::string& aPrefix, std::int64_t aAfter, Duration aWait) {
        return Watch(aPrefix, aAfter, aWait);
      };
    store.mGrantLease = [this](Duration) { return GrantLease(); };
    store.mKeepLease = [this](std::int64_t aLease) {
      return KeepLease(aLease);
    };
    store.mRevokeLease = [this](std::int64_t aLease) -> ErrorOr<void> {
      ExpireLease(aLease);
      return {};
    };
    return store;
  }

  void SetFaults(FakeStoreFaults aFaults)
  {
    const std::lock_guard lock(mMutex);
    mFaults = aFaults;
  }

  void SetDown(bool aDown)
  {
    const std::lock_guard lock(mMutex);
    mFaults.mDown = aDown;
  }

  FakeStoreCounts Counts() const
  {
    const std::lock_guard lock(mMutex);
    return mCounts;
  }

  /// Removes the keys of this lease, as the service does when a lease expires.
  void ExpireLease(std::int64_t aLease)
  {
    const std::lock_guard lock(mMutex);
    mLeases.erase(aLease);
    for (auto entry = mEntries.begin(); entry != mEntries.end();) {
      if (aLease != 0 && entry->second.mLease == aLease) {
        entry = mEntries.erase(entry);
        ++mRevision;
      } else {
        ++entry;
      }
    }
    mChanged.notify_all();
  }

private:
  struct Stored
  {
    KeyValueEntry mEntry;
    std::int64_t mLease = 0;
  };

  static bool ConsumeFault(int& aCount)
  {
    if (aCount <= 0) {
      return false;
    }
    --aCount;
    return true;
  }

  bool CountReadAndCheckFault()
  {
    ++mCounts.mReads;
    return mFaults.mDown || ConsumeFault(mFaults.mFailReads);
  }

  ErrorOr<std::optional<KeyValueEntry>> Read(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    if (CountReadAndCheckFault()) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    const auto found = mEntries.find(aKey);
    if (found == mEntries.end()) {
      return std::optional<KeyValueEntry>{};
    }
    return std::optional<KeyValueEntry>{ found->second.mEntry };
  }

  std::vector<KeyValueEntry> EntriesUnder(const std::string& aPrefix,
                                          std::int64_t aAfter) const
  {
    std::vector<KeyValueEntry> entries;
    for (auto entry = mEntries.lower_bound(aPrefix);
         entry != mEntries.end() && entry->first.starts_with(aPrefix);
         ++entry) {
      if (entry->second.mEntry.mRevision > aAfter) {
        entries.push_back(entry->second.mEntry);
      }
    }
    return entries;
  }

  ErrorOr<std::vector<KeyValueEntry>> List(const std::string& aPrefix)
  {
    const std::lock_guard lock(mMutex);
    if (CountReadAndCheckFault()) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    return EntriesUnder(aPrefix, 0);
  }

  ErrorOr<std::vector<KeyValueEntry>> Watch(const std::string& aPrefix,
                                            std::int64_t aAfter,
                                            Duration aWait)
  {
    std::unique_lock lock(mMutex);
    if (CountReadAndCheckFault()) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    std::vector<KeyValueEntry> entries;
    mChanged.wait_for(lock, aWait, [&] {
      entries = EntriesUnder(aPrefix, aAfter);
      return !entries.empty();
    });
    return entries;
  }

  /// Counts a write and returns the injected fault or revision conflict that
  /// prevents it, if any.
  ErrorOr<void> CountAndCheckWrite(const std::string& aKey,
                                   std::int64_t aExpected)
  {
    ++mCounts.mWrites;
    if (mFaults.mDown || ConsumeFault(mFaults.mFailWrites)) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    if (ConsumeFault(mFaults.mLoseRequests)) {
      return MakeError(ErrorCode::OutcomeUnknown, "The response was lost.");
    }
    const auto found = mEntries.find(aKey);
    const std::int64_t current =
      found == mEntries.end() ? 0 : found->second.mEntry.mRevision;
    if (current != aExpected) {
      return MakeError(ErrorCode::Conflict, "The revision has changed.");
    }
    return {};
  }

  ErrorOr<void> FinishWrite()
  {
    mChanged.notify_all();
    if (ConsumeFault(mFaults.mLoseAnswers)) {
      return MakeError(ErrorCode::OutcomeUnknown, "The response was lost.");
    }
    return {};
  }

  ErrorOr<std::int64_t> Write(const CompareAndSwap& aWrite)
  {
    const std::lock_guard lock(mMutex);
    if (auto done = CountAndCheckWrite(aWrite.mKey, aWrite.mExpectedRevision);
        !done) {
      return tl::make_unexpected(done.error());
    }
    if (aWrite.mLease != 0 && !mLeases.contains(aWrite.mLease)) {
      return MakeError(ErrorCode::Conflict, "The lease has expired.");
    }
    const std::int64_t revision = ++mRevision;
    mEntries[aWrite.mKey] = { { aWrite.mKey, aWrite.mValue, revision },
                              aWrite.mLease };
    if (auto done = FinishWrite(); !done) {
      return tl::make_unexpected(done.error());
    }
    return revision;
  }

  ErrorOr<void> Remove(const std::string& aKey, std::int64_t aExpected)
  {
    const std::lock_guard lock(mMutex);
    if (auto done = CountAndCheckWrite(aKey, aExpected); !done) {
      return tl::make_unexpected(done.error());
    }
    mEntries.erase(aKey);
    ++mRevision;
    return FinishWrite();
  }

  ErrorOr<std::int64_t> GrantLease()
  {
    const std::lock_guard lock(mMutex);
    if (mFaults.mDown) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    const std::int64_t lease = ++mLastLease;
    mLeases.insert(lease);
    return lease;
  }

  ErrorOr<void> KeepLease(std::int64_t aLease)
  {
    const std::lock_guard lock(mMutex);
    if (mFaults.mDown) {
      return MakeError(ErrorCode::Unavailable, "The store is down.");
    }
    if (!mLeases.contains(aLease)) {
      return MakeError(ErrorCode::NotFound, "The lease has expired.");
    }
    return {};
  }

  mutable std::mutex mMutex;
  std::condition_variable mChanged;
  FakeStoreFaults mFaults;
  FakeStoreCounts mCounts;
  std::map<std::string, Stored> mEntries;
  std::set<std::int64_t> mLeases;
  std::int64_t mRevision = 0;
  std::int64_t mLastLease = 0;
};

} // namespace Acaciavale
