#include <Acaciavale/LibRelay/RolloutCourse.h>

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
constexpr double kStepAt = 0.52;
constexpr double kShiftAt = 0.62;
constexpr double kDecideAt = 0.7;
constexpr double kCompleteAt = 0.86;
/// Answers that the judge wants before it calls a new version as good; at the
/// smallest pools' rates a probe gathers about so many.
constexpr std::int64_t kProbeAnswers = 20;
/// Share of failures beyond the old version's at which a thin probe still
/// passes: bad versions fail in far more of their answers.
constexpr double kThinProbeSlack = 0.1;
/// How many times slower a new version may be. Versions in service differ by
/// their load alone by up to twice.
constexpr double kMostLatencyRatio = 2.5;
/// Failures that a thin probe may show by chance.
constexpr double kThinProbeFailures = 1;

RolloutSettings JudgeSettings()
{
  RolloutSettings settings;
  settings.mSteps = { kProbeShare, 1 };
  settings.mMinimumSamples = kProbeAnswers;
  settings.mMaxErrorIncrease = 0.05;
  settings.mMaxLatencyRatio = kMostLatencyRatio;
  return settings;
}

double PartOf(const CourseOrder& aOrder, Duration aElapsed)
{
  return InSeconds(aElapsed) / std::max(0.001, InSeconds(aOrder.mDuration));
}

bool PassesThinProbe(const CourseEvidence& aEvidence)
{
  const double oldShare = aEvidence.mOld.mAnswers > 0
                            ? aEvidence.mOld.mErrors / aEvidence.mOld.mAnswers
                            : 0;
  return aEvidence.mNew.mErrors <=
         kThinProbeFailures +
           (oldShare + kThinProbeSlack) * aEvidence.mNew.mAnswers;
}

} // namespace

bool IsUnderWay(CourseStage aStage)
{
  return aStage == CourseStage::Probe || aStage == CourseStage::Shift;
}

CourseEvidence operator+(const CourseEvidence& aLeft,
                         const CourseEvidence& aRight)
{
  return { aLeft.mOld + aRight.mOld, aLeft.mNew + aRight.mNew };
}

Course WithShares(Course aCourse, Duration aElapsed)
{
  const bool isSecondHalf = PartOf(aCourse.mOrder, aElapsed) >= kStepAt;
  aCourse.mProbeShare = isSecondHalf ? kStepShare : kProbeShare;
  aCourse.mSessionShare = isSecondHalf ? kStepShare : 0;
  return aCourse;
}

VersionSide SideOf(const std::optional<Course>& aCourse,
                   bool aHasSession,
                   double aDraw)
{
  if (!aCourse) {
    return VersionSide::Any;
  }
  switch (aCourse->mStage) {
    case CourseStage::Probe:
      return aDraw <
                 (aHasSession ? aCourse->mSessionShare : aCourse->mProbeShare)
               ? VersionSide::Target
               : VersionSide::NotTarget;
    case CourseStage::Shift:
    case CourseStage::Completed:
      return VersionSide::Target;
    case CourseStage::Reverted:
      return VersionSide::NotTarget;
  }
  return VersionSide::Any;
}

VersionSide SideAfterFailure(VersionSide aSide,
                             const std::optional<Course>& aCourse,
                             bool aHasSession,
                             bool aIsMidway,
                             const std::string& aVersion)
{
  if (!aCourse || !IsUnderWay(aCourse->mStage)) {
    return aSide;
  }
  const bool wasTarget = aVersion == aCourse->mOrder.mTarget;
  const bool staysOld = wasTarget ? !aHasSession : aIsMidway;
  return staysOld ? VersionSide::NotTarget : aSide;
}

VersionSide FallbackSide(const std::optional<Course>& aCourse)
{
  // NOTE: A bad version serves nobody, whatever else is left.
  return aCourse && aCourse->mStage == CourseStage::Reverted
           ? VersionSide::NotTarget
           : VersionSide::Any;
}

bool MayTake(VersionSide aSide,
             const std::optional<Course>& aCourse,
             const std::string& aVersion)
{
  if (!aCourse || aSide == VersionSide::Any) {
    return true;
  }
  return (aVersion == aCourse->mOrder.mTarget) ==
         (aSide == VersionSide::Target);
}

RolloutChangeDetector WatchCourse(RolloutChangeDetector aWatch,
                                  const CourseEvidence& aEvidence)
{
  return UpdateChangeDetector(
    JudgeSettings(), std::move(aWatch), aEvidence.mOld, aEvidence.mNew);
}

CourseDecision DecideStage(const Course& aCourse,
                           const CourseEvidence& aEvidence,
                           const RolloutChangeDetector& aWatch,
                           Duration aElapsed)
{
  if (aCourse.mStage == CourseStage::Completed ||
      aCourse.mStage == CourseStage::Reverted) {
    return { aCourse.mStage, "The roll-out is over." };
  }
  const RolloutDecision verdict =
    EvaluateRollout(JudgeSettings(), aEvidence.mOld, aEvidence.mNew);
  if (verdict.mVerdict == RolloutVerdict::Halt) {
    return { CourseStage::Reverted, verdict.mReason };
  }
  const RolloutDecision turned =
    EvaluateChangeDetector(JudgeSettings(), aWatch);
  if (turned.mVerdict == RolloutVerdict::Halt) {
    return { CourseStage::Reverted, turned.mReason };
  }
  const double passed = PartOf(aCourse.mOrder, aElapsed);
  if (aCourse.mStage == CourseStage::Shift) {
    return passed >= kCompleteAt
             ? CourseDecision{ CourseStage::Completed,
                               "All traffic has moved and nothing failed." }
             : CourseDecision{ CourseStage::Shift, "The old version ends." };
  }
  if (passed >= kShiftAt && verdict.mVerdict == RolloutVerdict::Advance) {
    return { CourseStage::Shift, verdict.mReason };
  }
  if (passed < kDecideAt) {
    return { CourseStage::Probe, verdict.mReason };
  }
  return PassesThinProbe(aEvidence)
           ? CourseDecision{ CourseStage::Shift,
                             "Little evidence, none of it bad." }
           : CourseDecision{ CourseStage::Reverted,
                             "Not shown to be good in time." };
}

} // namespace Acaciavale::Relay
