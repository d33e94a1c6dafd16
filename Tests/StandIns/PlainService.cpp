#include "PlainService.h"

#include "Answer.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

using nlohmann::json;

PlainService::PlainService(FaultBoard& aFaults,
                           RunLog& aRuns,
                           ServiceSetup aSetup)
  : mFaults(aFaults)
  , mRuns(aRuns)
  , mSetup(std::move(aSetup))
{
}

Task PlainService::Serve(Exchange& aExchange)
{
  const Request& asked = aExchange.Asked();
  const PartFaults faults = mFaults.Of(mSetup.mListing.mName);
  if (mFaults.IsDown(mSetup.mListing.mName)) {
    aExchange.Drop();
    co_return;
  }
  if (asked.mPath == "/v1/load") {
    const json report{ { "in_flight", 0 },
                       { "queued", 0 },
                       { "slots", 64 },
                       { "leaving", faults.mLeaving },
                       { "prefix_events", json::array() } };
    co_await aExchange.Reply(200, report.dump());
    co_return;
  }
  Run run;
  run.mPart = mSetup.mListing.mName;
  run.mRequest = ValueOr(asked.mHeader, "x-request-id", "");
  run.mReference = ReferenceIn(asked.mPath + " " + asked.mBody);
  run.mIdempotencyKey = ValueOr(asked.mHeader, "idempotency-key", "");
  run.mMethod = asked.mMethod;
  run.mPath = asked.mPath;
  const std::uint64_t number = mRuns.Start(run);
  // NOTE: A call that has started runs to its end, whether or not anybody still
  //       waits for the answer.
  co_await aExchange.Sleep(mSetup.mTime + faults.mDelay);
  if (mFaults.Chance(faults.mErrorShare)) {
    mRuns.End(number, RunOutcome::Failed);
    co_await aExchange.Reply(500, R"({"error":"fault","ran":"unknown"})");
    co_return;
  }
  if (mFaults.Chance(faults.mBreakShare)) {
    mRuns.End(number, RunOutcome::Broken);
    aExchange.Drop();
    co_return;
  }
  mRuns.End(number, RunOutcome::Completed);
  const json body{ { "service", mSetup.mListing.mService },
                   { "method", asked.mMethod },
                   { "path", asked.mPath },
                   { "run", number },
                   { "request", run.mRequest },
                   { "reference", run.mReference } };
  co_await aExchange.Reply(200, body.dump());
}

EndpointListing PlainService::Listing() const
{
  EndpointListing listing = mSetup.mListing;
  listing.mLeaving = mFaults.Of(listing.mName).mLeaving;
  return listing;
}

} // namespace Acaciavale::StandIns
