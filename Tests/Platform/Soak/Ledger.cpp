#include "Ledger.h"

#include <sstream>

namespace Acaciavale::Soak {

namespace {

/// How often the routes of the soak let a request be tried.
constexpr int kMaximumAttempts = 3;

/// A request that is sent this many seconds before a stop may reach a
/// connection that is already closed.
constexpr double kClockToleranceSeconds = 0.05;

} // namespace

std::string BrokenRule(const Request& aRequest)
{
  if (!aRequest.mMixUp.empty()) {
    return "MIXED: " + aRequest.mMixUp;
  }
  if (aRequest.mKind == Kind::NonIdempotent && aRequest.mRuns > 1) {
    return "TWICE: run " + std::to_string(aRequest.mRuns) + " times";
  }
  // NOTE: A request that may not be repeated has one run.
  const bool hasNoAttemptLeft =
    aRequest.mKind == Kind::NonIdempotent
      ? aRequest.mFaultyRuns > 0
      : aRequest.mTroubledAttempts >= kMaximumAttempts;
  switch (aRequest.mOutcome) {
    case Outcome::Open:
      return "LOST: its caller has not ended";
    case Outcome::TimedOut:
      return "LOST: no response in time";
    case Outcome::Served:
      return {};
    case Outcome::Failed:
      return hasNoAttemptLeft ? "" : "FAILED: an attempt was left";
    case Outcome::NotExecuted:
      return aRequest.mRuns > 0 ? "UNTRUE: run, and said not to have been" : "";
    case Outcome::Unanswered:
      // A VM that stops closes connections without an open request.
      return aRequest.mRuns == 0 && aRequest.mStopAt > 0 &&
                 aRequest.mSentAt > aRequest.mStopAt - kClockToleranceSeconds
               ? ""
               : "LOST: no response";
    case Outcome::CutOff:
      return hasNoAttemptLeft ? "" : "LOST: its response was cut off";
  }
  return {};
}

void Ledger::Begin(const std::string& aId,
                   Kind aKind,
                   const std::string& aManner)
{
  const std::lock_guard lock(mMutex);
  mRequests[aId].mKind = aKind;
  mRequests[aId].mManner = aManner;
}

void Ledger::Sent(const std::string& aId, double aAt)
{
  const std::lock_guard lock(mMutex);
  mRequests[aId].mSentAt = aAt;
}

void Ledger::End(const std::string& aId, const Request& aSeen)
{
  const std::lock_guard lock(mMutex);
  Request& request = mRequests[aId];
  request.mOutcome = aSeen.mOutcome;
  request.mStatus = aSeen.mStatus;
  request.mStopAt = aSeen.mStopAt;
  request.mError = aSeen.mError;
  request.mMixUp = aSeen.mMixUp;
}

void Ledger::Run(const std::string& aId)
{
  const std::lock_guard lock(mMutex);
  ++mRequests[aId].mRuns;
}

void Ledger::Trouble(const std::string& aId, bool aIsFaultyRun)
{
  const std::lock_guard lock(mMutex);
  ++mRequests[aId].mTroubledAttempts;
  mRequests[aId].mFaultyRuns += aIsFaultyRun ? 1 : 0;
}

void Ledger::Violation(const std::string& aText)
{
  const std::lock_guard lock(mMutex);
  mViolations.push_back(aText);
}

std::vector<std::string> Ledger::Violations() const
{
  const std::lock_guard lock(mMutex);
  std::vector<std::string> violations = mViolations;
  for (const auto& [id, request] : mRequests) {
    const std::string rule = BrokenRule(request);
    if (!rule.empty()) {
      std::ostringstream text;
      text << id << ": " << rule << " (" << request.mManner << ", "
           << request.mError << ", status " << request.mStatus << ", runs "
           << request.mRuns << ", faulty runs " << request.mFaultyRuns
           << ", troubled attempts " << request.mTroubledAttempts
           << ", sent at " << request.mSentAt << " s, stop at "
           << request.mStopAt << " s)";
      violations.push_back(text.str());
    }
  }
  return violations;
}

Totals Ledger::Sum() const
{
  const std::lock_guard lock(mMutex);
  Totals totals;
  for (const auto& [id, request] : mRequests) {
    ++totals.mRequests;
    totals.mServed += request.mOutcome == Outcome::Served ? 1 : 0;
    totals.mNotExecuted += request.mOutcome == Outcome::NotExecuted ? 1 : 0;
    totals.mFailed += request.mOutcome == Outcome::Failed ? 1 : 0;
    totals.mUnanswered += request.mOutcome == Outcome::Unanswered ? 1 : 0;
    totals.mCutOff += request.mOutcome == Outcome::CutOff ? 1 : 0;
  }
  return totals;
}

} // namespace Acaciavale::Soak
