#pragma once

#include "Exchange.h"
#include "Faults.h"
#include "KeyValueService.h"
#include "RunLog.h"

namespace Acaciavale::StandIns {

/// The port of the tests: sets faults, and tells what was run and written.
/// Times in its answers are microseconds of the machine's monotonic clock.
class Control
{
public:
  Control(std::uint64_t aSeed,
          FaultBoard& aFaults,
          RunLog& aRuns,
          KeyValueService& aKeyValue);

  Task Serve(Exchange& aExchange);

private:
  std::uint64_t mSeed;
  FaultBoard& mFaults;
  RunLog& mRuns;
  KeyValueService& mKeyValue;
};

} // namespace Acaciavale::StandIns
