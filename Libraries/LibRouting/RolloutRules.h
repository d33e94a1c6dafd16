#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// How roll-outs bear on the choice of a version.
namespace Acaciavale {

/// Closes each new version of a roll-out to requests that it is not for. A
/// session keeps the new version that it holds; whether that is still wise is
/// for the operator, who may withdraw it.
void ExcludeRolloutVersions(const RequestProfile& aProfile,
                            const VersionView& aView,
                            std::vector<VersionCandidate>& aCandidates);

/// The stages with each version under roll-out put in the place of the one
/// that it replaces, if the session falls into its share.
std::vector<CascadeStage> WithRolloutVersions(
  const RequestProfile& aProfile,
  const VersionView& aView,
  std::vector<CascadeStage> aStages);

} // namespace Acaciavale
