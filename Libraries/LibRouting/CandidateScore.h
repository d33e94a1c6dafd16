#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Computes the expected cost, quality and latency of a candidate.
namespace Acaciavale {

/// Returns the candidate with its scores, computed from settings and evidence.
/// Every stage must exist in the settings.
VersionCandidate Scored(VersionCandidate aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView);

/// Number of bad answers of this candidate beyond those that the quality target
/// allows; 0 if it meets the target.
double QualityShortfall(const VersionCandidate& aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView,
                        double aQualityTarget);

} // namespace Acaciavale
