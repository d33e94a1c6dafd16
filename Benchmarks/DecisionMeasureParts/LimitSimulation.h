#pragma once

#include <cstdint>

/// A fleet in front of a pool in which endpoints state how many requests a
/// second they take from all VMs together, on a virtual clock.
namespace Acaciavale::DecisionMeasure {

enum class LimitPolicy
{
  Ignore,      ///< The stated limit is not used.
  EachVmAlone, ///< Each VM that was told keeps to the whole limit.
  EqualShares, ///< Each VM that was told keeps to an equal share.
  Ours,        ///< EndpointLimit: few holders, and news go to all VMs.
  Oracle,      ///< One queue before each endpoint, which knows its limit.
};

/// How the limits change after they were stated first.
enum class LimitCourse
{
  Constant,
  EachSecond, ///< Up and down, by up to a third of the stated limit.
  Ends,       ///< Ends after 30 s.
};

enum class FleetEvent
{
  None,
  RollingRestart, ///< The VMs restart one after the other.
  ThirdLost,      ///< A third of the VMs lose power after 20 s.
  ThirdCutOff,    ///< A third of the VMs exchange nothing from 10 to 30 s.
  TenthFrozen,    ///< A tenth of the VMs stand still from 20 to 23 s.
};

struct LimitScenario
{
  LimitPolicy mPolicy = LimitPolicy::Ours;
  LimitCourse mCourse = LimitCourse::Constant;
  FleetEvent mEvent = FleetEvent::None;
  std::uint32_t mVms = 8;
  std::uint32_t mEndpoints = 18;
  std::uint32_t mLimited = 3; ///< Endpoints that state a limit.
  double mLimit = 1.2;        ///< Requests a second of each of them.
  double mRequestsPerSecond = 90;
  double mBurst = 1; ///< Factor on the requests from 15 to 25 s.
  std::uint64_t mSeed = 1;
};

struct LimitResult
{
  /// Most requests that an endpoint got in 4 s from VMs that it had told,
  /// relative to what the operators allow.
  double mMostOfAllowed = 0;
  double mUsedShare = 0;    ///< Requests to the limited endpoints / limits.
  double mRefusedShare = 0; ///< Requests that were refused for good.
  /// Time from the first statement until the last VM knows it.
  double mSecondsUntilKnown = 0;
};

LimitResult SimulateLimits(const LimitScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
