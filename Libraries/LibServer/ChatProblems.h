#pragma once

#include "Problem.h"

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Problems that are specific to chat requests.
namespace Acaciavale {

/// The name of a stage as "model/version".
std::string NameOf(const CascadeStage& aStage);

/// No engine returned a complete answer.
Problem EngineFailedProblem(Executed aExecuted);

/// Value of Problem::mReason in VersionExcludedProblem.
constexpr const char* kVersionExcludedReason = "version-excluded";

/// The current settings exclude the chosen version.
Problem VersionExcludedProblem(Exclusion aExclusion);

/// No version can be chosen; the detail states why each one is excluded.
Problem NoVersionProblem(const VersionDecision& aDecision);

} // namespace Acaciavale
