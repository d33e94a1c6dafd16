#include <Acaciavale/LibRelay/RetryBudget.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Part of the budget that VMs use: the windows of whoever counts are not
/// aligned with ours, and a VM that joins or leaves changes the parts.
constexpr double kUsedShare = 0.75;

std::int64_t BucketNumberAt(const RetryBudgetOptions& aOptions,
                            std::size_t aBuckets,
                            TimePoint aNow)
{
  const auto length = std::max<std::int64_t>(
    1, aOptions.mWindow.count() / static_cast<std::int64_t>(aBuckets));
  return aNow.time_since_epoch().count() / length;
}

} // namespace

RetryBudget::Bucket& RetryBudget::BucketAt(const RetryBudgetOptions& aOptions,
                                           TimePoint aNow)
{
  const std::int64_t number = BucketNumberAt(aOptions, kBuckets, aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.mNumber != number) {
    bucket = { number, 0, 0 };
  }
  return bucket;
}

void RetryBudget::RecordRequest(const RetryBudgetOptions& aOptions,
                                TimePoint aNow)
{
  BucketAt(aOptions, aNow).mRequests += 1;
}

bool RetryBudget::TrySpend(const RetryBudgetOptions& aOptions,
                           std::int64_t aVms,
                           TimePoint aNow)
{
  Bucket& current = BucketAt(aOptions, aNow);
  std::int64_t requests = 0;
  std::int64_t attempts = 0;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mNumber >
        current.mNumber - static_cast<std::int64_t>(kBuckets)) {
      requests += bucket.mRequests;
      attempts += bucket.mAttempts;
    }
  }
  const double slack =
    aOptions.mSlack / static_cast<double>(std::max<std::int64_t>(1, aVms));
  const double allowed =
    kUsedShare * (aOptions.mRatio * static_cast<double>(requests) + slack);
  if (static_cast<double>(attempts + 1) > allowed) {
    return false;
  }
  current.mAttempts += 1;
  return true;
}

} // namespace Acaciavale::Relay
