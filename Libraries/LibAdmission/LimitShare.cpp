#include <Acaciavale/LibAdmission/LimitShare.h>

namespace Acaciavale {

double LimitShare(const LimitShareQuery& aQuery)
{
  if (aQuery.mTimeSinceSelfListed >= aQuery.mReclaimAfter / 10 * 9) {
    return 0;
  }
  double sum = aQuery.mWeight;
  for (const LimitMember& member : aQuery.mOthers) {
    const bool isReclaimed =
      !member.mListed && member.mTimeSinceListed >= aQuery.mReclaimAfter;
    if (member.mReleased || isReclaimed) {
      continue;
    }
    if (!member.mCountsThisVm) {
      return 0;
    }
    sum += member.mWeight;
  }
  return sum > 0 ? aQuery.mWeight / sum : 0;
}

} // namespace Acaciavale
