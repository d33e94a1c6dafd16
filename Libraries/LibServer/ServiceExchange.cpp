#include "ServiceExchange.h"

#include <Acaciavale/LibBilling/BillingRules.h>
#include <algorithm>
#include <asio/post.hpp>
#include <thread>

namespace Acaciavale {

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr std::size_t kMaxAnswerBytes = 524'288;
constexpr std::int64_t kMaxQueuedBlockingCalls = 2048;
/// Time added to the route's deadline before a claim without an outcome is
/// reported as unknown.
constexpr auto kClaimRunMargin = std::chrono::seconds(5);
constexpr auto kMinHedgeDelay = std::chrono::milliseconds(20);
/// An urgent repeatable call is hedged after this multiple of the mean service
/// time.
constexpr double kHedgeDelayFactor = 3;
constexpr int kMaxCompletionAttempts = 5;
constexpr auto kCompletionRetryDelay = std::chrono::milliseconds(200);

Problem UnknownRouteProblem()
{
  return Problem{ 404,
                  "unknown-route",
                  "The account has no service with this method and path.",
                  "Check the service's routes in the settings.",
                  Executed::No };
}

Problem ServiceFailedProblem(Executed aExecuted)
{
  return Problem{
    502,
    "service-failed",
    aExecuted == Executed::No
      ? "No endpoint accepted the call."
      : "The connection was lost after the call was sent.",
    aExecuted == Executed::No
      ? "Retry after the stated time."
      : "Check whether the call took effect before you repeat it.",
    aExecuted,
    aExecuted == Executed::No ? Duration(std::chrono::seconds(1))
                              : Duration::zero()
  };
}

Problem ClaimProblem(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::InProgress:
      return Problem{ 409,
                      "in-progress",
                      "Another request with this key is in progress.",
                      "Retry after the stated time to get its outcome.",
                      Executed::Unknown,
                      std::chrono::seconds(1) };
    case ClaimVerdict::Unknown:
      return Problem{
        409,
        "outcome-unknown",
        "The call with this key may have been executed.",
        "Check whether the call took effect; it is never sent again.",
        Executed::Unknown
      };
    case ClaimVerdict::RequestDiffers:
      return Problem{ 422,
                      "key-reused",
                      "This key was used for a different request.",
                      "Use a new Idempotency-Key for a new request.",
                      Executed::No };
    default:
      return Problem{
        503,
        "store-down",
        "Calls that must not be repeated cannot be claimed now.",
        "Retry after the stated time; repeatable calls are still served.",
        Executed::No,
        std::chrono::seconds(2)
      };
  }
}

std::string NameOf(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::Granted:
      return "granted";
    case ClaimVerdict::Done:
      return "done";
    case ClaimVerdict::StoreUnavailable:
      return "store-down";
    default:
      return ClaimProblem(aVerdict).mReason;
  }
}

} // namespace

bool PathMatches(std::string_view aPattern, std::string_view aPath)
{
  if (!aPattern.empty() && aPattern.back() == '*') {
    aPattern.remove_suffix(1);
    return aPath.substr(0, aPattern.size()) == aPattern;
  }
  return aPattern == aPath;
}

void ServiceExchange::Start(ServerShard& aShard,
                            CallerRequest aRequest,
                            CallerResponse aResponse)
{
  std::make_shared<ServiceExchange>(
    aShard, std::move(aRequest), std::move(aResponse))
    ->Begin();
}

ServiceExchange::ServiceExchange(ServerShard& aShard,
                                 CallerRequest aRequest,
                                 CallerResponse aResponse)
  : mShard(aShard)
  , mServer(aShard.mServer)
  , mRequest(std::move(aRequest))
  , mResponse(std::move(aResponse))
  , mHedgeTimer(aShard.mContext)
{
  mDecisionRecord.mRequestId = RandomToken(mShard.mRandom);
  mDecisionRecord.mTime = CalendarNow();
}

void ServiceExchange::Begin()
{
  if (auto prepared = Prepare(); !prepared) {
    Refuse(prepared.error());
    return;
  }
  if (mRoute.mRepeatable) {
    RunCall();
  } else {
    RequestClaim();
  }
}

tl::expected<void, Problem> ServiceExchange::FindRoute(
  const Settings& aSettings)
{
  std::string_view rest = mRequest.mPath;
  rest.remove_prefix(kServicesPrefix.size());
  const std::size_t slash = rest.find('/');
  mService = rest.substr(0, slash);
  mServicePath =
    slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
  const auto& allowed = mCaller.mAccount.mServices;
  const auto service = aSettings.mServices.find(mService);
  const bool isPermitted =
    std::find(allowed.begin(), allowed.end(), mService) != allowed.end();
  if (service == aSettings.mServices.end() || !isPermitted) {
    return tl::make_unexpected(UnknownRouteProblem());
  }
  for (const ServiceRoute& route : service->second.mRoutes) {
    if (route.mMethod == mRequest.mMethod &&
        PathMatches(route.mPath, mServicePath)) {
      mRoute = route;
      mPricePerCall = service->second.mPricePerCall;
      return {};
    }
  }
  return tl::make_unexpected(UnknownRouteProblem());
}

