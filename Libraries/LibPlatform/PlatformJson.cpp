#include "LibPlatform/PlatformJson.h"

#include "LibPlatform/HttpClient.h"

namespace Acaciavale {

using nlohmann::json;

namespace {

constexpr int kStatusDone = 200;

} // namespace

ErrorOr<json> FetchJson(const std::string& aUrl, Duration aDeadline)
{
  HttpCall call;
  call.mUrl = aUrl;
  call.mDeadline = aDeadline;
  const ErrorOr<HttpAnswer> answer = SharedHttpClient().Call(call);
  if (!answer) {
    return MakeError(ErrorCode::Unavailable, answer.error().mMessage);
  }
  if (answer->mStatus != kStatusDone) {
    return MakeError(ErrorCode::Unavailable,
                     "The answer is " + std::to_string(answer->mStatus));
  }
  json body = json::parse(answer->mBody, nullptr, false);
  if (!body.is_object()) {
    return MakeError(ErrorCode::Internal, "The answer is malformed.");
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
