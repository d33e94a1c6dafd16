#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <array>
#include <cstdint>

/// This VM's share of the fleet's budget for retries, the attempts of a request
/// after the first one.
namespace Acaciavale::Relay {

/// The retry budget of the fleet, as configured by the deployment.
struct RetryBudgetOptions
{
  double mRatio = 0.1; ///< Retries per request.
  double mSlack = 0;   ///< Additional retries of the whole fleet in any window.
  Duration mWindow = std::chrono::seconds(10);

  auto operator<=>(const RetryBudgetOptions&) const = default;
};

/// Counts requests and retries over a sliding window of buckets. Each VM
/// applies the ratio to its own requests and uses an equal share of the slack,
/// so that the fleet stays within the budget without coordination.
class RetryBudget
{
public:
  void RecordRequest(const RetryBudgetOptions& aOptions, TimePoint aNow);

  /// Whether one more retry is within the budget; if so, it is counted.
  bool TrySpend(const RetryBudgetOptions& aOptions,
                std::int64_t aLiveVms,
                TimePoint aNow);

private:
  /// More buckets use more memory; with fewer buckets, spent budget becomes
  /// available again later.
  static constexpr std::size_t kBuckets = 20;

  struct Bucket
  {
    /// Number of bucket lengths since the clock's epoch.
    std::int64_t mNumber = -1;
    std::int64_t mRequests = 0;
    std::int64_t mRetries = 0;
  };

  Bucket& BucketAt(const RetryBudgetOptions& aOptions, TimePoint aNow);

  std::array<Bucket, kBuckets> mBuckets{};
};

} // namespace Acaciavale::Relay
