#pragma once

#include "Exchange.h"
#include "Faults.h"
#include "KeyValueService.h"
#include "RunLog.h"

namespace Acaciavale::StandIns {

/// The port of the tests: sets faults, and tells what was run and written.
/// Times in its answers are microseconds of the machine's monotonic clock.
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
