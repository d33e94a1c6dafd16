#pragma once

#include "Caller.h"
#include "Dispatch.h"

#include <Acaciavale/LibClaims/Claims.h>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace Acaciavale {

/// Handles a call of a service that is not a model. A call that must not be
/// repeated first acquires a claim, in which its outcome is then stored.
class ServiceExchange : public std::enable_shared_from_this<ServiceExchange>
{
public:
  static void Start(ServerShard& aShard,
                    CallerRequest aRequest,
                    CallerResponse aResponse);
  ServiceExchange(ServerShard& aShard,
                  CallerRequest aRequest,
                  CallerResponse aResponse);

private:
  void Begin();
  tl::expected<void, Problem> Prepare();
  tl::expected<void, Problem> FindRoute(const Settings& aSettings);
  tl::expected<void, Problem> CheckIdempotencyKey() const;
  void RequestClaim();
  void OnClaimResult(const ClaimResult& aResult);
  void RunCall();
  DispatchPlan MakePlan() const;
  std::shared_ptr<Dispatch> StartDispatch(DispatchPlan aPlan,
                                          StoredResponse& aAnswer);
  void ScheduleHedge();
  void StartHedge();
  /// The dispatch of a hedged call that does not write to aAnswer, or null.
  std::shared_ptr<Dispatch> OtherDispatch(const StoredResponse& aAnswer) const;
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnDispatchDone(const DispatchResult& aResult,
                      const StoredResponse& aAnswer);
  void OnCallAnswered(int aStatus);
  void OnCallFailed(const tl::expected<void, Problem>& aSelection);
  void Bill();
  void SendAnswer(const StoredResponse& aAnswer, bool aFromStore);
  void Refuse(const Problem& aProblem);
  void End(const std::string& aOutcome);
  /// Runs aWork on a thread of the blocking pool.
  void RunBlocking(std::function<void()> aWork);
  /// Runs aWork on the shard's thread.
  void PostToShard(std::function<void()> aWork);

  ServerShard& mShard;
  ServerState& mServer;
  CallerRequest mRequest;
  CallerResponse mResponse;
  Caller mCaller;
  DecisionRecord mDecisionRecord;
  std::string mService;
  std::string mServicePath;
  ServiceRoute mRoute;
  Money mPricePerCall;
  ClaimQuery mClaimQuery;
  StoredResponse mAnswer;
  std::shared_ptr<Dispatch> mDispatch;
  StoredResponse mHedgeAnswer;
  std::shared_ptr<Dispatch> mHedgeDispatch;
  asio::steady_timer mHedgeTimer;
  bool mOneDispatchFailed = false; ///< One of two hedged dispatches failed.
  bool mMayHaveRun = false; ///< A dispatch that failed may have run the call.
  bool mAdmitted = false;
  bool mBillingStarted = false; ///< Later dispatch results are ignored.
  bool mEnded = false;
};

/// Whether a path matches a route's pattern. A '*' at the end of the pattern
/// matches any remainder.
bool PathMatches(std::string_view aPattern, std::string_view aPath);

} // namespace Acaciavale
