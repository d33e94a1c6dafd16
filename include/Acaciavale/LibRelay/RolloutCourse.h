#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>
#include <Acaciavale/LibRouting/Evidence.h>

#include <cstdint>
#include <optional>
#include <string>

/// The course of a roll-out that an operator orders with an end time: endpoints
/// of the new version stand beside the old ones, and the traffic moves over.
namespace Acaciavale::Relay {

struct CourseOrder
{
  std::string mPool;
  std::string mTarget; ///< The new version.
  Duration mDuration{};
  std::int64_t mRevision = 0; ///< Of the order, so that a new one is told.

  auto operator<=>(const CourseOrder&) const = default;
};

enum class CourseStage
{
  Probe, ///< A small share goes to the new version.
  Shift, ///< All goes there; what runs on the old one ends.
  Completed,
  Reverted,
};

struct Course
{
  CourseOrder mOrder;
  CourseStage mStage = CourseStage::Probe;
  double mProbeShare = 0;   ///< Of requests that go to the new version now.
  double mSessionShare = 0; ///< Of sessions.

  auto operator<=>(const Course&) const = default;
};

enum class VersionSide
{
  Any,
  Target,
  NotTarget,
};

/// Whether the traffic is still moving.
bool IsUnderWay(CourseStage aStage);

/// The course with the shares that probe the new version at the time given.
/// Requests without a session do from the start. Sessions may change their
/// version only in the second half, and a session that is open goes on at any
/// VM; so none probes before it, then a step of them does.
Course WithShares(Course aCourse, Duration aElapsed);

/// Which side a request goes to. The draw, in [0, 1), is the session's or the
/// request's own, the same on all VMs, so that a session stays on its side.
VersionSide SideOf(const std::optional<Course>& aCourse,
                   bool aHasSession,
                   double aDraw);

/// Which side one more send of a request goes to, in the place of aSide, after
/// an endpoint of aVersion has failed it. A stream that goes on elsewhere stays
/// with the version that began it; a request without a session leaves a new
/// version that failed it, as the next endpoint likely would as well.
VersionSide SideAfterFailure(VersionSide aSide,
                             const std::optional<Course>& aCourse,
                             bool aHasSession,
                             bool aIsMidway,
                             const std::string& aVersion);

/// The side to take where the first one has no endpoint.
VersionSide FallbackSide(const std::optional<Course>& aCourse);

bool MayTake(VersionSide aSide,
             const std::optional<Course>& aCourse,
             const std::string& aVersion);

/// What the fleet has seen of both versions since the order.
struct CourseEvidence
{
  EvidenceCell mOld;
  EvidenceCell mNew;

  auto operator<=>(const CourseEvidence&) const = default;
};

CourseEvidence operator+(const CourseEvidence& aLeft,
                         const CourseEvidence& aRight);

struct CourseDecision
{
  CourseStage mStage = CourseStage::Probe;
  std::string mReason;

  auto operator<=>(const CourseDecision&) const = default;
};

/// LibRollout's detector of a version that turns bad, with what has come in.
RolloutChangeDetector WatchCourse(RolloutChangeDetector aWatch,
                                  const CourseEvidence& aEvidence);

/// The stage that the course should be in, from LibRollout's judge and detector
/// and the time since the order.
CourseDecision DecideStage(const Course& aCourse,
                           const CourseEvidence& aEvidence,
                           const RolloutChangeDetector& aWatch,
                           Duration aElapsed);

} // namespace Acaciavale::Relay
