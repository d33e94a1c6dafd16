#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Lists the versions and cascades that could serve a request.
namespace Acaciavale {

/// Returns every version of the target as a candidate of one stage, with the
/// reason if it is excluded, followed by each run of consecutive cascade stages
/// whose versions are all usable. The candidates are not scored.
std::vector<VersionCandidate> ListCandidates(const RequestProfile& aProfile,
                                             const VersionView& aView);

} // namespace Acaciavale
