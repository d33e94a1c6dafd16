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

/// One endpoint with what this VM has seen of it.
class EndpointRecord
{
public:
  EndpointRecord(EndpointListing aListing,
                 std::uint32_t aIndex,
                 std::uint32_t aFailureDomainIndex);

  EndpointListing Listing() const;
  void UpdateListing(EndpointListing aListing);

  /// What a choice looks at, as of now, for a prompt of this prefix.
  EndpointView View(TimePoint aNow, std::uint64_t aPrefixHash = 0) const;

  void RecordAttemptStart();
  void RecordAttemptEnd(const EndpointOutcome& aOutcome, TimePoint aNow);
  /// Ends a dispatch that tells nothing of the endpoint.
  void RecordAttemptCancelled();
  void RecordLoadReport(const LoadReport& aReport, TimePoint aNow);

  /// Whether the pool keeps this endpoint free of long work.
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
  EndpointView mBaseView; ///< All but the own requests in flight and the ages.
  EndpointHealth mHealth;
  Turnover mTurnover;
  std::set<std::uint64_t>
    mCachedPrefixes; ///< In the engine's cache, as reported.
  std::uint64_t mLastPrefixEventNumber = 0;
  TimePoint mReportTime{};
};

using EndpointRecords = std::vector<std::shared_ptr<EndpointRecord>>;

/// The endpoints by what they serve; built anew with each list, never changed.
struct EndpointSnapshot
{
  EndpointRecords mAllEndpoints;
  std::map<CascadeStage, EndpointRecords> mByVersion;
  std::map<std::string, EndpointRecords> mByService;
  std::vector<CascadeStage> mLoadedVersions;
};

/// The endpoints that this VM knows of.
class EndpointTable
{
public:
  /// Takes a new list. Records of endpoints that stay are kept.
  void ApplyList(const std::vector<EndpointListing>& aListings);
  std::shared_ptr<const EndpointSnapshot> Snapshot() const;
  std::uint32_t FailureDomainIndex(const std::string& aName);
  /// Ejects endpoints that fail, within the ceiling of each pool. Looks at most
  /// once in a short while, however often it is called.
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
