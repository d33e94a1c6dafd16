#pragma once

#include <string>

/// The rows of the goal table. Each prints its figures at every size.
namespace Acaciavale::DecisionMeasure {

void MeasureCost();
void MeasureSlowReplica();
void MeasureUrgent();
void MeasureAccounts();
void MeasureOverload();
void MeasureRollout();
void MeasurePrefix();
void MeasureDomain();
void MeasureFaulty();
void MeasureLongPrompts();
void MeasureHalfSlow();
void MeasureCascade();
void MeasureReturns();
void MeasureTenant();

} // namespace Acaciavale::DecisionMeasure
