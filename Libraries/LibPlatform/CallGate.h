#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <mutex>

namespace Acaciavale {

struct CallGateOptions
{
  double mCallsPerSecond = 0;
  std::int64_t mCallBurst = 0;
  Duration mBreakerOpenTime{};
};

enum class GateVerdict
{
  Allowed,
  BudgetExhausted,
  BreakerOpen,
};

/// Decides whether a call may be made, with a token bucket for the call budget
/// and a circuit breaker that opens after consecutive failures. The current
/// time is passed as a parameter. Thread-safe.
class CallGate
{
public:
  CallGate(CallGateOptions aOptions, TimePoint aNow);

  /// Consumes one token of the budget if it returns Allowed.
  GateVerdict Admit(TimePoint aNow);
  void Succeeded();
  void Failed(TimePoint aNow);

private:
  CallGateOptions mOptions;
  std::mutex mMutex;
  double mTokens; ///< Available tokens; fractional while refilling.
  TimePoint mRefilledAt;
  int mConsecutiveFailures = 0;
  TimePoint mBreakerOpenUntil{};
};

} // namespace Acaciavale
