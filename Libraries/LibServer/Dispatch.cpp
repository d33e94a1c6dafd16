#include "Dispatch.h"

#include <algorithm>
#include <asio/post.hpp>

namespace Acaciavale {

namespace {

constexpr int kMaxAttempts = 3;
constexpr int kTooManyRequests = 429;
constexpr int kFirstServerErrorStatus = 500;
constexpr int kServiceUnavailable = 503;
constexpr const char* kRequestIdHeader = "X-Request-Id";

/// Whether an engine's status is a failure that another replica may mend.
bool FailedAtEndpoint(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus >= kFirstServerErrorStatus;
}

/// Whether an engine's status says that it did no work. Any other failure may
/// have come after the work was done.
bool RefusedByEndpoint(int aStatus)
{
  return aStatus == kTooManyRequests || aStatus == kServiceUnavailable;
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

Problem NoEndpoint()
{
  return Problem{ 503,
                  "no-endpoint",
                  "No endpoint can take the request now.",
                  "Ask again after the stated time.",
                  Ran::No,
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
  // NOTE: Posted, so that no observer is called before the caller has the
  //       pointer.
  asio::post(aShard.mContext, [dispatch] { dispatch->Attempt(); });
  return dispatch;
}

Dispatch::Dispatch(ServerShard& aShard,
                   DispatchPlan aPlan,
                   DispatchObserver aObserver)
  : mShard(aShard)
  , mPlan(std::move(aPlan))
  , mObserver(std::move(aObserver))
  , mTried(mPlan.mExcluded)
{
}

void Dispatch::Attempt()
{
  if (mEnded) {
    return;
  }
  DispatchResult result;
  result.mRan = mMayHaveRun ? Ran::Unknown : Ran::No;
  const auto candidates = mPlan.mCandidates();
  if (!candidates) {
    result.mRefused = tl::make_unexpected(candidates.error());
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
  query.mFailureDomain = mShard.mParts.mEndpoints.FailureDomainNumber(
    mShard.mParts.mNode.mFailureDomain);
  query.mLiveVms = static_cast<std::uint32_t>(
    std::max<std::size_t>(1, mShard.mParts.mMembership->LiveCount()));
  query.mPrefillSeconds = mPlan.mPrefillSeconds;
  query.mPrefixHash = mPlan.mPrefixHash;
  query.mReservedShare = ReservedShare(mPlan.mPriority);
  query.mExcluded = mTried;
  const EndpointDecision decision =
    ChooseEndpoint(views, query, mShard.mRandom);
  const auto chosen = std::find_if(
    candidates->begin(), candidates->end(), [&decision](const auto& aEndpoint) {
      return decision.mIndex == aEndpoint->Index();
    });
  if (!decision.mIndex || chosen == candidates->end()) {
    result.mRefused = tl::make_unexpected(NoEndpoint());
    End(result);
    return;
  }
  Send(*chosen, decision.mReason);
}

void Dispatch::Send(const std::shared_ptr<EndpointRecord>& aEndpoint,
                    std::string_view aReason)
{
  ++mAttempts;
  mEndpoint = aEndpoint;
  mTried.push_back(aEndpoint->Index());
  mAttemptStart = MonotonicNow();
  mStatus = 0;
  mCrossed = false;
  const EndpointListing listing = aEndpoint->Listing();
  if (mObserver.mOnAttempt) {
    mObserver.mOnAttempt(listing.mName, aReason, "");
  }
  EndpointRequest request = mPlan.mRequest;
  request.mAddress = listing.mAddress;
  request.mRepeatable = mPlan.mRepeatable;
  request.mTimeout = mPlan.mDeadline - mAttemptStart;
  aEndpoint->RecordStart();
  EndpointObserver observer;
  // NOTE: The observer holds this dispatch alive until its transfer is over.
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
  mCrossed = !aHeaders.mRequestId.empty() && !expected.empty() &&
             aHeaders.mRequestId != expected;
  if (HandsOn() && mObserver.mOnHeaders) {
    mObserver.mOnHeaders(aHeaders);
  }
}

bool Dispatch::HandsOn() const
{
  const bool failed = mPlan.mRepeatable && FailedAtEndpoint(mStatus);
  return !mEnded && !mCrossed && !failed;
}

void Dispatch::OnBody(std::string_view aBytes)
{
  if (HandsOn()) {
    mRelayed = true;
    mObserver.mOnBody(aBytes);
  }
}

void Dispatch::FinishAttempt(const TransferResult& aResult, bool aAnswered)
{
  const TimePoint now = MonotonicNow();
  const std::chrono::duration<double> seconds = now - mAttemptStart;
  mEndpoint->RecordEnd({ aAnswered, seconds.count() }, now);
  if (!aAnswered) {
    const auto settings = mShard.mParts.CurrentSettings();
    mShard.mParts.mEndpoints.EjectOutliers(
      settings->mDeployment.mEjectionCeiling, now);
  }
  const std::string name = mEndpoint->Listing().mName;
  if (mObserver.mOnAttempt) {
    mObserver.mOnAttempt(
      name, "", mCrossed ? "answer of another request" : OutcomeText(aResult));
  }
  mShard.mParts.mMetrics.Count(
    "acaciavale_attempts_total",
    { { "endpoint", name }, { "outcome", aAnswered ? "ok" : "failed" } });
}

bool Dispatch::MayRetry(const TransferResult& aResult) const
{
  const bool safe =
    aResult.mOutcome == TransferOutcome::NotSent || mPlan.mRepeatable;
  return safe && (mPlan.mBuffered || !mRelayed) && mAttempts < kMaxAttempts &&
         MonotonicNow() < mPlan.mDeadline;
}

void Dispatch::OnAttemptDone(const TransferResult& aResult)
{
  if (mEnded) {
    return;
  }
  const bool whole = aResult.mOutcome == TransferOutcome::Complete && !mCrossed;
  // NOTE: A status of a call that may not be repeated is its outcome, whatever
  //       it is: nothing says that a service which answers 500 did nothing.
  const bool failed =
    whole && mPlan.mRepeatable && FailedAtEndpoint(aResult.mStatus);
  const bool refused = failed && RefusedByEndpoint(aResult.mStatus);
  const bool answered = whole && !failed;
  FinishAttempt(aResult, answered);
  if (aResult.mOutcome != TransferOutcome::NotSent && !refused) {
    mMayHaveRun = true;
  }
  if (!answered && MayRetry(aResult) && mShard.mParts.mRetries.TrySpend()) {
    mShard.mParts.mMetrics.Count("acaciavale_retries_total", {});
    Attempt();
    return;
  }
  DispatchResult result;
  result.mAnswered = answered;
  result.mStatus = aResult.mStatus;
  result.mRan = mMayHaveRun ? Ran::Unknown : Ran::No;
  result.mRelayed = mRelayed;
  result.mEndpoint = mEndpoint->Listing().mName;
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
    // NOTE: A cancelled attempt says nothing of the endpoint, so neither a
    //       success nor a failure is counted.
    mEndpoint->RecordCancelled();
  }
  mObserver = {};
  mPlan.mCandidates = nullptr;
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
