#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <string>

/// The record `rollouts/<name>` in the key-value service.
namespace Acaciavale {

constexpr const char* kRolloutPrefix = "rollouts/";

std::string RolloutKey(const std::string& aName);
std::string SerializeProgress(const RolloutProgress& aProgress,
                              const std::string& aNonce);
ErrorOr<RolloutProgress> ParseProgress(const std::string& aValue);

/// An operator's order: a halted roll-out goes on from the step where it was
/// halted. Conflict if another writer came between.
ErrorOr<void> ResumeRollout(const KeyValueStore& aStore,
                            const std::string& aName,
                            const std::string& aNonce);

} // namespace Acaciavale
