#pragma once

#include "History.h"

#include <string>
#include <vector>

/// What the callers recorded, in a file between driving and checking.
namespace Acaciavale::History {

struct Recording
{
  std::vector<Call> mCalls;
  std::vector<GenerationObservation> mGenerationObservations;
};

bool WriteRecording(const Recording& aRecording, const std::string& aFile);

/// Throws std::exception where the file can't be read.
Recording ReadRecording(const std::string& aFile);

} // namespace Acaciavale::History
