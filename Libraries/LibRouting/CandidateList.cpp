#include <LibRouting/CandidateList.h>
#include <LibRouting/StagePermission.h>

#include <algorithm>

namespace Acaciavale {

namespace {

/// Maximum number of candidates per request. Bounds the combinations of
/// versions in runs of cascade stages.
constexpr std::size_t kMaxCandidates = 128;

using StageOptions = std::vector<CascadeStage>;

bool IsLoaded(const VersionView& aView, const CascadeStage& aStage)
{
  return std::find(aView.mLoaded.begin(), aView.mLoaded.end(), aStage) !=
         aView.mLoaded.end();
}

Exclusion ExclusionOf(const RequestProfile& aProfile,
                      const VersionView& aView,
                      const CascadeStage& aStage)
{
  const Exclusion dispatch = CheckDispatch(aProfile, aView.mSettings, aStage);
  if (dispatch != Exclusion::None) {
    return dispatch;
  }
  const CascadeStage* pinned =
    UsableSessionVersion(aProfile, aView.mSettings, aStage.mModel);
  // NOTE: A session on a cascade is pinned to a version for each stage, even if
  //       several stages use versions of the same model.
  if (pinned != nullptr && !IsPinnedBySession(aProfile, aStage)) {
    return Exclusion::SessionPinnedToOtherVersion;
  }
  return IsLoaded(aView, aStage) ? Exclusion::None : Exclusion::NotLoaded;
}

/// Returns the versions that can serve one stage of the target: all versions of
/// its model unless the stage names one.
StageOptions VersionsOf(const Settings& aSettings,
                        const CascadeStage& aTargetStage)
{
  if (!aTargetStage.mVersion.empty()) {
    return { aTargetStage };
  }
  StageOptions options;
  const auto model = aSettings.mModels.find(aTargetStage.mModel);
  if (model == aSettings.mModels.end()) {
    return options;
  }
  for (const VersionSettings& version : model->second.mVersions) {
    options.push_back(CascadeStage{ aTargetStage.mModel, version.mName });
  }
  return options;
}

bool Contains(const std::vector<VersionCandidate>& aCandidates,
              const CascadeStage& aStage)
{
  return std::any_of(aCandidates.begin(),
                     aCandidates.end(),
                     [&](const VersionCandidate& aCandidate) {
                       return aCandidate.mStages.size() == 1 &&
                              aCandidate.mStages.front() == aStage;
                     });
}

/// Extends each run by each option. Appends the results to aCandidates and
/// returns them for the next extension.
std::vector<VersionCandidate> ExtendRuns(
  const std::vector<VersionCandidate>& aRuns,
  const StageOptions& aOptions,
  std::vector<VersionCandidate>& aCandidates)
{
  std::vector<VersionCandidate> extended;
  for (const VersionCandidate& run : aRuns) {
    for (const CascadeStage& option : aOptions) {
      if (aCandidates.size() >= kMaxCandidates) {
        return extended;
      }
      extended.push_back(run);
      extended.back().mStages.push_back(option);
      aCandidates.push_back(extended.back());
    }
  }
  return extended;
}

VersionCandidate SingleStage(const CascadeStage& aStage)
{
  VersionCandidate candidate;
  candidate.mStages.push_back(aStage);
  return candidate;
}

/// Appends all runs of two or more consecutive stages.
void AppendCascadeRuns(const std::vector<StageOptions>& aUsable,
                       std::vector<VersionCandidate>& aCandidates)
{
  for (std::size_t first = 0; first + 1 < aUsable.size(); ++first) {
    std::vector<VersionCandidate> runs;
    for (const CascadeStage& option : aUsable[first]) {
      runs.push_back(SingleStage(option));
    }
    for (std::size_t next = first + 1; next < aUsable.size(); ++next) {
      runs = ExtendRuns(runs, aUsable[next], aCandidates);
    }
  }
}

} // namespace

std::vector<VersionCandidate> ListCandidates(const RequestProfile& aProfile,
                                             const VersionView& aView)
{
  std::vector<VersionCandidate> candidates;
  std::vector<StageOptions> usable;
  for (const CascadeStage& targetStage :
       StagesOf(aView.mSettings, aProfile.mTarget)) {
    usable.emplace_back();
    for (const CascadeStage& stage : VersionsOf(aView.mSettings, targetStage)) {
      VersionCandidate candidate = SingleStage(stage);
      candidate.mExclusion = ExclusionOf(aProfile, aView, stage);
      if (candidate.mExclusion == Exclusion::None) {
        usable.back().push_back(stage);
      }
      if (!Contains(candidates, stage)) {
        candidates.push_back(std::move(candidate));
      }
    }
  }
  AppendCascadeRuns(usable, candidates);
  return candidates;
}

} // namespace Acaciavale
