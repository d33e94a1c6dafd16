#pragma once

#include "Caller.h"
#include "Dispatch.h"

#include <Acaciavale/LibClaims/Claims.h>
#include <asio/steady_timer.hpp>
#include <memory>
#include <string>

namespace Acaciavale {

/// One call of a plain service. A call that may not be repeated takes a claim
/// first and leaves its outcome there.
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
                                          StoredAnswer& aAnswer);
  void ScheduleHedge();
  void StartHedge();
  /// The other of the two dispatches of a hedged call, or null.
  std::shared_ptr<Dispatch> OtherDispatch(const StoredAnswer& aAnswer) const;
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnDispatchDone(const DispatchResult& aResult,
                      const StoredAnswer& aAnswer);
  void OnCallAnswered(int aStatus);
  void OnCallFailed(const DispatchResult& aResult);
  void Bill();
  void SendAnswer(const StoredAnswer& aAnswer, bool aFromStore);
  void Refuse(const Problem& aProblem);
  void End(const std::string& aOutcome);
  /// Runs on a thread that may block, with the exchange kept alive.
  void RunBlocking(std::function<void()> aWork);
  /// Calls back on the shard's thread.
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
  Money mPrice;
  ClaimQuery mClaimQuery;
  StoredAnswer mAnswer;
  std::shared_ptr<Dispatch> mDispatch;
  StoredAnswer mHedgeAnswer;
  std::shared_ptr<Dispatch> mHedgeDispatch;
  asio::steady_timer mHedgeTimer;
  bool mOneDispatchFailed = false; ///< Of the two, one has failed already.
  bool mAdmitted = false;
  bool mBillingStarted = false; ///< An answer was taken; nothing else counts.
  bool mEnded = false;
};

/// Whether a route's path covers a path; '*' at its end covers the rest.
bool PathMatches(std::string_view aPattern, std::string_view aPath);

} // namespace Acaciavale
