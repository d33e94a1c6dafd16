#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Applies roll-outs to the selection of a version.
namespace Acaciavale {

/// Excludes the new version of each roll-out for requests outside the
/// roll-out's share. A session that is pinned to the new version keeps it, even
/// if the roll-out is halted; the operator can withdraw the version to end
/// this.
void ExcludeRolloutVersions(const RequestProfile& aProfile,
                            const VersionView& aView,
                            std::vector<VersionCandidate>& aCandidates);

/// Returns the stages with each old version of a roll-out replaced by the new
/// one if the session is within the roll-out's share.
std::vector<CascadeStage> WithRolloutVersions(
  const RequestProfile& aProfile,
  const VersionView& aView,
  std::vector<CascadeStage> aStages);

} // namespace Acaciavale
