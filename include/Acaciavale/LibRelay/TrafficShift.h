#pragma once

#include <Acaciavale/LibCore/Time.h>
#include <Acaciavale/LibRollout/RolloutProgress.h>
#include <Acaciavale/LibRouting/Evidence.h>

#include <cstdint>
#include <optional>
#include <string>

/// The gradual shift of traffic in a roll-out that an operator orders with a
/// duration. Endpoints of the new version run beside those of the old version
/// while the traffic moves to them.
namespace Acaciavale::Relay {

struct TrafficShiftOrder
{
  std::string mPool;
  std::string mTarget; ///< New software version.
  Duration mDuration{};
  /// Revision of the order, which differs for a new order.
  std::int64_t mRevision = 0;

  auto operator<=>(const TrafficShiftOrder&) const = default;
};

enum class TrafficShiftStage
{
  Probe, ///< A small share of the traffic goes to the new version.
  Shift, ///< New requests go to the new version; open ones finish on the old
         ///< one.
  Completed, ///< All traffic has moved to the new version.
  Reverted,  ///< All traffic goes to the old version.
};

struct TrafficShift
{
  TrafficShiftOrder mOrder;
  TrafficShiftStage mStage = TrafficShiftStage::Probe;
  /// Share of requests without a session that go to the new version.
  double mProbeShare = 0;
  double mSessionShare = 0; ///< Share of sessions that go to the new version.

  auto operator<=>(const TrafficShift&) const = default;
};

/// The versions that may receive a request.
enum class VersionSide
{
  Any,
  Target,    ///< Only the new version.
  NotTarget, ///< Any other version.
};

/// Whether the shift of traffic is neither completed nor reverted.
bool IsInProgress(TrafficShiftStage aStage);

/// Returns the traffic shift with its shares for probes at aElapsed since the
/// order. Requests without a session probe the new version from the start.
/// Sessions may change their version only in the second half of the duration,
/// and any VM may continue an open session. Thus no session probes in the first
/// half, and a fixed share of them does in the second.
TrafficShift WithShares(TrafficShift aShift, Duration aElapsed);

/// The side that a request goes to. aDraw is a number in [0, 1) that is derived
/// from the session or the request and equal on all VMs, so that a session
/// stays on its side.
VersionSide SideOf(const std::optional<TrafficShift>& aShift,
                   bool aHasSession,
                   double aDraw);

/// The side that the next attempt of a request goes to instead of aSide, after
/// an attempt at an endpoint of aVersion failed. A resumed stream stays with
/// the old version if that one began it. A request without a session leaves the
/// new version after a failure, as its next endpoint would likely fail as well.
VersionSide SideAfterFailure(VersionSide aSide,
                             const std::optional<TrafficShift>& aShift,
                             bool aHasSession,
                             bool aIsResuming,
                             const std::string& aVersion);

/// The side to use if the preferred side has no available endpoint.
VersionSide FallbackSide(const std::optional<TrafficShift>& aShift);

/// Whether an endpoint of aVersion belongs to the side.
bool AcceptsVersion(VersionSide aSide,
                    const std::optional<TrafficShift>& aShift,
                    const std::string& aVersion);

/// The evidence on both versions since the order.
struct TrafficShiftEvidence
{
  EvidenceCell mOld;
  EvidenceCell mNew;

  auto operator<=>(const TrafficShiftEvidence&) const = default;
};

TrafficShiftEvidence operator+(const TrafficShiftEvidence& aLeft,
                               const TrafficShiftEvidence& aRight);

struct TrafficShiftDecision
{
  TrafficShiftStage mStage = TrafficShiftStage::Probe;
  std::string mReason;

  auto operator<=>(const TrafficShiftDecision&) const = default;
};

/// Updates LibRollout's detector of a version that degrades over time.
RolloutChangeDetector WatchTrafficShift(RolloutChangeDetector aWatch,
                                        const TrafficShiftEvidence& aEvidence);

/// The stage that the traffic shift should have, according to the verdict and
/// the detector of LibRollout and the time since the order.
TrafficShiftDecision DecideStage(const TrafficShift& aShift,
                                 const TrafficShiftEvidence& aEvidence,
                                 const RolloutChangeDetector& aWatch,
                                 Duration aElapsed);

} // namespace Acaciavale::Relay
