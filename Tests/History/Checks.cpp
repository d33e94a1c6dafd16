#include "Checks.h"

#include "StandIns/Answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace Acaciavale::History {

namespace {

template<typename... Part>
Violation MakeViolation(const Part&... aParts)
{
  std::string sentence;
  ((sentence += aParts), ...);
  return { sentence };
}

std::string ModelOf(const Stage& aStage)
{
  return aStage.substr(0, aStage.find('/'));
}

std::string VersionOf(const Stage& aStage)
{
  return aStage.substr(std::min(aStage.find('/'), aStage.size() - 1) + 1);
}

/// Maps the reference of each call to the account that made it.
std::map<std::string, std::string> AccountsByReference(const History& aHistory)
{
  std::map<std::string, std::string> accounts;
  for (const Call& call : aHistory.mCalls) {
    accounts[call.mReference] = call.mAccount;
  }
  return accounts;
}

bool IsPermitted(const Permission& aPermission, const Stage& aStage)
{
  return aPermission.mModels.contains(ModelOf(aStage)) &&
         (aPermission.mVersions.empty() ||
          aPermission.mVersions.contains(aStage));
}

/// Time of the first cutoff for aSubject, if there is one.
std::optional<std::int64_t> FindCutoff(const std::vector<Cutoff>& aCutoffs,
                                       const std::string& aSubject)
{
  for (const Cutoff& cutoff : aCutoffs) {
    if (cutoff.mSubject == aSubject) {
      return cutoff.mTimeMicroseconds;
    }
  }
  return {};
}

bool IsAfter(std::int64_t aTime, const std::optional<std::int64_t>& aCutoff)
{
  return aCutoff && aTime > *aCutoff;
}

/// All attempts of one non-repeatable call.
using Attempts = std::vector<const Call*>;

std::map<std::string, Attempts> AttemptsByKey(const History& aHistory)
{
  std::map<std::string, Attempts> attempts;
  for (const Call& call : aHistory.mCalls) {
    if (call.mKind == CallKind::NonRepeatable) {
      attempts[call.mIdempotencyKey].push_back(&call);
    }
  }
  return attempts;
}

/// Bounds of the bill of an account, computed from its calls.
struct BillBounds
{
  Bill mMinimum;
  Bill mMaximum;
  /// False if the charge of a possibly billed call is unknown; the charge in
  /// mMaximum is then no upper bound.
  bool mIsChargeExact = true;
};

void AddAnswered(BillBounds& aBounds, const Call& aCall)
{
  ++aBounds.mMinimum.mRequestCount;
  ++aBounds.mMaximum.mRequestCount;
  aBounds.mMinimum.mChargeMicros += aCall.mCostMicros;
  aBounds.mMaximum.mChargeMicros += aCall.mCostMicros;
}

void AddPossiblyBilled(BillBounds& aBounds)
{
  ++aBounds.mMaximum.mRequestCount;
  aBounds.mIsChargeExact = false;
}

/// Whether a call without an answer may be billed; a call refused as not run is
/// free.
bool MayBeBilled(const Call& aCall)
{
  return aCall.mOutcome != CallOutcome::Answered && aCall.mExecuted != "no";
}

void AddAttempts(BillBounds& aBounds, const Attempts& aAttempts)
{
  // NOTE: A stored answer that is returned again has no further cost, so the
  //       answered attempt with the highest cost counts.
  const Call* answered = nullptr;
  for (const Call* call : aAttempts) {
    const bool costsMore =
      answered == nullptr || call->mCostMicros > answered->mCostMicros;
    if (call->mOutcome == CallOutcome::Answered && costsMore) {
      answered = call;
    }
  }
  if (answered != nullptr) {
    AddAnswered(aBounds, *answered);
    return;
  }
  if (std::any_of(aAttempts.begin(), aAttempts.end(), [](const Call* aCall) {
        return MayBeBilled(*aCall);
      })) {
    AddPossiblyBilled(aBounds);
  }
}

std::map<std::string, BillBounds> BoundsByAccount(const History& aHistory)
{
  std::map<std::string, BillBounds> bounds;
  for (const Call& call : aHistory.mCalls) {
    if (call.mKind == CallKind::NonRepeatable) {
      continue;
    }
    if (call.mOutcome == CallOutcome::Answered) {
      AddAnswered(bounds[call.mAccount], call);
    } else if (MayBeBilled(call)) {
      AddPossiblyBilled(bounds[call.mAccount]);
    }
  }
  for (const auto& [key, attempts] : AttemptsByKey(aHistory)) {
    AddAttempts(bounds[attempts[0]->mAccount], attempts);
  }
  return bounds;
}

std::optional<Violation> CheckChatAnswer(const History& aHistory,
                                         const Call& aCall)
{
  const Stage stage = aCall.mStages.empty() ? "" : aCall.mStages.back();
  const std::string expected =
    StandIns::AnswerText({ aHistory.mSeed,
                           aCall.mRequestId,
                           { ModelOf(stage), VersionOf(stage) },
                           aCall.mMaxTokens });
  if (aCall.mContent == expected) {
    return {};
  }
  return MakeViolation("call ",
                       aCall.mReference,
                       " received \"",
                       aCall.mContent,
                       "\" from ",
                       stage,
                       " instead of \"",
                       expected,
                       "\"");
}

std::optional<Violation> CheckServiceAnswer(const Call& aCall)
{
  const nlohmann::json body =
    nlohmann::json::parse(aCall.mContent, nullptr, false);
  if (body.is_object() && body.value("reference", "") == aCall.mReference) {
    return {};
  }
  return MakeViolation("call ",
                       aCall.mReference,
                       " received a response without its reference: ",
                       aCall.mContent);
}

/// Answered calls that belong to sessions, ordered by start time.
std::vector<const Call*> AnsweredInSessions(const History& aHistory)
{
  std::vector<const Call*> calls;
  for (const Call& call : aHistory.mCalls) {
    if (!call.mSession.empty() && call.mOutcome == CallOutcome::Answered) {
      calls.push_back(&call);
    }
  }
  std::stable_sort(
    calls.begin(), calls.end(), [](const Call* aLeft, const Call* aRight) {
      return aLeft->mStartMicroseconds < aRight->mStartMicroseconds;
    });
  return calls;
}

Violation SessionVersionViolation(const Call& aCall,
                                  const std::string& aExpected,
                                  const Stage& aActual)
{
  return MakeViolation("session ",
                       aCall.mSession,
                       " expected ",
                       aExpected,
                       " but ran ",
                       aActual,
                       " in call ",
                       aCall.mReference);
}

} // namespace

