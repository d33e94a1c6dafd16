#pragma once

#include <Acaciavale/LibCore/Error.h>
#include <Acaciavale/LibPlatform/KeyValueStore.h>

#include <cstdint>
#include <string>
#include <vector>

/// The progress records of roll-outs, as far as operators read them.
namespace Acaciavale {

/// Where a roll-out stands. The phase is empty where no VM has taken it up.
struct RolloutState
{
  std::string mName;
  std::string mModel;
  std::string mFrom;
  std::string mTo;
  bool mPaused = false; ///< In the settings.
  std::string mPhase;   ///< running, paused, halted or done.
  std::size_t mStep = 0;
  std::size_t mStepCount = 0;
  double mSessionShare = 0; ///< Of new sessions, at this step.
  std::string mHolder;
  std::string mReason;

  auto operator<=>(const RolloutState&) const = default;
};

/// Every roll-out of the settings in force with its progress.
ErrorOr<std::vector<RolloutState>> FetchRolloutStates(
  const KeyValueStore& aStore);

/// Sets a halted roll-out running again; does nothing where it is not halted.
ErrorOr<void> LiftHalt(const KeyValueStore& aStore, const std::string& aName);

/// Renders the roll-out of this name, or all for an empty name.
std::string RolloutsText(const std::vector<RolloutState>& aStates,
                         const std::string& aName);
std::string RolloutsJson(const std::vector<RolloutState>& aStates,
                         const std::string& aName);

} // namespace Acaciavale
