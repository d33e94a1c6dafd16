#include "Checks.h"

#include "StandIns/Answer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <map>
#include <optional>

namespace Acaciavale::History {

namespace {

template<typename... Part>
Violation Say(const Part&... aParts)
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
std::optional<std::int64_t> TimeOf(const std::vector<Moment>& aMoments,
                                   const std::string& aWhat)
{
  for (const Moment& moment : aMoments) {
    if (moment.mWhat == aWhat) {
      return moment.mTime;
    }
  }
  return {};
}

bool IsAfter(std::int64_t aTime, const std::optional<std::int64_t>& aMoment)
{
  return aMoment && aTime > *aMoment;
}

/// Tries of one call that may not be repeated.
using Tries = std::vector<const Call*>;

std::map<std::string, Tries> TriesByKey(const History& aHistory)
{
  std::map<std::string, Tries> tries;
  for (const Call& call : aHistory.mCalls) {
    if (call.mKind == CallKind::NonRepeatable) {
      tries[call.mIdempotencyKey].push_back(&call);
    }
  }
  return tries;
}

/// The least and the most that an account can have been charged.
struct BillBounds
{
  Bill mLeast;
  Bill mMost;
  bool mChargeKnown = true; ///< No answer was lost, so charges add up.
};

void AddAnswered(BillBounds& aBounds, const Call& aCall)
{
  ++aBounds.mLeast.mRequests;
  ++aBounds.mMost.mRequests;
  aBounds.mLeast.mMicros += aCall.mCostMicros;
  aBounds.mMost.mMicros += aCall.mCostMicros;
}

void AddPerhaps(BillBounds& aBounds)
{
  ++aBounds.mMost.mRequests;
  aBounds.mChargeKnown = false;
}

/// A refusal that says that nothing ran costs nothing.
bool MayBeBilled(const Call& aCall)
{
  return aCall.mOutcome != CallOutcome::Answered && aCall.mRan != "no";
}

void AddTries(BillBounds& aBounds, const Tries& aTries)
{
  // NOTE: A stored answer that is given again costs nothing more.
  const Call* answered = nullptr;
  for (const Call* call : aTries) {
    const bool dearer =
      answered == nullptr || call->mCostMicros > answered->mCostMicros;
    if (call->mOutcome == CallOutcome::Answered && dearer) {
      answered = call;
    }
  }
  if (answered != nullptr) {
    AddAnswered(aBounds, *answered);
    return;
  }
  if (std::any_of(aTries.begin(), aTries.end(), [](const Call* aCall) {
        return MayBeBilled(*aCall);
      })) {
    AddPerhaps(aBounds);
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
      AddPerhaps(bounds[call.mAccount]);
    }
  }
  for (const auto& [key, tries] : TriesByKey(aHistory)) {
    AddTries(bounds[tries[0]->mAccount], tries);
  }
  return bounds;
}

std::optional<Violation> CheckChatAnswer(const History& aHistory,
                                         const Call& aCall)
{
  const Stage stage = aCall.mStages.empty() ? "" : aCall.mStages.back();
  const std::string expected =
    StandIns::AnswerText({ aHistory.mSeed,
                           aCall.mRequest,
                           { ModelOf(stage), VersionOf(stage) },
                           aCall.mMaxTokens });
  if (aCall.mContent == expected) {
    return {};
  }
  return Say("call ",
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
  return Say("call ", aCall.mReference, " got the body ", aCall.mContent);
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
      return aLeft->mStart < aRight->mStart;
    });
  return calls;
}

Violation SayLeft(const Call& aCall, const std::string& aHad, const Stage& aGot)
{
  return Say("session ",
             aCall.mSession,
             " had ",
             aHad,
             " and got ",
             aGot,
             " at call ",
             aCall.mReference);
}

} // namespace

Violations CheckPermitted(const History& aHistory)
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
        Say(run.mPart, " ran ", run.mReference, ", which nobody asked for"));
      continue;
    }
    const auto permission = aHistory.mPermissions.find(account->second);
    if (permission == aHistory.mPermissions.end() ||
        !IsPermitted(permission->second, run.mStage)) {
      violations.push_back(
        Say(run.mReference, " of ", account->second, " ran on ", run.mStage));
    }
  }
  return violations;
}

