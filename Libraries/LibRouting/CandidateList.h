#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Lists what a request could run on.
namespace Acaciavale {

/// Every version behind the target as a candidate of one stage, with the rule
/// that excludes it if there is one, followed by each run of neighbouring
/// cascade stages whose versions are all usable. Not scored yet.
std::vector<VersionCandidate> ListCandidates(const RequestProfile& aProfile,
                                             const VersionView& aView);

} // namespace Acaciavale
