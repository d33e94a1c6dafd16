#include <Acaciavale/LibRelay/TrafficShift.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Share of requests without a session that probe a new version. Deployments
/// allow a bad version at least 0.12 of a pool's requests. Retries, and
/// requests until all VMs have received a revert, add to the share.
constexpr double kProbeShare = 0.08;
/// Share of all requests in the step between the probe and the full shift,
/// which yields some tens of answers before the decision. A version that is
/// reverted at the decision has had a tenth of the requests since the order.
constexpr double kStepShare = 0.28;
/// Times of the stages as shares of the order's duration. Sessions may not
/// change sides in the first half. Between the shift and the completion, the
/// longest typical streams finish on the old version. After the completion,
/// some seconds remain for a VM that replaces a failed one.
constexpr double kStepStartShare = 0.51;
constexpr double kShiftStartShare = 0.72;
constexpr double kDecisionDeadlineShare = 0.77;
constexpr double kCompletionShare = 0.88;
/// Minimum number of answers for the verdict that a new version is good. In the
/// smallest pools, a probe yields about this number.
constexpr std::int64_t kProbeAnswers = 20;
/// Increase of the error share over the old version's that is no sign of a bad
/// version. Other load on the endpoints alone causes it.
constexpr double kAllowedErrorIncrease = 0.02;
/// Standard errors of the number of errors that are attributed to chance.
constexpr double kAllowedStandardErrors = 1;
/// Maximum ratio of the new version's latency to the old version's. Different
/// load alone causes ratios of up to two.
constexpr double kMaximumLatencyRatio = 2.5;
/// Number of errors that are attributed to chance in any case.
constexpr double kAllowedErrors = 1;

RolloutSettings JudgeSettings()
{
  RolloutSettings settings;
  settings.mSteps = { kProbeShare, 1 };
  settings.mMinimumSamples = kProbeAnswers;
  settings.mMaxErrorIncrease = 0.05;
  settings.mMaxQualityDrop = 0.05;
  settings.mMaxLatencyRatio = kMaximumLatencyRatio;
  return settings;
}

double ElapsedShare(const TrafficShiftOrder& aOrder, Duration aElapsed)
{
  return InSeconds(aElapsed) / std::max(0.001, InSeconds(aOrder.mDuration));
}

/// Whether aBad of the new version's aTrials are no more than the old version's
/// would be by chance. A fixed margin would be too wide for many trials and too
/// narrow for few.
bool MayBeChance(double aBad, double aTrials, double aOldBad, double aOldTrials)
{
  const double oldShare = aOldTrials > 0 ? aOldBad / aOldTrials : 0;
  const double standardError = std::sqrt(aTrials * oldShare * (1 - oldShare));
  return aBad <= kAllowedErrors + (oldShare + kAllowedErrorIncrease) * aTrials +
                   kAllowedStandardErrors * standardError;
}

bool MayBeAsGood(const TrafficShiftEvidence& aEvidence)
{
  const EvidenceCell& before = aEvidence.mOld;
  const EvidenceCell& after = aEvidence.mNew;
  return MayBeChance(
           after.mErrors, after.mAnswers, before.mErrors, before.mAnswers) &&
         MayBeChance(after.mRated - after.mGood,
                     after.mRated,
                     before.mRated - before.mGood,
                     before.mRated);
}

} // namespace

bool IsInProgress(TrafficShiftStage aStage)
{
  return aStage == TrafficShiftStage::Probe ||
         aStage == TrafficShiftStage::Shift;
}

TrafficShiftEvidence operator+(const TrafficShiftEvidence& aLeft,
                               const TrafficShiftEvidence& aRight)
{
  return { aLeft.mOld + aRight.mOld, aLeft.mNew + aRight.mNew };
}

TrafficShift WithShares(TrafficShift aShift, Duration aElapsed)
{
  const bool isSecondHalf =
    ElapsedShare(aShift.mOrder, aElapsed) >= kStepStartShare;
  aShift.mProbeShare = isSecondHalf ? kStepShare : kProbeShare;
  aShift.mSessionShare = isSecondHalf ? kStepShare : 0;
  return aShift;
}

