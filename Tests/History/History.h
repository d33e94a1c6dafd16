#pragma once

#include <Acaciavale/LibCore/Money.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

/// Record of a test run: calls, endpoint runs, settings writes and bills. It is
/// plain data, so that each check is a function of it. Times are microseconds
/// of the monotonic clock, which all processes of the host share.
namespace Acaciavale::History {

enum class CallKind
{
  Chat,
  Repeatable,    ///< A service call that may be repeated.
  NonRepeatable, ///< A service call that needs an idempotency key.
};

enum class CallOutcome
{
  Answered, ///< The complete answer arrived.
  Refused,  ///< The system rejected the call or could not be reached.
  Lost,     ///< The connection broke, or the stream ended with an error.
};

/// Value of Call::mReason if the connection ended before the answer did.
constexpr const char* kConnectionCutReason = "connection cut";

/// Model and version of an executed stage, as "model/version".
using Stage = std::string;

/// One attempt of a call, as the caller observed it.
struct Call
{
  std::uint64_t mNumber = 0;
  /// Unique text that the request contains and that its endpoint runs report.
  /// All attempts of a non-repeatable call have the same reference.
  std::string mReference;
  CallKind mKind = CallKind::Chat;
  std::string mAccount;
  std::string mVm;
  std::string mTarget; ///< Requested model or cascade, or service path.
  std::string mIdempotencyKey;
  std::string mSession; ///< The driver's name of the session; empty for none.
  int mMaxTokens = 0;
  std::int64_t mStartMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
  CallOutcome mOutcome = CallOutcome::Lost;
  int mStatus = 0;
  /// Whether the call ran: "no", "unknown" or empty (not stated).
  std::string mExecuted;
  std::string mReason;        ///< Reason of a refused or lost call.
  std::string mRequestId;     ///< Request id that the system assigned.
  std::vector<Stage> mStages; ///< Executed stages in order.
  std::int64_t mCostMicros = 0;
  std::string mContent; ///< Generated text, or body of the service's response.
};

/// One execution of a request at an endpoint, as the endpoint reported it.
struct EndpointRun
{
  std::string mEndpoint;
  std::string mReference;
  std::string mRequestId;
  std::string mIdempotencyKey;
  Stage mStage; ///< Empty for a service call.
  std::string mPath;
  std::string mOutcome;
  std::int64_t mStartMicroseconds = 0;
};

/// Settings generation that a VM reported to one status request.
struct GenerationObservation
{
  std::string mVm;
  std::int64_t mStartMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
  std::int64_t mGeneration = 0;
};

/// Time after which a version or an endpoint must receive no new work.
struct Cutoff
{
  std::string mSubject; ///< A "model/version" or the name of an endpoint.
  std::int64_t mTimeMicroseconds = 0;
};

/// Total that an account is charged.
struct Bill
{
  std::int64_t mRequestCount = 0;
  std::int64_t mChargeMicros = 0;
};

/// Models and versions that an account may use.
struct Permission
{
  std::set<std::string> mModels;
  /// If empty, all versions of mModels are permitted.
  std::set<Stage> mVersions;
};

/// A planned stop of a VM, from the stop signal to the exit of its process.
struct PlannedStop
{
  std::string mVm;
  std::int64_t mBeginMicroseconds = 0;
  std::int64_t mEndMicroseconds = 0;
};

struct History
{
  std::uint64_t mSeed = 0; ///< Seed of the answers that the endpoints generate.
  std::vector<Call> mCalls;
  std::vector<EndpointRun> mRuns;
  std::vector<GenerationObservation> mGenerationObservations;
  /// Generations written to the store, in the order of the writes.
  std::vector<std::int64_t> mWrittenGenerations;
  /// Withdrawn versions, with the time at which every VM had the settings.
  std::vector<Cutoff> mWithdrawals;
  /// Draining endpoints, with the time by which every VM must have received the
  /// draining state.
  std::vector<Cutoff> mDrainingEndpoints;
  std::vector<PlannedStop> mPlannedStops;
  std::map<std::string, Permission> mPermissions;
  /// All stages of each cascade, by its name.
  std::map<std::string, std::set<Stage>> mCascadeStages;
  std::map<std::string, Bill> mBills;
};

} // namespace Acaciavale::History
