#pragma once

#include "Deployment.h"
#include "Faults.h"

#include <cstdint>
#include <string>

/// Decides which answers are good. The engine that generates an answer and the
/// service that rates it come to the same result.
namespace Acaciavale::StandIns {

/// Properties of an answer that determine its quality.
struct AnswerKey
{
  std::string mRequestId;
  LoadedVersion mVersion;
  std::string mRequestKind;
};

/// Hashes the text with FNV-1a and the seed; the result is the same on every
/// machine.
std::uint64_t HashWithSeed(std::uint64_t aSeed, const std::string& aText);

/// Returns whether an answer is good. The result depends only on the
/// deployment, the seed and the key, unless a fault of the target
/// "version:MODEL/VERSION" sets a different quality.
bool IsGood(const Deployment& aDeployment,
            const FaultInjector& aFaults,
            std::uint64_t aSeed,
            const AnswerKey& aKey);

/// Returns the fault target of a version.
std::string VersionFaultTarget(const LoadedVersion& aVersion);

} // namespace Acaciavale::StandIns
