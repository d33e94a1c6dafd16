#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibPlatform/WeightStoreClient.h>

#include <nlohmann/json.hpp>

namespace Acaciavale {

namespace {

constexpr int kStatusDone = 200;
constexpr int kStatusTooMany = 429;

} // namespace

WeightStoreClient::WeightStoreClient(std::string aAddress, Duration aDeadline)
  : mAddress(std::move(aAddress))
  , mDeadline(aDeadline)
{
}

ErrorOr<WeightFetch> WeightStoreClient::Fetch(
  const LoadedVersion& aVersion) const
{
  const nlohmann::json body{ { "model", aVersion.mModel },
                             { "version", aVersion.mVersion } };
  const HttpCall call{
    "POST", "http://" + mAddress + "/v1/weights", body.dump(), mDeadline
  };
  const HttpAnswer answer = ACACIAVALE_TRY(SharedHttpClient().Call(call));
  if (answer.mStatus == kStatusTooMany) {
    return WeightFetch{ false, answer.mRetryAfter };
  }
  if (answer.mStatus != kStatusDone) {
    return MakeError(ErrorCode::Unavailable,
                     "The weight store answered " +
                       std::to_string(answer.mStatus));
  }
  return WeightFetch{ true, {} };
}

} // namespace Acaciavale
