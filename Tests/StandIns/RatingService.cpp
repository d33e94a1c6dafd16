#include "RatingService.h"

#include <nlohmann/json.hpp>

namespace Acaciavale::StandIns {

using nlohmann::json;

namespace {

constexpr const char* kFaultTarget = "ratings";
constexpr double kRatedShare = 0.3;
constexpr std::chrono::milliseconds kRatingDelay{ 500 };
constexpr std::size_t kMaxRatingsPerResponse = 1000;

} // namespace

RatingService::RatingService(const Deployment& aDeployment,
                             FaultInjector& aFaults,
                             std::uint64_t aSeed)
  : mDeployment(aDeployment)
  , mFaults(aFaults)
  , mSeed(aSeed)
{
}

Task RatingService::Serve(Exchange& aExchange)
{
  co_await aExchange.Sleep(mFaults.FaultsFor(kFaultTarget).mDelay);
  if (mFaults.IsDown(kFaultTarget)) {
    aExchange.Abort();
    co_return;
  }
  if (aExchange.IncomingRequest().mMethod == "POST") {
    AcceptAnswers(aExchange.IncomingRequest().mBody);
    co_await aExchange.Reply(200, "{}");
    co_return;
  }
  const auto after =
    std::stoul(ValueOr(aExchange.IncomingRequest().mQuery, "after", "0"));
  co_await aExchange.Reply(200, RatingsAfter(after));
}

void RatingService::AcceptAnswers(const std::string& aBody)
{
  const json body = json::parse(aBody);
  const json answers =
    body.contains("answers") ? body["answers"] : json::array({ body });
  for (const json& answer : answers) {
    if (!mFaults.Chance(kRatedShare)) {
      continue;
    }
    const AnswerKey key{ answer.at("request").get<std::string>(),
                         { answer.at("model").get<std::string>(),
                           answer.at("version").get<std::string>() },
                         answer.value("kind", "") };
    const bool good = IsGood(mDeployment, mFaults, mSeed, key);
    const std::lock_guard lock(mMutex);
    mRatings.push_back({ key, good, MonotonicNow() + kRatingDelay });
  }
}

std::string RatingService::RatingsAfter(std::size_t aNumber) const
{
  const std::lock_guard lock(mMutex);
  json ratings = json::array();
  std::size_t last = aNumber;
  for (std::size_t at = aNumber; at < mRatings.size(); ++at) {
    const Rating& rating = mRatings[at];
    if (MonotonicNow() < rating.mVisibleFrom ||
        ratings.size() == kMaxRatingsPerResponse) {
      break;
    }
    last = at + 1;
    ratings.push_back({ { "number", last },
                        { "request", rating.mAnswer.mRequestId },
                        { "model", rating.mAnswer.mVersion.mModel },
                        { "version", rating.mAnswer.mVersion.mVersion },
                        { "kind", rating.mAnswer.mRequestKind },
                        { "good", rating.mGood } });
  }
  return json{ { "ratings", ratings }, { "last", last } }.dump();
}

} // namespace Acaciavale::StandIns
