#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <array>
#include <cstddef>
#include <optional>

/// The current speed of endpoints that share their machines with other work, as
/// they report it. A pace of 1 is normal; at 2, work takes twice as long.
namespace Acaciavale::Relay {

/// The latest pace that an endpoint reported.
struct EndpointPace
{
  std::optional<double> mPace;
  TimePoint mReportedAt{};
  /// The figure with which a later one forms the next pair; see WithPair.
  std::optional<double> mPairPace;
  TimePoint mPairReportedAt{};

  auto operator<=>(const EndpointPace&) const = default;
};

/// Pairs of successive figures whose times differ by similar amounts. Older
/// pairs lose weight. The deviation of a pace is its logarithm.
struct PacePairs
{
  double mSquares = 0;    ///< Sum of the squares of the earlier deviations.
  double mProducts = 0;   ///< Sum of the products of both deviations.
  double mGapSeconds = 0; ///< Sum of the gaps, weighted like mSquares.

  auto operator<=>(const PacePairs&) const = default;
};

/// Half-life before a pool's figures have shown another: several round trips,
/// so that the answer to an inquiry counts fully and a figure that came with an
/// earlier response counts little.
inline constexpr Duration kInitialPaceHalfLife = std::chrono::milliseconds(50);

/// What successive figures of the same endpoints show about how long the paces
/// of a pool last.
struct PaceHistory
{
  /// Pairs by gap; each element covers twice the gap of the one before.
  static constexpr std::size_t kGaps = 9;
  std::array<PacePairs, kGaps> mPairs{};
  /// Time after which half of a deviation is left.
  Duration mHalfLife = kInitialPaceHalfLife;

  auto operator<=>(const PaceHistory&) const = default;
};

/// Adds a pair of figures of one endpoint that were aGap apart.
PaceHistory WithPair(PaceHistory aHistory,
                     double aEarlierPace,
                     double aLaterPace,
                     Duration aGap);

/// The endpoint's pace after a new figure, which is also added to the history
/// of the pool. A figure that is older than the latest one changes nothing.
EndpointPace WithFigure(EndpointPace aPace,
                        double aFigure,
                        TimePoint aReportedAt,
                        PaceHistory& aHistory);

/// The factor on the time that work takes at the endpoint: the latest figure,
/// which approaches 1 with its age; 1 without a figure.
double PaceFactor(const EndpointPace& aPace,
                  const PaceHistory& aHistory,
                  TimePoint aNow);

} // namespace Acaciavale::Relay
