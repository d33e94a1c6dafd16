#include <Acaciavale/LibRelay/PlannedStop.h>

namespace Acaciavale::Relay {

bool CanEndBeforeCut(const LateRequest& aRequest)
{
  const Duration left = aRequest.mOpenTime - aRequest.mSinceStop;
  return aRequest.mTimeLeft <= left ||
         (aRequest.mLongestExpected && *aRequest.mLongestExpected <= left);
}

} // namespace Acaciavale::Relay
