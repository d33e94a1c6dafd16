#include <Acaciavale/LibRouting/EndpointChoice.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

PoolEstimate EstimatePool(const std::vector<EndpointView>& aEndpoints,
                          std::uint32_t aLiveVms)
{
  PoolEstimate estimate;
  double reported = 0;
  double ownChange = 0;
  double own = 0;
  double slotsPerSecond = 0;
  for (const EndpointView& endpoint : aEndpoints) {
    if (endpoint.mLeaving || endpoint.mEjected) {
      continue;
    }
    estimate.mSlots += std::max(1, endpoint.mSlots);
    reported += endpoint.mReportedInFlight;
    own += endpoint.mOwnInFlight;
    ownChange += endpoint.mOwnInFlight - endpoint.mOwnInFlightAtReport;
    if (endpoint.mSecondsPerRequest > 0) {
      slotsPerSecond +=
        std::max(1, endpoint.mSlots) / endpoint.mSecondsPerRequest;
    }
  }
  const double everybody = std::max(own, reported + ownChange);
  estimate.mInFlight = std::llround(everybody);
  estimate.mOwnInFlight = std::llround(own);
  estimate.mOwnSlots =
    static_cast<double>(estimate.mSlots) / std::max(1U, aLiveVms);
  if (slotsPerSecond > 0) {
    estimate.mSecondsPerRequest =
      static_cast<double>(estimate.mSlots) / slotsPerSecond;
  }
  return estimate;
}

} // namespace Acaciavale
