#pragma once

#include "CallerMessages.h"

#include <Acaciavale/LibCore/Time.h>

#include <string>

/// Problems reported to callers: what is wrong, how to proceed, and whether the
/// request was executed.
namespace Acaciavale {

/// Whether a refused request was executed. No is used only if that is certain.
enum class Executed
{
  No,
  Unknown,
};

struct Problem
{
  int mStatus = 500;
  std::string mReason; ///< Fixed identifier for programs.
  std::string mDetail; ///< Description for people.
  std::string mAdvice; ///< How the caller can proceed.
  Executed mExecuted = Executed::No;
  Duration mRetryAfter{}; ///< Zero if a retry cannot succeed.

  auto operator<=>(const Problem&) const = default;
};

/// The problem of a request that an endpoint may have executed before the
/// problem occurred, unless aMayHaveRun is false.
Problem WithEarlierRun(Problem aProblem, bool aMayHaveRun);

/// The response body as application/problem+json.
std::string ProblemBody(const Problem& aProblem, const std::string& aRequestId);

void SendProblem(const CallerResponse& aResponse,
                 const Problem& aProblem,
                 const std::string& aRequestId = "");

/// The HTTP reason phrase of a status.
std::string ReasonPhrase(int aStatus);

} // namespace Acaciavale
