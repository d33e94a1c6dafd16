#pragma once

#include "Exchange.h"
#include "Faults.h"

#include <mutex>

namespace Acaciavale::StandIns {

/// The rate-limited weight store, part "weights" of the faults. Thread-safe.
class WeightStore
{
public:
  explicit WeightStore(FaultBoard& aFaults);

  Task Serve(Exchange& aExchange);

private:
  FaultBoard& mFaults;
  std::mutex mMutex;
  TimePoint mNext{}; ///< No fetch before this.
};

} // namespace Acaciavale::StandIns
