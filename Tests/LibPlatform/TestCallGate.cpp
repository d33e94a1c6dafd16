#include "LibPlatform/CallGate.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using std::chrono::milliseconds;

namespace {

constexpr TimePoint kStart{};

} // namespace

TEST_GROUP(CallGate){};

TEST(CallGate, NeverLetsMoreCallsThroughThanTheBudget)
{
  rc::check("calls up to any time are within burst and rate",
            [](const std::vector<std::uint8_t>& aPauses) {
              CallGate gate({ 20, 5, milliseconds(500) }, kStart);
              TimePoint now = kStart;
              double passed = 0;
              for (const std::uint8_t pause : aPauses) {
                now += milliseconds(pause);
                passed += gate.Enter(now) == GateVerdict::Open ? 1 : 0;
                const std::chrono::duration<double> elapsed = now - kStart;
                RC_ASSERT(passed <= 5 + 20 * elapsed.count() + 1e-6);
              }
            });
}

TEST(CallGate, RefillsAtItsRateAndNoFurtherThanTheBurst)
{
  CallGate gate({ 10, 2, milliseconds(500) }, kStart);
  CHECK(gate.Enter(kStart) == GateVerdict::Open);
  CHECK(gate.Enter(kStart) == GateVerdict::Open);
  CHECK(gate.Enter(kStart) == GateVerdict::OverBudget);
  CHECK(gate.Enter(kStart + milliseconds(101)) == GateVerdict::Open);
  const TimePoint later = kStart + std::chrono::hours(1);
  CHECK(gate.Enter(later) == GateVerdict::Open);
  CHECK(gate.Enter(later) == GateVerdict::Open);
  CHECK(gate.Enter(later) == GateVerdict::OverBudget);
}

TEST(CallGate, OpensTheBreakerAfterFailuresInARowAndTriesOneCallAfterThePause)
{
  CallGate gate({ 1000, 1000, milliseconds(500) }, kStart);
  gate.Failed(kStart);
  gate.Failed(kStart);
  CHECK(gate.Enter(kStart) == GateVerdict::Open);
  gate.Failed(kStart);
  CHECK(gate.Enter(kStart + milliseconds(499)) == GateVerdict::BreakerOpen);
  CHECK(gate.Enter(kStart + milliseconds(500)) == GateVerdict::Open);
  CHECK(gate.Enter(kStart + milliseconds(500)) == GateVerdict::BreakerOpen);
  gate.Succeeded();
  CHECK(gate.Enter(kStart + milliseconds(501)) == GateVerdict::Open);
}

TEST(CallGate, ASuccessBetweenFailuresKeepsTheBreakerClosed)
{
  CallGate gate({ 1000, 1000, milliseconds(500) }, kStart);
  for (int round = 0; round < 10; ++round) {
    gate.Failed(kStart);
    gate.Failed(kStart);
    gate.Succeeded();
  }
  CHECK(gate.Enter(kStart) == GateVerdict::Open);
}
