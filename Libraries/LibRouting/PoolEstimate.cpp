#include <Acaciavale/LibRouting/EndpointChoice.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale {

PoolEstimate EstimatePool(const std::vector<EndpointView>& aEndpoints,
                          std::uint32_t aLiveVms)
{
  PoolEstimate estimate;
  double reportedInFlight = 0;
  double ownInFlightChange = 0;
  double ownInFlight = 0;
  double slotsPerSecond = 0;
  for (const EndpointView& endpoint : aEndpoints) {
    if (endpoint.mLeaving || endpoint.mEjected) {
      continue;
    }
    estimate.mSlots += std::max(1, endpoint.mSlots);
    reportedInFlight += endpoint.mReportedInFlight;
    ownInFlight += endpoint.mOwnInFlight;
    ownInFlightChange += endpoint.mOwnInFlight - endpoint.mOwnInFlightAtReport;
    if (endpoint.mSecondsPerRequest > 0) {
      slotsPerSecond +=
        std::max(1, endpoint.mSlots) / endpoint.mSecondsPerRequest;
    }
  }
  const double total =
    std::max(ownInFlight, reportedInFlight + ownInFlightChange);
  estimate.mInFlight = std::llround(total);
  estimate.mOwnInFlight = std::llround(ownInFlight);
  estimate.mOwnSlots =
    static_cast<double>(estimate.mSlots) / std::max(1U, aLiveVms);
  if (slotsPerSecond > 0) {
    estimate.mSecondsPerRequest =
      static_cast<double>(estimate.mSlots) / slotsPerSecond;
  }
  return estimate;
}

} // namespace Acaciavale
