#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <optional>

/// Decides how long requests wait for a current view of the fleet. It answers
/// the load after a loss of power: all VMs start together, their first reads of
/// the store may fail, and callers return before the view is there.
namespace Acaciavale::Relay {

/// What a VM knows of its reads of the fleet.
struct ViewReads
{
  bool mHasHadView = false; ///< Whether any view has been applied.
  /// First failure since the latest view, or since the start; empty: none.
  std::optional<TimePoint> mFailingSince;
  TimePoint mNextReadAt{}; ///< Start of the next read, if reads fail.

  auto operator<=>(const ViewReads&) const = default;
};

/// Either a time to wait, or a refusal with the time after which the caller
/// should return.
struct ViewWaitDecision
{
  Duration mWait{}; ///< Zero: refuse now.
  Duration mRetryAfter{};

  auto operator<=>(const ViewWaitDecision&) const = default;
};

/// Records a failed read; the next one starts at aNextReadAt.
ViewReads WithFailedRead(ViewReads aReads,
                         TimePoint aNextReadAt,
                         TimePoint aNow);

/// Decides about a request whose caller waits for aTimeLeft from now; empty if
/// it does not state that. aWaited is the time that the request has waited for
/// a view. aJitter is a random number in [0, 1) that spreads the returns.
ViewWaitDecision DecideViewWait(const ViewReads& aReads,
                                std::optional<Duration> aTimeLeft,
                                Duration aWaited,
                                double aJitter,
                                TimePoint aNow);

} // namespace Acaciavale::Relay
