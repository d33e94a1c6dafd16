#include "EndpointTable.h"

#include <Acaciavale/LibAdmission/Admission.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>
#include <algorithm>

namespace Acaciavale {

namespace {

constexpr auto kMinOutlierCheckInterval = std::chrono::milliseconds(50);
constexpr std::size_t kMaxCachedPrefixes = 4096;
constexpr std::uint64_t kFnvOffsetBasis = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kFnvPrime = 0x100000001b3ULL;

/// FNV-1a hash of an address. Unlike std::hash, it is the same on all VMs.
std::uint64_t HashAddress(std::string_view aAddress)
{
  std::uint64_t hash = kFnvOffsetBasis;
  for (const char character : aAddress) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kFnvPrime;
  }
  return hash;
}

void MarkReserved(const EndpointRecords& aPool)
{
  std::vector<std::uint64_t> keys;
  for (const auto& endpoint : aPool) {
    keys.push_back(HashAddress(endpoint->Listing().mAddress));
  }
  const auto reserved = ReservedEndpoints(keys, ReservedShare(Priority::Batch));
  for (std::size_t index = 0; index < aPool.size(); ++index) {
    aPool[index]->SetReserved(reserved[index]);
  }
}

} // namespace

EndpointRecord::EndpointRecord(EndpointListing aListing,
                               std::uint32_t aIndex,
                               std::uint32_t aFailureDomainIndex)
  : mIndex(aIndex)
  , mFailureDomainIndex(aFailureDomainIndex)
  , mListing(std::move(aListing))
{
  mBaseView.mIndex = aIndex;
  mBaseView.mKey = HashAddress(mListing.mAddress);
  mBaseView.mFailureDomain = aFailureDomainIndex;
  mBaseView.mLeaving = mListing.mLeaving;
}

EndpointListing EndpointRecord::Listing() const
{
  const std::lock_guard guard(mLock);
  return mListing;
}

void EndpointRecord::UpdateListing(EndpointListing aListing)
{
  const std::lock_guard guard(mLock);
  mListing = std::move(aListing);
  mBaseView.mLeaving = mListing.mLeaving;
}

EndpointView EndpointRecord::View(TimePoint aNow,
                                  std::uint64_t aPrefixHash) const
{
  const std::lock_guard guard(mLock);
  EndpointView view = mBaseView;
  view.mOwnInFlight = mOwnInFlight.load();
  view.mReportAge = aNow - mReportTime;
  view.mEjected = IsBlocked(mHealth, view.mOwnInFlight, aNow);
  view.mSecondsPerRequest = mHealth.mSecondsPerRequest;
  view.mInFlightServiceSeconds = MeanInFlightSeconds(mTurnover);
  view.mErrorRate = ExpectedErrorRate(mHealth, aNow);
  view.mCachedPrefixShare =
    aPrefixHash != 0 && mCachedPrefixes.contains(aPrefixHash) ? 1.0 : 0.0;
  return view;
}

void EndpointRecord::RecordAttemptStart()
{
  mOwnInFlight.fetch_add(1);
}

void EndpointRecord::RecordAttemptEnd(const EndpointOutcome& aOutcome,
                                      TimePoint aNow)
{
  mOwnInFlight.fetch_sub(1);
  const std::lock_guard guard(mLock);
  mHealth = WithOutcome(mHealth, aOutcome, aNow);
  if (aOutcome.mSucceeded) {
    mTurnover = WithServiceTime(mTurnover, aOutcome.mServiceSeconds);
  }
}

void EndpointRecord::RecordAttemptCancelled()
{
  mOwnInFlight.fetch_sub(1);
}

void EndpointRecord::RecordLoadReport(const LoadReport& aReport, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  mBaseView.mReportedInFlight = aReport.mInFlight + aReport.mQueued;
  mBaseView.mSlots = std::max(1, aReport.mSlots);
  mBaseView.mOwnInFlightAtReport = mOwnInFlight.load();
  mBaseView.mLeaving = mBaseView.mLeaving || aReport.mLeaving;
  mReportTime = aNow;
  for (const PrefixEvent& event : aReport.mPrefixEvents) {
    if (event.mNumber <= mLastPrefixEventNumber) {
      continue;
    }
    mLastPrefixEventNumber = event.mNumber;
    if (!event.mStored) {
      mCachedPrefixes.erase(event.mPrefixHash);
    } else if (mCachedPrefixes.size() < kMaxCachedPrefixes) {
      mCachedPrefixes.insert(event.mPrefixHash);
    }
  }
}

