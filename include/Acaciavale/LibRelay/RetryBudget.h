#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <array>
#include <cstdint>

/// This VM's part of the fleet's budget for sends beyond the first.
namespace Acaciavale::Relay {

/// The fleet's budget, as the deployment states it.
struct RetryBudgetTerms
{
  double mRatio = 0.1; ///< Further sends for each request.
  double mSlack = 0;   ///< Further sends of the whole fleet in any window.
  Duration mWindow = std::chrono::seconds(10);

  auto operator<=>(const RetryBudgetTerms&) const = default;
};

/// Counts over a sliding window, in buckets. Each VM keeps the ratio over its
/// own requests and takes an equal part of the slack, so that the fleet's sum
/// stays within the budget whatever the VMs know of each other.
class RetryBudget
{
public:
  void RecordRequest(const RetryBudgetTerms& aTerms, TimePoint aNow);

  /// Whether one more send is within the budget; takes it from the budget.
  bool TrySpend(const RetryBudgetTerms& aTerms,
                std::int64_t aVms,
                TimePoint aNow);

private:
  /// Finer buckets cost memory, coarser ones hold sends back for longer.
  static constexpr std::size_t kBuckets = 20;

  struct Bucket
  {
    std::int64_t mNumber = -1; ///< Bucket lengths since the clock's start.
    std::int64_t mRequests = 0;
    std::int64_t mSends = 0;
  };

  Bucket& BucketAt(const RetryBudgetTerms& aTerms, TimePoint aNow);

  std::array<Bucket, kBuckets> mBuckets{};
};

} // namespace Acaciavale::Relay
