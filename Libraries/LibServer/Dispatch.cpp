#include "Dispatch.h"

#include <algorithm>
#include <asio/post.hpp>

namespace Acaciavale {

namespace {

constexpr int kMaxAttempts = 3;
constexpr int kStatusTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kStatusServiceUnavailable = 503;
constexpr const char* kRequestIdHeader = "X-Request-Id";

/// Whether a status is a failure of the endpoint, so that another endpoint may
/// succeed.
bool IsEndpointFailure(int aStatus)
{
  return aStatus == kStatusTooManyRequests ||
         aStatus >= kFirstServerErrorStatus;
}

/// Whether a status means that the endpoint did not execute the request. Any
/// other failure may have occurred after the execution.
bool IsEndpointRefusal(int aStatus)
{
  return aStatus == kStatusTooManyRequests ||
         aStatus == kStatusServiceUnavailable;
}

std::string_view RequestIdOf(const EndpointRequest& aRequest)
{
  for (const auto& [name, value] : aRequest.mHeaders) {
    if (name == kRequestIdHeader) {
      return value;
    }
  }
  return {};
}

Problem NoEndpointProblem()
{
  return Problem{ 503,
                  "no-endpoint",
                  "No endpoint can accept the request now.",
                  "Retry after the stated time.",
                  Executed::No,
                  std::chrono::seconds(1) };
}

std::string OutcomeText(const TransferResult& aResult)
{
  switch (aResult.mOutcome) {
    case TransferOutcome::Complete:
      return "status " + std::to_string(aResult.mStatus);
    case TransferOutcome::NotSent:
      return "not sent: " + aResult.mDetail;
    case TransferOutcome::ConnectionLost:
      return "broken: " + aResult.mDetail;
    case TransferOutcome::TimedOut:
      return "timed out";
  }
  return {};
}

} // namespace

std::shared_ptr<Dispatch> Dispatch::Start(ServerShard& aShard,
                                          DispatchPlan aPlan,
                                          DispatchObserver aObserver)
{
  auto dispatch =
    std::make_shared<Dispatch>(aShard, std::move(aPlan), std::move(aObserver));
  // NOTE: The first attempt is posted, so that this function returns the
  //       pointer before any observer is called.
  asio::post(aShard.mContext, [dispatch] { dispatch->StartNextAttempt(); });
  return dispatch;
}

Dispatch::Dispatch(ServerShard& aShard,
                   DispatchPlan aPlan,
                   DispatchObserver aObserver)
  : mShard(aShard)
  , mPlan(std::move(aPlan))
  , mObserver(std::move(aObserver))
  , mTriedEndpoints(mPlan.mExcludedEndpoints)
{
}

void Dispatch::StartNextAttempt()
{
  if (mEnded) {
    return;
  }
  DispatchResult result;
  result.mExecuted = mMayHaveExecuted ? Executed::Unknown : Executed::No;
  const auto candidates = mPlan.mCandidates();
  if (!candidates) {
    result.mSelection = tl::make_unexpected(candidates.error());
    End(result);
    return;
  }
  const TimePoint now = MonotonicNow();
  std::vector<EndpointView> views;
  views.reserve(candidates->size());
  for (const auto& endpoint : *candidates) {
    views.push_back(endpoint->View(now, mPlan.mPrefixHash));
  }
  EndpointQuery query;
  query.mFailureDomain = mShard.mServer.mEndpoints.FailureDomainIndex(
    mShard.mServer.mNodeSettings.mFailureDomain);
  query.mLiveVms = static_cast<std::uint32_t>(
    std::max<std::size_t>(1, mShard.mServer.mMembership->LiveCount()));
  query.mPrefillSeconds = mPlan.mPrefillSeconds;
  query.mPrefixHash = mPlan.mPrefixHash;
  query.mReservedShare = ReservedShare(mPlan.mPriority);
  query.mExcluded = mTriedEndpoints;
  const EndpointDecision decision =
    ChooseEndpoint(views, query, mShard.mRandom);
  const auto chosen = std::find_if(
    candidates->begin(), candidates->end(), [&decision](const auto& aEndpoint) {
      return decision.mIndex == aEndpoint->Index();
    });
  if (!decision.mIndex || chosen == candidates->end()) {
    result.mSelection = tl::make_unexpected(NoEndpointProblem());
    End(result);
    return;
  }
  StartAttempt(*chosen, decision.mReason);
}

void Dispatch::StartAttempt(const std::shared_ptr<EndpointRecord>& aEndpoint,
                            std::string_view aReason)
{
  ++mAttemptCount;
  mEndpoint = aEndpoint;
  mTriedEndpoints.push_back(aEndpoint->Index());
  mAttemptStartTime = MonotonicNow();
  mStatus = 0;
  mWrongRequestId = false;
  const EndpointListing listing = aEndpoint->Listing();
  if (mObserver.mOnAttempt) {
    mObserver.mOnAttempt(listing.mName, aReason, "");
  }
  EndpointRequest request = mPlan.mRequest;
  request.mAddress = listing.mAddress;
  request.mTimeout = mPlan.mDeadline - mAttemptStartTime;
  aEndpoint->RecordAttemptStart();
  EndpointObserver observer;
  // NOTE: The observer keeps this dispatch alive until its transfer ends.
  const auto self = shared_from_this();
  observer.mOnHeaders = [self](const EndpointResponseHeaders& aHeaders) {
    self->OnHeaders(aHeaders);
  };
  observer.mOnBody = [self](std::string_view aBytes) { self->OnBody(aBytes); };
  observer.mOnDone = [self](const TransferResult& aResult) {
    self->OnAttemptDone(aResult);
  };
  mTransfer = mShard.mClient.Start(std::move(request), std::move(observer));
}

void Dispatch::OnHeaders(const EndpointResponseHeaders& aHeaders)
{
  mStatus = aHeaders.mStatus;
  const std::string_view expected = RequestIdOf(mPlan.mRequest);
  mWrongRequestId = !aHeaders.mRequestId.empty() && !expected.empty() &&
                    aHeaders.mRequestId != expected;
  if (ForwardsAnswer() && mObserver.mOnHeaders) {
    mObserver.mOnHeaders(aHeaders);
  }
}

bool Dispatch::ForwardsAnswer() const
{
  const bool failed = mPlan.mRepeatable && IsEndpointFailure(mStatus);
  return !mEnded && !mWrongRequestId && !failed;
}

void Dispatch::OnBody(std::string_view aBytes)
{
  if (ForwardsAnswer()) {
    mBodyForwarded = true;
    mObserver.mOnBody(aBytes);
  }
}

void Dispatch::FinishAttempt(const TransferResult& aResult, bool aAnswered)
{
  const TimePoint now = MonotonicNow();
  const std::chrono::duration<double> seconds = now - mAttemptStartTime;
  mEndpoint->RecordAttemptEnd({ aAnswered, seconds.count() }, now);
  if (!aAnswered) {
    const auto settings = mShard.mServer.CurrentSettings();
    mShard.mServer.mEndpoints.EjectOutliers(
      settings->mDeployment.mEjectionCeiling, now);
  }
  const std::string name = mEndpoint->Listing().mName;
  if (mObserver.mOnAttempt) {
    mObserver.mOnAttempt(name,
                         "",
                         mWrongRequestId ? "answer of another request"
                                         : OutcomeText(aResult));
  }
  mShard.mServer.mMetrics.Count(
    "acaciavale_attempts_total",
    { { "endpoint", name }, { "outcome", aAnswered ? "ok" : "failed" } });
}

bool Dispatch::MayRetry(const TransferResult& aResult) const
{
  const bool safe =
    aResult.mOutcome == TransferOutcome::NotSent || mPlan.mRepeatable;
  return safe && (mPlan.mBuffered || !mBodyForwarded) &&
         mAttemptCount < kMaxAttempts && MonotonicNow() < mPlan.mDeadline;
}

void Dispatch::OnAttemptDone(const TransferResult& aResult)
{
  if (mEnded) {
    return;
  }
  const bool complete =
    aResult.mOutcome == TransferOutcome::Complete && !mWrongRequestId;
  // NOTE: Any status of a call that must not be repeated is its final outcome,
  //       because a service that answers 500 may have executed the call.
  const bool failed =
    complete && mPlan.mRepeatable && IsEndpointFailure(aResult.mStatus);
  const bool refused = failed && IsEndpointRefusal(aResult.mStatus);
  const bool answered = complete && !failed;
  FinishAttempt(aResult, answered);
  if (aResult.mOutcome != TransferOutcome::NotSent && !refused && !answered) {
    mMayHaveExecuted = true;
  }
  if (!answered && MayRetry(aResult) &&
      mShard.mServer.mRetryAttemptBudget.TrySpend()) {
    mShard.mServer.mMetrics.Count("acaciavale_retries_total", {});
    StartNextAttempt();
    return;
  }
  DispatchResult result;
  result.mAnswered = answered;
  result.mStatus = aResult.mStatus;
  result.mExecuted = mMayHaveExecuted ? Executed::Unknown : Executed::No;
  result.mBodyForwarded = mBodyForwarded;
  result.mEndpointName = mEndpoint->Listing().mName;
  End(result);
}

void Dispatch::End(const DispatchResult& aResult)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  const auto onDone = std::move(mObserver.mOnDone);
  mObserver = {};
  mPlan.mCandidates = nullptr;
  onDone(aResult);
}

void Dispatch::Cancel()
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  if (mEndpoint) {
    mShard.mClient.Cancel(mTransfer);
    // NOTE: A cancelled attempt does not reflect the health of the endpoint, so
    //       it counts as neither a success nor a failure.
    mEndpoint->RecordAttemptCancelled();
  }
  mObserver = {};
  mPlan.mCandidates = nullptr;
}

void Dispatch::RejectAnswer(std::string aReason)
{
  mShard.mClient.Cancel(mTransfer);
  TransferResult result{ TransferOutcome::ConnectionLost,
                         mStatus,
                         std::move(aReason) };
  asio::post(mShard.mContext,
             [self = shared_from_this(), result = std::move(result)] {
               self->OnAttemptDone(result);
             });
}

void Dispatch::Pause()
{
  mShard.mClient.Pause(mTransfer);
}

void Dispatch::Resume()
{
  mShard.mClient.Resume(mTransfer);
}

} // namespace Acaciavale
