#include "PlainService.h"

#include "Answer.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

using nlohmann::json;

PlainService::PlainService(FaultInjector& aFaults,
                           RunLog& aRuns,
                           ServiceSetup aSetup)
  : mFaults(aFaults)
  , mRuns(aRuns)
  , mSetup(std::move(aSetup))
{
}

Task PlainService::Serve(Exchange& aExchange)
{
  const Request& request = aExchange.IncomingRequest();
  const TargetFaults faults = mFaults.FaultsFor(mSetup.mListing.mName);
  if (mFaults.IsDown(mSetup.mListing.mName)) {
    aExchange.Abort();
    co_return;
  }
  if (request.mPath == "/v1/load") {
    const json report{ { "in_flight", 0 },
                       { "queued", 0 },
                       { "slots", 64 },
                       { "leaving", faults.mLeaving },
                       { "prefix_events", json::array() } };
    co_await aExchange.Reply(200, report.dump());
    co_return;
  }
  Run run;
  run.mEndpointName = mSetup.mListing.mName;
  run.mRequestId = ValueOr(request.mHeaders, "x-request-id", "");
  run.mReference = FindReference(request.mPath + " " + request.mBody);
  run.mIdempotencyKey = ValueOr(request.mHeaders, "idempotency-key", "");
  run.mMethod = request.mMethod;
  run.mPath = request.mPath;
  const std::uint64_t number = mRuns.Start(run);
  // NOTE: A call that has started runs to completion, even if the client has
  //       disconnected.
  co_await aExchange.Sleep(mSetup.mServiceTime + faults.mDelay);
  if (mFaults.Chance(faults.mErrorShare)) {
    mRuns.End(number, RunOutcome::Failed);
    co_await aExchange.Reply(500, R"({"error":"fault","ran":"unknown"})");
    co_return;
  }
  if (mFaults.Chance(faults.mBreakShare)) {
    mRuns.End(number, RunOutcome::Broken);
    aExchange.Abort();
    co_return;
  }
  mRuns.End(number, RunOutcome::Completed);
  const json body{ { "service", mSetup.mListing.mService },
                   { "method", request.mMethod },
                   { "path", request.mPath },
                   { "run", number },
                   { "request", run.mRequestId },
                   { "reference", run.mReference } };
  co_await aExchange.Reply(200, body.dump());
}

EndpointListing PlainService::Listing() const
{
  EndpointListing listing = mSetup.mListing;
  listing.mLeaving = mFaults.FaultsFor(listing.mName).mLeaving;
  return listing;
}

} // namespace Acaciavale::StandIns
