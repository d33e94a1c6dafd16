#include "LibPlatform/HttpClient.h"

#include <Acaciavale/LibPlatform/EngineOrders.h>

namespace Acaciavale {

namespace {

constexpr int kStatusDone = 200;
constexpr int kStatusConflict = 409;

} // namespace

ErrorOr<void> SendEngineOrder(const std::string& aAddress,
                              const std::string& aBody,
                              Duration aDeadline)
{
  const HttpAnswer answer = ACACIAVALE_TRY(SharedHttpClient().Call(
    { "POST", "http://" + aAddress + "/v1/orders", aBody, aDeadline }));
  if (answer.mStatus == kStatusConflict) {
    return MakeError(ErrorCode::Conflict,
                     "the engine knows a newer fencing number");
  }
  if (answer.mStatus != kStatusDone) {
    return MakeError(ErrorCode::Unavailable,
                     "the engine answered " + std::to_string(answer.mStatus));
  }
  return {};
}

} // namespace Acaciavale
