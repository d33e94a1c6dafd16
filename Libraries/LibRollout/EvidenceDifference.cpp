#include "EvidenceDifference.h"

#include <algorithm>

namespace Acaciavale {

EvidenceCell EvidenceDifference(const EvidenceCell& aLater,
                                const EvidenceCell& aEarlier)
{
  const auto rise = [](double aTo, double aFrom) {
    return std::max(0.0, aTo - aFrom);
  };
  EvidenceCell cell;
  cell.mRated = rise(aLater.mRated, aEarlier.mRated);
  cell.mGood = std::min(cell.mRated, rise(aLater.mGood, aEarlier.mGood));
  cell.mAnswers = rise(aLater.mAnswers, aEarlier.mAnswers);
  cell.mErrors =
    std::min(cell.mAnswers, rise(aLater.mErrors, aEarlier.mErrors));
  cell.mEscalations = rise(aLater.mEscalations, aEarlier.mEscalations);
  cell.mFirstTokenSeconds =
    rise(aLater.mFirstTokenSeconds, aEarlier.mFirstTokenSeconds);
  cell.mOutputTokens = rise(aLater.mOutputTokens, aEarlier.mOutputTokens);
  return cell;
}

} // namespace Acaciavale
