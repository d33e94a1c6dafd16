#pragma once

#include "Problem.h"

#include <Acaciavale/LibRouting/VersionChoice.h>

/// The refusals of chat requests.
namespace Acaciavale {

/// "model/version".
std::string NameOf(const CascadeStage& aStage);

/// No engine answered in full.
Problem EngineFailed(Ran aRan);

/// The reason of DispatchExcluded.
constexpr const char* kVersionExcluded = "version-excluded";

/// The stage may not be dispatched by the newest settings.
Problem DispatchExcluded(Exclusion aExclusion);

/// No version may be chosen; names what excluded each.
Problem NothingFits(const VersionDecision& aDecision);

} // namespace Acaciavale
