#include "ServiceExchange.h"

#include <Acaciavale/LibBilling/BillingRules.h>
#include <algorithm>
#include <asio/post.hpp>
#include <thread>

namespace Acaciavale {

namespace {

constexpr std::string_view kServicesPrefix = "/v1/services/";
constexpr std::size_t kMaxKeyBytes = 256;
constexpr std::size_t kMaxAnswerBytes = 524'288;
constexpr std::int64_t kMaxBlockingQueued = 2048;
constexpr auto kClaimMargin = std::chrono::seconds(5);
constexpr auto kLeastHedgeWait = std::chrono::milliseconds(20);
/// A look-up is hedged once it took this many times the usual.
constexpr double kHedgeFactor = 3;
constexpr int kCompletionTries = 5;
constexpr auto kCompletionPause = std::chrono::milliseconds(200);

Problem NoRoute()
{
  return Problem{ 404,
                  "unknown-route",
                  "The account has no service with this method and path.",
                  "Check the service's routes in the settings.",
                  Ran::No };
}

Problem ServiceFailed(Ran aRan)
{
  return Problem{ 502,
                  "service-failed",
                  aRan == Ran::No
                    ? "No endpoint took the call."
                    : "The connection was lost after the call was sent.",
                  aRan == Ran::No ? "Ask again after the stated time."
                                  : "Look the result up before you act on it.",
                  aRan,
                  aRan == Ran::No ? Duration(std::chrono::seconds(1))
                                  : Duration::zero() };
}

Problem ProblemOf(ClaimVerdict aVerdict)
{
  switch (aVerdict) {
    case ClaimVerdict::InProgress:
      return Problem{ 409,
                      "in-progress",
                      "Another request with this key is under way.",
                      "Ask again after the stated time for its outcome.",
                      Ran::Unknown,
                      std::chrono::seconds(1) };
    case ClaimVerdict::Unknown:
      return Problem{ 409,
                      "outcome-unknown",
                      "The call with this key may have run.",
                      "Look the result up; the call is never sent again.",
                      Ran::Unknown };
    case ClaimVerdict::RequestDiffers:
      return Problem{ 422,
                      "key-reused",
                      "This key was used for another request.",
                      "Use a new Idempotency-Key for a new request.",
                      Ran::No };
    default:
      return Problem{ 503,
                      "store-down",
                      "Calls that may not be repeated cannot be claimed now.",
                      "Ask again after the stated time; look-ups go on.",
                      Ran::No,
                      std::chrono::seconds(2) };
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
      return ProblemOf(aVerdict).mReason;
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
  , mParts(aShard.mParts)
  , mRequest(std::move(aRequest))
  , mResponse(std::move(aResponse))
  , mHedgeTimer(aShard.mContext)
{
  mNote.mRequest = RandomToken(mShard.mRandom);
  mNote.mTime = CalendarNow();
}

void ServiceExchange::Begin()
{
  if (auto prepared = Prepare(); !prepared) {
    Refuse(prepared.error());
    return;
  }
  if (mRoute.mRepeatable) {
    Run();
  } else {
    Claim();
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
  const bool permitted =
    std::find(allowed.begin(), allowed.end(), mService) != allowed.end();
  if (service == aSettings.mServices.end() || !permitted) {
    return tl::make_unexpected(NoRoute());
  }
  for (const ServiceRoute& route : service->second.mRoutes) {
    if (route.mMethod == mRequest.mMethod &&
        PathMatches(route.mPath, mServicePath)) {
      mRoute = route;
      mPrice = service->second.mPricePerCall;
      return {};
    }
  }
  return tl::make_unexpected(NoRoute());
}

tl::expected<void, Problem> ServiceExchange::CheckKey() const
{
  if (mRoute.mRepeatable) {
    return {};
  }
  const std::string& key = mRequest.mIdempotencyKey;
  if (key.empty() || key.size() > kMaxKeyBytes) {
    return tl::make_unexpected(
      Problem{ 400,
               "key-needed",
               "This call may not be repeated and needs an Idempotency-Key.",
               "Send a key of 1 to 256 bytes, the same for every try.",
               Ran::No });
  }
  return {};
}

tl::expected<void, Problem> ServiceExchange::Prepare()
{
  mCaller = ACACIAVALE_TRY(Authenticate(mParts, mRequest, mNote.mRequest));
  ACACIAVALE_TRY_VOID(FindRoute(*mCaller.mSettings));
  ACACIAVALE_TRY_VOID(CheckKey());
  mCaller.mDeadline =
    std::min(mCaller.mDeadline, mCaller.mStart + mRoute.mDeadline);
  mNote.mProfile.mAccount = mCaller.mAccount.mName;
  mNote.mProfile.mTarget = mService + " " + mRoute.mMethod + " " + mRoute.mPath;
  mNote.mProfile.mPriority = mRoute.mPriority;
  mNote.mSettingsGeneration = mCaller.mSettings->mGeneration;
  const auto pool = Candidates();
  ACACIAVALE_TRY_VOID(Admit(mParts,
                            mCaller,
                            mRoute.mPriority,
                            pool ? LoadOf(mParts, *pool) : PoolLoad{}));
  mAdmitted = true;
  return {};
}

void ServiceExchange::Blocking(std::function<void()> aWork)
{
  mParts.mBlockingQueued.fetch_add(1);
  asio::post(mParts.mBlocking, [&parts = mParts, work = std::move(aWork)] {
    work();
    parts.mBlockingQueued.fetch_sub(1);
  });
}

void ServiceExchange::Post(std::function<void()> aWork)
{
  asio::post(mShard.mContext, std::move(aWork));
}

void ServiceExchange::Claim()
{
  if (mParts.mBlockingQueued.load() > kMaxBlockingQueued) {
    Refuse(ProblemOf(ClaimVerdict::StoreUnavailable));
    return;
  }
  mClaim.mAccount = mCaller.mAccount.mName;
  mClaim.mKey = mRequest.mIdempotencyKey;
  mClaim.mNonce = mNote.mRequest;
  mClaim.mRequestDigest = RequestDigest(
    mRequest.mMethod, mRequest.mPath + "?" + mRequest.mQuery, mRequest.mBody);
  mClaim.mVm = mParts.mNode.mVm;
  mClaim.mNow = CalendarNow();
  mClaim.mRetention = mCaller.mSettings->mDeployment.mClaimRetention;
  mClaim.mRunTimeout = mRoute.mDeadline + kClaimMargin;
  Blocking([self = shared_from_this()] {
    self->mClaim.mLease = self->mParts.mClaimLeases.LeaseFor(
      self->mParts.mStore, self->mClaim.mNow, self->mClaim.mRetention);
    const ClaimResult result = AcquireClaim(self->mParts.mStore, self->mClaim);
    if (result.mMayBeClaimed) {
      self->mParts.mOrphanedClaims.Add(self->mClaim);
    }
    self->Post([self, result] { self->OnClaim(result); });
  });
}

void ServiceExchange::OnClaim(const ClaimResult& aResult)
{
  mNote.mClaim = NameOf(aResult.mVerdict);
  if (aResult.mVerdict == ClaimVerdict::Granted) {
    Run();
  } else if (aResult.mVerdict == ClaimVerdict::Done) {
    Send(aResult.mResponse, true);
    End("stored answer");
  } else {
    Refuse(ProblemOf(aResult.mVerdict));
  }
}

tl::expected<EndpointRecords, Problem> ServiceExchange::Candidates() const
{
  const auto settings = mParts.CurrentSettings();
  const auto account = settings->mAccounts.find(mCaller.mAccount.mName);
  const bool permitted = account != settings->mAccounts.end() &&
                         std::count(account->second.mServices.begin(),
                                    account->second.mServices.end(),
                                    mService) > 0;
  if (!permitted) {
    return tl::make_unexpected(NoRoute());
  }
  const auto snapshot = mParts.mEndpoints.Snapshot();
  const auto found = snapshot->mByService.find(mService);
  return found == snapshot->mByService.end() ? EndpointRecords{}
                                             : found->second;
}

DispatchPlan ServiceExchange::Plan() const
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
  plan.mRequest.mHeaders = { { "X-Request-Id", mNote.mRequest } };
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
    self->OnDone(aResult, *answer);
  };
  observer.mOnAttempt = [self](const std::string& aEndpoint,
                               std::string_view aReason,
                               const std::string& aOutcome) {
    if (aOutcome.empty()) {
      self->mNote.mDispatches.push_back(
        { {}, aEndpoint, std::string(aReason), "" });
      return;
    }
    for (DispatchNote& note : self->mNote.mDispatches) {
      if (note.mEndpoint == aEndpoint && note.mOutcome.empty()) {
        note.mOutcome = aOutcome;
      }
    }
  };
  return Dispatch::Start(mShard, std::move(aPlan), std::move(observer));
}

void ServiceExchange::Run()
{
  mDispatch = StartDispatch(Plan(), mAnswer);
  if (mRoute.mRepeatable && mRoute.mPriority == Priority::Urgent) {
    HedgeLater();
  }
}

void ServiceExchange::HedgeLater()
{
  mParts.mHedges.RecordRequest(mCaller.mSettings->mDeployment.mHedgeBudget);
  const auto pool = Candidates();
  const double usual = pool ? LoadOf(mParts, *pool).mSecondsPerRequest : 0;
  const auto wait =
    std::max<Duration>(kLeastHedgeWait,
                       std::chrono::duration_cast<Duration>(
                         std::chrono::duration<double>(kHedgeFactor * usual)));
  mHedgeTimer.expires_after(wait);
  // NOTE: Held weakly, so that an answered call does not wait for its timer.
  const std::weak_ptr<ServiceExchange> weak = weak_from_this();
  mHedgeTimer.async_wait([weak](const std::error_code& aError) {
    const auto self = weak.lock();
    if (!aError && self && !self->mEnded) {
      self->Hedge();
    }
  });
}

void ServiceExchange::Hedge()
{
  const bool open = mDispatch && !mFirstFailed && !mBilling;
  if (!open || !mParts.mHedges.TrySpend()) {
    return;
  }
  mParts.mMetrics.Count("acaciavale_hedges_total", {});
  DispatchPlan plan = Plan();
  plan.mExcluded = mDispatch->Tried();
  mHedgeDispatch = StartDispatch(std::move(plan), mHedgeAnswer);
}

std::shared_ptr<Dispatch> ServiceExchange::OtherThan(
  const StoredResponse& aAnswer) const
{
  return &aAnswer == &mAnswer ? mHedgeDispatch : mDispatch;
}

void ServiceExchange::OnDone(const DispatchResult& aResult,
                             const StoredResponse& aAnswer)
{
  if (mEnded || mBilling) {
    return;
  }
  const auto other = OtherThan(aAnswer);
  if (aResult.mAnswered) {
    if (other) {
      other->Cancel();
    }
    mAnswer = StoredResponse(aAnswer);
    OnAnswered(aResult.mStatus);
    return;
  }
  if (other && !mFirstFailed) {
    // The other one may still answer.
    mFirstFailed = true;
    return;
  }
  OnFailed(aResult);
}

void ServiceExchange::OnAnswered(int aStatus)
{
  mAnswer.mStatus = aStatus;
  if (mRoute.mRepeatable) {
    Bill();
    return;
  }
  Blocking([self = shared_from_this()] {
    // NOTE: The answer is true whether or not it can be stored. If it cannot,
    //       later callers with this key hear that the outcome is unknown.
    const auto stored =
      CompleteClaim(self->mParts.mStore, self->mClaim, self->mAnswer);
    self->Post([self] { self->Bill(); });
    for (int tries = 1; !stored && tries < kCompletionTries; ++tries) {
      std::this_thread::sleep_for(kCompletionPause);
      if (CompleteClaim(self->mParts.mStore, self->mClaim, self->mAnswer)) {
        break;
      }
    }
  });
}

void ServiceExchange::OnFailed(const DispatchResult& aResult)
{
  const Problem problem =
    aResult.mRefused ? ServiceFailed(aResult.mRan) : aResult.mRefused.error();
  if (mRoute.mRepeatable) {
    Refuse(problem);
    return;
  }
  const bool ranNot = aResult.mRan == Ran::No;
  Blocking([self = shared_from_this(), ranNot] {
    if (ranNot) {
      (void)ReleaseClaim(self->mParts.mStore, self->mClaim);
    } else {
      (void)MarkClaimUnknown(self->mParts.mStore, self->mClaim);
    }
  });
  Refuse(problem);
}

void ServiceExchange::Bill()
{
  mBilling = true;
  BillEntry entry;
  entry.mRequest = mNote.mRequest;
  entry.mAccount = mCaller.mAccount.mName;
  entry.mModel = mService;
  entry.mCharge = ChargeOfCall(mPrice, mAnswer.mStatus);
  entry.mTime = CalendarNow();
  mNote.mCharge = entry.mCharge;
  const auto self = shared_from_this();
  mParts.mBilling->Record(std::move(entry), [self](bool aDurable) {
    self->Post([self, aDurable] {
      if (!aDurable) {
        self->mParts.mMetrics.Count("acaciavale_bills_not_durable_total", {});
      }
      self->Send(self->mAnswer, false);
      self->End("answered");
    });
  });
}

void ServiceExchange::Send(const StoredResponse& aAnswer, bool aStored)
{
  ResponseHeaders headers{
    { "X-Request-Id", mNote.mRequest },
    { "Content-Type",
      aAnswer.mContentType.empty() ? "application/octet-stream"
                                   : aAnswer.mContentType },
    { "X-Acaciavale-Cost-Micros", std::to_string(mNote.mCharge.mMicros) }
  };
  if (aStored) {
    headers.emplace_back("X-Acaciavale-Stored", "yes");
  }
  mResponse.mSend(aAnswer.mStatus, headers, aAnswer.mBody);
}

void ServiceExchange::Refuse(const Problem& aProblem)
{
  SendProblem(mResponse, aProblem, mNote.mRequest);
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
    FinishAdmission(mParts, mCaller.mAccount.mName);
  }
  mParts.mMetrics.Count("acaciavale_requests_total",
                        { { "account", mCaller.mAccount.mName },
                          { "target", mService },
                          { "outcome", aOutcome } });
  mNote.mOutcome = aOutcome;
  mDispatch.reset();
  mParts.mDecisions.Add(std::move(mNote));
}

} // namespace Acaciavale
