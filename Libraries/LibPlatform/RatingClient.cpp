#include "LibPlatform/HttpClient.h"
#include "LibPlatform/PlatformJson.h"

#include <Acaciavale/LibPlatform/RatingClient.h>

namespace Acaciavale {

using nlohmann::json;

namespace {

constexpr int kStatusOk = 200;

Rating RatingOf(const json& aBody)
{
  return { aBody.at("number").get<std::uint64_t>(),
           { aBody.at("request").get<std::string>(),
             aBody.at("model").get<std::string>(),
             aBody.at("version").get<std::string>(),
             aBody.value("kind", "") },
           aBody.at("good").get<bool>() };
}

json JsonOf(const RateableAnswer& aAnswer)
{
  return { { "request", aAnswer.mRequestId },
           { "model", aAnswer.mModel },
           { "version", aAnswer.mVersion },
           { "kind", aAnswer.mRequestKind } };
}

} // namespace

RatingClient::RatingClient(std::string aAddress, Duration aTimeout)
  : mAddress(std::move(aAddress))
  , mTimeout(aTimeout)
{
}

ErrorOr<void> RatingClient::SendAnswers(
  const std::vector<RateableAnswer>& aAnswers) const
{
  json answers = json::array();
  for (const RateableAnswer& answer : aAnswers) {
    answers.push_back(JsonOf(answer));
  }
  const HttpCall call{ "POST",
                       "http://" + mAddress + "/v1/answers",
                       json{ { "answers", answers } }.dump(),
                       mTimeout };
  const HttpResponse response = ACACIAVALE_TRY(SharedHttpClient().Call(call));
  if (response.mStatus != kStatusOk) {
    return MakeError(ErrorCode::Unavailable,
                     "The rating service returned status " +
                       std::to_string(response.mStatus));
  }
  return {};
}

ErrorOr<RatingBatch> RatingClient::FetchRatings(std::uint64_t aAfter) const
{
  const json body = ACACIAVALE_TRY(FetchJson(
    "http://" + mAddress + "/v1/ratings?after=" + std::to_string(aAfter),
    mTimeout));
  try {
    RatingBatch batch;
    batch.mLastNumber = body.at("last").get<std::uint64_t>();
    for (const json& rating : body.at("ratings")) {
      batch.mRatings.push_back(RatingOf(rating));
    }
    return batch;
  } catch (const json::exception&) {
    return MakeError(ErrorCode::Internal,
                     "The response of the rating service is malformed.");
  }
}

} // namespace Acaciavale
