#pragma once

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/Evidence.h>
#include <Acaciavale/LibSettings/Settings.h>

#include <optional>
#include <string>
#include <vector>

/// Chooses the version, or the cascade of versions, that a request runs on.
namespace Acaciavale {

/// What is known of a request when it is decided on.
struct RequestProfile
{
  std::string mAccount;
  std::string mTarget; ///< The model or cascade that the caller named.
  std::string mKind;   ///< Kind of request, such as "summary" or "check".
  std::int64_t mPromptTokens = 0;
  std::int64_t mExpectedOutputTokens = 128;
  Duration mTimeLeft = std::chrono::seconds(60); ///< Until the deadline.
  Priority mPriority = Priority::Interactive;
  /// "model/version" pairs that the caller's session holds already.
  std::vector<CascadeStage> mSessionVersions;
  double mRolloutPosition =
    0; ///< In [0, 1), fixed per session: roll-out share.
  /// Whether the best permitted version may answer where none is sure to meet
  /// the quality target; otherwise that is a refusal.
  bool mAcceptBelowTarget = true;

  auto operator<=>(const RequestProfile&) const = default;
};

/// Why a candidate was not taken.
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
  SessionPinnedToOtherVersion, ///< The session holds another version of the
                               ///< model.
};

/// One candidate with its scores, kept so that the decision can be explained.
struct VersionCandidate
{
  std::vector<CascadeStage> mStages; ///< One stage, or a whole cascade.
  Money mExpectedCost;
  double mQualityLowerBound = 0;
  double mQualityUpperBound = 0;
  double mQualityMean = 0;
  double mRatings = 0;         ///< Seen, the prior not counted.
  Duration mExpectedLatency{}; ///< Counts later stages by their likelihood.
  Duration mMaxLatency{};      ///< If every stage runs.
  Exclusion mExclusion = Exclusion::None;

  auto operator<=>(const VersionCandidate&) const = default;
};

/// The decision: the stages to run in order, or none with the reasons in the
/// candidates.
struct VersionDecision
{
  std::vector<CascadeStage> mStages;
  double mAcceptConfidence = 0; ///< Below it the next stage runs.
  Money mExpectedCost;
  std::vector<VersionCandidate> mCandidates;
  std::string mReason; ///< One short sentence.

  auto operator<=>(const VersionDecision&) const = default;
};

/// The state of a roll-out as every VM knows it.
struct RolloutView
{
  std::string mModel;
  std::string mFrom;
  std::string mTo;
  double mShare = 0; ///< Share of new sessions that the new version takes.
  bool mHalted = false;

  auto operator<=>(const RolloutView&) const = default;
};

/// All that a choice of version looks at besides the request.
struct VersionView
{
  const Settings& mSettings;
  const EvidenceView& mEvidence;
  const std::vector<RolloutView>& mRollouts;
  /// Versions that at least one live endpoint has loaded.
  const std::vector<CascadeStage>& mLoaded;
  /// Largest share of requests that may try a cheaper candidate, outside
  /// roll-outs, before it has any rating. The share grows with its ratings.
  double mExplorationShare = 0.1;
  /// Bad answers, beyond those that the target allows, that the trial of one
  /// version for one kind of request may cost.
  double mExplorationBudget = 20;
};

/// Least expected cost whose lower confidence bound of quality meets the
/// account's target and whose expected latency fits the time left.
VersionDecision ChooseVersion(const RequestProfile& aProfile,
                              const VersionView& aView,
                              Random& aRandom);

/// Whether a stage may be dispatched now, by the newest settings: permitted by
/// the account, not withdrawn, and not retiring unless the session holds it.
Exclusion CheckDispatch(const RequestProfile& aProfile,
                        const Settings& aSettings,
                        const CascadeStage& aStage);

std::string Describe(Exclusion aExclusion);

} // namespace Acaciavale
