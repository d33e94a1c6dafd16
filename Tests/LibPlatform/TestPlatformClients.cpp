#include "StandInFixture.h"

#include <Acaciavale/LibPlatform/EndpointList.h>
#include <Acaciavale/LibPlatform/LoadReport.h>
#include <Acaciavale/LibPlatform/RatingClient.h>
#include <Acaciavale/LibPlatform/WeightStoreClient.h>

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_GROUP(PlatformClients)
{
  StandInFixture mStandIns;
};

TEST(PlatformClients, EndpointListContainsEnginesAndServices)
{
  const std::string address = mStandIns.Address("endpoint-list");
  const auto listings = FetchEndpointList(address, seconds(5)).value();
  LONGS_EQUAL(3, listings.size());
  CHECK(listings[0].mAddress == mStandIns.Address("engine-1"));
  CHECK(listings[0].mChecksFencing && !listings[1].mChecksFencing);
  LONGS_EQUAL(3, listings[0].mLoaded.size());
  STRCMP_EQUAL("records", listings[2].mService.c_str());
}

TEST(PlatformClients, EndpointListEventuallyMarksALeavingEndpoint)
{
  const std::string address = mStandIns.Address("endpoint-list");
  mStandIns.SetFault(R"({"part":"engine-1","leaving":true})");
  while (!FetchEndpointList(address, seconds(5)).value()[0].mLeaving) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  const auto report =
    FetchLoadReport(mStandIns.Address("engine-1"), seconds(5)).value();
  CHECK(report.mLeaving);
  LONGS_EQUAL(16, report.mSlots);
}

TEST(PlatformClients, ClientsReturnErrorsWhileServicesAreDown)
{
  for (const char* part :
       { "endpoint-list", "ratings", "weights", "engine-1" }) {
    mStandIns.SetFault(std::string(R"({"down_ms":600000,"part":")") + part +
                       "\"}");
  }
  CHECK(!FetchEndpointList(mStandIns.Address("endpoint-list"), seconds(5)));
  CHECK(!FetchLoadReport(mStandIns.Address("engine-1"), seconds(5)));
  const RatingClient ratings(mStandIns.Address("ratings"), seconds(5));
  CHECK(!ratings.SendAnswers({ {} }) && !ratings.FetchRatings(0));
  const WeightStoreClient weights(mStandIns.Address("weights"), seconds(5));
  CHECK(!weights.Fetch({ "dossier", "small-1" }));
}

TEST(PlatformClients, RatingsCoverASampleInNumberOrder)
{
  const RatingClient client(mStandIns.Address("ratings"), seconds(5));
  std::vector<RateableAnswer> answers;
  answers.reserve(100);
  for (int number = 0; number < 100; ++number) {
    answers.push_back(
      { "r" + std::to_string(number), "dossier", "large-1", "check" });
  }
  CHECK(client.SendAnswers(answers).has_value());
  RatingBatch batch;
  while (batch.mRatings.empty()) {
    std::this_thread::sleep_for(milliseconds(20));
    batch = client.FetchRatings(0).value();
  }
  CHECK(batch.mRatings.size() < answers.size());
  CHECK(batch.mLastNumber == batch.mRatings.back().mNumber);
  CHECK(batch.mRatings[0].mAnswer.mVersion == "large-1");
  CHECK(client.FetchRatings(batch.mLastNumber).value().mRatings.empty());
}

TEST(PlatformClients, WeightStoreReturnsARetryDelayWhenOverItsLimit)
{
  const WeightStoreClient client(mStandIns.Address("weights"), seconds(5));
  WeightFetch fetch = client.Fetch({ "dossier", "small-1" }).value();
  CHECK(fetch.mAllowed);
  while (fetch.mAllowed) {
    fetch = client.Fetch({ "dossier", "small-1" }).value();
  }
  CHECK(fetch.mRetryAfter == seconds(1));
}

TEST(PlatformClients, PromptsWithTheSameFirstBlockHaveTheSameHash)
{
  const std::string block(kPrefixBlockBytes, 'a');
  CHECK(PromptPrefixHash(block + "one") == PromptPrefixHash(block + "two"));
  CHECK(PromptPrefixHash("one") != PromptPrefixHash("two"));
}
