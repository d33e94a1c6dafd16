#pragma once

#include "Deployment.h"
#include "Faults.h"

#include <cstdint>
#include <string>

/// Which answers are good: the same for the engine that gives one and for the
/// service that rates it.
namespace Acaciavale::StandIns {

/// An answer as its quality depends on it.
struct AnswerKey
{
  std::string mRequestId;
  LoadedVersion mVersion;
  std::string mRequestKind;
};

/// A number that is the same for the same texts on every machine.
std::uint64_t HashWithSeed(std::uint64_t aSeed, const std::string& aText);

/// Deterministic in seed and key, but for a fault "version:MODEL/VERSION" that
/// sets another quality.
bool IsGood(const Deployment& aDeployment,
            const FaultInjector& aFaults,
            std::uint64_t aSeed,
            const AnswerKey& aKey);

/// The part under which faults of a version are set.
std::string VersionFaultTarget(const LoadedVersion& aVersion);

} // namespace Acaciavale::StandIns
