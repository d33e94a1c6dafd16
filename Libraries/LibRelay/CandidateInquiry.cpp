#include <Acaciavale/LibRelay/CandidateInquiry.h>

#include <algorithm>
#include <cmath>

namespace Acaciavale::Relay {

namespace {

/// Least prompt work as a multiple of the time that an inquiry takes. Where
/// work takes 2.5 times as long in 15 % of the time (docs/design/HARD_LOAD.md),
/// the choice among candidates saves about 0.2 times the work. Twice that of
/// the inquiry's time is required, as its queries also have a price.
constexpr double kMinimumWorkRatio = 10;
/// Work ratio from which a third candidate is queried. It saves 0.03 times the
/// work beyond two, as both are slow in 2 % of the cases.
constexpr double kThirdCandidateWorkRatio = 30;
/// Share of the time that is left until the goal that an inquiry may take.
constexpr double kGoalShare = 0.05;
/// Timeout as a multiple of the usual time of an answer, and its limits. The
/// lower one covers connecting and asking across failure domains, twice 7 ms.
constexpr double kTimeoutMultiple = 3;
constexpr double kMinimumTimeoutSeconds = 0.02;
constexpr double kMaximumTimeoutSeconds = 0.06;
constexpr double kAnswerWeight = 0.1;
/// What a time without an answer counts as, in multiples of the limit. Answers
/// that take longer than the limit are not observed, and without this, a pool
/// whose answers are always late would delay each long prompt.
constexpr double kUnansweredMultiple = 4;
/// Half-life of what was observed about the time of answers.
constexpr double kTimingHalfLifeSeconds = 10;
/// Inquiries per second and VM, ten times the long prompts that reach a VM of
/// the deployment in docs/design/HARD_LOAD.md (88.5 a second on 91 VMs); at
/// 0.013 for each of up to 30 queries, a VM spends at most a quarter of what
/// one request is worth per second.
constexpr double kInquiriesPerSecond = 10;
constexpr double kBurst = 10;

} // namespace

std::size_t CandidatesToInquire(const InquiryQuery& aQuery)
{
  const double ratio =
    aQuery.mPromptSeconds / std::max(1e-6, aQuery.mAnswerSeconds);
  const bool isOfUse =
    aQuery.mIsFirstAttempt && aQuery.mHasHealthPath && aQuery.mReportsPace &&
    aQuery.mCandidates > 1 && ratio >= kMinimumWorkRatio &&
    InSeconds(InquiryTimeout(aQuery)) > aQuery.mAnswerSeconds;
  if (!isOfUse) {
    return 0;
  }
  const std::size_t wanted =
    ratio >= kThirdCandidateWorkRatio ? kMaximumInquired : 2;
  return std::min(wanted, aQuery.mCandidates);
}

Duration InquiryTimeout(const InquiryQuery& aQuery)
{
  const double usual = std::clamp(kTimeoutMultiple * aQuery.mAnswerSeconds,
                                  kMinimumTimeoutSeconds,
                                  kMaximumTimeoutSeconds);
  return FromSeconds(
    std::clamp(kGoalShare * aQuery.mGoalSecondsLeft, 0.0, usual));
}

double UsualAnswerSeconds(const InquiryTiming& aTiming, TimePoint aNow)
{
  const double age = std::max(0.0, InSeconds(aNow - aTiming.mUpdatedAt));
  return kPriorAnswerSeconds + (aTiming.mAnswerSeconds - kPriorAnswerSeconds) *
                                 std::exp2(-age / kTimingHalfLifeSeconds);
}

InquiryTiming WithAnswer(InquiryTiming aTiming, Duration aTime, TimePoint aNow)
{
  const double usual = UsualAnswerSeconds(aTiming, aNow);
  return { usual + kAnswerWeight * (InSeconds(aTime) - usual), aNow };
}

InquiryTiming WithTimeout(InquiryTiming aTiming,
                          Duration aLimit,
                          TimePoint aNow)
{
  return WithAnswer(
    aTiming, FromSeconds(kUnansweredMultiple * InSeconds(aLimit)), aNow);
}

bool TryUsePermit(InquiryPermits& aPermits, TimePoint aNow)
{
  const double accrued =
    kInquiriesPerSecond * InSeconds(aNow - aPermits.mUpdatedAt);
  const double used = std::max(0.0, aPermits.mUsed - accrued);
  if (used + 1 > kBurst) {
    return false;
  }
  aPermits = { used + 1, aNow };
  return true;
}

InquiryDecision DecideByAnswers(
  const std::vector<InquiredCandidate>& aCandidates,
  bool aIsTimeUp)
{
  std::optional<std::size_t> best;
  bool isAnyOpen = false;
  bool hasReport = false;
  for (std::size_t index = 0; index < aCandidates.size(); ++index) {
    const InquiredCandidate& candidate = aCandidates[index];
    isAnyOpen = isAnyOpen || candidate.mAnswer == InquiryAnswer::Open;
    hasReport = hasReport || candidate.mAnswer == InquiryAnswer::Reported;
    if (!candidate.mCost || candidate.mAnswer == InquiryAnswer::Elsewhere) {
      continue;
    }
    if (!best || *candidate.mCost < *aCandidates[*best].mCost) {
      best = index;
    }
  }
  // NOTE: Without a figure, an endpoint is taken to have normal speed. So a
  //       best candidate that has answered is rarely beaten by an open one.
  const bool isBestKnown =
    best && aCandidates[*best].mAnswer == InquiryAnswer::Reported;
  if (!aIsTimeUp && isAnyOpen && !isBestKnown) {
    return {};
  }
  if (!hasReport) {
    // NOTE: Costs change with time alone. The choice made without answers
    //       stands if nothing is known beyond it.
    const auto first =
      std::find_if(aCandidates.begin(),
                   aCandidates.end(),
                   [](const InquiredCandidate& aCandidate) {
                     return aCandidate.mCost &&
                            aCandidate.mAnswer != InquiryAnswer::Elsewhere;
                   });
    best = first == aCandidates.end()
             ? std::nullopt
             : std::optional<std::size_t>(first - aCandidates.begin());
  }
  InquiryDecision decision{ true, best, "no-answer" };
  if (!best) {
    decision.mOutcome = "none-left";
  } else if (hasReport || *best != 0) {
    decision.mOutcome = *best == 0 ? "kept" : "moved";
  }
  return decision;
}

} // namespace Acaciavale::Relay
