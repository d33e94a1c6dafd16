#pragma once

#include "Deployment.h"
#include "Exchange.h"
#include "Faults.h"
#include "RunLog.h"

namespace Acaciavale::StandIns {

/// A service that is not a model engine. It accepts and records every call. Its
/// fault target is its name. Thread-safe.
class PlainService
{
public:
  PlainService(FaultInjector& aFaults, RunLog& aRuns, ServiceSetup aSetup);

  Task Serve(Exchange& aExchange);
  EndpointListing Listing() const;

private:
  FaultInjector& mFaults;
  RunLog& mRuns;
  ServiceSetup mSetup;
};

} // namespace Acaciavale::StandIns
