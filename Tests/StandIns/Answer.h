#pragma once

#include <Acaciavale/LibPlatform/EndpointList.h>

#include <cstdint>
#include <string>
#include <vector>

/// Generates the answer text of an engine. The text is reproducible, so that a
/// test can check whether a caller received all of it.
namespace Acaciavale::StandIns {

/// Inputs that determine the answer text.
struct AnswerParameters
{
  std::uint64_t mSeed = 0; ///< Seed of the stand-ins.
  std::string mRequestId;  ///< Value of the header X-Request-Id.
  LoadedVersion mVersion;
  int mMaxTokens = 0;
};

/// Returns the tokens of the answer: the request id, random words, and finally
/// "end-of ID".
std::vector<std::string> AnswerTokens(const AnswerParameters& aParameters);

/// Returns the concatenated tokens of the answer.
std::string AnswerText(const AnswerParameters& aParameters);

/// Finds the reference by which a test identifies its call in a path or body:
/// "ref-" and the letters, digits and '-' that follow. Returns an empty string
/// if there is none.
std::string FindReference(const std::string& aText);

} // namespace Acaciavale::StandIns
