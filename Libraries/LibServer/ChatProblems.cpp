#include "ChatProblems.h"

namespace Acaciavale {

std::string NameOf(const CascadeStage& aStage)
{
  return aStage.mModel + "/" + aStage.mVersion;
}

Problem EngineFailed(Ran aRan)
{
  return Problem{ 502,
                  "engine-failed",
                  "The engines that were tried did not answer in full.",
                  "Ask again after the stated time.",
                  aRan,
                  std::chrono::seconds(1) };
}

Problem DispatchExcluded(Exclusion aExclusion)
{
  return Problem{ 503,
                  kVersionExcluded,
                  "The chosen version may not be used any more: " +
                    Describe(aExclusion) + ".",
                  "Ask again; another version is then chosen.",
                  Ran::No,
                  std::chrono::milliseconds(1) };
}

Problem NothingFits(const VersionDecision& aDecision)
{
  std::string detail = "No permitted version fits:";
  for (const VersionCandidate& candidate : aDecision.mCandidates) {
    for (const CascadeStage& stage : candidate.mStages) {
      detail += " " + NameOf(stage);
    }
    detail += " is excluded (" + Describe(candidate.mExclusion) + ");";
  }
  detail.back() = '.';
  return Problem{ 503,     "no-version",           detail, aDecision.mReason,
                  Ran::No, std::chrono::seconds(1) };
}

} // namespace Acaciavale
