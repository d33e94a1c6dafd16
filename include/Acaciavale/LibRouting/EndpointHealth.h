#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <vector>

/// Outlier ejection: failing endpoints receive no requests for a limited time.
/// The ejected share of a pool is bounded.
namespace Acaciavale {

/// Outcome of one dispatch to an endpoint.
struct EndpointOutcome
{
  bool mSucceeded = true;
  double mServiceSeconds = 0; ///< Service time of a success, without queueing.

  auto operator<=>(const EndpointOutcome&) const = default;
};

/// Health statistics that one VM keeps for one endpoint. The counts of
/// successes and errors decay with a half-life of 10 seconds.
struct EndpointHealth
{
  double mSuccesses = 0;
  double mErrors = 0;
  std::int32_t mConsecutiveErrors = 0;
  std::int32_t mConsecutiveSuccesses = 0;
  double mSecondsPerRequest = 0; ///< Moving average over successes; 0 if none.
  std::uint32_t mServiceTimeSamples = 0; ///< Successes in mSecondsPerRequest.
  TimePoint mUpdatedAt{};                ///< Time of the last outcome.
  TimePoint mEjectedUntil{};
  TimePoint
    mHealthySince{}; ///< Time of the first success after the last error.
  std::int32_t mEjections = 0; ///< Ejections since the last healthy period.

  auto operator<=>(const EndpointHealth&) const = default;
};

/// Returns the health after one more outcome. If the first request after an
/// ejection fails, ShouldEject requests another ejection at once, which lasts
/// twice as long.
EndpointHealth WithOutcome(EndpointHealth aHealth,
                           const EndpointOutcome& aOutcome,
                           TimePoint aNow);

/// Share of failures among the recent outcomes, 0 to 1.
double ErrorRate(const EndpointHealth& aHealth);

/// Error rate to use in endpoint selection. For a short time after a failure it
/// is higher than the counts say, because an endpoint that fails immediately
/// would otherwise look idle and attract requests.
double ExpectedErrorRate(const EndpointHealth& aHealth, TimePoint aNow);

/// Whether the endpoint meets the criteria for ejection: several consecutive
/// errors, or an error rate far above that of the pool.
bool ShouldEject(const EndpointHealth& aHealth, double aPoolErrorRate);

bool IsEjected(const EndpointHealth& aHealth, TimePoint aNow);

/// Whether this VM must not send the endpoint another request now: the endpoint
/// is ejected, or it is on probation after an ejection and already serves a
/// request of this VM.
bool IsBlocked(const EndpointHealth& aHealth,
               std::int32_t aOwnInFlight,
               TimePoint aNow);

/// Ejects the endpoints that meet the criteria, highest error rate first, as
/// long as at most a share of aCeiling of the pool is ejected. If all endpoints
/// fail alike, the rest of the pool stays in service, because the cause is then
/// probably not in the endpoints.
std::vector<EndpointHealth> WithEjections(std::vector<EndpointHealth> aPool,
                                          double aCeiling,
                                          TimePoint aNow);

/// Statistics for the mean service time of the requests in flight. It is higher
/// than the mean over completed requests, because long requests are in flight
/// for longer and so count in proportion to their length.
struct InFlightServiceTime
{
  double mMeanSeconds = 0; ///< Moving average of service times.
  double mMeanSquare = 0;  ///< Moving average of their squares, in s^2.

  auto operator<=>(const InFlightServiceTime&) const = default;
};

/// Returns the statistics after one more completed request.
InFlightServiceTime WithServiceTime(InFlightServiceTime aServiceTime,
                                    double aServiceSeconds);
/// Length-weighted mean of the service time; 0 if nothing was recorded.
double MeanInFlightSeconds(const InFlightServiceTime& aServiceTime);

} // namespace Acaciavale
