#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

/// One change of the store, for the history.
struct KeyValueChange
{
  TimePoint mTime{};
  KeyValueEntry mEntry;
  std::string mKind;        ///< "put", "remove" or "lapse".
  bool mAnswerLost = false; ///< A fault dropped the answer.
};

/// Calls by kind; a waiting watch counts as one.
struct KeyValueCalls
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mWatches = 0;
  std::int64_t mLeaseCalls = 0;
};

/// The key-value service: compare-and-swap, leases and watches over HTTP, part
/// "key-value" of the faults. Thread-safe.
class KeyValueService
{
public:
  explicit KeyValueService(FaultBoard& aFaults);

  Task Serve(Exchange& aExchange);
  /// Takes away the keys of leases that have lapsed.
  void LapseLeases();

  std::vector<KeyValueChange> History() const;
  KeyValueCalls Calls() const;

private:
  struct Stored
  {
    KeyValueEntry mEntry;
    std::int64_t mLease = 0;
  };

  struct Lease
  {
    Duration mTimeToLive{};
    TimePoint mEnd{};
  };

  struct Answer
  {
    int mStatus = 200;
    std::string mBody;
    std::size_t mChange = 0; ///< Its place in the history, from 1; 0 is none.
  };

  Task Watch(Exchange& aExchange);
  Answer Call(const Request& aRequest);
  Answer CallKeys(const Request& aRequest);
  Answer CallLeases(const Request& aRequest);
  Answer Read(const std::string& aKey) const;
  Answer List(const std::string& aPrefix) const;
  Answer Write(const std::string& aBody);
  Answer Remove(const std::string& aKey, std::int64_t aExpected);
  Answer GrantLease(const std::string& aBody);
  Answer KeepLease(const std::string& aBody);
  void EndLease(std::int64_t aLease);
  void Record(const KeyValueEntry& aEntry, const char* aKind);
  std::int64_t RevisionOf(const std::string& aKey) const;
  std::vector<KeyValueEntry> Under(const std::string& aPrefix,
                                   std::int64_t aAfter) const;
  std::string EntriesBody(const std::vector<KeyValueEntry>& aEntries) const;
  void WakeWatchers();

  FaultBoard& mFaults;
  mutable std::mutex mMutex;
  std::map<std::string, Stored> mEntries;
  std::map<std::int64_t, Lease> mLeases;
  std::set<Exchange*> mWatchers;
  std::vector<KeyValueChange> mHistory;
  KeyValueCalls mCalls;
  std::int64_t mRevision = 0;
  std::int64_t mLastLease = 0;
};

} // namespace Acaciavale::StandIns
