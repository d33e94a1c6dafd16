#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <array>
#include <cstdint>

/// This VM's part of the fleet's budget for attempts beyond the first.
namespace Acaciavale::Relay {

/// The fleet's budget, as the deployment states it.
struct RetryBudgetOptions
{
  double mRatio = 0.1; ///< Further attempts for each request.
  double mSlack = 0;   ///< Further attempts of the whole fleet in any window.
  Duration mWindow = std::chrono::seconds(10);

  auto operator<=>(const RetryBudgetOptions&) const = default;
};

/// Counts over a sliding window, in buckets. Each VM keeps the ratio over its
/// own requests and takes an equal part of the slack, so that the fleet's sum
/// stays within the budget whatever the VMs know of each other.
class RetryBudget
{
public:
  void RecordRequest(const RetryBudgetOptions& aOptions, TimePoint aNow);

  /// Whether one more send is within the budget; takes it from the budget.
  bool TrySpend(const RetryBudgetOptions& aOptions,
                std::int64_t aVms,
                TimePoint aNow);

private:
  /// Finer buckets cost memory, coarser ones hold attempts back for longer.
  static constexpr std::size_t kBuckets = 20;

  struct Bucket
  {
    std::int64_t mNumber = -1; ///< Bucket lengths since the clock's start.
    std::int64_t mRequests = 0;
    std::int64_t mAttempts = 0;
  };

  Bucket& BucketAt(const RetryBudgetOptions& aOptions, TimePoint aNow);

  std::array<Bucket, kBuckets> mBuckets{};
};

} // namespace Acaciavale::Relay