Violations CheckWithdrawn(const History& aHistory)
{
  Violations violations;
  for (const EndpointRun& run : aHistory.mRuns) {
    if (IsAfter(run.mStart, TimeOf(aHistory.mWithdrawn, run.mStage))) {
      violations.push_back(Say(run.mReference,
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
  std::map<std::string, Stage> kept;
  for (const Call* call : AnsweredInSessions(aHistory)) {
    const auto cascade = aHistory.mCascades.find(call->mTarget);
    for (const Stage& stage : call->mStages) {
      if (cascade != aHistory.mCascades.end()) {
        if (!cascade->second.contains(stage)) {
          violations.push_back(SayLeft(*call, call->mTarget, stage));
        }
        continue;
      }
      Stage& had = kept.try_emplace(call->mSession, stage).first->second;
      if (had != stage && !TimeOf(aHistory.mWithdrawn, had)) {
        violations.push_back(SayLeft(*call, had, stage));
      }
      had = stage;
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
    if (bill.mRequests < bound.mLeast.mRequests ||
        bill.mRequests > bound.mMost.mRequests) {
      violations.push_back(Say(account,
                               " is billed ",
                               std::to_string(bill.mRequests),
                               " requests, but had from ",
                               std::to_string(bound.mLeast.mRequests),
                               " to ",
                               std::to_string(bound.mMost.mRequests)));
    }
    if (bill.mMicros < bound.mLeast.mMicros ||
        (bound.mChargeKnown && bill.mMicros > bound.mMost.mMicros)) {
      violations.push_back(Say(account,
                               " is charged ",
                               std::to_string(bill.mMicros),
                               " micros, but its answers cost ",
                               std::to_string(bound.mLeast.mMicros)));
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
    requestsRun.insert(run.mRequest);
    referencesRun.insert(run.mReference);
  }
  // A reference was certainly not run by another try if each said "no".
  std::set<std::string> mayHaveRun;
  for (const Call& call : aHistory.mCalls) {
    if (call.mRan != "no") {
      mayHaveRun.insert(call.mReference);
    }
  }
  Violations violations;
  for (const Call& call : aHistory.mCalls) {
    const bool ran =
      (!call.mRequest.empty() && requestsRun.contains(call.mRequest)) ||
      (referencesRun.contains(call.mReference) &&
       !mayHaveRun.contains(call.mReference));
    if (call.mRan == "no" && ran) {
      violations.push_back(Say("call ",
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
  for (const auto& [key, tries] : TriesByKey(aHistory)) {
    const int count = runs[tries[0]->mReference];
    if (count > 1) {
      violations.push_back(
        Say("key ", key, " ran ", std::to_string(count), " times"));
    }
    std::set<std::string> contents;
    for (const Call* call : tries) {
      if (call->mOutcome == CallOutcome::Answered) {
        contents.insert(call->mContent);
      }
    }
    if (contents.size() > 1) {
      violations.push_back(Say("key ", key, " got answers that differ"));
    }
    if (!contents.empty() && count == 0) {
      violations.push_back(Say("key ", key, " was answered, but never ran"));
    }
  }
  return violations;
}

Violations CheckLeaving(const History& aHistory)
{
  Violations violations;
  for (const EndpointRun& run : aHistory.mRuns) {
    if (IsAfter(run.mStart, TimeOf(aHistory.mLeaving, run.mPart))) {
      violations.push_back(Say(
        run.mReference, " started on ", run.mPart, ", which had long left"));
    }
  }
  return violations;
}

Violations CheckStops(const History& aHistory)
{
  Violations violations;
  for (const Call& call : aHistory.mCalls) {
    const bool cut =
      call.mOutcome == CallOutcome::Lost && call.mReason == kCutReason;
    for (const PlannedStop& stop : aHistory.mStops) {
      if (cut && stop.mVm == call.mVm && call.mStart < stop.mEnd &&
          call.mEnd > stop.mBegin) {
        violations.push_back(
          Say("the planned stop of ", stop.mVm, " cut call ", call.mReference));
      }
    }
  }
  return violations;
}

Violations CheckGenerations(const History& aHistory)
{
  Violations violations;
  for (std::size_t at = 1; at < aHistory.mGenerationsWritten.size(); ++at) {
    if (aHistory.mGenerationsWritten[at] <=
        aHistory.mGenerationsWritten[at - 1]) {
      violations.push_back(
        Say("generation ",
            std::to_string(aHistory.mGenerationsWritten[at]),
            " was written after ",
            std::to_string(aHistory.mGenerationsWritten[at - 1])));
    }
  }
  std::vector<GenerationSeen> seen = aHistory.mGenerations;
  std::sort(seen.begin(),
            seen.end(),
            [](const GenerationSeen& aLeft, const GenerationSeen& aRight) {
              return aLeft.mStart < aRight.mStart;
            });
  // NOTE: Only what had ended before the other began is in order.
  for (std::size_t later = 0; later < seen.size(); ++later) {
    for (std::size_t earlier = 0; earlier < later; ++earlier) {
      if (seen[earlier].mVm == seen[later].mVm &&
          seen[earlier].mEnd < seen[later].mStart &&
          seen[earlier].mGeneration > seen[later].mGeneration) {
        violations.push_back(Say(seen[later].mVm,
                                 " went back from generation ",
                                 std::to_string(seen[earlier].mGeneration),
                                 " to ",
                                 std::to_string(seen[later].mGeneration)));
        break;
      }
    }
  }
  return violations;
}

const std::vector<PromiseCheck>& PromiseChecks()
{
  static const std::vector<PromiseCheck> sChecks{
    { "only on a permitted model and version", CheckPermitted },
    { "no new work on a withdrawn version", CheckWithdrawn },
    { "a session keeps its version", CheckSessions },
    { "billed exactly once", CheckBills },
    { "each caller its own whole answer", CheckAnswers },
    { "a refusal saying not run is true", CheckRefusals },
    { "at most once without repetition", CheckAtMostOnce },
    { "no new work on a leaving endpoint", CheckLeaving },
    { "a planned stop cuts no request", CheckStops },
    { "settings never go back", CheckGenerations },
  };
  return sChecks;
}

} // namespace Acaciavale::History
