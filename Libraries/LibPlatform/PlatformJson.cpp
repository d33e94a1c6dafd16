#include "LibPlatform/PlatformJson.h"

#include "LibPlatform/HttpClient.h"

namespace Acaciavale {

using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;

} // namespace

ErrorOr<json> FetchJson(const std::string& aUrl, Duration aTimeout)
{
  HttpCall call;
  call.mUrl = aUrl;
  call.mTimeout = aTimeout;
  const ErrorOr<HttpResponse> response = SharedHttpClient().Call(call);
  if (!response) {
    return MakeError(ErrorCode::Unavailable, response.error().mMessage);
  }
  if (response->mStatus != kStatusOk) {
    return MakeError(ErrorCode::Unavailable,
                     "The platform service returned status " +
                       std::to_string(response->mStatus));
  }
  json body = json::parse(response->mBody, nullptr, false);
  if (!body.is_object()) {
    return MakeError(
      ErrorCode::Internal,
      "The response of the platform service is not a JSON object.");
  }
  return body;
}

std::vector<LoadedVersion> LoadedVersionsOf(const json& aBody)
{
  std::vector<LoadedVersion> versions;
  for (const json& version : aBody.value("loaded", json::array())) {
    versions.push_back({ version.at("model").get<std::string>(),
                         version.at("version").get<std::string>() });
  }
  return versions;
}

} // namespace Acaciavale