Violations CheckPermissions(const History& aHistory)
{
  Violations violations;
  const auto accounts = AccountsByReference(aHistory);
  for (const EndpointRun& run : aHistory.mRuns) {
    const auto account = accounts.find(run.mReference);
    if (run.mStage.empty()) {
      continue;
    }
    if (account == accounts.end()) {
      violations.push_back(
        MakeViolation(run.mEndpoint,
                      " ran ",
                      run.mReference,
                      ", which belongs to no recorded call"));
      continue;
    }
    const auto permission = aHistory.mPermissions.find(account->second);
    if (permission == aHistory.mPermissions.end() ||
        !IsPermitted(permission->second, run.mStage)) {
      violations.push_back(MakeViolation(
        run.mReference, " of ", account->second, " ran on ", run.mStage));
    }
  }
  return violations;
}

Violations CheckWithdrawals(const History& aHistory)
{
  Violations violations;
  for (const EndpointRun& run : aHistory.mRuns) {
    if (IsAfter(run.mStartMicroseconds,
                FindCutoff(aHistory.mWithdrawals, run.mStage))) {
      violations.push_back(
        MakeViolation(run.mReference,
                      " started on ",
                      run.mStage,
                      " after its withdrawal was in force on every VM"));
    }
  }
  return violations;
}

