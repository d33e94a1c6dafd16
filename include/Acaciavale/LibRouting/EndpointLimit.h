#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// Bounds on the requests a second that an endpoint takes from all VMs
/// together: it states a limit in its responses, or has just started and is
/// cold.
///
/// Load pattern: some endpoints of a pool state a limit far below what they
/// get, down to less than one request a second for hundreds of VMs; it changes,
/// ends or stays for long. A few VMs, the holders, divide the limit of an
/// endpoint. All VMs derive the holders from their list of live VMs, so that
/// nobody has to agree on them. Each holder uses its share alone, so the
/// requests in any window are bounded whatever the others do, and while half of
/// the holders change.
namespace Acaciavale {

/// A limit as read from a response.
struct StatedLimit
{
  bool mIsStated = false; ///< The response has a text that states a limit.
  /// Requests a second; empty if none was stated or the text is invalid.
  std::optional<double> mPerSecond;
  /// Why the text was not taken as it is; empty if it was.
  std::string_view mProblem;

  auto operator<=>(const StatedLimit&) const = default;
};

/// A larger limit has no effect on any VM.
inline constexpr double kMaximumRequestLimit = 1e6;

/// Parses a decimal number of requests a second. A text that is not a number,
/// or is negative, states nothing; a number above kMaximumRequestLimit is
/// reduced to it.
StatedLimit ParseRequestLimit(std::string_view aText);

/// What is known of the limit of one lifetime of an endpoint.
struct RequestLimit
{
  double mPerSecond = 0;  ///< The limit stated last.
  TimePoint mStatedAt{};  ///< Time of the latest statement; zero: none.
  bool mHasEnded = false; ///< A later response stated no limit any more.

  auto operator<=>(const RequestLimit&) const = default;
};

bool IsInForce(const RequestLimit& aLimit);

/// Returns the limit after a response that was received at aNow and states
/// aPerSecond, or no limit. Earlier responses than the latest are ignored.
RequestLimit WithStatement(RequestLimit aLimit,
                           std::optional<double> aPerSecond,
                           TimePoint aNow);

/// The limit that VMs keep to at aNow; empty: none. It is never below the rate
/// at which holders try whether the endpoint still has a limit. A limit that
/// has ended, or was not stated for long, is lifted by steps, so that the VMs
/// do not return all at once.
std::optional<double> EffectiveLimit(const RequestLimit& aLimit,
                                     TimePoint aNow);

/// Rank of a VM among the live ones for the endpoint; those with the lowest
/// ranks hold permits. Empty if it is not among them. An empty list stands for
/// this VM alone.
std::optional<std::uint32_t> PermitRank(
  std::uint64_t aEndpointKey,
  std::uint64_t aVmKey,
  const std::vector<std::uint64_t>& aLiveVmKeys);

/// The share of one VM in the limit of an endpoint.
struct PermitShare
{
  Duration mInterval{};     ///< Time in which one permit accrues.
  std::uint32_t mBurst = 1; ///< Maximum number of accrued permits.

  auto operator<=>(const PermitShare&) const = default;
};

/// A bound on the requests that an endpoint gets from all VMs together.
struct RateBound
{
  double mPerSecond = 0;
  /// Requests beyond that at once: so many seconds of it, and some more.
  double mBurstSeconds = 0;
  double mBurstRequests = 0;

  auto operator<=>(const RateBound&) const = default;
};

/// The bound of a limit that an endpoint states.
RateBound BoundOfLimit(double aPerSecond);

/// The bound of an endpoint that has just started and is cold. It bears much
/// less in one second than one with a limit does in some.
RateBound BoundOfColdEndpoint(double aPerSecond);

/// The bound within both.
RateBound Stricter(const RateBound& aOne, const RateBound& aOther);

/// Returns the share of the VM with the rank; empty if it holds none.
std::optional<PermitShare> ShareOf(const RateBound& aBound,
                                   std::optional<std::uint32_t> aRank,
                                   std::uint32_t aLiveVms);

/// The use that a VM has made of its permits for one endpoint.
struct PermitState
{
  TimePoint mLastUseAt{}; ///< Zero: none.
  TimePoint mUsedUntil{}; ///< Time at which all used permits accrue again.

  auto operator<=>(const PermitState&) const = default;
};

/// Time from which the VM may send a request to the endpoint.
TimePoint NextPermitAt(const PermitState& aState, const PermitShare& aShare);

/// Returns the state after a request. aShare is empty if the endpoint has no
/// limit.
PermitState WithUse(const PermitState& aState,
                    const std::optional<PermitShare>& aShare,
                    TimePoint aNow);

/// The endpoints of a pool that a VM may not use now because of their limits.
struct LimitedEndpoints
{
  std::uint32_t mCount = 0;
  double mPerSecond = 0; ///< Sum of their limits.
  /// This VM's permits of these endpoints, a second; 0: it holds none.
  double mOwnPerSecond = 0;
  TimePoint mNextPermitAt = TimePoint::max(); ///< Of this VM.

  auto operator<=>(const LimitedEndpoints&) const = default;
};

/// Returns the endpoints with one more.
LimitedEndpoints WithEndpoint(LimitedEndpoints aEndpoints,
                              double aLimit,
                              const std::optional<PermitShare>& aShare,
                              TimePoint aNextPermitAt);

/// Time until this VM may send a request that waits behind aAhead others; empty
/// if it holds no permits.
std::optional<Duration> TimeToPermit(const LimitedEndpoints& aEndpoints,
                                     std::size_t aAhead,
                                     TimePoint aNow);

/// The delay after which the caller of a refused request should retry: at this
/// VM's next permit, or when one is expected at any VM. aJitter in [0, 1]
/// spreads the callers.
Duration RetryAfterLimit(const LimitedEndpoints& aEndpoints,
                         std::size_t aAhead,
                         double aJitter,
                         TimePoint aNow);

} // namespace Acaciavale