tl::expected<void, Problem> ServiceExchange::CheckIdempotencyKey() const
{
  if (mRoute.mRepeatable) {
    return {};
  }
  const std::string& key = mRequest.mIdempotencyKey;
  if (key.empty() || key.size() > kMaxIdempotencyKeyBytes) {
    return tl::make_unexpected(
      Problem{ 400,
               "key-needed",
               "This call must not be repeated and needs an Idempotency-Key.",
               "Send a key of 1 to 256 bytes, the same for every attempt.",
               Executed::No });
  }
  return {};
}

tl::expected<void, Problem> ServiceExchange::Prepare()
{
  mCaller =
    ACACIAVALE_TRY(Authenticate(mServer, mRequest, mDecisionRecord.mRequestId));
  ACACIAVALE_TRY_VOID(FindRoute(*mCaller.mSettings));
  ACACIAVALE_TRY_VOID(CheckIdempotencyKey());
  mCaller.mDeadline =
    std::min(mCaller.mDeadline, mCaller.mStartTime + mRoute.mDeadline);
  mDecisionRecord.mProfile.mAccount = mCaller.mAccount.mName;
  mDecisionRecord.mProfile.mTarget =
    mService + " " + mRoute.mMethod + " " + mRoute.mPath;
  mDecisionRecord.mProfile.mPriority = mRoute.mPriority;
  mDecisionRecord.mSettingsGeneration = mCaller.mSettings->mGeneration;
  const auto pool = Candidates();
  ACACIAVALE_TRY_VOID(
    Admit(mServer,
          mCaller,
          mRoute.mPriority,
          pool ? EstimatePoolLoad(mServer, *pool) : PoolLoad{}));
  mAdmitted = true;
  return {};
}

void ServiceExchange::RunBlocking(std::function<void()> aWork)
{
  mServer.mQueuedBlockingCalls.fetch_add(1);
  asio::post(mServer.mBlockingPool,
             [&server = mServer, work = std::move(aWork)] {
               work();
               server.mQueuedBlockingCalls.fetch_sub(1);
             });
}

void ServiceExchange::PostToShard(std::function<void()> aWork)
{
  asio::post(mShard.mContext, std::move(aWork));
}

void ServiceExchange::RequestClaim()
{
  if (mServer.mQueuedBlockingCalls.load() > kMaxQueuedBlockingCalls) {
    Refuse(ClaimProblem(ClaimVerdict::StoreUnavailable));
    return;
  }
  mClaimQuery.mAccount = mCaller.mAccount.mName;
  mClaimQuery.mKey = mRequest.mIdempotencyKey;
  mClaimQuery.mNonce = mDecisionRecord.mRequestId;
  mClaimQuery.mRequestDigest = RequestDigest(
    mRequest.mMethod, mRequest.mPath + "?" + mRequest.mQuery, mRequest.mBody);
  mClaimQuery.mVm = mServer.mNodeSettings.mVmName;
  mClaimQuery.mNow = CalendarNow();
  mClaimQuery.mRetention = mCaller.mSettings->mDeployment.mClaimRetention;
  mClaimQuery.mRunTimeout = mRoute.mDeadline + kClaimRunMargin;
  RunBlocking([self = shared_from_this()] {
    self->mClaimQuery.mLease =
      self->mServer.mClaimLeases.LeaseFor(self->mServer.mStore,
                                          self->mClaimQuery.mNow,
                                          self->mClaimQuery.mRetention);
    const ClaimResult result =
      AcquireClaim(self->mServer.mStore, self->mClaimQuery);
    if (result.mMayBeClaimed) {
      self->mServer.mOrphanedClaims.Add(self->mClaimQuery);
    }
    self->PostToShard([self, result] { self->OnClaimResult(result); });
  });
}

void ServiceExchange::OnClaimResult(const ClaimResult& aResult)
{
  mDecisionRecord.mClaimVerdict = NameOf(aResult.mVerdict);
  if (aResult.mVerdict == ClaimVerdict::Granted) {
    RunCall();
  } else if (aResult.mVerdict == ClaimVerdict::Done) {
    SendAnswer(aResult.mResponse, true);
    End("stored answer");
  } else {
    Refuse(ClaimProblem(aResult.mVerdict));
  }
}

