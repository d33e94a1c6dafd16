#include "EndpointListService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

namespace {

using nlohmann::json;

constexpr const char* kPart = "endpoint-list";

json JsonOf(const EndpointListing& aListing)
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
  FaultBoard& aFaults,
  std::function<std::vector<EndpointListing>()> aListings)
  : mFaults(aFaults)
  , mListings(std::move(aListings))
{
}

Task EndpointListService::Serve(Exchange& aExchange)
{
  co_await aExchange.Sleep(mFaults.Of(kPart).mDelay);
  if (mFaults.IsDown(kPart)) {
    aExchange.Drop();
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
  for (const EndpointListing& listing : mListings()) {
    endpoints.push_back(JsonOf(listing));
  }
  std::string body = json{ { "endpoints", endpoints } }.dump();
  const std::lock_guard lock(mMutex);
  mBody = std::move(body);
}

} // namespace Acaciavale::StandIns
