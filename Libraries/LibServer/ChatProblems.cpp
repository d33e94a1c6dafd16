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
                  "The engines that were tried did not answer in full.",
                  "Ask again after the stated time.",
                  aExecuted,
                  std::chrono::seconds(1) };
}

Problem VersionExcludedProblem(Exclusion aExclusion)
{
  return Problem{ 503,
                  kVersionExcludedReason,
                  "The chosen version may not be used any more: " +
                    Describe(aExclusion) + ".",
                  "Ask again; another version is then chosen.",
                  Executed::No,
                  std::chrono::milliseconds(1) };
}

Problem NoVersionProblem(const VersionDecision& aDecision)
{
  std::string detail = "No permitted version fits:";
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
