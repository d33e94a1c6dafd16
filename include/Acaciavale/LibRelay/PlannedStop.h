#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <optional>

/// What a VM does after it was asked to stop, and which requests it still takes
/// on.
namespace Acaciavale::Relay {

struct PlannedStop
{
  TimePoint mStartedAt{}; ///< When the VM was asked to stop.
  Duration mOpenTime{};   ///< Time from then until open requests are ended.

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

enum class StopPhase
{
  Accepting, ///< New connections are accepted, as callers cache the address.
  Draining,  ///< Connections without a request are closed.
  Ending,    ///< Open requests get their final response.
  Over,      ///< The process exits.
};

/// State of a planned stop.
struct StopProgress
{
  Duration mElapsed{};       ///< Time since the VM was asked to stop.
  Duration mTimeout{};       ///< Time from then until the process is killed.
  bool mHasRequests = false; ///< Whether a request or response is open.

  auto operator<=>(const StopProgress&) const = default;
};

/// Time from the request to stop until open requests are ended.
Duration OpenTimeOfStop(Duration aTimeout);

StopPhase PhaseOfStop(const StopProgress& aProgress);

} // namespace Acaciavale::Relay
