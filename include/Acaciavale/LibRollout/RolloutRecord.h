#pragma once

#include <Acaciavale/LibPlatform/KeyValueStore.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>

#include <string>

/// The progress record `rollouts/<name>` in the key-value store.
namespace Acaciavale {

constexpr const char* kRolloutPrefix = "rollouts/";

std::string RolloutKey(const std::string& aName);
std::string SerializeProgress(const RolloutProgress& aProgress,
                              const std::string& aNonce);
ErrorOr<RolloutProgress> ParseProgress(const std::string& aValue);

/// Resumes a halted roll-out, on request of an operator, at the step where it
/// was halted. Returns Conflict if another writer changed the record meanwhile.
ErrorOr<void> ResumeRollout(const KeyValueStore& aStore,
                            const std::string& aName,
                            const std::string& aNonce);

} // namespace Acaciavale