Violations CheckSessions(const History& aHistory)
{
  Violations violations;
  std::map<std::string, Stage> sessionVersions;
  for (const Call* call : AnsweredInSessions(aHistory)) {
    const auto cascade = aHistory.mCascadeStages.find(call->mTarget);
    for (const Stage& stage : call->mStages) {
      if (cascade != aHistory.mCascadeStages.end()) {
        if (!cascade->second.contains(stage)) {
          violations.push_back(
            SessionVersionViolation(*call, call->mTarget, stage));
        }
        continue;
      }
      Stage& version =
        sessionVersions.try_emplace(call->mSession, stage).first->second;
      if (version != stage && !FindCutoff(aHistory.mWithdrawals, version)) {
        violations.push_back(SessionVersionViolation(*call, version, stage));
      }
      version = stage;
    }
  }
  return violations;
}

Violations CheckBills(const History& aHistory)
{
  Violations violations;
  auto bounds = BoundsByAccount(aHistory);
  for (const auto& [account, bill] : aHistory.mBills) {
    bounds.try_emplace(account);
  }
  for (const auto& [account, bound] : bounds) {
    const auto found = aHistory.mBills.find(account);
    const Bill bill = found == aHistory.mBills.end() ? Bill{} : found->second;
    if (bill.mRequestCount < bound.mMinimum.mRequestCount ||
        bill.mRequestCount > bound.mMaximum.mRequestCount) {
      violations.push_back(
        MakeViolation(account,
                      " is billed ",
                      std::to_string(bill.mRequestCount),
                      " requests; expected from ",
                      std::to_string(bound.mMinimum.mRequestCount),
                      " to ",
                      std::to_string(bound.mMaximum.mRequestCount)));
    }
    if (bill.mChargeMicros < bound.mMinimum.mChargeMicros ||
        (bound.mIsChargeExact &&
         bill.mChargeMicros > bound.mMaximum.mChargeMicros)) {
      violations.push_back(
        MakeViolation(account,
                      " is charged ",
                      std::to_string(bill.mChargeMicros),
                      " micros; the total cost of its answers is ",
                      std::to_string(bound.mMinimum.mChargeMicros)));
    }
  }
  return violations;
}

Violations CheckAnswers(const History& aHistory)
{
  Violations violations;
  for (const Call& call : aHistory.mCalls) {
    if (call.mOutcome != CallOutcome::Answered) {
      continue;
    }
    const auto violation = call.mKind == CallKind::Chat
                             ? CheckChatAnswer(aHistory, call)
                             : CheckServiceAnswer(call);
    if (violation) {
      violations.push_back(*violation);
    }
  }
  return violations;
}

Violations CheckRefusals(const History& aHistory)
{
  std::set<std::string> requestsRun;
  std::set<std::string> referencesRun;
  for (const EndpointRun& run : aHistory.mRuns) {
    requestsRun.insert(run.mRequestId);
    referencesRun.insert(run.mReference);
  }
  // NOTE: A run with another request id contradicts a refusal only if all
  //       attempts with the reference of the call were refused as not run.
  std::set<std::string> mayHaveRun;
  for (const Call& call : aHistory.mCalls) {
    if (call.mExecuted != "no") {
      mayHaveRun.insert(call.mReference);
    }
  }
  Violations violations;
  for (const Call& call : aHistory.mCalls) {
    const bool ran =
      (!call.mRequestId.empty() && requestsRun.contains(call.mRequestId)) ||
      (referencesRun.contains(call.mReference) &&
       !mayHaveRun.contains(call.mReference));
    if (call.mExecuted == "no" && ran) {
      violations.push_back(MakeViolation("call ",
                                         call.mReference,
                                         " was refused as not run (",
                                         call.mReason,
                                         "), but ran"));
    }
  }
  return violations;
}