VersionSide SideOf(const std::optional<TrafficShift>& aShift,
                   bool aHasSession,
                   double aDraw)
{
  if (!aShift) {
    return VersionSide::Any;
  }
  switch (aShift->mStage) {
    case TrafficShiftStage::Probe:
      return aDraw < (aHasSession ? aShift->mSessionShare : aShift->mProbeShare)
               ? VersionSide::Target
               : VersionSide::NotTarget;
    case TrafficShiftStage::Shift:
    case TrafficShiftStage::Completed:
      return VersionSide::Target;
    case TrafficShiftStage::Reverted:
      return VersionSide::NotTarget;
  }
  return VersionSide::Any;
}

VersionSide SideAfterFailure(VersionSide aSide,
                             const std::optional<TrafficShift>& aShift,
                             bool aHasSession,
                             bool aIsResuming,
                             const std::string& aVersion)
{
  if (!aShift || !IsInProgress(aShift->mStage)) {
    return aSide;
  }
  const bool wasTarget = aVersion == aShift->mOrder.mTarget;
  const bool usesOldVersion = wasTarget ? !aHasSession : aIsResuming;
  return usesOldVersion ? VersionSide::NotTarget : aSide;
}

VersionSide FallbackSide(const std::optional<TrafficShift>& aShift)
{
  // NOTE: A reverted version receives no requests, even if no other endpoint is
  //       available.
  return aShift && aShift->mStage == TrafficShiftStage::Reverted
           ? VersionSide::NotTarget
           : VersionSide::Any;
}

bool AcceptsVersion(VersionSide aSide,
                    const std::optional<TrafficShift>& aShift,
                    const std::string& aVersion)
{
  if (!aShift || aSide == VersionSide::Any) {
    return true;
  }
  return (aVersion == aShift->mOrder.mTarget) == (aSide == VersionSide::Target);
}

RolloutChangeDetector WatchTrafficShift(RolloutChangeDetector aWatch,
                                        const TrafficShiftEvidence& aEvidence)
{
  return UpdateChangeDetector(
    JudgeSettings(), std::move(aWatch), aEvidence.mOld, aEvidence.mNew);
}

TrafficShiftDecision DecideStage(const TrafficShift& aShift,
                                 const TrafficShiftEvidence& aEvidence,
                                 const RolloutChangeDetector& aWatch,
                                 Duration aElapsed)
{
  if (aShift.mStage == TrafficShiftStage::Completed ||
      aShift.mStage == TrafficShiftStage::Reverted) {
    return { aShift.mStage, "The roll-out is over." };
  }
  const RolloutDecision verdict =
    EvaluateRollout(JudgeSettings(), aEvidence.mOld, aEvidence.mNew);
  if (verdict.mVerdict == RolloutVerdict::Halt) {
    return { TrafficShiftStage::Reverted, verdict.mReason };
  }
  const RolloutDecision watchDecision =
    EvaluateChangeDetector(JudgeSettings(), aWatch);
  if (watchDecision.mVerdict == RolloutVerdict::Halt) {
    return { TrafficShiftStage::Reverted, watchDecision.mReason };
  }
  const double elapsedShare = ElapsedShare(aShift.mOrder, aElapsed);
  if (aShift.mStage == TrafficShiftStage::Shift) {
    if (elapsedShare < kCompletionShare) {
      return { TrafficShiftStage::Shift,
               "Open requests finish on the old version." };
    }
    // NOTE: The shift may have been decided by few answers. All traffic yields
    //       many more before the old version is stopped.
    return MayBeAsGood(aEvidence)
             ? TrafficShiftDecision{ TrafficShiftStage::Completed,
                                     "All traffic has moved without a revert." }
             : TrafficShiftDecision{
                 TrafficShiftStage::Reverted,
                 "The new version is worse under all traffic."
               };
  }
  if (elapsedShare >= kShiftStartShare &&
      verdict.mVerdict == RolloutVerdict::Advance) {
    return { TrafficShiftStage::Shift, verdict.mReason };
  }
  if (elapsedShare < kDecisionDeadlineShare) {
    return { TrafficShiftStage::Probe, verdict.mReason };
  }
  return MayBeAsGood(aEvidence)
           ? TrafficShiftDecision{ TrafficShiftStage::Shift,
                                   "Few samples, but no sign of a bad "
                                   "version." }
           : TrafficShiftDecision{
               TrafficShiftStage::Reverted,
               "The new version was not shown to be good in time."
             };
}

} // namespace Acaciavale::Relay
