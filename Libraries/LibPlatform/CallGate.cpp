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
  , mRefilledAt(aNow)
{
}

GateVerdict CallGate::Admit(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  if (mConsecutiveFailures >= kFailuresToOpenBreaker) {
    if (aNow < mBreakerOpenUntil) {
      return GateVerdict::BreakerOpen;
    }
    // NOTE: One call probes the service. Other calls are refused until it
    //       succeeds or the breaker's open time has passed again.
    mBreakerOpenUntil = aNow + mOptions.mBreakerOpenTime;
  }
  const double refill = Seconds(aNow - mRefilledAt) * mOptions.mCallsPerSecond;
  mTokens =
    std::min(static_cast<double>(mOptions.mCallBurst), mTokens + refill);
  mRefilledAt = aNow;
  if (mTokens < 1) {
    return GateVerdict::BudgetExhausted;
  }
  mTokens -= 1;
  return GateVerdict::Allowed;
}

void CallGate::Succeeded()
{
  const std::lock_guard lock(mMutex);
  mConsecutiveFailures = 0;
}

void CallGate::Failed(TimePoint aNow)
{
  const std::lock_guard lock(mMutex);
  ++mConsecutiveFailures;
  mBreakerOpenUntil = aNow + mOptions.mBreakerOpenTime;
}

} // namespace Acaciavale
