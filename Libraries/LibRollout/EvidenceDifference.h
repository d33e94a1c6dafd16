#pragma once

#include <Acaciavale/LibRouting/Evidence.h>

namespace Acaciavale {

/// What came in between two sums; never negative, and no more bad outcomes than
/// there are outcomes.
EvidenceCell EvidenceDifference(const EvidenceCell& aLater,
                                const EvidenceCell& aEarlier);

} // namespace Acaciavale
