#pragma once

#include <cstddef>
#include <optional>
#include <string_view>

/// Decides how long an unsure answer of a smaller model is kept while a larger
/// model is asked, for pools whose endpoints may fall silent.
namespace Acaciavale::Relay {

/// Why the kept answer is delivered.
enum class FallbackCause
{
  Late,     ///< The larger model has not begun in time.
  Failed,   ///< The larger model's attempts failed.
  NoAnswer, ///< The larger model's stream ended without an event.
  NoRoom,   ///< The byte budget has no room for the kept answer.
  Deadline, ///< The time limit of the request was reached.
  Stop,     ///< This VM stops.
};

/// For logs and metrics.
std::string_view Describe(FallbackCause aCause);

/// What is known of the larger model's attempt, in seconds.
struct LargerModelTimes
{
  double mGoalLeft = 0; ///< Time until the first event is late.
  double mTimeLeft = 0; ///< Time until the deadline.
  double mWaited = 0;   ///< Time since the larger model was asked.
  /// Expected time to the first event of such prompts in the pool.
  double mExpectedFirstEvent = 0;
  /// Time to the first event of such prompts on an engine with little other
  /// work; 0: not known.
  double mLowQuartile = 0;

  auto operator<=>(const LargerModelTimes&) const = default;
};

/// How much of the kept answer has arrived.
enum class KeptAnswerState
{
  WithoutEvent,
  Incomplete,
  Complete,
};

/// Whether the byte budget has room for aAddedBytes more of a kept answer.
bool HasRoomToKeep(std::size_t aLimitBytes,
                   std::size_t aHeldBytes,
                   std::size_t aAddedBytes);

/// Whether the larger model can be expected to begin its answer within the time
/// left. Otherwise it is not asked.
bool CanBeginInTime(const LargerModelTimes& aTimes);

/// Time in seconds, from now, after which the kept answer is delivered if the
/// larger model has not begun; empty if there is nothing to deliver.
std::optional<double> SecondsUntilFallback(const LargerModelTimes& aTimes,
                                           KeptAnswerState aState);

/// Whether another endpoint that is asked now for the larger model can be
/// expected to begin before the kept answer is delivered.
bool MayAskAnotherEndpoint(const LargerModelTimes& aTimes,
                           KeptAnswerState aState);

} // namespace Acaciavale::Relay
