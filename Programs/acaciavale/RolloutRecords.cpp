#include "RolloutRecords.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutRecord.h>
#include <Acaciavale/LibSettings/SettingsParser.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

using Json = nlohmann::json;

RolloutState MakeState(const RolloutSettings& aRollout)
{
  RolloutState state;
  state.mName = aRollout.mName;
  state.mModel = aRollout.mModel;
  state.mFrom = aRollout.mFrom;
  state.mTo = aRollout.mTo;
  state.mPaused = aRollout.mPaused;
  state.mStepCount = aRollout.mSteps.size();
  return state;
}

std::string PhaseName(RolloutPhase aPhase)
{
  switch (aPhase) {
    case RolloutPhase::Running:
      return "running";
    case RolloutPhase::Paused:
      return "paused";
    case RolloutPhase::Halted:
      return "halted";
    case RolloutPhase::Done:
      return "done";
  }
  return "";
}

void AddProgress(const KeyValueEntry& aEntry,
                 const RolloutSettings& aRollout,
                 RolloutState& aState)
{
  const auto progress = ParseProgress(aEntry.mValue);
  if (!progress) {
    aState.mReason = progress.error().mMessage;
    return;
  }
  aState.mPhase = PhaseName(progress->mPhase);
  aState.mStep = progress->mStep;
  aState.mHolder = progress->mHolder;
  aState.mReason = progress->mReason;
  if (aState.mStep < aRollout.mSteps.size()) {
    aState.mSessionShare = aRollout.mSteps[aState.mStep];
  }
}

std::string FormatLine(const RolloutState& aState)
{
  const std::string phase =
    aState.mPhase.empty() ? "not taken up yet" : aState.mPhase;
  return aState.mName + "  " + aState.mModel + " " + aState.mFrom + " -> " +
         aState.mTo + "  " + phase +
         (aState.mPaused ? " (paused in the settings)" : "") + "  step " +
         std::to_string(aState.mStep + 1) + " of " +
         std::to_string(aState.mStepCount) +
         (aState.mReason.empty() ? "" : "  " + aState.mReason) + "\n";
}

} // namespace

ErrorOr<std::vector<RolloutState>> FetchRolloutStates(
  const KeyValueStore& aStore)
{
  const auto stored = ACACIAVALE_TRY(FetchLatest(aStore));
  const SettingsResult parsed = ParseSettings(stored.mFiles);
  if (!parsed.mSettings) {
    return MakeError(ErrorCode::Invalid, "The settings in force are invalid.");
  }
  std::vector<RolloutState> states;
  for (const auto& [name, rollout] : parsed.mSettings->mRollouts) {
    states.push_back(MakeState(rollout));
    const auto entry = ACACIAVALE_TRY(aStore.mRead(RolloutKey(name)));
    if (entry) {
      AddProgress(*entry, rollout, states.back());
    }
  }
  return states;
}

ErrorOr<void> LiftHalt(const KeyValueStore& aStore, const std::string& aName)
{
  const auto entry = ACACIAVALE_TRY(aStore.mRead(RolloutKey(aName)));
  if (!entry) {
    return {};
  }
  const RolloutProgress progress = ACACIAVALE_TRY(ParseProgress(entry->mValue));
  if (progress.mPhase != RolloutPhase::Halted) {
    return {};
  }
  Random random(EntropySeed());
  return ResumeRollout(aStore, aName, RandomToken(random));
}

std::string RolloutsText(const std::vector<RolloutState>& aStates,
                         const std::string& aName)
{
  std::string text;
  for (const RolloutState& state : aStates) {
    text += aName.empty() || state.mName == aName ? FormatLine(state) : "";
  }
  return text.empty() ? "no such roll-out in the settings in force\n" : text;
}

std::string RolloutsJson(const std::vector<RolloutState>& aStates,
                         const std::string& aName)
{
  Json rollouts = Json::array();
  for (const RolloutState& state : aStates) {
    if (aName.empty() || state.mName == aName) {
      rollouts.push_back({ { "name", state.mName },
                           { "model", state.mModel },
                           { "from", state.mFrom },
                           { "to", state.mTo },
                           { "paused", state.mPaused },
                           { "phase", state.mPhase },
                           { "step", state.mStep },
                           { "steps", state.mStepCount },
                           { "share", state.mSessionShare },
                           { "holder", state.mHolder },
                           { "reason", state.mReason } });
    }
  }
  return Json{ { "rollouts", rollouts } }.dump(2) + "\n";
}

} // namespace Acaciavale
