#pragma once

#include <Acaciavale/LibCore/Time.h>

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

/// Decides whether candidates are queried for their current load before a
/// request is placed, and which of them takes it. Figures that arrive with
/// responses are too old for endpoints whose speed changes several times a
/// second.
namespace Acaciavale::Relay {

/// Largest number of candidates that one inquiry queries.
inline constexpr std::size_t kMaximumInquired = 3;

/// What the decision on an inquiry depends on.
struct InquiryQuery
{
  bool mIsFirstAttempt = false;
  bool mHasHealthPath = false; ///< The pool has a path for inquiries.
  bool mReportsPace = false;   ///< Endpoints of the pool have reported a pace.
  std::size_t mCandidates = 0;
  double mPromptSeconds = 0; ///< Prompt work at an endpoint of normal speed.
  double mAnswerSeconds = 0; ///< Usual time until an inquiry is answered.
  double mGoalSecondsLeft = 0;

  auto operator<=>(const InquiryQuery&) const = default;
};

/// Number of candidates to query; 0: the request is placed without an inquiry.
std::size_t CandidatesToInquire(const InquiryQuery& aQuery);

/// Limit on the time that an inquiry may take.
Duration InquiryTimeout(const InquiryQuery& aQuery);

/// Usual time of an answer before any was observed: connecting and asking
/// within a failure domain and in another one, on average.
inline constexpr double kPriorAnswerSeconds = 0.005;

/// Outcome of an inquiry whose request ended meanwhile.
inline constexpr std::string_view kAbandonedInquiry = "abandoned";

/// The usual time until an inquiry is answered, as observed by this VM.
struct InquiryTiming
{
  double mAnswerSeconds = kPriorAnswerSeconds; ///< Smoothed.
  TimePoint mUpdatedAt{};

  auto operator<=>(const InquiryTiming&) const = default;
};

/// The usual time, which approaches the initial assumption with its age, so
/// that a pool is queried again some time after its answers were slow.
double UsualAnswerSeconds(const InquiryTiming& aTiming, TimePoint aNow);

InquiryTiming WithAnswer(InquiryTiming aTiming, Duration aTime, TimePoint aNow);

/// After an inquiry that no endpoint answered within the limit.
InquiryTiming WithTimeout(InquiryTiming aTiming,
                          Duration aLimit,
                          TimePoint aNow);

/// This VM's permits for inquiries.
struct InquiryPermits
{
  double mUsed = 0; ///< Permits in use at mUpdatedAt.
  TimePoint mUpdatedAt{};

  auto operator<=>(const InquiryPermits&) const = default;
};

/// Whether one more inquiry is within the limit per second; if so, it is
/// counted.
bool TryUsePermit(InquiryPermits& aPermits, TimePoint aNow);

enum class InquiryAnswer
{
  Open,      ///< No answer has arrived yet.
  Reported,  ///< The endpoint has reported its load.
  Failed,    ///< No usable answer; it shows nothing about the endpoint.
  Elsewhere, ///< Another process has the endpoint's address.
};

/// A candidate with its cost by all that is known now.
struct InquiredCandidate
{
  InquiryAnswer mAnswer = InquiryAnswer::Open;
  /// Empty if the endpoint can take no request any more.
  std::optional<double> mCost;

  auto operator<=>(const InquiredCandidate&) const = default;
};

struct InquiryDecision
{
  bool mIsDecided = false; ///< False: to wait for further answers.
  /// Index of the candidate that takes the request; empty: none can.
  std::optional<std::size_t> mIndex;
  std::string_view mOutcome; ///< For the counter and the log.

  auto operator<=>(const InquiryDecision&) const = default;
};

/// Decides after each answer, and finally when the time is up. The candidates
/// are in the order in which they were ranked without answers.
InquiryDecision DecideByAnswers(
  const std::vector<InquiredCandidate>& aCandidates,
  bool aIsTimeUp);

} // namespace Acaciavale::Relay
