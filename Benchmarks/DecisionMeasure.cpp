#include "DecisionMeasureParts/Rows.h"
#include "DecisionMeasureParts/Table.h"

#include <cstdio>
#include <cstring>

/// Measures the routing decisions against their goals and prints one table. An
/// argument selects one row of the table; without one, all rows are printed.

namespace {

struct Row
{
  const char* mName;
  void (*mMeasure)();
};

using namespace Acaciavale::DecisionMeasure;

constexpr Row kRows[] = {
  { "cost", MeasureCost },          { "slow", MeasureSlowReplica },
  { "rollout", MeasureRollout },    { "urgent", MeasureUrgent },
  { "accounts", MeasureAccounts },  { "overload", MeasureOverload },
  { "prefix", MeasurePrefix },      { "domain", MeasureDomain },
  { "faulty", MeasureFaulty },      { "long", MeasureLongPrompts },
  { "half-slow", MeasureHalfSlow }, { "cascade", MeasureCascade },
  { "returns", MeasureReturns },    { "tenant", MeasureTenant },
  { "crash", MeasureCrash },        { "quiet", MeasureQuiet },
  { "limit", MeasureLimit },

};

} // namespace

int main(int aCount, char** aArguments)
{
  const char* selectedRow = aCount > 1 ? aArguments[1] : nullptr;
  bool isKnown = selectedRow == nullptr;
  for (const Row& row : kRows) {
    isKnown = isKnown || std::strcmp(selectedRow, row.mName) == 0;
  }
  if (!isKnown) {
    std::fprintf(stderr, "DecisionMeasure: unknown row; valid rows are:");
    for (const Row& row : kRows) {
      std::fprintf(stderr, " %s", row.mName);
    }
    std::fprintf(stderr, "\n");
    return 2;
  }
  PrintHeading();
  for (const Row& row : kRows) {
    if (selectedRow == nullptr || std::strcmp(selectedRow, row.mName) == 0) {
      row.mMeasure();
    }
  }
  return 0;
}
