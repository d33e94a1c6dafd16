#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <mutex>

namespace Acaciavale::StandIns {

/// The rate-limited weight store. Its fault target is "weights". Thread-safe.
class WeightStore
{
public:
  explicit WeightStore(FaultInjector& aFaults);

  Task Serve(Exchange& aExchange);

private:
  FaultInjector& mFaults;
  std::mutex mMutex;
  TimePoint mNextFetchAllowed{}; ///< Fetches before this time get status 429.
};

} // namespace Acaciavale::StandIns
