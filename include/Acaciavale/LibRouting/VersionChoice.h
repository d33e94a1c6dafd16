#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/Evidence.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <optional>
#include <string>
#include <vector>

/// Selects the model version, or the cascade of versions, that serves a
/// request.
namespace Acaciavale {

/// Properties of a request that the selection of a version depends on.
struct RequestProfile
{
  std::string mAccount;
  std::string mTarget; ///< Name of the requested model or cascade.
  std::string mKind;   ///< Kind of request, such as "summary" or "check".
  std::int64_t mPromptTokens = 0;
  std::int64_t mExpectedOutputTokens = 128;
  Duration mTimeLeft = std::chrono::seconds(60); ///< Time until the deadline.
  Priority mPriority = Priority::Interactive;
  /// Versions that the caller's session is pinned to.
  std::vector<CascadeStage> mSessionVersions;
  /// Position of the session in [0, 1), fixed per session. The session takes
  /// part in a roll-out if the position is below the roll-out's share.
  double mRolloutPosition = 0;
  /// Whether the permitted version with the highest quality bound may serve the
  /// request if no version is certain enough to meet the quality target. If
  /// false, the request is refused in this case.
  bool mAcceptBelowTarget = true;

  auto operator<=>(const RequestProfile&) const = default;
};

/// Reason why a candidate was not selected.
enum class Exclusion
{
  None,
  NotPermitted,
  Withdrawn,
  Retiring,
  NotLoaded,
  BelowQualityTarget,
  TooSlow,
  OutsideRolloutShare,
  RolloutHalted,
  MoreExpensive,
  /// The session is pinned to another version of the model.
  SessionPinnedToOtherVersion,
};

/// One candidate with its scores, kept to explain the decision.
struct VersionCandidate
{
  std::vector<CascadeStage> mStages; ///< Several stages for a cascade.
  Money mExpectedCost;
  double mQualityLowerBound = 0;
  double mQualityUpperBound = 0;
  double mQualityMean = 0;
  double mRatings = 0;         ///< Number of actual ratings, without the prior.
  Duration mExpectedLatency{}; ///< Later stages weighted by probability.
  Duration mMaxLatency{};      ///< Latency if every stage runs.
  Exclusion mExclusion = Exclusion::None;

  auto operator<=>(const VersionCandidate&) const = default;
};

/// Result of a selection.
struct VersionDecision
{
  /// Stages to run, in order. Empty for a refusal; mExclusion of the candidates
  /// then says why.
  std::vector<CascadeStage> mStages;
  /// Minimum confidence at which a stage's answer is accepted; below it, the
  /// next stage runs.
  double mAcceptConfidence = 0;
  Money mExpectedCost;
  std::vector<VersionCandidate> mCandidates;
  std::string mReason; ///< Explanation in one sentence.

  auto operator<=>(const VersionDecision&) const = default;
};

/// State of a roll-out, shared by all VMs.
struct RolloutView
{
  std::string mModel;
  std::string mFrom; ///< Old version.
  std::string mTo;   ///< New version.
  double mShare = 0; ///< Share of new sessions that use the new version.
  bool mHalted = false;

  auto operator<=>(const RolloutView&) const = default;
};

/// Inputs to the selection of a version besides the request.
struct VersionView
{
  const Settings& mSettings;
  const EvidenceView& mEvidence;
  const std::vector<RolloutView>& mRollouts;
  /// Versions that at least one live endpoint has loaded.
  const std::vector<CascadeStage>& mLoaded;
  /// Maximum share of requests that explore a cheaper candidate, outside
  /// roll-outs, while it has no ratings. The share grows with its ratings.
  double mExplorationShare = 0.1;
  /// Number of bad answers, beyond those that the quality target allows, that
  /// the exploration of one candidate may cost per kind of request.
  double mExplorationBudget = 20;
};

/// Selects the candidate with the lowest expected cost among those whose lower
/// confidence bound of quality meets the account's target and whose latency, if
/// every stage runs, fits the time left.
VersionDecision ChooseVersion(const RequestProfile& aProfile,
                              const VersionView& aView,
                              Random& aRandom);

/// Checks whether the settings allow a stage to be dispatched: the account must
/// permit the version, and the version must not be withdrawn, or retiring
/// unless the session is pinned to it. Returns Exclusion::None if it may be
/// dispatched.
Exclusion CheckDispatch(const RequestProfile& aProfile,
                        const Settings& aSettings,
                        const CascadeStage& aStage);

std::string Describe(Exclusion aExclusion);

} // namespace Acaciavale
