#pragma once

#include <cstdint>

/// A fleet in front of engines that turn requests away in a burst and state for
/// how long they want no more, on a virtual clock.
namespace Acaciavale::DecisionMeasure {

enum class QuietPolicy
{
  Ignore, ///< The stated time is not used.
  Ours,   ///< EndpointQuiet.
  Oracle, ///< Sees the free places of all engines and who wants quiet.
};

struct QuietScenario
{
  QuietPolicy mPolicy = QuietPolicy::Ours;
  std::uint32_t mVms = 295;
  std::uint32_t mEngines = 240;
  /// Share of the engines that want quiet for 1 to 5 s when they are full.
  double mQuietShare = 0.5;
  /// Whether all engines want quiet for 2 s within the burst.
  bool mAllWantQuiet = false;
  std::uint64_t mSeed = 1;
};

struct QuietResult
{
  /// Share of the requests of the burst that were served by five seconds after
  /// it, at once or after a return.
  double mServedShare = 0;
  /// Sends to an engine later than 0.5 s after it told this VM that it wants
  /// quiet, and before the end of that time.
  double mSendsInQuiet = 0;
  /// Arrivals at the engines in the largest second after the quiet time or, if
  /// engines want quiet one by one, after the burst, relative to the mean.
  double mLargestSecond = 0;
};

QuietResult SimulateQuiet(const QuietScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
