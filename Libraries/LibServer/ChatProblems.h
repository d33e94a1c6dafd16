#pragma once

#include "Problem.h"

#include <Acaciavale/LibRouting/VersionChoice.h>

/// The refusals of chat requests.
namespace Acaciavale {

/// "model/version".
std::string NameOf(const CascadeStage& aStage);

/// No engine answered in full.
Problem EngineFailedProblem(Executed aExecuted);

/// The reason of VersionExcludedProblem.
constexpr const char* kVersionExcludedReason = "version-excluded";

/// The stage may not be dispatched by the newest settings.
Problem VersionExcludedProblem(Exclusion aExclusion);

/// No version may be chosen; names what excluded each.
Problem NoVersionProblem(const VersionDecision& aDecision);

} // namespace Acaciavale
