#pragma once

#include <Acaciavale/LibRouting/VersionChoice.h>

/// Expected cost, quality and latency of one candidate.
namespace Acaciavale {

/// Fills in the candidate's scores from settings and evidence. Every stage
/// must exist in the settings.
VersionCandidate Scored(VersionCandidate aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView);

/// Good answers that a trial of this candidate has cost beyond those that the
/// target allows to miss.
double QualityShortfall(const VersionCandidate& aCandidate,
                        const RequestProfile& aProfile,
                        const VersionView& aView,
                        double aQualityTarget);

} // namespace Acaciavale
