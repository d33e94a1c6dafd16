#include "CapacityMeasureParts/Parts.h"

#include <cstdio>
#include <cstring>

/// Prints the slopes that docs/CAPACITY.md is worked out from; an argument
/// names one part.

namespace {

struct Part
{
  const char* mName;
  void (*mMeasure)();
};

using namespace Acaciavale::CapacityMeasure;

constexpr Part kParts[] = {
  { "digests", MeasureDigests },     { "spread", MeasureSpread },
  { "silence", MeasureSilence },     { "store", MeasureStoreCalls },
  { "processes", MeasureProcesses },
};

} // namespace

int main(int aCount, char** aArguments)
{
  const char* only = aCount > 1 ? aArguments[1] : nullptr;
  for (const Part& part : kParts) {
    if (only == nullptr || std::strcmp(only, part.mName) == 0) {
      part.mMeasure();
    }
  }
  return 0;
}
