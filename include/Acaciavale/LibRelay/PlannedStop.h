#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <optional>

/// Which requests a VM still takes on after it was asked to stop.
namespace Acaciavale::Relay {

struct PlannedStop
{
  TimePoint mStartedAt{}; ///< When the VM was asked to stop.
  Duration mOpenTime{};   ///< Time from then until open requests are cut.

  auto operator<=>(const PlannedStop&) const = default;
};

/// What is known of a request that a stopping VM could pass on.
struct LateRequest
{
  Duration mSinceStop{}; ///< Time since the VM was asked to stop.
  Duration mOpenTime{};  ///< As in PlannedStop.
  Duration mTimeLeft{};  ///< Time until the request's deadline.
  /// How long such requests last at most; empty if that is not known.
  std::optional<Duration> mLongestExpected;

  auto operator<=>(const LateRequest&) const = default;
};

/// Whether the request can be expected to end before it would be cut. If not,
/// it is not passed on, so that its caller may repeat it elsewhere.
bool CanEndBeforeCut(const LateRequest& aRequest);

} // namespace Acaciavale::Relay
