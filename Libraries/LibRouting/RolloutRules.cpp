#include <LibRouting/RolloutRules.h>
#include <LibRouting/StagePermission.h>

#include <algorithm>

namespace Acaciavale {

namespace {

bool IsInShare(const RequestProfile& aProfile, const RolloutView& aRollout)
{
  return !aRollout.mHalted && aProfile.mRolloutPosition < aRollout.mShare;
}

bool HasStage(const VersionCandidate& aCandidate, const CascadeStage& aStage)
{
  return std::find(aCandidate.mStages.begin(),
                   aCandidate.mStages.end(),
                   aStage) != aCandidate.mStages.end();
}

/// Whether the version could serve this request as a single stage.
bool IsUsable(const std::vector<VersionCandidate>& aCandidates,
              const CascadeStage& aStage)
{
  return std::any_of(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const VersionCandidate& aCandidate) {
                       return aCandidate.mExclusion == Exclusion::None &&
                              aCandidate.mStages.size() == 1 &&
                              aCandidate.mStages.front() == aStage;
                     });
}

void Exclude(const CascadeStage& aStage,
             Exclusion aExclusion,
             std::vector<VersionCandidate>& aCandidates)
{
  for (VersionCandidate& candidate : aCandidates) {
    if (candidate.mExclusion == Exclusion::None &&
        HasStage(candidate, aStage)) {
      candidate.mExclusion = aExclusion;
    }
  }
}

} // namespace

void ExcludeRolloutVersions(const RequestProfile& aProfile,
                            const VersionView& aView,
                            std::vector<VersionCandidate>& aCandidates)
{
  for (const RolloutView& rollout : aView.mRollouts) {
    const CascadeStage newVersion{ rollout.mModel, rollout.mTo };
    if (IsPinnedBySession(aProfile, newVersion)) {
      continue;
    }
    if (rollout.mHalted) {
      Exclude(newVersion, Exclusion::RolloutHalted, aCandidates);
      continue;
    }
    // NOTE: Within the share, WithRolloutVersions replaces the old version by
    //       the new one after the selection. The new version has no evidence
    //       yet and would not be selected by its own scores.
    const CascadeStage oldVersion{ rollout.mModel, rollout.mFrom };
    const bool isSubstituted =
      rollout.mShare < 1 && IsUsable(aCandidates, oldVersion);
    if (!IsInShare(aProfile, rollout) || isSubstituted) {
      Exclude(newVersion, Exclusion::OutsideRolloutShare, aCandidates);
    }
  }
}

std::vector<CascadeStage> WithRolloutVersions(const RequestProfile& aProfile,
                                              const VersionView& aView,
                                              std::vector<CascadeStage> aStages)
{
  for (CascadeStage& stage : aStages) {
    for (const RolloutView& rollout : aView.mRollouts) {
      const bool isReplaced =
        rollout.mModel == stage.mModel && rollout.mFrom == stage.mVersion;
      if (isReplaced && IsInShare(aProfile, rollout) &&
          !IsPinnedBySession(aProfile, stage)) {
        stage.mVersion = rollout.mTo;
        break;
      }
    }
  }
  return aStages;
}

} // namespace Acaciavale
