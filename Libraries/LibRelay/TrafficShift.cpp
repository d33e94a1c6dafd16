#include <Acaciavale/LibRelay/TrafficShift.h>

#include <algorithm>

namespace Acaciavale::Relay {

namespace {

/// Share of requests without a session that probe a new version. Deployments
/// let a bad version have 0.12 of a pool's requests or more; repeats and the
/// requests until a revert reaches all VMs come on top of this.
constexpr double kProbeShare = 0.08;
/// Share of all requests between the probe and all of the traffic: some tens of
/// answers until the judge has to decide.
constexpr double kStepShare = 0.35;
/// Parts of the order's duration. Sessions may not change sides before its
/// first half is over. The shift leaves the longest usual streams the time to
/// end on the old version, and the end some seconds for a VM that takes over.
constexpr double kStepStartShare = 0.52;
constexpr double kShiftStartShare = 0.62;
constexpr double kDecisionDeadlineShare = 0.7;
constexpr double kCompletionShare = 0.86;
/// Answers that the judge wants before it calls a new version as good; at the
/// smallest pools' rates a probe gathers about so many.
constexpr std::int64_t kProbeAnswers = 20;
/// Share of failures beyond the old version's at which a thin probe still
/// passes: bad versions fail in far more of their answers.
constexpr double kFewSamplesErrorSlack = 0.1;
/// How many times slower a new version may be. Versions in service differ by
/// their load alone by up to twice.
constexpr double kMaximumLatencyRatio = 2.5;
/// Failures that a thin probe may show by chance.
constexpr double kFewSamplesAllowedFailures = 1;

RolloutSettings JudgeSettings()
{
  RolloutSettings settings;
  settings.mSteps = { kProbeShare, 1 };
  settings.mMinimumSamples = kProbeAnswers;
  settings.mMaxErrorIncrease = 0.05;
  settings.mMaxLatencyRatio = kMaximumLatencyRatio;
  return settings;
}

double ElapsedShare(const TrafficShiftOrder& aOrder, Duration aElapsed)
{
  return InSeconds(aElapsed) / std::max(0.001, InSeconds(aOrder.mDuration));
}

bool PassesWithFewSamples(const TrafficShiftEvidence& aEvidence)
{
  const double oldShare = aEvidence.mOld.mAnswers > 0
                            ? aEvidence.mOld.mErrors / aEvidence.mOld.mAnswers
                            : 0;
  return aEvidence.mNew.mErrors <=
         kFewSamplesAllowedFailures +
           (oldShare + kFewSamplesErrorSlack) * aEvidence.mNew.mAnswers;
}

} // namespace

bool IsUnderWay(TrafficShiftStage aStage)
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
  if (!aShift || !IsUnderWay(aShift->mStage)) {
    return aSide;
  }
  const bool wasTarget = aVersion == aShift->mOrder.mTarget;
  const bool staysOld = wasTarget ? !aHasSession : aIsResuming;
  return staysOld ? VersionSide::NotTarget : aSide;
}

VersionSide FallbackSide(const std::optional<TrafficShift>& aShift)
{
  // NOTE: A bad version serves nobody, whatever else is left.
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

RolloutWatch WatchTrafficShift(RolloutWatch aWatch,
                               const TrafficShiftEvidence& aEvidence)
{
  return WatchRollout(
    JudgeSettings(), std::move(aWatch), aEvidence.mOld, aEvidence.mNew);
}

TrafficShiftDecision DecideStage(const TrafficShift& aShift,
                                 const TrafficShiftEvidence& aEvidence,
                                 const RolloutWatch& aWatch,
                                 Duration aElapsed)
{
  if (aShift.mStage == TrafficShiftStage::Completed ||
      aShift.mStage == TrafficShiftStage::Reverted) {
    return { aShift.mStage, "The roll-out is over." };
  }
  const RolloutDecision verdict =
    JudgeRollout(JudgeSettings(), aEvidence.mOld, aEvidence.mNew);
  if (verdict.mVerdict == RolloutVerdict::Halt) {
    return { TrafficShiftStage::Reverted, verdict.mReason };
  }
  const RolloutDecision turned = JudgeWatch(JudgeSettings(), aWatch);
  if (turned.mVerdict == RolloutVerdict::Halt) {
    return { TrafficShiftStage::Reverted, turned.mReason };
  }
  const double passed = ElapsedShare(aShift.mOrder, aElapsed);
  if (aShift.mStage == TrafficShiftStage::Shift) {
    return passed >= kCompletionShare
             ? TrafficShiftDecision{ TrafficShiftStage::Completed,
                                     "All traffic has moved and nothing "
                                     "failed." }
             : TrafficShiftDecision{ TrafficShiftStage::Shift,
                                     "The old version ends." };
  }
  if (passed >= kShiftStartShare &&
      verdict.mVerdict == RolloutVerdict::Advance) {
    return { TrafficShiftStage::Shift, verdict.mReason };
  }
  if (passed < kDecisionDeadlineShare) {
    return { TrafficShiftStage::Probe, verdict.mReason };
  }
  return PassesWithFewSamples(aEvidence)
           ? TrafficShiftDecision{ TrafficShiftStage::Shift,
                                   "Little evidence, none of it bad." }
           : TrafficShiftDecision{ TrafficShiftStage::Reverted,
                                   "Not shown to be good in time." };
}

} // namespace Acaciavale::Relay
