#pragma once

#include "Problem.h"
#include "ServerParts.h"

#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace Acaciavale {

/// One call that is to reach some endpoint, over one or more attempts.
struct DispatchPlan
{
  /// The endpoints that may take it now, by the newest settings; asked anew
  /// before each attempt, since work is new at the moment of dispatch.
  std::function<tl::expected<EndpointRecords, Problem>()> mCandidates;
  EndpointRequest mRequest; ///< Without an address.
  bool mRepeatable = true;
  /// The observer keeps the answer until it is whole and drops it at the next
  /// headers, so that a broken answer may be asked for again.
  bool mBuffered = true;
  TimePoint mDeadline{};
  std::vector<std::uint32_t> mExcluded; ///< Endpoints not to be tried.
  Priority mPriority = Priority::Interactive;
  double mPrefillSeconds = 0;
  std::uint64_t mPrefixHash = 0; ///< 0: the call has no prompt.
};

/// How the call ended.
struct DispatchResult
{
  bool mAnswered = false; ///< The endpoint answered in full.
  int mStatus = 0;
  Ran mRan = Ran::No;    ///< For a call that was not answered.
  bool mRelayed = false; ///< Part of an answer was handed on before it broke.
  std::string mEndpoint;
  tl::expected<void, Problem> mRefused; ///< Set where no endpoint could be.
};

struct DispatchObserver
{
  std::function<void(const EndpointResponseHeaders& aHeaders)> mOnHeaders;
  /// Bytes of an answer that is to be handed on.
  std::function<void(std::string_view aBytes)> mOnBody;
  /// Called exactly once, unless Cancel came first.
  std::function<void(const DispatchResult& aResult)> mOnDone;
  /// Notes for the inspector.
  std::function<void(const std::string& aEndpoint,
                     std::string_view aReason,
                     const std::string& aOutcome)>
    mOnAttempt;
};

/// Runs one call on the shard's thread: chooses an endpoint, retries where the
/// call may be repeated and the retry budget allows, and says truly whether
/// anything may have run.
class Dispatch : public std::enable_shared_from_this<Dispatch>
{
public:
  static std::shared_ptr<Dispatch> Start(ServerShard& aShard,
                                         DispatchPlan aPlan,
                                         DispatchObserver aObserver);
  Dispatch(ServerShard& aShard, DispatchPlan aPlan, DispatchObserver aObserver);

  /// The endpoints tried so far, by their numbers.
  const std::vector<std::uint32_t>& Tried() const { return mTried; }

  void Cancel();
  void Pause();
  void Resume();

private:
  void Attempt();
  void Send(const std::shared_ptr<EndpointRecord>& aEndpoint,
            std::string_view aReason);
  void OnHeaders(const EndpointResponseHeaders& aHeaders);
  bool HandsOn() const;
  void OnBody(std::string_view aBytes);
  void OnAttemptDone(const TransferResult& aResult);
  void FinishAttempt(const TransferResult& aResult, bool aAnswered);
  bool MayRetry(const TransferResult& aResult) const;
  void End(const DispatchResult& aResult);

  ServerShard& mShard;
  DispatchPlan mPlan;
  DispatchObserver mObserver;
  std::shared_ptr<EndpointRecord> mEndpoint;
  std::vector<std::uint32_t> mTried;
  TransferId mTransfer = 0;
  TimePoint mAttemptStart{};
  int mAttempts = 0;
  int mStatus = 0;
  bool mMayHaveRun = false;
  bool mRelayed = false;
  bool mCrossed = false; ///< The answer named another request.
  bool mEnded = false;
};

} // namespace Acaciavale
