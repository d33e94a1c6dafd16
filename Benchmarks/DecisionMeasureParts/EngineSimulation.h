#pragma once

#include <cstdint>
#include <vector>

/// Discrete-event simulation of engines that prefill one prompt after another.
/// The VMs select engines with the relay's EndpointRegistry or with a baseline
/// policy, and exchange load reports as on the platform.
namespace Acaciavale::DecisionMeasure {

enum class SelectionPolicy
{
  Ours, ///< The selection of EndpointRegistry.
  RoundRobin,
  LeastReported, ///< Fewest requests by the last report to this VM.
  Oracle,        ///< Earliest end of prefill, by the true state of the engines.
};

/// Policy that chooses one of three models for a request.
enum class ModelPolicy
{
  Ours, ///< ChooseModel and ChooseEscalation of LibRelay.
  Smallest,
  Largest,
  Oracle, ///< Smallest model whose answer will be good.
};

struct EngineScenario
{
  SelectionPolicy mSelectionPolicy = SelectionPolicy::Ours;
  ModelPolicy mModelPolicy = ModelPolicy::Largest;
  std::uint64_t mSeed = 1;
  std::uint32_t mVms = 24;
  std::uint32_t mEngines = 30;
  std::uint32_t mSlots = 48;
  /// Offered prefill load if the largest model serves all requests, as a share
  /// of the engines' capacity.
  double mLoad = 0.5;
  double mLongPromptShare = 0.1; ///< Share of long prompts among all prompts.
  bool mHalfAreSlow = false;
  double mDurationSeconds = 60;
  double mWarmUpSeconds = 10;
};

struct EngineResult
{
  /// Time from arrival to the first event, for each short prompt.
  std::vector<double> mShortPromptFirstEventSeconds;
  /// Time from arrival to the first event, for each long prompt.
  std::vector<double> mLongPromptFirstEventSeconds;
  /// Mean value minus cost per request, in units of the value of a good answer.
  double mNetValue = 0;
};

EngineResult SimulateEngines(const EngineScenario& aScenario);

} // namespace Acaciavale::DecisionMeasure
