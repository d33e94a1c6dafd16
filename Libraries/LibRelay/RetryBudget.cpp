#include <Acaciavale/LibRelay/RetryBudget.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Share of the budget that the VMs use. The remainder is a reserve, because
/// the windows of the operator's measurement are not aligned with the buckets,
/// and the share of each VM changes when a VM joins or leaves.
constexpr double kUsedBudgetShare = 0.75;

std::int64_t BucketNumberAt(const RetryBudgetOptions& aOptions,
                            std::size_t aBucketCount,
                            TimePoint aNow)
{
  const auto bucketLength = std::max<std::int64_t>(
    1, aOptions.mWindow.count() / static_cast<std::int64_t>(aBucketCount));
  return aNow.time_since_epoch().count() / bucketLength;
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
                           std::int64_t aLiveVms,
                           TimePoint aNow)
{
  Bucket& current = BucketAt(aOptions, aNow);
  std::int64_t requests = 0;
  std::int64_t retries = 0;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mNumber >
        current.mNumber - static_cast<std::int64_t>(kBuckets)) {
      requests += bucket.mRequests;
      retries += bucket.mRetries;
    }
  }
  const double slack =
    aOptions.mSlack / static_cast<double>(std::max<std::int64_t>(1, aLiveVms));
  const double allowed =
    kUsedBudgetShare *
    (aOptions.mRatio * static_cast<double>(requests) + slack);
  if (static_cast<double>(retries + 1) > allowed) {
    return false;
  }
  current.mRetries += 1;
  return true;
}

} // namespace Acaciavale::Relay
