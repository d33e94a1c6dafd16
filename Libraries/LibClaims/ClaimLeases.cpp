#include <Acaciavale/LibClaims/Claims.h>

#include <mutex>
#include <optional>

namespace Acaciavale {

namespace {

/// Claims taken within one such intervalNumber share a lease.
constexpr std::chrono::hours kLeaseInterval{ 1 };

} // namespace

struct ClaimLeases::Private
{
  std::mutex mMutex;
  std::int64_t mLease = 0;
  std::int64_t mIntervalNumber = -1;
  bool mIsGranting = false;

  /// The lease to use at once; nothing when the caller is to ask for a new one.
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
  // NOTE: The lease outlives its intervalNumber and, for those who use it while
  // the next
  //       is being granted, the one after, so that every claim is kept for the
  //       whole retention.
  return mPrivate->RecordGrant(
    intervalNumber, aStore.mGrantLease(aRetention + 2 * kLeaseInterval));
}

} // namespace Acaciavale
