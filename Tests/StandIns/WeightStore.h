#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <mutex>

namespace Acaciavale::StandIns {

/// The rate-limited weight store, part "weights" of the faults. Thread-safe.
class WeightStore
{
public:
  explicit WeightStore(FaultInjector& aFaults);

  Task Serve(Exchange& aExchange);

private:
  FaultInjector& mFaults;
  std::mutex mMutex;
  TimePoint mNextFetchAllowed{}; ///< No fetch before this.
};

} // namespace Acaciavale::StandIns
