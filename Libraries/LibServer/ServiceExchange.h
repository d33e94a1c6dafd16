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
  tl::expected<void, Problem> CheckKey() const;
  void Claim();
  void OnClaim(const ClaimResult& aResult);
  void Run();
  DispatchPlan Plan() const;
  std::shared_ptr<Dispatch> StartDispatch(DispatchPlan aPlan,
                                          StoredResponse& aAnswer);
  void HedgeLater();
  void Hedge();
  /// The other of the two dispatches of a hedged call, or null.
  std::shared_ptr<Dispatch> OtherThan(const StoredResponse& aAnswer) const;
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnDone(const DispatchResult& aResult, const StoredResponse& aAnswer);
  void OnAnswered(int aStatus);
  void OnFailed(const DispatchResult& aResult);
  void Bill();
  void Send(const StoredResponse& aAnswer, bool aStored);
  void Refuse(const Problem& aProblem);
  void End(const std::string& aOutcome);
  /// Runs on a thread that may block, with the exchange kept alive.
  void Blocking(std::function<void()> aWork);
  /// Calls back on the shard's thread.
  void Post(std::function<void()> aWork);

  ServerShard& mShard;
  ServerParts& mParts;
  CallerRequest mRequest;
  CallerResponse mResponse;
  Caller mCaller;
  DecisionNote mNote;
  std::string mService;
  std::string mServicePath;
  ServiceRoute mRoute;
  Money mPrice;
  ClaimQuery mClaim;
  StoredResponse mAnswer;
  std::shared_ptr<Dispatch> mDispatch;
  StoredResponse mHedgeAnswer;
  std::shared_ptr<Dispatch> mHedgeDispatch;
  asio::steady_timer mHedgeTimer;
  bool mFirstFailed = false; ///< Of the two, one has failed already.
  bool mAdmitted = false;
  bool mBilling = false; ///< An answer was taken; nothing else counts.
  bool mEnded = false;
};

/// Whether a route's path covers a path; '*' at its end covers the rest.
bool PathMatches(std::string_view aPattern, std::string_view aPath);

} // namespace Acaciavale
