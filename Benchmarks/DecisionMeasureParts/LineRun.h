#pragma once

#include <cstdint>

/// The line of requests that wait for a place, stepped by a virtual clock: a
/// VM's part of a pool, callers that come back when told to, and accounts of
/// which one may be loud.
namespace Acaciavale::DecisionMeasure {

enum class Queueing
{
  Ours,     ///< WaitQueue, and the advice of RetryAfter.
  Fifo,     ///< First come, first served, nobody turned away, all return.
  Deadline, ///< Knows who can still be served in time, and serves only these.
};

struct LineScenario
{
  Queueing mQueueing = Queueing::Ours;
  std::uint64_t mSeed = 1;
  std::uint32_t mPlaces = 20;
  double mLoad = 0.7;   ///< Of the places, without the burst.
  double mBurst = 1;    ///< Factor on the load in the burst.
  double mLoudness = 1; ///< Factor on the load of account 0, at all times.
  std::uint32_t mAccounts = 10;
};

struct LineResult
{
  double mGoodput = 0; ///< Share of the places' time in the burst that served
                       ///< answers in time.
  double mServedOthers = 0; ///< Share of other accounts' requests in time.
  double mServedLoud = 0;   ///< The same for account 0.
  double mRefusedAgain = 0; ///< Share of those who came back.
};

LineResult RunLine(const LineScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
