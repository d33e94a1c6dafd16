#include "EvidenceDifference.h"

#include <algorithm>

namespace Acaciavale {

EvidenceCell EvidenceDifference(const EvidenceCell& aLater,
                                const EvidenceCell& aEarlier)
{
  const auto increase = [](double aTo, double aFrom) {
    return std::max(0.0, aTo - aFrom);
  };
  EvidenceCell cell;
  cell.mRated = increase(aLater.mRated, aEarlier.mRated);
  cell.mGood = std::min(cell.mRated, increase(aLater.mGood, aEarlier.mGood));
  cell.mAnswers = increase(aLater.mAnswers, aEarlier.mAnswers);
  cell.mErrors =
    std::min(cell.mAnswers, increase(aLater.mErrors, aEarlier.mErrors));
  cell.mEscalations = increase(aLater.mEscalations, aEarlier.mEscalations);
  cell.mFirstTokenSeconds =
    increase(aLater.mFirstTokenSeconds, aEarlier.mFirstTokenSeconds);
  cell.mOutputTokens = increase(aLater.mOutputTokens, aEarlier.mOutputTokens);
  return cell;
}

} // namespace Acaciavale
