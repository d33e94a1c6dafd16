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

/// The account by the reference that every run carries.
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

/// The time from which the thing must not happen, if there is one.
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

/// Tries of one call that may not be repeated.
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

/// The least and the most that an account can have been charged.
struct BillBounds
{
  Bill mMinimum;
  Bill mMaximum;
  bool mIsChargeExact = true; ///< No answer was lost, so charges add up.
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

/// A refusal that says that nothing ran costs nothing.
bool MayBeBilled(const Call& aCall)
{
  return aCall.mOutcome != CallOutcome::Answered && aCall.mExecuted != "no";
}

void AddAttempts(BillBounds& aBounds, const Attempts& aAttempts)
{
  // NOTE: A stored answer that is given again costs nothing more.
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
                       " got \"",
                       aCall.mContent,
                       "\" from ",
                       stage,
                       " in the place of \"",
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
  return MakeViolation(
    "call ", aCall.mReference, " got the body ", aCall.mContent);
}

/// Answered calls of sessions, in the order of their starts.
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
                       " had ",
                       aExpected,
                       " and got ",
                       aActual,
                       " at call ",
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
      violations.push_back(MakeViolation(
        run.mEndpoint, " ran ", run.mReference, ", which nobody asked for"));
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
                      " after that was withdrawn everywhere"));
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
                      " requests, but had from ",
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
                      " micros, but its answers cost ",
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
  // A reference was certainly not run by another try if each said "no".
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
        MakeViolation("key ", key, " got answers that differ"));
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
      violations.push_back(MakeViolation(run.mReference,
                                         " started on ",
                                         run.mEndpoint,
                                         ", which had long left"));
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
        MakeViolation("generation ",
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
  // NOTE: Only what had ended before the other began is in order.
  for (std::size_t later = 0; later < observations.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (observations[earlier].mVm == observations[later].mVm &&
          observations[earlier].mEndMicroseconds <
            observations[later].mStartMicroseconds &&
          observations[earlier].mGeneration > observations[later].mGeneration) {
        violations.push_back(
          MakeViolation(observations[later].mVm,
                        " went back from generation ",
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
