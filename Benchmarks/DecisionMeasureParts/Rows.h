#pragma once

#include <string>

/// Functions that each measure one row of the goal table and print its figures.
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
void MeasureCrash();
void MeasureLimit();
void MeasureQuiet();

} // namespace Acaciavale::DecisionMeasure
