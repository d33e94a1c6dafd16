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
  LookUp,        ///< A service call that may be repeated.
  NonRepeatable, ///< A service call under an idempotency key.
};

enum class CallOutcome
{
  Answered, ///< The whole answer came.
  Refused,  ///< The system said no, and whether it ran.
  Lost,     ///< The connection broke, or a stream ended with an error.
};

/// The reason of a call whose connection ended before its answer did.
constexpr const char* kCutReason = "connection cut";

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
  std::int64_t mStart = 0;
  std::int64_t mEnd = 0;
  CallOutcome mOutcome = CallOutcome::Lost;
  int mStatus = 0;
  std::string mRan;     ///< "no", "unknown" or empty.
  std::string mReason;  ///< Of a refusal.
  std::string mRequest; ///< The system's id of the request.
  std::vector<Stage> mStages;
  std::int64_t mCostMicros = 0;
  std::string mContent; ///< The text, or a service's body.
};

/// One run at an endpoint.
struct EndpointRun
{
  std::string mPart;
  std::string mReference;
  std::string mRequest;
  std::string mIdempotencyKey;
  Stage mStage; ///< Empty for a service.
  std::string mPath;
  std::string mOutcome;
  std::int64_t mStart = 0;
};

/// What a VM said was the generation of its settings.
struct GenerationSeen
{
  std::string mVm;
  std::int64_t mStart = 0;
  std::int64_t mEnd = 0;
  std::int64_t mGeneration = 0;
};

/// A moment from which something must hold.
struct Moment
{
  std::string mWhat; ///< A "model/version" or a part.
  std::int64_t mTime = 0;
};

/// What an account was charged in the end.
struct Bill
{
  std::int64_t mRequests = 0;
  std::int64_t mMicros = 0;
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
  std::int64_t mBegin = 0;
  std::int64_t mEnd = 0;
};

struct History
{
  std::uint64_t mSeed = 0; ///< Of the endpoints' answers.
  std::vector<Call> mCalls;
  std::vector<EndpointRun> mRuns;
  std::vector<GenerationSeen> mGenerations;
  std::vector<std::int64_t> mGenerationsWritten; ///< In the order of writing.
  std::vector<Moment> mWithdrawn; ///< In force on every VM from then on.
  std::vector<Moment> mLeaving;   ///< Known to every VM from then on.
  std::vector<PlannedStop> mStops;
  std::map<std::string, Permission> mPermissions;
  std::map<std::string, std::set<Stage>> mCascades; ///< All of their stages.
  std::map<std::string, Bill> mBills;
};

} // namespace Acaciavale::History
