#include "EndpointTable.h"

#include <Acaciavale/LibAdmission/Admission.h>
#include <Acaciavale/LibRouting/EndpointSubset.h>
#include <algorithm>

namespace Acaciavale {

namespace {

constexpr auto kOutlierPeriod = std::chrono::milliseconds(50);
constexpr std::size_t kMaxPrefixes = 4096;
constexpr std::uint64_t kHashStart = 0xcbf29ce484222325ULL;
constexpr std::uint64_t kHashFactor = 0x100000001b3ULL;

/// The same on all VMs, as std::hash need not be.
std::uint64_t KeyOf(std::string_view aAddress)
{
  std::uint64_t hash = kHashStart;
  for (const char character : aAddress) {
    hash = (hash ^ static_cast<unsigned char>(character)) * kHashFactor;
  }
  return hash;
}

void MarkReserved(const EndpointRecords& aPool)
{
  std::vector<std::uint64_t> keys;
  for (const auto& endpoint : aPool) {
    keys.push_back(KeyOf(endpoint->Listing().mAddress));
  }
  const auto reserved = ReservedEndpoints(keys, ReservedShare(Priority::Batch));
  for (std::size_t index = 0; index < aPool.size(); ++index) {
    aPool[index]->SetReserved(reserved[index]);
  }
}

} // namespace

EndpointRecord::EndpointRecord(EndpointListing aListing,
                               std::uint32_t aIndex,
                               std::uint32_t aFailureDomain)
  : mIndex(aIndex)
  , mFailureDomain(aFailureDomain)
  , mListing(std::move(aListing))
{
  mSeen.mIndex = aIndex;
  mSeen.mKey = KeyOf(mListing.mAddress);
  mSeen.mFailureDomain = aFailureDomain;
  mSeen.mLeaving = mListing.mLeaving;
}

EndpointListing EndpointRecord::Listing() const
{
  const std::lock_guard guard(mLock);
  return mListing;
}

void EndpointRecord::Relist(EndpointListing aListing)
{
  const std::lock_guard guard(mLock);
  mListing = std::move(aListing);
  mSeen.mLeaving = mListing.mLeaving;
}

EndpointView EndpointRecord::View(TimePoint aNow,
                                  std::uint64_t aPrefixHash) const
{
  const std::lock_guard guard(mLock);
  EndpointView view = mSeen;
  view.mOwnInFlight = mOwnInFlight.load();
  view.mReportAge = aNow - mReported;
  view.mEjected = IsBlocked(mHealth, view.mOwnInFlight, aNow);
  view.mSecondsPerRequest = mHealth.mSecondsPerRequest;
  view.mInFlightServiceSeconds = MeanInFlightSeconds(mTurnover);
  view.mErrorRate = ExpectedErrorRate(mHealth, aNow);
  view.mCachedPrefixShare =
    aPrefixHash != 0 && mPrefixes.contains(aPrefixHash) ? 1.0 : 0.0;
  return view;
}

void EndpointRecord::RecordStart()
{
  mOwnInFlight.fetch_add(1);
}

void EndpointRecord::RecordEnd(const EndpointOutcome& aOutcome, TimePoint aNow)
{
  mOwnInFlight.fetch_sub(1);
  const std::lock_guard guard(mLock);
  mHealth = WithOutcome(mHealth, aOutcome, aNow);
  if (aOutcome.mSucceeded) {
    mTurnover = WithServiceTime(mTurnover, aOutcome.mServiceSeconds);
  }
}

void EndpointRecord::RecordCancelled()
{
  mOwnInFlight.fetch_sub(1);
}

void EndpointRecord::RecordReport(const LoadReport& aReport, TimePoint aNow)
{
  const std::lock_guard guard(mLock);
  mSeen.mReportedInFlight = aReport.mInFlight + aReport.mQueued;
  mSeen.mSlots = std::max(1, aReport.mSlots);
  mSeen.mOwnInFlightAtReport = mOwnInFlight.load();
  mSeen.mLeaving = mSeen.mLeaving || aReport.mLeaving;
  mReported = aNow;
  for (const PrefixEvent& event : aReport.mPrefixEvents) {
    if (event.mNumber <= mLastPrefixEvent) {
      continue;
    }
    mLastPrefixEvent = event.mNumber;
    if (!event.mStored) {
      mPrefixes.erase(event.mPrefix);
    } else if (mPrefixes.size() < kMaxPrefixes) {
      mPrefixes.insert(event.mPrefix);
    }
  }
}

void EndpointRecord::SetReserved(bool aReserved)
{
  const std::lock_guard guard(mLock);
  mSeen.mReserved = aReserved;
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

void EjectFrom(const EndpointRecords& aPool, double aCeiling, TimePoint aNow)
{
  std::vector<EndpointHealth> pool;
  for (const auto& endpoint : aPool) {
    pool.push_back(endpoint->Health());
  }
  const auto ejected = WithEjections(pool, aCeiling, aNow);
  for (std::size_t index = 0; index < pool.size(); ++index) {
    // NOTE: An outcome recorded in between is lost only where an ejection is
    //       written, which would drop that endpoint anyway.
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
    if (aNow - mOutliersSought < kOutlierPeriod) {
      return;
    }
    mOutliersSought = aNow;
  }
  const auto snapshot = Snapshot();
  EndpointRecords engines;
  for (const auto& endpoint : snapshot->mAll) {
    if (endpoint->Listing().mService.empty()) {
      engines.push_back(endpoint);
    }
  }
  EjectFrom(engines, aCeiling, aNow);
  for (const auto& [service, pool] : snapshot->mByService) {
    EjectFrom(pool, aCeiling, aNow);
  }
}

void EndpointTable::TakeList(const std::vector<EndpointListing>& aList)
{
  const std::lock_guard guard(mLock);
  auto snapshot = std::make_shared<EndpointSnapshot>();
  std::map<std::string, std::shared_ptr<EndpointRecord>> byName;
  for (const EndpointListing& listing : aList) {
    auto& record = byName[listing.mName];
    const auto known = mByName.find(listing.mName);
    // NOTE: A name at a new address is another endpoint: what was measured of
    //       the old one says nothing of it.
    if (known != mByName.end() &&
        known->second->Listing().mAddress == listing.mAddress) {
      record = known->second;
      record->Relist(listing);
    } else {
      const auto domain = mFailureDomains.try_emplace(
        listing.mFailureDomain,
        static_cast<std::uint32_t>(mFailureDomains.size()));
      record = std::make_shared<EndpointRecord>(
        listing, mNextIndex++, domain.first->second);
    }
    snapshot->mAll.push_back(record);
    if (!listing.mService.empty()) {
      snapshot->mByService[listing.mService].push_back(record);
    }
    for (const LoadedVersion& loaded : listing.mLoaded) {
      snapshot->mByVersion[{ loaded.mModel, loaded.mVersion }].push_back(
        record);
    }
  }
  for (const auto& [version, records] : snapshot->mByVersion) {
    snapshot->mLoaded.push_back(version);
  }
  EndpointRecords engines;
  for (const auto& endpoint : snapshot->mAll) {
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

std::uint32_t EndpointTable::FailureDomainNumber(const std::string& aName)
{
  const std::lock_guard guard(mLock);
  return mFailureDomains
    .try_emplace(aName, static_cast<std::uint32_t>(mFailureDomains.size()))
    .first->second;
}

} // namespace Acaciavale
