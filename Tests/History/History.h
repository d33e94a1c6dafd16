#pragma once

#include <Acaciavale/LibCore/Money.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// What was asked, answered, run, written and billed: plain data, so that
/// checks are functions of it. Times are microseconds of one monotonic clock.
namespace Acaciavale::History {

enum class CallKind
{
  Chat,
  Repeatable,    ///< A service call that may be repeated.
  NonRepeatable, ///< A service call under an idempotency key.
};

enum class CallOutcome
{
  Answered, ///< The whole answer came.
  Refused,  ///< The system said no, and whether it ran.
  Lost,     ///< The connection broke, or a stream ended with an error.
};

/// The reason of a call whose connection ended before its answer did.
constexpr const char* kConnectionCutReason = "connection cut";

/// "model/version" of a stage that ran.
using Stage = std::string;

/// One try of one caller, as the caller saw it.
struct Call
{
  std::uint64_t mNumber = 0;
  /// Names what is asked for and is part of it; all tries of one call that may
  /// not be repeated have the same.
  std::string mReference;
  CallKind mKind = CallKind::Chat;
  std::string mAccount;
  std::string mVm;
  std::string mTarget; ///< Model, cascade or path.
  std::string mIdempotencyKey;
  std::string mSession; ///< The caller's own name for it; empty for none.
  int mMaxTokens = 0;
  std::int64_t mStartMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
  CallOutcome mOutcome = CallOutcome::Lost;
  int mStatus = 0;
  std::string mExecuted;  ///< "no", "unknown" or empty.
  std::string mReason;    ///< Of a refusal.
  std::string mRequestId; ///< The system's id of the request.
  std::vector<Stage> mStages;
  std::int64_t mCostMicros = 0;
  std::string mContent; ///< The text, or a service's body.
};

/// One run at an endpoint.
struct EndpointRun
{
  std::string mEndpoint;
  std::string mReference;
  std::string mRequestId;
  std::string mIdempotencyKey;
  Stage mStage; ///< Empty for a service.
  std::string mPath;
  std::string mOutcome;
  std::int64_t mStartMicroseconds = 0;
};

/// What a VM said was the generation of its settings.
struct GenerationObservation
{
  std::string mVm;
  std::int64_t mStartMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
  std::int64_t mGeneration = 0;
};

/// A moment from which something must hold.
struct Cutoff
{
  std::string mSubject; ///< A "model/version" or a part.
  std::int64_t mTimeMicroseconds = 0;
};

/// What an account was charged in the end.
struct Bill
{
  std::int64_t mRequestCount = 0;
  std::int64_t mChargeMicros = 0;
};

/// What an account may use.
struct Permission
{
  std::set<std::string> mModels;
  std::set<Stage> mVersions; ///< Empty permits all of the models.
};

/// A planned stop of a VM, from the signal to its end.
struct PlannedStop
{
  std::string mVm;
  std::int64_t mBeginMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
};

struct History
{
  std::uint64_t mSeed = 0; ///< Of the endpoints' answers.
  std::vector<Call> mCalls;
  std::vector<EndpointRun> mRuns;
  std::vector<GenerationObservation> mGenerationObservations;
  std::vector<std::int64_t> mWrittenGenerations; ///< In the order of writing.
  std::vector<Cutoff> mWithdrawals; ///< In force on every VM from then on.
  std::vector<Cutoff> mDrainingEndpoints; ///< Known to every VM from then on.
  std::vector<PlannedStop> mPlannedStops;
  std::map<std::string, Permission> mPermissions;
  std::map<std::string, std::set<Stage>>
    mCascadeStages; ///< All of their stages.
  std::map<std::string, Bill> mBills;
};

} // namespace Acaciavale::History
