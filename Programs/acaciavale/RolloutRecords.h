#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <string>
#include <vector>

/// The progress of roll-outs, as the rollout command shows it.
namespace Acaciavale {

/// Settings and progress of a roll-out. mPhase is empty until a VM has started
/// to control the roll-out.
struct RolloutState
{
  std::string mName;
  std::string mModel;
  std::string mFrom;
  std::string mTo;
  bool mPaused = false;  ///< Whether the settings pause the roll-out.
  std::string mPhase;    ///< "running", "paused", "halted" or "done".
  std::size_t mStep = 0; ///< Index of the current step, from 0.
  std::size_t mStepCount = 0;
  double mSessionShare = 0; ///< Share of new sessions at the current step.
  std::string mHolder;      ///< Name and incarnation of the controlling VM.
  std::string mReason;      ///< Reason for the phase, or why it cannot be read.

  auto operator<=>(const RolloutState&) const = default;
};

/// Fetches all roll-outs of the settings in force with their progress.
ErrorOr<std::vector<RolloutState>> FetchRolloutStates(
  const KeyValueStore& aStore);

/// Sets a halted roll-out to running; has no effect if it is not halted.
ErrorOr<void> LiftHalt(const KeyValueStore& aStore, const std::string& aName);

/// Render the roll-out of this name, or all roll-outs if the name is empty.
std::string RolloutsText(const std::vector<RolloutState>& aStates,
                         const std::string& aName);
std::string RolloutsJson(const std::vector<RolloutState>& aStates,
                         const std::string& aName);

} // namespace Acaciavale
