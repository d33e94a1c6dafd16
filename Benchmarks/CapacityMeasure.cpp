#include "CapacityMeasureParts/Parts.h"

#include <cstdio>
#include <cstring>

/// Prints the measurements that the capacity estimates in docs/CAPACITY.md are
/// derived from. An argument selects one measurement by name; without one, all
/// of them run.

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