tl::expected<EndpointRecords, Problem> ServiceExchange::Candidates() const
{
  const auto settings = mServer.CurrentSettings();
  const auto account = settings->mAccounts.find(mCaller.mAccount.mName);
  const bool isPermitted = account != settings->mAccounts.end() &&
                           std::count(account->second.mServices.begin(),
                                      account->second.mServices.end(),
                                      mService) > 0;
  if (!isPermitted) {
    return tl::make_unexpected(UnknownRouteProblem());
  }
  const auto snapshot = mServer.mEndpoints.Snapshot();
  const auto found = snapshot->mByService.find(mService);
  return found == snapshot->mByService.end() ? EndpointRecords{}
                                             : found->second;
}

DispatchPlan ServiceExchange::MakePlan() const
{
  DispatchPlan plan;
  plan.mCandidates = [self = shared_from_this()] { return self->Candidates(); };
  plan.mRepeatable = mRoute.mRepeatable;
  plan.mDeadline = mCaller.mDeadline;
  plan.mPriority = mRoute.mPriority;
  plan.mRequest.mMethod = mRequest.mMethod;
  plan.mRequest.mPath = mServicePath;
  if (!mRequest.mQuery.empty()) {
    plan.mRequest.mPath += "?" + mRequest.mQuery;
  }
  plan.mRequest.mBody = mRequest.mBody;
  plan.mRequest.mHeaders = { { "X-Request-Id", mDecisionRecord.mRequestId } };
  if (!mRequest.mContentType.empty()) {
    plan.mRequest.mHeaders.emplace_back("Content-Type", mRequest.mContentType);
  }
  if (!mRequest.mIdempotencyKey.empty()) {
    plan.mRequest.mHeaders.emplace_back("Idempotency-Key",
                                        mRequest.mIdempotencyKey);
  }
  return plan;
}

std::shared_ptr<Dispatch> ServiceExchange::StartDispatch(
  DispatchPlan aPlan,
  StoredResponse& aAnswer)
{
  const auto self = shared_from_this();
  StoredResponse* const answer = &aAnswer;
  DispatchObserver observer;
  observer.mOnHeaders = [answer](const EndpointResponseHeaders& aHeaders) {
    *answer = StoredResponse{ aHeaders.mStatus, aHeaders.mContentType, "" };
  };
  observer.mOnBody = [answer](std::string_view aBytes) {
    if (answer->mBody.size() + aBytes.size() <= kMaxAnswerBytes) {
      answer->mBody.append(aBytes);
    }
  };
  observer.mOnDone = [self, answer](const DispatchResult& aResult) {
    self->OnDispatchDone(aResult, *answer);
  };
  observer.mOnAttempt = [self](const std::string& aEndpointName,
                               std::string_view aReason,
                               const std::string& aOutcome) {
    if (aOutcome.empty()) {
      self->mDecisionRecord.mAttempts.push_back(
        { {}, aEndpointName, std::string(aReason), "" });
      return;
    }
    for (AttemptRecord& attempt : self->mDecisionRecord.mAttempts) {
      if (attempt.mEndpointName == aEndpointName && attempt.mOutcome.empty()) {
        attempt.mOutcome = aOutcome;
      }
    }
  };
  return Dispatch::Start(mShard, std::move(aPlan), std::move(observer));
}

void ServiceExchange::RunCall()
{
  mDispatch = StartDispatch(MakePlan(), mAnswer);
  if (mRoute.mRepeatable && mRoute.mPriority == Priority::Urgent) {
    ScheduleHedge();
  }
}

void ServiceExchange::ScheduleHedge()
{
  mServer.mHedgeAttemptBudget.RecordRequest(
    mCaller.mSettings->mDeployment.mHedgeBudget);
  const auto pool = Candidates();
  const double meanSeconds =
    pool ? EstimatePoolLoad(mServer, *pool).mSecondsPerRequest : 0;
  const auto delay = std::max<Duration>(
    kMinHedgeDelay,
    std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kHedgeDelayFactor * meanSeconds)));
  mHedgeTimer.expires_after(delay);
  // NOTE: The timer holds a weak pointer, so that it keeps no answered call
  //       alive.
  const std::weak_ptr<ServiceExchange> weak = weak_from_this();
  mHedgeTimer.async_wait([weak](const std::error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self && !self->mEnded) {
      self->StartHedge();
    }
  });
}

void ServiceExchange::StartHedge()
{
  const bool canHedge = mDispatch && !mOneDispatchFailed && !mBillingStarted;
  if (!canHedge || !mServer.mHedgeAttemptBudget.TrySpend()) {
    return;
  }
  mServer.mMetrics.Count("acaciavale_hedges_total", {});
  DispatchPlan plan = MakePlan();
  plan.mExcludedEndpoints = mDispatch->TriedEndpoints();
  mHedgeDispatch = StartDispatch(std::move(plan), mHedgeAnswer);
}

std::shared_ptr<Dispatch> ServiceExchange::OtherDispatch(
  const StoredResponse& aAnswer) const
{
  return &aAnswer == &mAnswer ? mHedgeDispatch : mDispatch;
}

