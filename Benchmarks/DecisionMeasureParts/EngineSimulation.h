#pragma once

#include <cstdint>
#include <vector>

/// A queueing fake of engines that read prompts one after the other, stepped by
/// a virtual clock. The VMs place prompts with the relay's own book of
/// endpoints, or with a baseline; they hear of loads as on the platform.
namespace Acaciavale::DecisionMeasure {

enum class SelectionPolicy
{
  Ours,
  RoundRobin,
  LeastReported, ///< Fewest requests by the last report this VM had.
  Oracle,        ///< Knows what each engine still has to read.
};

/// Which of three models answers.
enum class ModelPolicy
{
  Ours,
  Smallest,
  Largest,
  Oracle, ///< Knows which models would answer well.
};

struct EngineScenario
{
  SelectionPolicy mSelectionPolicy = SelectionPolicy::Ours;
  ModelPolicy mModelPolicy = ModelPolicy::Largest;
  std::uint64_t mSeed = 1;
  std::uint32_t mVms = 24;
  std::uint32_t mEngines = 30;
  std::uint32_t mSlots = 48;
  /// Share of the engines' time that reading takes with the largest model.
  double mLoad = 0.5;
  double mLongPromptShare = 0.1; ///< Of the prompts.
  bool mHalfAreSlow = false;
  double mDurationSeconds = 60;
  double mWarmUpSeconds = 10;
};

struct EngineResult
{
  std::vector<double>
    mShortPromptFirstEventSeconds; ///< Seconds to the first event.
  std::vector<double> mLongPromptFirstEventSeconds;
  double mNetValue = 0; ///< Mean of a request, in values of a good answer.
};

EngineResult SimulateEngines(const EngineScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
