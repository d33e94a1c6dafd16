#include "LibPlatform/HttpClient.h"
#include "LibPlatform/PlatformJson.h"

#include <Acaciavale/LibPlatform/EndpointList.h>

namespace Acaciavale {

using nlohmann::json;

namespace {

EndpointListing ListingOf(const json& aBody)
{
  EndpointListing listing;
  listing.mName = aBody.at("name").get<std::string>();
  listing.mAddress = aBody.at("address").get<std::string>();
  listing.mFailureDomain = aBody.at("failure_domain").get<std::string>();
  listing.mService = aBody.value("service", "");
  listing.mLoaded = LoadedVersionsOf(aBody);
  listing.mLeaving = aBody.value("leaving", false);
  listing.mChecksFencing = aBody.value("checks_fencing", false);
  return listing;
}

} // namespace

ErrorOr<std::vector<EndpointListing>> FetchEndpointList(
  const std::string& aAddress,
  Duration aTimeout)
{
  const json body =
    ACACIAVALE_TRY(FetchJson("http://" + aAddress + "/v1/endpoints", aTimeout));
  try {
    std::vector<EndpointListing> listings;
    for (const json& listing : body.at("endpoints")) {
      listings.push_back(ListingOf(listing));
    }
    return listings;
  } catch (const json::exception&) {
    return MakeError(ErrorCode::Internal,
                     "The response of the endpoint list is malformed.");
  }
}

} // namespace Acaciavale
