#pragma once

#include "Problem.h"
#include "ServerState.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace Acaciavale {

/// A call that is sent to an endpoint in one or more attempts.
struct DispatchPlan
{
  /// Returns the endpoints that may receive the call under the current
  /// settings. Called before each attempt, because each attempt counts as new
  /// work.
  std::function<tl::expected<EndpointRecords, Problem>()> mCandidates;
  EndpointRequest mRequest; ///< The request, with the address left empty.
  bool mRepeatable = true;
  /// Whether the observer buffers the answer until it is complete and discards
  /// it when new headers arrive, so that a broken answer can be retried.
  bool mBuffered = true;
  TimePoint mDeadline{};
  /// Indexes of endpoints that must not be tried.
  std::vector<std::uint32_t> mExcludedEndpoints;
  Priority mPriority = Priority::Interactive;
  double mPrefillSeconds = 0;
  std::uint64_t mPrefixHash = 0; ///< Hash of the prompt prefix; 0 for none.
};

/// Result of a dispatched call.
struct DispatchResult
{
  bool mAnswered = false; ///< Whether an endpoint answered completely.
  int mStatus = 0;
  /// Whether the call may have been executed, for an answered call by an
  /// attempt before the answered one.
  Executed mExecuted = Executed::No;
  /// Whether a part of the answer was passed to the observer.
  bool mBodyForwarded = false;
  std::string mEndpointName;
  /// The problem if no endpoint could be selected for the last attempt.
  tl::expected<void, Problem> mSelection;
};

struct DispatchObserver
{
  std::function<void(const EndpointResponseHeaders& aHeaders)> mOnHeaders;
  /// Called with the next bytes of the answer body.
  std::function<void(std::string_view aBytes)> mOnBody;
  /// Called exactly once, unless Cancel is called first.
  std::function<void(const DispatchResult& aResult)> mOnDone;
  /// Called for the decision log at the start of each attempt with the reason
  /// of the selection, and at its end with its outcome; the other text is
  /// empty.
  std::function<void(const std::string& aEndpointName,
                     std::string_view aReason,
                     const std::string& aOutcome)>
    mOnAttempt;
};

/// Runs one call on the shard's thread: selects an endpoint, retries if the
/// call is repeatable or was not sent and the retry budget permits it, and
/// reports whether the call may have been executed.
class Dispatch : public std::enable_shared_from_this<Dispatch>
{
public:
  static std::shared_ptr<Dispatch> Start(ServerShard& aShard,
                                         DispatchPlan aPlan,
                                         DispatchObserver aObserver);
  Dispatch(ServerShard& aShard, DispatchPlan aPlan, DispatchObserver aObserver);

  /// Indexes of the endpoints that were excluded or have been tried.
  const std::vector<std::uint32_t>& TriedEndpoints() const
  {
    return mTriedEndpoints;
  }

  void Cancel();
  /// Ends the current attempt as a failure of its endpoint, because what it
  /// sent is no answer. May be called by the observer's mOnBody, which gets no
  /// more bytes of the attempt.
  void RejectAnswer(std::string aReason);
  void Pause();
  void Resume();

private:
  void StartNextAttempt();
  void StartAttempt(const std::shared_ptr<EndpointRecord>& aEndpoint,
                    std::string_view aReason);
  void OnHeaders(const EndpointResponseHeaders& aHeaders);
  bool ForwardsAnswer() const;
  void OnBody(std::string_view aBytes);
  void OnAttemptDone(const TransferResult& aResult);
  void FinishAttempt(const TransferResult& aResult, bool aAnswered);
  bool MayRetry(const TransferResult& aResult) const;
  void End(const DispatchResult& aResult);

  ServerShard& mShard;
  DispatchPlan mPlan;
  DispatchObserver mObserver;
  std::shared_ptr<EndpointRecord> mEndpoint;
  std::vector<std::uint32_t> mTriedEndpoints;
  TransferId mTransfer = 0;
  TimePoint mAttemptStartTime{};
  int mAttemptCount = 0;
  int mStatus = 0;
  bool mMayHaveExecuted = false;
  bool mBodyForwarded = false;
  bool mWrongRequestId = false; ///< The answer has another request's id.
  bool mEnded = false;
};

} // namespace Acaciavale
