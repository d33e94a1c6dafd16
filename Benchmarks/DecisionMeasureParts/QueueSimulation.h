#pragma once

#include <cstdint>

/// Discrete-event simulation of the queue in which requests of one VM wait for
/// a free slot. Rejected callers retry after the advised delay, and one of the
/// accounts can send more than the others.
namespace Acaciavale::DecisionMeasure {

enum class QueuePolicy
{
  Ours,     ///< WaitQueue, with the retry delay of RetryAfter.
  Fifo,     ///< First come, first served; no request is rejected.
  Deadline, ///< First come, first served; a request that has waited for its
            ///< whole goal is rejected.
};

struct QueueScenario
{
  QueuePolicy mQueuePolicy = QueuePolicy::Ours;
  std::uint64_t mSeed = 1;
  std::uint32_t mSlots = 20;
  /// Offered load outside the burst, as a share of the slots.
  double mLoad = 0.7;
  double mBurstFactor = 1; ///< Factor by which the load grows in the burst.
  /// Factor on the load of account 0 during the whole run.
  double mNoisyAccountFactor = 1;
  std::uint32_t mAccountCount = 10;
};

struct QueueResult
{
  /// Share of the slot time during the burst that was spent on requests started
  /// within their goals.
  double mGoodput = 0;
  /// Share of the requests started within their goals, for all accounts but
  /// account 0.
  double mOthersServedShare = 0;
  /// Share of the requests of account 0 started within their goals.
  double mNoisyServedShare = 0;
  /// Share of the retries that were rejected.
  double mRejectedRetryShare = 0;
};

QueueResult SimulateQueue(const QueueScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
