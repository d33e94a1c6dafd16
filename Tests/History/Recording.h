#pragma once

#include "History.h"

#include <string>
#include <vector>

/// Recording of the callers, stored in a file between the drive and check
/// commands.
namespace Acaciavale::History {

struct Recording
{
  std::vector<Call> mCalls;
  std::vector<GenerationObservation> mGenerationObservations;
};

/// Returns false if the file cannot be written.
bool WriteRecording(const Recording& aRecording, const std::string& aFile);

/// Throws std::exception if the file cannot be read or parsed.
Recording ReadRecording(const std::string& aFile);

} // namespace Acaciavale::History
