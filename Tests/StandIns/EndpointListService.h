#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <Acaciavale/LibPlatform/EndpointList.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

/// The lagging list of endpoints, part "endpoint-list" of the faults.
/// Thread-safe.
class EndpointListService
{
public:
  EndpointListService(
    FaultInjector& aFaults,
    std::function<std::vector<EndpointListing>()> aCollectListings);

  Task Serve(Exchange& aExchange);
  /// Takes the state of now for the list; call it at the pace of the lag.
  void Refresh();

private:
  FaultInjector& mFaults;
  std::function<std::vector<EndpointListing>()> mCollectListings;
  std::mutex mMutex;
  std::string mBody;
};

} // namespace Acaciavale::StandIns
