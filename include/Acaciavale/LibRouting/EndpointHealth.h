#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstdint>
#include <vector>

/// Outlier ejection: endpoints that fail get no work for a while, within a
/// ceiling on the rate of the pool.
namespace Acaciavale {

/// How one dispatch ended at an endpoint.
struct EndpointOutcome
{
  bool mSucceeded = true;
  double mServiceSeconds = 0; ///< Of a success, without its time in a queue.

  auto operator<=>(const EndpointOutcome&) const = default;
};

/// What one VM has seen of one endpoint. Counts age by half every 10 seconds.
struct EndpointHealth
{
  double mSuccesses = 0;
  double mErrors = 0;
  std::int32_t mConsecutiveErrors = 0;
  std::int32_t mConsecutiveSuccesses = 0;
  double mSecondsPerRequest = 0; ///< Smoothed over successes; 0 is unknown.
  std::uint32_t mServiceTimeSamples = 0;
  TimePoint mUpdatedAt{};
  TimePoint mEjectedUntil{};
  TimePoint mHealthySince{};   ///< First success since the last error.
  std::int32_t mEjections = 0; ///< In a row, without a clean time between.

  auto operator<=>(const EndpointHealth&) const = default;
};

/// The health after one more outcome. An endpoint whose first answer after an
/// ejection is an error is to be ejected again at once, for twice as long.
EndpointHealth WithOutcome(EndpointHealth aHealth,
                           const EndpointOutcome& aOutcome,
                           TimePoint aNow);

/// Recent rate of failures, 0 to 1.
double ErrorRate(const EndpointHealth& aHealth);

/// What a choice should take as the rate of failures: more than the counts
/// say, for a moment, where the last outcome was a failure. An endpoint that
/// fails at once looks idle otherwise.
double ExpectedErrorRate(const EndpointHealth& aHealth, TimePoint aNow);

/// Whether the endpoint earns an ejection: errors in a row, or a rate of
/// errors far above what the pool shows.
bool ShouldEject(const EndpointHealth& aHealth, double aPoolErrorRate);

bool IsEjected(const EndpointHealth& aHealth, TimePoint aNow);

/// Whether the endpoint may take no more work from this VM now: ejected, or
/// back from an ejection, not yet well for some seconds, and busy with a trial.
bool IsBlocked(const EndpointHealth& aHealth,
               std::int32_t aOwnInFlight,
               TimePoint aNow);

/// Ejects what earns it, worst first, while no more than the ceiling's rate
/// of the pool is ejected. A pool whose endpoints outcomes fail alike keeps
/// serving on the rest: then the fault is likely not theirs.
std::vector<EndpointHealth> WithEjections(std::vector<EndpointHealth> aPool,
                                          double aCeiling,
                                          TimePoint aNow);

/// How long the requests in flight take, as opposed to those that end: long
/// requests are in flight for longer, so they count by their length.
struct InFlightServiceTime
{
  double mMeanSeconds = 0; ///< Smoothed service time.
  double mMeanSquare = 0;  ///< Smoothed square of it.

  auto operator<=>(const InFlightServiceTime&) const = default;
};

InFlightServiceTime WithServiceTime(InFlightServiceTime aServiceTime,
                                    double aServiceSeconds);
double MeanInFlightSeconds(const InFlightServiceTime& aServiceTime);

} // namespace Acaciavale
