#pragma once

#include "Exchange.h"
#include "Faults.h"
#include "KeyValueService.h"
#include "RunLog.h"

namespace Acaciavale::StandIns {

/// The control interface for tests: sets faults and reports the recorded runs,
/// store writes and faults. Times in its responses are microseconds of the
/// machine's monotonic clock.
class ControlService
{
public:
  ControlService(std::uint64_t aSeed,
                 FaultInjector& aFaults,
                 RunLog& aRuns,
                 KeyValueService& aKeyValue);

  Task Serve(Exchange& aExchange);

private:
  std::uint64_t mSeed;
  FaultInjector& mFaults;
  RunLog& mRuns;
  KeyValueService& mKeyValue;
};

} // namespace Acaciavale::StandIns
