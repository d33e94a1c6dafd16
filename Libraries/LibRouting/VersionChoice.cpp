#include <Acaciavale/LibRouting/VersionChoice.h>
#include <LibRouting/CandidateList.h>
#include <LibRouting/CandidateScore.h>
#include <LibRouting/RolloutRules.h>
#include <LibRouting/StagePermission.h>

#include <algorithm>
#include <tuple>

namespace Acaciavale {

namespace {

/// Number of ratings from which on only the expected quality limits the share
/// of requests that explore a candidate.
constexpr double kRatingsForFullExploration = 30;

using Candidates = std::vector<VersionCandidate>;

bool IsEligible(const VersionCandidate& aCandidate)
{
  return aCandidate.mExclusion == Exclusion::None;
}

/// Orders by ascending expected cost, then by descending quality bound, by
/// ascending expected latency and by name.
bool IsCheaper(const VersionCandidate& aLeft, const VersionCandidate& aRight)
{
  return std::tie(aLeft.mExpectedCost,
                  aRight.mQualityLowerBound,
                  aLeft.mExpectedLatency,
                  aLeft.mStages) < std::tie(aRight.mExpectedCost,
                                            aLeft.mQualityLowerBound,
                                            aRight.mExpectedLatency,
                                            aRight.mStages);
}

/// Orders by descending quality bound, then by IsCheaper.
bool HasHigherQualityBound(const VersionCandidate& aLeft,
                           const VersionCandidate& aRight)
{
  if (aLeft.mQualityLowerBound != aRight.mQualityLowerBound) {
    return aLeft.mQualityLowerBound > aRight.mQualityLowerBound;
  }
  return IsCheaper(aLeft, aRight);
}

/// Excludes candidates whose stages together exceed the time left. Urgent
/// requests exclude all cascades, because they must not wait for a second
/// stage.
void ExcludeSlow(const RequestProfile& aProfile, Candidates& aCandidates)
{
  for (VersionCandidate& candidate : aCandidates) {
    const bool exceedsDeadline = candidate.mMaxLatency > aProfile.mTimeLeft;
    const bool isCascade = candidate.mStages.size() > 1;
    if (IsEligible(candidate) &&
        (exceedsDeadline ||
         (isCascade && aProfile.mPriority == Priority::Urgent))) {
      candidate.mExclusion = Exclusion::TooSlow;
    }
  }
}

void ScoreEligible(const RequestProfile& aProfile,
                   const VersionView& aView,
                   Candidates& aCandidates)
{
  for (VersionCandidate& candidate : aCandidates) {
    if (IsEligible(candidate)) {
      candidate = Scored(std::move(candidate), aProfile, aView);
    }
  }
}

void ExcludeBelowTarget(double aQualityTarget, Candidates& aCandidates)
{
  for (VersionCandidate& candidate : aCandidates) {
    if (IsEligible(candidate) &&
        candidate.mQualityLowerBound < aQualityTarget) {
      candidate.mExclusion = Exclusion::BelowQualityTarget;
    }
  }
}

/// Returns the first candidate in the given order among those with aExclusion,
/// or null if there is none.
template<typename Order>
VersionCandidate* FindBest(Candidates& aCandidates,
                           Exclusion aExclusion,
                           Order aOrder)
{
  VersionCandidate* best = nullptr;
  for (VersionCandidate& candidate : aCandidates) {
    if (candidate.mExclusion == aExclusion &&
        (best == nullptr || aOrder(candidate, *best))) {
      best = &candidate;
    }
  }
  return best;
}

/// Whether a request may explore this candidate: it is cheaper than the chosen
/// one, its quality may still meet the target, and its budget of bad answers is
/// not exhausted.
bool MayExplore(const VersionCandidate& aCandidate,
                const VersionCandidate& aChosen,
                const RequestProfile& aProfile,
                const VersionView& aView,
                double aQualityTarget)
{
  return aCandidate.mExclusion == Exclusion::BelowQualityTarget &&
         aCandidate.mExpectedCost < aChosen.mExpectedCost &&
         aCandidate.mQualityUpperBound >= aQualityTarget &&
         QualityShortfall(aCandidate, aProfile, aView, aQualityTarget) <
           aView.mExplorationBudget;
}

/// Maximum share of requests that may explore the candidate so that the mixture
/// of chosen and explored answers is still expected to meet the target.
double ExplorationShare(const VersionCandidate& aExplored,
                        const VersionCandidate& aChosen,
                        double aInitialShare,
                        double aQualityTarget)
{
  const double ratedFraction =
    std::min(1.0, aExplored.mRatings / kRatingsForFullExploration);
  const double maxShare = aInitialShare + (1 - aInitialShare) * ratedFraction;
  const double slack = aChosen.mQualityMean - aQualityTarget;
  const double loss = aChosen.mQualityMean - aExplored.mQualityMean;
  if (slack <= 0 || loss <= 0) {
    return slack <= 0 ? 0 : maxShare;
  }
  return std::clamp(slack / loss, 0.0, maxShare);
}

/// Replaces the chosen candidate by a cheaper one for a random share of
/// requests, because a candidate that is never used gets no ratings.
VersionCandidate* ExploreOrKeep(Candidates& aCandidates,
                                VersionCandidate* aChosen,
                                const RequestProfile& aProfile,
                                const VersionView& aView,
                                double aQualityTarget,
                                Random& aRandom)
{
  VersionCandidate* explored = nullptr;
  for (VersionCandidate& candidate : aCandidates) {
    if (MayExplore(candidate, *aChosen, aProfile, aView, aQualityTarget) &&
        (explored == nullptr || IsCheaper(candidate, *explored))) {
      explored = &candidate;
    }
  }
  if (explored == nullptr || aProfile.mPriority == Priority::Urgent) {
    return aChosen;
  }
  const double share = ExplorationShare(
    *explored, *aChosen, aView.mExplorationShare, aQualityTarget);
  return aRandom.Unit() < share ? explored : aChosen;
}

void SetChosen(VersionDecision& aDecision,
               const VersionCandidate& aChosen,
               const RequestProfile& aProfile,
               const VersionView& aView)
{
  aDecision.mStages = aChosen.mStages;
  aDecision.mExpectedCost = aChosen.mExpectedCost;
  const auto cascade = aView.mSettings.mCascades.find(aProfile.mTarget);
  if (cascade != aView.mSettings.mCascades.end()) {
    aDecision.mAcceptConfidence = cascade->second.mAcceptConfidence;
  }
}

/// Replaces old versions of roll-outs by the new ones where these are loaded
/// and fit the time left.
void ApplyRollouts(VersionDecision& aDecision,
                   const RequestProfile& aProfile,
                   const VersionView& aView)
{
  const std::vector<CascadeStage> stages =
    WithRolloutVersions(aProfile, aView, aDecision.mStages);
  if (stages == aDecision.mStages) {
    return;
  }
  for (VersionCandidate& candidate : aDecision.mCandidates) {
    if (candidate.mStages != stages ||
        candidate.mExclusion != Exclusion::OutsideRolloutShare) {
      continue;
    }
    VersionCandidate scored = Scored(candidate, aProfile, aView);
    if (scored.mMaxLatency > aProfile.mTimeLeft) {
      candidate.mExclusion = Exclusion::TooSlow;
      return;
    }
    scored.mExclusion = Exclusion::None;
    candidate = scored;
    SetChosen(aDecision, scored, aProfile, aView);
    aDecision.mReason = "The session falls into the share of a roll-out.";
    return;
  }
}

/// Explains a refusal by the first exclusion in kReasonOrder that any candidate
/// has. The order starts with the exclusions that are closest to eligible.
std::string RefusalReason(const Candidates& aCandidates)
{
  constexpr Exclusion kReasonOrder[] = {
    Exclusion::BelowQualityTarget,
    Exclusion::TooSlow,
    Exclusion::NotLoaded,
    Exclusion::OutsideRolloutShare,
    Exclusion::RolloutHalted,
    Exclusion::Retiring,
    Exclusion::Withdrawn,
    Exclusion::NotPermitted,
    Exclusion::SessionPinnedToOtherVersion,
  };
  for (const Exclusion exclusion : kReasonOrder) {
    for (const VersionCandidate& candidate : aCandidates) {
      if (candidate.mExclusion == exclusion) {
        return "No version may serve the request: " + Describe(exclusion) + ".";
      }
    }
  }
  return "The target names no model or cascade with versions.";
}

} // namespace

VersionDecision ChooseVersion(const RequestProfile& aProfile,
                              const VersionView& aView,
                              Random& aRandom)
{
  VersionDecision decision;
  const ClientAccountSettings* account =
    FindAccount(aView.mSettings, aProfile.mAccount);
  if (account == nullptr || !MayName(*account, aProfile.mTarget)) {
    decision.mReason = "The account may not name this model or cascade.";
    return decision;
  }
  const double target = account->mQualityTarget;
  Candidates& candidates = decision.mCandidates;
  candidates = ListCandidates(aProfile, aView);
  ExcludeRolloutVersions(aProfile, aView, candidates);
  ScoreEligible(aProfile, aView, candidates);
  ExcludeSlow(aProfile, candidates);
  ExcludeBelowTarget(target, candidates);

  VersionCandidate* chosen = FindBest(candidates, Exclusion::None, IsCheaper);
  decision.mReason = "Least expected cost at the quality target.";
  if (chosen == nullptr && aProfile.mAcceptBelowTarget) {
    chosen = FindBest(
      candidates, Exclusion::BelowQualityTarget, HasHigherQualityBound);
    decision.mReason = "None is sure to meet the quality target; the surest.";
  }
  if (chosen == nullptr) {
    decision.mReason = RefusalReason(candidates);
    return decision;
  }
  VersionCandidate* explored =
    ExploreOrKeep(candidates, chosen, aProfile, aView, target, aRandom);
  if (explored != chosen) {
    chosen = explored;
    decision.mReason = "Trial of a cheaper version within its budget.";
  }
  for (VersionCandidate& candidate : candidates) {
    if (&candidate != chosen && IsEligible(candidate)) {
      candidate.mExclusion = Exclusion::MoreExpensive;
    }
  }
  chosen->mExclusion = Exclusion::None;
  SetChosen(decision, *chosen, aProfile, aView);
  ApplyRollouts(decision, aProfile, aView);
  return decision;
}

std::string Describe(Exclusion aExclusion)
{
  switch (aExclusion) {
    case Exclusion::None:
      return "usable";
    case Exclusion::NotPermitted:
      return "the account does not allow it";
    case Exclusion::Withdrawn:
      return "withdrawn";
    case Exclusion::Retiring:
      return "retiring, so it takes no new session";
    case Exclusion::NotLoaded:
      return "no live endpoint has it loaded";
    case Exclusion::BelowQualityTarget:
      return "not sure to meet the quality target";
    case Exclusion::TooSlow:
      return "too slow for the time left";
    case Exclusion::OutsideRolloutShare:
      return "the session is outside the roll-out's share";
    case Exclusion::RolloutHalted:
      return "its roll-out is halted";
    case Exclusion::MoreExpensive:
      return "costs more than the chosen one";
    case Exclusion::SessionPinnedToOtherVersion:
      return "the session keeps another version";
  }
  return "unknown";
}

} // namespace Acaciavale
