#include "LibPlatform/CallGate.h"

#include <algorithm>

namespace Acaciavale {

namespace {

constexpr int kFailuresToOpenBreaker = 3;

double Seconds(Duration aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

} // namespace

CallGate::CallGate(CallGateOptions aOptions, TimePoint aNow)
  : mOptions(aOptions)
  , mTokens(static_cast<double>(aOptions.mCallBurst))
  , mRefilled(aNow)
{
}

GateVerdict CallGate::Enter(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (mFailuresInRow >= kFailuresToOpenBreaker) {
    if (aNow < mClosedUntil) {
      return GateVerdict::BreakerOpen;
    }
    // NOTE: One call tries the service; the others wait for what it finds.
    mClosedUntil = aNow + mOptions.mBreakerPause;
  }
  const double refill = Seconds(aNow - mRefilled) * mOptions.mCallsPerSecond;
  mTokens =
    std::min(static_cast<double>(mOptions.mCallBurst), mTokens + refill);
  mRefilled = aNow;
  if (mTokens < 1) {
    return GateVerdict::OverBudget;
  }
  mTokens -= 1;
  return GateVerdict::Open;
}

void CallGate::Succeeded()
{
  const std::lock_guard lock(mMutex);
  mFailuresInRow = 0;
}

void CallGate::Failed(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  ++mFailuresInRow;
  mClosedUntil = aNow + mOptions.mBreakerPause;
}

} // namespace Acaciavale
