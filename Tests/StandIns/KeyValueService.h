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

/// A change of the store as recorded for the history.
struct KeyValueChange
{
  TimePoint mTime{};
  KeyValueEntry mEntry;
  std::string mKind;        ///< Either "put", "remove" or "lapse".
  bool mAnswerLost = false; ///< A fault suppressed the response.
};

/// Number of calls by kind. A watch counts once, however long it waits.
struct KeyValueCallCounts
{
  std::int64_t mReads = 0;
  std::int64_t mWrites = 0;
  std::int64_t mWatches = 0;
  std::int64_t mLeaseCalls = 0;
};

/// The key-value service: compare-and-swap, leases and watches over HTTP. Its
/// fault target is "key-value". Thread-safe.
class KeyValueService
{
public:
  explicit KeyValueService(FaultInjector& aFaults);

  Task Serve(Exchange& aExchange);
  /// Removes expired leases and their keys.
  void ExpireLeases();

  std::vector<KeyValueChange> History() const;
  KeyValueCallCounts CallCounts() const;

private:
  struct StoredEntry
  {
    KeyValueEntry mEntry;
    std::int64_t mLeaseId = 0;
  };

  struct Lease
  {
    Duration mTimeToLive{};
    TimePoint mExpiresAt{};
  };

  struct Response
  {
    int mStatus = 200;
    std::string mBody;
    std::size_t mHistoryNumber = 0; ///< Position from 1; 0 if unrecorded.
  };

  Task Watch(Exchange& aExchange);
  Response HandleCall(const Request& aRequest);
  Response HandleKeyCall(const Request& aRequest);
  Response HandleLeaseCall(const Request& aRequest);
  Response Read(const std::string& aKey) const;
  Response List(const std::string& aPrefix) const;
  Response Write(const std::string& aBody);
  Response Remove(const std::string& aKey, std::int64_t aExpectedRevision);
  Response GrantLease(const std::string& aBody);
  Response RenewLease(const std::string& aBody);
  void EndLease(std::int64_t aLeaseId);
  void Record(const KeyValueEntry& aEntry, const char* aKind);
  std::int64_t RevisionOf(const std::string& aKey) const;
  std::vector<KeyValueEntry> ListEntries(const std::string& aPrefix,
                                         std::int64_t aAfterRevision) const;
  std::string EntriesBody(const std::vector<KeyValueEntry>& aEntries) const;
  void WakeWatchers();

  FaultInjector& mFaults;
  mutable std::mutex mMutex;
  std::map<std::string, StoredEntry> mEntries;
  std::map<std::int64_t, Lease> mLeases;
  std::set<Exchange*> mWatchers;
  std::vector<KeyValueChange> mHistory;
  KeyValueCallCounts mCallCounts;
  std::int64_t mRevision = 0;
  std::int64_t mLastLeaseId = 0;
};

} // namespace Acaciavale::StandIns