void ServiceExchange::OnDispatchDone(const DispatchResult& aResult,
                                     const StoredResponse& aAnswer)
{
  if (mEnded || mBillingStarted) {
    return;
  }
  const auto other = OtherDispatch(aAnswer);
  if (aResult.mAnswered) {
    if (other) {
      other->Cancel();
    }
    mAnswer = StoredResponse(aAnswer);
    OnCallAnswered(aResult.mStatus);
    return;
  }
  if (aResult.mExecuted == Executed::Unknown) {
    mMayHaveRun = true;
  }
  if (other && !mOneDispatchFailed) {
    // The other dispatch may still answer.
    mOneDispatchFailed = true;
    return;
  }
  OnCallFailed(aResult.mSelection);
}

void ServiceExchange::OnCallAnswered(int aStatus)
{
  mAnswer.mStatus = aStatus;
  if (mRoute.mRepeatable) {
    Bill();
    return;
  }
  RunBlocking([self = shared_from_this()] {
    // NOTE: The answer is valid whether or not it can be stored. If it cannot,
    //       later requests with this key receive "outcome-unknown".
    const auto completed =
      CompleteClaim(self->mServer.mStore, self->mClaimQuery, self->mAnswer);
    self->PostToShard([self] { self->Bill(); });
    for (int attemptCount = 1;
         !completed && attemptCount < kMaxCompletionAttempts;
         ++attemptCount) {
      std::this_thread::sleep_for(kCompletionRetryDelay);
      if (CompleteClaim(
            self->mServer.mStore, self->mClaimQuery, self->mAnswer)) {
        break;
      }
    }
  });
}

void ServiceExchange::OnCallFailed(
  const tl::expected<void, Problem>& aSelection)
{
  const Executed executed = mMayHaveRun ? Executed::Unknown : Executed::No;
  const Problem problem = aSelection
                            ? ServiceFailedProblem(executed)
                            : WithEarlierRun(aSelection.error(), mMayHaveRun);
  if (mRoute.mRepeatable) {
    Refuse(problem);
    return;
  }
  RunBlocking([self = shared_from_this(), executed] {
    if (executed == Executed::No) {
      (void)ReleaseClaim(self->mServer.mStore, self->mClaimQuery);
    } else {
      (void)MarkClaimUnknown(self->mServer.mStore, self->mClaimQuery);
    }
  });
  Refuse(problem);
}

void ServiceExchange::Bill()
{
  mBillingStarted = true;
  BillEntry entry;
  entry.mRequestId = mDecisionRecord.mRequestId;
  entry.mAccount = mCaller.mAccount.mName;
  entry.mModel = mService;
  entry.mCharge = ChargeOfCall(mPricePerCall, mAnswer.mStatus);
  entry.mTime = CalendarNow();
  mDecisionRecord.mCharge = entry.mCharge;
  const auto self = shared_from_this();
  mServer.mBilling->Record(std::move(entry), [self](bool aDurable) {
    self->PostToShard([self, aDurable] {
      if (!aDurable) {
        self->mServer.mMetrics.Count("acaciavale_bills_not_durable_total", {});
      }
      self->SendAnswer(self->mAnswer, false);
      self->End("answered");
    });
  });
}

void ServiceExchange::SendAnswer(const StoredResponse& aAnswer, bool aFromStore)
{
  ResponseHeaders headers{
    { "X-Request-Id", mDecisionRecord.mRequestId },
    { "Content-Type",
      aAnswer.mContentType.empty() ? "application/octet-stream"
                                   : aAnswer.mContentType },
    { "X-Acaciavale-Cost-Micros",
      std::to_string(mDecisionRecord.mCharge.mMicros) }
  };
  if (aFromStore) {
    headers.emplace_back("X-Acaciavale-Stored", "yes");
  }
  mResponse.mSend(aAnswer.mStatus, headers, aAnswer.mBody);
}

void ServiceExchange::Refuse(const Problem& aProblem)
{
  SendProblem(mResponse, aProblem, mDecisionRecord.mRequestId);
  End("refused: " + aProblem.mReason);
}

void ServiceExchange::End(const std::string& aOutcome)
{
  if (mEnded) {
    return;
  }
  mEnded = true;
  mHedgeTimer.cancel();
  mHedgeDispatch.reset();
  if (mAdmitted) {
    FinishAdmission(mServer, mCaller.mAccount.mName);
  }
  mServer.mMetrics.Count("acaciavale_requests_total",
                         { { "account", mCaller.mAccount.mName },
                           { "target", mService },
                           { "outcome", aOutcome } });
  mDecisionRecord.mOutcome = aOutcome;
  mDispatch.reset();
  mServer.mDecisionLog.Add(std::move(mDecisionRecord));
}

} // namespace Acaciavale
