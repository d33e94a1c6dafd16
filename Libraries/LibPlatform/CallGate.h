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

/// Says whether a call may be made: a token bucket for the call budget and a
/// circuit breaker after failures in a row. Given the time. Thread-safe.
class CallGate
{
public:
  CallGate(CallGateOptions aOptions, TimePoint aNow);

  /// Spends one call of the budget where it answers Open.
  GateVerdict Admit(TimePoint aNow);
  void Succeeded();
  void Failed(TimePoint aNow);

private:
  CallGateOptions mOptions;
  std::mutex mMutex;
  double mTokens; ///< Calls that may be made now; fractions while it refills.
  TimePoint mRefilledAt;
  int mConsecutiveFailures = 0;
  TimePoint mBreakerOpenUntil{};
};

} // namespace Acaciavale
