#include "LibPlatform/CallGate.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{};

} // namespace

TEST_GROUP(CallGate){};

TEST(CallGate, NeverAdmitsMoreCallsThanTheBudget)
{
  rc::check("admitted calls never exceed burst plus rate times elapsed time",
            [](const std::vector<std::uint8_t>& aPauses) {
              CallGate gate({ 20, 5, milliseconds(500) }, kStart);
              TimePoint now = kStart;
              double admitted = 0;
              for (const std::uint8_t pause : aPauses) {
                now += milliseconds(pause);
                admitted += gate.Admit(now) == GateVerdict::Allowed ? 1 : 0;
                const std::chrono::duration<double> elapsed = now - kStart;
                RC_ASSERT(admitted <= 5 + 20 * elapsed.count() + 1e-6);
              }
            });
}

TEST(CallGate, RefillsAtTheConfiguredRateUpToTheBurst)
{
  CallGate gate({ 10, 2, milliseconds(500) }, kStart);
  CHECK(gate.Admit(kStart) == GateVerdict::Allowed);
  CHECK(gate.Admit(kStart) == GateVerdict::Allowed);
  CHECK(gate.Admit(kStart) == GateVerdict::BudgetExhausted);
  CHECK(gate.Admit(kStart + milliseconds(101)) == GateVerdict::Allowed);
  const TimePoint later = kStart + std::chrono::hours(1);
  CHECK(gate.Admit(later) == GateVerdict::Allowed);
  CHECK(gate.Admit(later) == GateVerdict::Allowed);
  CHECK(gate.Admit(later) == GateVerdict::BudgetExhausted);
}

TEST(CallGate, OpensTheBreakerAfterConsecutiveFailuresAndThenProbesWithOneCall)
{
  CallGate gate({ 1000, 1000, milliseconds(500) }, kStart);
  gate.Failed(kStart);
  gate.Failed(kStart);
  CHECK(gate.Admit(kStart) == GateVerdict::Allowed);
  gate.Failed(kStart);
  CHECK(gate.Admit(kStart + milliseconds(499)) == GateVerdict::BreakerOpen);
  CHECK(gate.Admit(kStart + milliseconds(500)) == GateVerdict::Allowed);
  CHECK(gate.Admit(kStart + milliseconds(500)) == GateVerdict::BreakerOpen);
  gate.Succeeded();
  CHECK(gate.Admit(kStart + milliseconds(501)) == GateVerdict::Allowed);
}

TEST(CallGate, SuccessBetweenFailuresKeepsTheBreakerClosed)
{
  CallGate gate({ 1000, 1000, milliseconds(500) }, kStart);
  for (int round = 0; round < 10; ++round) {
    gate.Failed(kStart);
    gate.Failed(kStart);
    gate.Succeeded();
  }
  CHECK(gate.Admit(kStart) == GateVerdict::Allowed);
}
