#pragma once

#include <cstdint>

/// The line of requests that wait for a place, stepped by a virtual clock: a
/// VM's part of a pool, callers that come back when told to, and accounts of
/// which one may be loud.
namespace Acaciavale::DecisionMeasure {

enum class QueuePolicy
{
  Ours,     ///< WaitQueue, and the advice of RetryAfter.
  Fifo,     ///< First come, first served, nobody turned away, all return.
  Deadline, ///< Knows who can still be served in time, and serves only these.
};

struct QueueScenario
{
  QueuePolicy mQueuePolicy = QueuePolicy::Ours;
  std::uint64_t mSeed = 1;
  std::uint32_t mSlots = 20;
  double mLoad = 0.7;      ///< Of the places, without the burst.
  double mBurstFactor = 1; ///< Factor on the load in the burst.
  double mNoisyAccountFactor =
    1; ///< Factor on the load of account 0, at all times.
  std::uint32_t mAccountCount = 10;
};

struct QueueResult
{
  double mGoodput = 0; ///< Share of the places' time in the burst that served
                       ///< answers in time.
  double mOthersServedShare = 0; ///< Share of other accounts' requests in time.
  double mNoisyServedShare = 0;  ///< The same for account 0.
  double mRejectedRetryShare = 0; ///< Share of those who came back.
};

QueueResult SimulateQueue(const QueueScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