Violations CheckAtMostOnce(const History& aHistory)
{
  Violations violations;
  std::map<std::string, int> runs;
  for (const EndpointRun& run : aHistory.mRuns) {
    ++runs[run.mReference];
  }
  for (const auto& [key, attempts] : AttemptsByKey(aHistory)) {
    const int count = runs[attempts[0]->mReference];
    if (count > 1) {
      violations.push_back(
        MakeViolation("key ", key, " ran ", std::to_string(count), " times"));
    }
    std::set<std::string> contents;
    for (const Call* call : attempts) {
      if (call->mOutcome == CallOutcome::Answered) {
        contents.insert(call->mContent);
      }
    }
    if (contents.size() > 1) {
      violations.push_back(
        MakeViolation("key ", key, " received different answers"));
    }
    if (!contents.empty() && count == 0) {
      violations.push_back(
        MakeViolation("key ", key, " was answered, but never ran"));
    }
  }
  return violations;
}

Violations CheckDraining(const History& aHistory)
{
  Violations violations;
  for (const EndpointRun& run : aHistory.mRuns) {
    if (IsAfter(run.mStartMicroseconds,
                FindCutoff(aHistory.mDrainingEndpoints, run.mEndpoint))) {
      violations.push_back(
        MakeViolation(run.mReference,
                      " started on ",
                      run.mEndpoint,
                      " after the grace period of its draining"));
    }
  }
  return violations;
}

Violations CheckPlannedStops(const History& aHistory)
{
  Violations violations;
  for (const Call& call : aHistory.mCalls) {
    const bool cut = call.mOutcome == CallOutcome::Lost &&
                     call.mReason == kConnectionCutReason;
    for (const PlannedStop& stop : aHistory.mPlannedStops) {
      if (cut && stop.mVm == call.mVm &&
          call.mStartMicroseconds < stop.mEndMicroseconds &&
          call.mEndMicroseconds > stop.mBeginMicroseconds) {
        violations.push_back(MakeViolation(
          "the planned stop of ", stop.mVm, " cut call ", call.mReference));
      }
    }
  }
  return violations;
}

Violations CheckGenerations(const History& aHistory)
{
  Violations violations;
  for (std::size_t at = 1; at < aHistory.mWrittenGenerations.size(); ++at) {
    if (aHistory.mWrittenGenerations[at] <=
        aHistory.mWrittenGenerations[at - 1]) {
      violations.push_back(
        MakeViolation("settings generation ",
                      std::to_string(aHistory.mWrittenGenerations[at]),
                      " was written after ",
                      std::to_string(aHistory.mWrittenGenerations[at - 1])));
    }
  }
  std::vector<GenerationObservation> observations =
    aHistory.mGenerationObservations;
  std::sort(observations.begin(),
            observations.end(),
            [](const GenerationObservation& aLeft,
               const GenerationObservation& aRight) {
              return aLeft.mStartMicroseconds < aRight.mStartMicroseconds;
            });
  // NOTE: Two status requests are ordered only if the first ended before the
  //       second started.
  for (std::size_t later = 0; later < observations.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (observations[earlier].mVm == observations[later].mVm &&
          observations[earlier].mEndMicroseconds <
            observations[later].mStartMicroseconds &&
          observations[earlier].mGeneration > observations[later].mGeneration) {
        violations.push_back(
          MakeViolation(observations[later].mVm,
                        " reported a settings generation that decreased from ",
                        std::to_string(observations[earlier].mGeneration),
                        " to ",
                        std::to_string(observations[later].mGeneration)));
        break;
      }
    }
  }
  return violations;
}

const std::vector<InvariantCheck>& InvariantChecks()
{
  static const std::vector<InvariantCheck> sChecks{
    { "only on a permitted model and version", CheckPermissions },
    { "no new work on a withdrawn version", CheckWithdrawals },
    { "a session keeps its version", CheckSessions },
    { "billed exactly once", CheckBills },
    { "each caller its own whole answer", CheckAnswers },
    { "a refusal saying not run is true", CheckRefusals },
    { "at most once without repetition", CheckAtMostOnce },
    { "no new work on a leaving endpoint", CheckDraining },
    { "a planned stop cuts no request", CheckPlannedStops },
    { "settings never go back", CheckGenerations },
  };
  return sChecks;
}

} // namespace Acaciavale::History
