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
                 std::uint32_t aFailureDomain);

  EndpointListing Listing() const;
  void Relist(EndpointListing aListing);

  /// What a choice looks at, as of now, for a prompt of this prefix.
  EndpointView View(TimePoint aNow, std::uint64_t aPrefixHash = 0) const;

  void RecordStart();
  void RecordEnd(const EndpointOutcome& aOutcome, TimePoint aNow);
  /// Ends a dispatch that tells nothing of the endpoint.
  void RecordCancelled();
  void RecordReport(const LoadReport& aReport, TimePoint aNow);

  /// Whether the pool keeps this endpoint free of long work.
  void SetReserved(bool aReserved);

  EndpointHealth Health() const;
  void SetHealth(const EndpointHealth& aHealth);

  std::uint32_t Index() const { return mIndex; }

private:
  const std::uint32_t mIndex;
  const std::uint32_t mFailureDomain;
  std::atomic<std::int32_t> mOwnInFlight{ 0 };
  mutable std::mutex mLock;
  EndpointListing mListing;
  EndpointView mSeen; ///< All but the own requests in flight and the ages.
  EndpointHealth mHealth;
  InFlightServiceTime mTurnover;
  std::set<std::uint64_t> mPrefixes; ///< In the engine's cache, as reported.
  std::uint64_t mLastPrefixEvent = 0;
  TimePoint mReported{};
};

using EndpointRecords = std::vector<std::shared_ptr<EndpointRecord>>;

/// The endpoints by what they serve; built anew with each list, never changed.
struct EndpointSnapshot
{
  EndpointRecords mAll;
  std::map<CascadeStage, EndpointRecords> mByVersion;
  std::map<std::string, EndpointRecords> mByService;
  std::vector<CascadeStage> mLoaded;
};

/// The endpoints that this VM knows of.
class EndpointTable
{
public:
  /// Takes a new list. Records of endpoints that stay are kept.
  void TakeList(const std::vector<EndpointListing>& aList);
  std::shared_ptr<const EndpointSnapshot> Snapshot() const;
  std::uint32_t FailureDomainNumber(const std::string& aName);
  /// Ejects endpoints that fail, within the ceiling of each pool. Looks at most
  /// once in a short while, however often it is called.
  void EjectOutliers(double aCeiling, TimePoint aNow);

private:
  mutable std::mutex mLock;
  TimePoint mOutliersSought{};
  std::map<std::string, std::shared_ptr<EndpointRecord>> mByName;
  std::map<std::string, std::uint32_t> mFailureDomains;
  std::uint32_t mNextIndex = 0;
  std::shared_ptr<const EndpointSnapshot> mSnapshot =
    std::make_shared<EndpointSnapshot>();
};

} // namespace Acaciavale
