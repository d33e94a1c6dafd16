#pragma once

#include <Acaciavale/LibPlatform/EndpointList.h>
#include <Acaciavale/LibPlatform/LoadReport.h>
#include <Acaciavale/LibRouting/EndpointChoice.h>
#include <Acaciavale/LibRouting/EndpointHealth.h>
#include <Acaciavale/LibRouting/VersionChoice.h>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace Acaciavale {

/// An endpoint with its listing, load report and health as observed by this VM.
/// Thread-safe.
class EndpointRecord
{
public:
  EndpointRecord(EndpointListing aListing,
                 std::uint32_t aIndex,
                 std::uint32_t aFailureDomainIndex);

  EndpointListing Listing() const;
  void UpdateListing(EndpointListing aListing);

  /// The input of endpoint selection at the given time, for a prompt with the
  /// given prefix hash; 0 if the request has no prompt.
  EndpointView View(TimePoint aNow, std::uint64_t aPrefixHash = 0) const;

  void RecordAttemptStart();
  void RecordAttemptEnd(const EndpointOutcome& aOutcome, TimePoint aNow);
  /// Records the end of an attempt without counting a success or a failure.
  void RecordAttemptCancelled();
  void RecordLoadReport(const LoadReport& aReport, TimePoint aNow);

  /// Sets whether the pool reserves this endpoint for more urgent requests than
  /// batch work.
  void SetReserved(bool aReserved);

  EndpointHealth Health() const;
  void SetHealth(const EndpointHealth& aHealth);

  std::uint32_t Index() const { return mIndex; }

private:
  const std::uint32_t mIndex;
  const std::uint32_t mFailureDomainIndex;
  std::atomic<std::int32_t> mOwnInFlight{ 0 };
  mutable std::mutex mLock;
  EndpointListing mListing;
  /// The view without the values that View() computes at each call.
  EndpointView mBaseView;
  EndpointHealth mHealth;
  InFlightServiceTime mTurnover;
  /// Hashes of the prompt prefixes in the engine's cache, as reported.
  std::set<std::uint64_t> mCachedPrefixes;
  std::uint64_t mLastPrefixEventNumber = 0;
  TimePoint mReportTime{};
};

using EndpointRecords = std::vector<std::shared_ptr<EndpointRecord>>;

/// Endpoints indexed by version and service. Immutable; each new endpoint list
/// results in a new snapshot.
struct EndpointSnapshot
{
  EndpointRecords mAllEndpoints;
  std::map<CascadeStage, EndpointRecords> mByVersion;
  std::map<std::string, EndpointRecords> mByService;
  std::vector<CascadeStage> mLoadedVersions;
};

/// The endpoints of the last endpoint list. Thread-safe.
class EndpointTable
{
public:
  /// Applies a new endpoint list. Keeps the records of endpoints whose name and
  /// address are unchanged.
  void ApplyList(const std::vector<EndpointListing>& aListings);
  std::shared_ptr<const EndpointSnapshot> Snapshot() const;
  std::uint32_t FailureDomainIndex(const std::string& aName);
  /// Ejects failing endpoints, up to the given share of each pool. Returns
  /// without a check if the last check was only a moment ago.
  void EjectOutliers(double aCeiling, TimePoint aNow);

private:
  mutable std::mutex mLock;
  TimePoint mLastOutlierCheck{};
  std::map<std::string, std::shared_ptr<EndpointRecord>> mByName;
  std::map<std::string, std::uint32_t> mFailureDomainIndexes;
  std::uint32_t mNextIndex = 0;
  std::shared_ptr<const EndpointSnapshot> mSnapshot =
    std::make_shared<EndpointSnapshot>();
};

} // namespace Acaciavale
