#include "EndpointListService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

using nlohmann::json;

constexpr const char* kFaultTarget = "endpoint-list";

json ToJson(const EndpointListing& aListing)
{
  json loaded = json::array();
  for (const LoadedVersion& version : aListing.mLoaded) {
    loaded.push_back(
      { { "model", version.mModel }, { "version", version.mVersion } });
  }
  return { { "name", aListing.mName },
           { "address", aListing.mAddress },
           { "failure_domain", aListing.mFailureDomain },
           { "service", aListing.mService },
           { "loaded", loaded },
           { "leaving", aListing.mLeaving },
           { "checks_fencing", aListing.mChecksFencing } };
}

} // namespace

EndpointListService::EndpointListService(
  FaultInjector& aFaults,
  std::function<std::vector<EndpointListing>()> aCollectListings)
  : mFaults(aFaults)
  , mCollectListings(std::move(aCollectListings))
{
}

Task EndpointListService::Serve(Exchange& aExchange)
{
  co_await aExchange.Sleep(mFaults.FaultsFor(kFaultTarget).mDelay);
  if (mFaults.IsDown(kFaultTarget)) {
    aExchange.Abort();
    co_return;
  }
  std::string body;
  {
    const std::lock_guard lock(mMutex);
    body = mBody;
  }
  co_await aExchange.Reply(200, body);
}

void EndpointListService::Refresh()
{
  json endpoints = json::array();
  for (const EndpointListing& listing : mCollectListings()) {
    endpoints.push_back(ToJson(listing));
  }
  std::string body = json{ { "endpoints", endpoints } }.dump();
  const std::lock_guard lock(mMutex);
  mBody = std::move(body);
}

} // namespace Acaciavale::StandIns
