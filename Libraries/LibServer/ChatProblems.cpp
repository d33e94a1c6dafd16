#include "ChatProblems.h"

namespace Acaciavale {

std::string NameOf(const CascadeStage& aStage)
{
  return aStage.mModel + "/" + aStage.mVersion;
}

Problem EngineFailedProblem(Executed aExecuted)
{
  return Problem{ 502,
                  "engine-failed",
                  "No engine returned a complete answer.",
                  "Retry after the stated time.",
                  aExecuted,
                  std::chrono::seconds(1) };
}

Problem VersionExcludedProblem(Exclusion aExclusion)
{
  return Problem{ 503,
                  kVersionExcludedReason,
                  "The chosen version may no longer be used: " +
                    Describe(aExclusion) + ".",
                  "Retry; another version will be chosen.",
                  Executed::No,
                  std::chrono::milliseconds(1) };
}

Problem NoVersionProblem(const VersionDecision& aDecision)
{
  std::string detail = "No permitted version can serve the request:";
  for (const VersionCandidate& candidate : aDecision.mCandidates) {
    for (const CascadeStage& stage : candidate.mStages) {
      detail += " " + NameOf(stage);
    }
    detail += " is excluded (" + Describe(candidate.mExclusion) + ");";
  }
  detail.back() = '.';
  return Problem{ 503,          "no-version",
                  detail,       aDecision.mReason,
                  Executed::No, std::chrono::seconds(1) };
}

} // namespace Acaciavale
