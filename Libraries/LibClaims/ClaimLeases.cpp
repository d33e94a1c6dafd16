#include <Acaciavale/LibClaims/Claims.h>

#include <mutex>
#include <optional>

namespace Acaciavale {

namespace {

/// Claims taken within one such span share a lease.
constexpr std::chrono::hours kSpan{ 1 };

} // namespace

struct ClaimLeases::Private
{
  std::mutex mMutex;
  std::int64_t mLease = 0;
  std::int64_t mSpanNumber = -1;
  bool mGranting = false;

  /// The lease to use at once; nothing when the caller is to ask for a new one.
  std::optional<std::int64_t> Current(std::int64_t aSpan)
  {
    const std::lock_guard lock(mMutex);
    if (aSpan == mSpanNumber || mGranting) {
      return mLease;
    }
    mGranting = true;
    return std::nullopt;
  }

  std::int64_t Granted(std::int64_t aSpan, const ErrorOr<std::int64_t>& aLease)
  {
    const std::lock_guard lock(mMutex);
    mGranting = false;
    if (!aLease) {
      return 0;
    }
    mSpanNumber = aSpan;
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
  const std::int64_t span = aNow / std::chrono::milliseconds(kSpan);
  if (const auto lease = mPrivate->Current(span)) {
    return *lease;
  }
  // NOTE: The lease outlives its span and, for those who use it while the next
  //       is being granted, the one after, so that every claim is kept for the
  //       whole retention.
  return mPrivate->Granted(span, aStore.mGrantLease(aRetention + 2 * kSpan));
}

} // namespace Acaciavale
