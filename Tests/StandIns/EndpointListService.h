#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <Acaciavale/LibPlatform/EndpointList.h>

#include <functional>
#include <mutex>
#include <string>
#include <vector>

namespace Acaciavale::StandIns {

/// Serves the list of endpoints with a lag. Its fault target is
/// "endpoint-list". Thread-safe.
class EndpointListService
{
public:
  EndpointListService(
    FaultInjector& aFaults,
    std::function<std::vector<EndpointListing>()> aCollectListings);

  Task Serve(Exchange& aExchange);
  /// Replaces the served list by the current state. The interval between two
  /// calls is the lag of the list.
  void Refresh();

private:
  FaultInjector& mFaults;
  std::function<std::vector<EndpointListing>()> mCollectListings;
  std::mutex mMutex;
  std::string mBody;
};

} // namespace Acaciavale::StandIns
