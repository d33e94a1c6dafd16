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

/// Whether the version that is replaced could serve this request by itself.
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
    // NOTE: Inside the share the new version stands in for the old one after
    //       the choice, since by itself it has no evidence to be chosen on.
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
