#include <Acaciavale/LibClaims/Claims.h>

#include <mutex>
#include <optional>

namespace Acaciavale {

namespace {

/// Claims acquired within the same interval share a lease.
constexpr std::chrono::hours kLeaseInterval{ 1 };

} // namespace

struct ClaimLeases::Private
{
  std::mutex mMutex;
  std::int64_t mLease = 0;
  std::int64_t mIntervalNumber = -1;
  bool mIsGranting = false;

  /// Returns the lease to use, or nothing if the caller has to request a new
  /// one.
  std::optional<std::int64_t> UsableLease(std::int64_t aIntervalNumber)
  {
    const std::lock_guard lock(mMutex);
    if (aIntervalNumber == mIntervalNumber || mIsGranting) {
      return mLease;
    }
    mIsGranting = true;
    return std::nullopt;
  }

  std::int64_t RecordGrant(std::int64_t aIntervalNumber,
                           const ErrorOr<std::int64_t>& aLease)
  {
    const std::lock_guard lock(mMutex);
    mIsGranting = false;
    if (!aLease) {
      return 0;
    }
    mIntervalNumber = aIntervalNumber;
    mLease = *aLease;
    return mLease;
  }
};

ClaimLeases::ClaimLeases()
  : mPrivate(std::make_unique<Private>())
{
}

ClaimLeases::~ClaimLeases() = default;

std::int64_t ClaimLeases::LeaseFor(const KeyValueStore& aStore,
                                   UnixMilliseconds aNow,
                                   Duration aRetention)
{
  const std::int64_t intervalNumber =
    aNow / std::chrono::milliseconds(kLeaseInterval);
  if (const auto lease = mPrivate->UsableLease(intervalNumber)) {
    return *lease;
  }
  // NOTE: The lease is valid for the retention plus two intervals: the one in
  //       which it was granted, and the next one, in which it may still be used
  //       while its successor is requested. Every claim is thus stored for the
  //       whole retention.
  return mPrivate->RecordGrant(
    intervalNumber, aStore.mGrantLease(aRetention + 2 * kLeaseInterval));
}

} // namespace Acaciavale
