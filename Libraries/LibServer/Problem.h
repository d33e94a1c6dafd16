#pragma once

#include "CallerMessages.h"

#include <Acaciavale/LibCore/Time.h>

#include <string>

/// Refusals: what is wrong, what to do, and whether the request ran.
namespace Acaciavale {

/// Whether a refused request ran. No is said only where that is certain.
enum class Executed
{
  No,
  Unknown,
};

struct Problem
{
  int mStatus = 500;
  std::string mReason; ///< A fixed word for programs.
  std::string mDetail; ///< A sentence for people.
  std::string mAdvice; ///< What the caller can do.
  Executed mExecuted = Executed::No;
  Duration mRetryAfter{}; ///< Zero: asking again does not help.

  auto operator<=>(const Problem&) const = default;
};

/// The body in application/problem+json.
std::string ProblemBody(const Problem& aProblem, const std::string& aRequestId);

void SendProblem(const CallerResponse& aResponse,
                 const Problem& aProblem,
                 const std::string& aRequestId = "");

/// The HTTP reason phrase of a status.
std::string ReasonPhrase(int aStatus);

} // namespace Acaciavale