void EndpointRecord::SetReserved(bool aReserved)
{
  const std::lock_guard guard(mLock);
  mBaseView.mReserved = aReserved;
}

EndpointHealth EndpointRecord::Health() const
{
  const std::lock_guard guard(mLock);
  return mHealth;
}

void EndpointRecord::SetHealth(const EndpointHealth& aHealth)
{
  const std::lock_guard guard(mLock);
  mHealth = aHealth;
}

namespace {

void EjectOutliersIn(const EndpointRecords& aPool,
                     double aCeiling,
                     TimePoint aNow)
{
  std::vector<EndpointHealth> pool;
  for (const auto& endpoint : aPool) {
    pool.push_back(endpoint->Health());
  }
  const auto ejected = WithEjections(pool, aCeiling, aNow);
  for (std::size_t index = 0; index < pool.size(); ++index) {
    // NOTE: An outcome recorded since the copy was made is lost only if the
    //       endpoint is ejected, in which case it makes no difference.
    if (ejected[index] != pool[index]) {
      aPool[index]->SetHealth(ejected[index]);
    }
  }
}

} // namespace

void EndpointTable::EjectOutliers(double aCeiling, TimePoint aNow)
{
  {
    const std::lock_guard guard(mLock);
    if (aNow - mLastOutlierCheck < kMinOutlierCheckInterval) {
      return;
    }
    mLastOutlierCheck = aNow;
  }
  const auto snapshot = Snapshot();
  EndpointRecords engines;
  for (const auto& endpoint : snapshot->mAllEndpoints) {
    if (endpoint->Listing().mService.empty()) {
      engines.push_back(endpoint);
    }
  }
  EjectOutliersIn(engines, aCeiling, aNow);
  for (const auto& [service, pool] : snapshot->mByService) {
    EjectOutliersIn(pool, aCeiling, aNow);
  }
}

void EndpointTable::ApplyList(const std::vector<EndpointListing>& aListings)
{
  const std::lock_guard guard(mLock);
  auto snapshot = std::make_shared<EndpointSnapshot>();
  std::map<std::string, std::shared_ptr<EndpointRecord>> byName;
  for (const EndpointListing& listing : aListings) {
    auto& record = byName[listing.mName];
    const auto previous = mByName.find(listing.mName);
    // NOTE: The same name at a new address is a different endpoint, to which
    //       the measurements of the old one do not apply.
    if (previous != mByName.end() &&
        previous->second->Listing().mAddress == listing.mAddress) {
      record = previous->second;
      record->UpdateListing(listing);
    } else {
      const auto domain = mFailureDomainIndexes.try_emplace(
        listing.mFailureDomain,
        static_cast<std::uint32_t>(mFailureDomainIndexes.size()));
      record = std::make_shared<EndpointRecord>(
        listing, mNextIndex++, domain.first->second);
    }
    snapshot->mAllEndpoints.push_back(record);
    if (!listing.mService.empty()) {
      snapshot->mByService[listing.mService].push_back(record);
    }
    for (const LoadedVersion& loaded : listing.mLoaded) {
      snapshot->mByVersion[{ loaded.mModel, loaded.mVersion }].push_back(
        record);
    }
  }
  for (const auto& [version, records] : snapshot->mByVersion) {
    snapshot->mLoadedVersions.push_back(version);
  }
  EndpointRecords engines;
  for (const auto& endpoint : snapshot->mAllEndpoints) {
    if (endpoint->Listing().mService.empty()) {
      engines.push_back(endpoint);
    }
  }
  MarkReserved(engines);
  for (const auto& [service, pool] : snapshot->mByService) {
    MarkReserved(pool);
  }
  mByName = std::move(byName);
  mSnapshot = std::move(snapshot);
}

std::shared_ptr<const EndpointSnapshot> EndpointTable::Snapshot() const
{
  const std::lock_guard guard(mLock);
  return mSnapshot;
}

std::uint32_t EndpointTable::FailureDomainIndex(const std::string& aName)
{
  const std::lock_guard guard(mLock);
  return mFailureDomainIndexes
    .try_emplace(aName,
                 static_cast<std::uint32_t>(mFailureDomainIndexes.size()))
    .first->second;
}

} // namespace Acaciavale
