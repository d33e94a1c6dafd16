#include "CapacityMeasureParts/Parts.h"

#include <cstdio>
#include <cstring>

/// Prints the slopes that docs/CAPACITY.md is worked out from; an argument
/// names one part.

namespace {

struct Measurement
{
  const char* mName;
  void (*mMeasure)();
};

using namespace Acaciavale::CapacityMeasure;

constexpr Measurement kMeasurements[] = {
  { "digests", MeasureDigests },     { "spread", MeasureSpread },
  { "silence", MeasureSilence },     { "store", MeasureStoreCalls },
  { "processes", MeasureProcesses },
};

} // namespace

int main(int aCount, char** aArguments)
{
  const char* selectedName = aCount > 1 ? aArguments[1] : nullptr;
  for (const Measurement& measurement : kMeasurements) {
    if (selectedName == nullptr ||
        std::strcmp(selectedName, measurement.mName) == 0) {
      measurement.mMeasure();
    }
  }
  return 0;
}
