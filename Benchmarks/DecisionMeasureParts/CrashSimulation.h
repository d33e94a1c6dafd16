#pragma once

#include <cstdint>

/// A fleet in front of engines that crash under requests with one part in their
/// prompts, on a virtual clock. VMs learn of crashes as on the platform: those
/// that see one push it to the readers, the others poll.
namespace Acaciavale::DecisionMeasure {

enum class CrashPolicy
{
  RepeatElsewhere, ///< An attempt that lost its engine is repeated.
  EachVmAlone,     ///< The quarantine without an exchange between VMs.
  Ours,
  Oracle, ///< Knows the part beforehand.
};

struct CrashScenario
{
  CrashPolicy mPolicy = CrashPolicy::Ours;
  std::uint32_t mVms = 8;
  std::uint32_t mEngines = 18;
  std::uint32_t mReaders = 2;
  double mRequestsPerSecond = 67;
  double mDeadlyShare = 0.03;
  double mPollSeconds = 0.56;
  double mContactSeconds = 3; ///< The operators' bound on the exchange.
  /// Share of the engines that crash for other reasons, each four seconds.
  double mOtherCrashShare = 0;
  std::uint64_t mSeed = 1;
};

struct CrashResult
{
  double mCrashes = 0; ///< Engines that ended under the part.
  /// Sends of the part later than mContactSeconds after the fifth crash.
  double mLateSends = 0;
  double mSoundBroken = 0; ///< Sound requests that lost an engine.
  /// Share of the sound requests that the quarantine refused.
  double mSoundRefusedShare = 0;
  double mSecondsUntilLastCrash = 0;
};

CrashResult SimulateCrashes(const CrashScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
