#pragma once

#include <Acaciavale/LibRouting/Evidence.h>

namespace Acaciavale {

/// Returns the evidence added between two sums. No count is negative; errors
/// never exceed answers, and good ratings never exceed ratings.
EvidenceCell EvidenceDifference(const EvidenceCell& aLater,
                                const EvidenceCell& aEarlier);

} // namespace Acaciavale
