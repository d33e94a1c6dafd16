#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibPlatform/WeightStoreClient.h>

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusTooManyRequests = 429;

} // namespace

WeightStoreClient::WeightStoreClient(std::string aAddress, Duration aTimeout)
  : mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

ErrorOr<WeightFetch> WeightStoreClient::Fetch(
  const LoadedVersion& aVersion) const
{
  const nlohmann::json body{ { "model", aVersion.mModel },
                             { "version", aVersion.mVersion } };
  const HttpCall call{
    "POST", "http://" + mAddress + "/v1/weights", body.dump(), mTimeout
  };
  const HttpResponse response = ACACIAVALE_TRY(SharedHttpClient().Call(call));
  if (response.mStatus == kStatusTooManyRequests) {
    return WeightFetch{ false, response.mRetryAfter };
  }
  if (response.mStatus != kStatusOk) {
    return MakeError(ErrorCode::Unavailable,
                     "The weight store returned status " +
                       std::to_string(response.mStatus));
  }
  return WeightFetch{ true, {} };
}

} // namespace Acaciavale
