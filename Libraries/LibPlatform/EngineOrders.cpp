#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibPlatform/EngineOrders.h>

namespace Acaciavale {

namespace {

constexpr int kStatusOk = 200;
constexpr int kStatusConflict = 409;

} // namespace

ErrorOr<void> SendEngineOrder(const std::string& aAddress,
                              const std::string& aBody,
                              Duration aTimeout)
{
  const HttpResponse response = ACACIAVALE_TRY(SharedHttpClient().Call(
    { "POST", "http://" + aAddress + "/v1/orders", aBody, aTimeout }));
  if (response.mStatus == kStatusConflict) {
    return MakeError(ErrorCode::Conflict,
                     "the engine has received a newer fencing number");
  }
  if (response.mStatus != kStatusOk) {
    return MakeError(ErrorCode::Unavailable,
                     "the engine returned status " +
                       std::to_string(response.mStatus));
  }
  return {};
}

} // namespace Acaciavale
