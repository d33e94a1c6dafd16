#pragma once

#include <Acaciavale/LibPlatform/EndpointList.h>

#include <cstdint>
#include <string>
#include <vector>

/// The text that an engine answers with, so that a check can tell whether a
/// caller got all of it.
namespace Acaciavale::StandIns {

/// All that the text depends on.
struct AnswerParameters
{
  std::uint64_t mSeed = 0; ///< Of the stand-ins.
  std::string mRequestId;  ///< The id in the header X-Request-Id.
  LoadedVersion mVersion;
  int mMaxTokens = 0;
};

/// A token each: the request's id, words, and "end-of ID" in the end.
std::vector<std::string> AnswerTokens(const AnswerParameters& aParameters);

/// All tokens together.
std::string AnswerText(const AnswerParameters& aParameters);

/// From "ref-" on in a path or body, up to the next character that is
/// neither letter, digit nor '-'; empty where there is none. Tests name their
/// calls by it.
std::string FindReference(const std::string& aText);

} // namespace Acaciavale::StandIns
