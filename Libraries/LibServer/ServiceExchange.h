#pragma once

#include "Caller.h"
#include "Dispatch.h"

#include <Acaciavale/LibClaims/Claims.h>
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
  tl::expected<EndpointRecords, Problem> Candidates() const;
  void OnDone(const DispatchResult& aResult);
  void OnAnswered(int aStatus);
  void OnFailed(const DispatchResult& aResult);
  void Bill();
  void Send(const StoredAnswer& aAnswer, bool aStored);
  void Refuse(Problem aProblem);
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
  StoredAnswer mAnswer;
  std::shared_ptr<Dispatch> mDispatch;
  bool mAdmitted = false;
  bool mEnded = false;
};

/// Whether a route's path covers a path; '*' at its end covers the rest.
bool PathMatches(std::string_view aPattern, std::string_view aPath);

} // namespace Acaciavale
