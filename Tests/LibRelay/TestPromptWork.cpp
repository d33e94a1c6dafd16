#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/PromptWork.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

/// Models of the deployments: the time per prompt token differs by a factor of
/// ten.
constexpr double kSecondsPerSmallToken = 0.00002;
constexpr double kSecondsPerLargeToken = 0.0002;

} // namespace

TEST_GROUP(PromptWork){};

TEST(PromptWork, CachedPartsCostNothing)
{
  DOUBLES_EQUAL(0.66, PromptWorkSeconds(12000, 5400, 0.0001), 1e-9);
  DOUBLES_EQUAL(1.2, PromptWorkSeconds(12000, -3, 0.0001), 1e-9);
  DOUBLES_EQUAL(0, PromptWorkSeconds(12000, 20000, 0.0001), 1e-9);
}

/// Guards against a backlog that stays as large as it was placed, so that an
/// endpoint is avoided that has nearly read a long prompt.
TEST(PromptWork, DecreasesAsTheEndpointReads)
{
  PlacedWork placed;
  placed = WithPrompt(placed, { "large", 10000, 2 }, At(0));
  placed = WithPrompt(placed, { "small", 1000, 0.1 }, At(0.5));
  DOUBLES_EQUAL(1.6, RemainingWork(placed, At(0.5)), 1e-9);
  DOUBLES_EQUAL(0.6, RemainingWork(placed, At(1.5)), 1e-9);
  placed = WithoutPrompt(placed, "large", 10000, At(2));
  DOUBLES_EQUAL(0.1, RemainingWork(placed, At(2)), 1e-9);
  DOUBLES_EQUAL(0.05, RemainingWork(placed, At(2.05)), 1e-9);
  placed = WithoutPrompt(placed, "small", 1000, At(2.1));
  DOUBLES_EQUAL(0, RemainingWork(placed, At(9)), 1e-9);
}

/// Guards against an endpoint that stalls, or reads the prompts of other VMs,
/// and appears idle: its first event is missing, so it has not read the next
/// prompts.
TEST(PromptWork, LaterPromptsAreUnreadWhileTheFirstEventOfTheEarliestIsMissing)
{
  PlacedWork placed;
  for (int prompt = 0; prompt < 4; ++prompt) {
    placed = WithPrompt(placed, { "large", 5000, 1 }, At(0));
  }
  DOUBLES_EQUAL(3, RemainingWork(placed, At(30)), 1e-9);
}

/// Guards against work that stays for ever, or becomes negative, if attempts
/// end in another order than they began, or twice.
TEST(PromptWork, AttemptsThatEndInAnyOrderLeaveNothing)
{
  PlacedWork placed;
  placed = WithPrompt(placed, { "large", 5000, 1 }, At(0));
  placed = WithPrompt(placed, { "small", 5000, 0.1 }, At(0));
  placed = WithPrompt(placed, { "small", 800, 0.02 }, At(0));
  placed = WithoutPrompt(placed, "small", 800, At(0.2));
  placed = WithoutPrompt(placed, "small", 800, At(0.2));
  DOUBLES_EQUAL(0.9, RemainingWork(placed, At(0.2)), 1e-9);
  placed = WithoutPrompt(placed, "large", 5000, At(1));
  placed = WithoutPrompt(placed, "small", 5000, At(1));
  CHECK(placed.mPrompts.empty());
  DOUBLES_EQUAL(0, RemainingWork(placed, At(1)), 1e-9);
}

TEST(PromptWork, MeanCoversAllPromptsAndFollowsTheDemand)
{
  PromptWorkMix mix;
  for (int prompt = 0; prompt < 10; ++prompt) {
    const double seconds = prompt == 0 ? 2.0 : 0.1;
    mix = WithPrompt(mix, seconds, seconds / 2);
  }
  DOUBLES_EQUAL(0.29, mix.mMeanSeconds, 1e-9);
  DOUBLES_EQUAL(0.145, mix.mMeanUnreadSeconds, 1e-9);
  for (int prompt = 0; prompt < 600; ++prompt) {
    mix = WithPrompt(mix, 0.1, 0.1);
  }
  DOUBLES_EQUAL(0.1, mix.mMeanSeconds, 0.01);
}

/// Two engines with unread prompts of two models that differ by a factor of ten
/// in the time per token.
TEST_GROUP(PromptWorkOfEndpoints)
{
  EndpointRegistry mRegistry;
  Random mRandom{ 3 };

  static EndpointRecord Record(const std::string& aId)
  {
    EndpointRecord record;
    record.mId = aId;
    record.mPool = "pool";
    record.mAddress = "127.0.0.1:1";
    record.mSlots = 16;
    return record;
  }

  static AttemptWork Work(const std::string& aModel, std::int64_t aTokens)
  {
    AttemptWork work;
    work.mModel = aModel;
    work.mPromptTokens = aTokens;
    return work;
  }

  Endpoint& EndpointOf(const std::string& aId)
  {
    for (const auto& endpoint : mRegistry.EndpointsOf("pool")) {
      if (endpoint->mRecord.mId == aId) {
        return *endpoint;
      }
    }
    FAIL("no such endpoint");
    return *mRegistry.EndpointsOf("pool").front();
  }

  /// Lets the registry learn the pace of both models at an endpoint that is
  /// then removed.
  void Learn()
  {
    mRegistry.Replace({ Record("teacher") }, At(0));
    for (int sample = 0; sample < 60; ++sample) {
      const std::int64_t tokens = sample % 2 == 0 ? 500 : 12000;
      for (const auto& [model, secondsPerToken] :
           { std::pair{ "small", kSecondsPerSmallToken },
             std::pair{ "large", kSecondsPerLargeToken } }) {
        const AttemptWork work = Work(model, tokens);
        mRegistry.RecordAttempt(EndpointOf("teacher"), work, At(0));
        mRegistry.RecordFirstEvent(EndpointOf("teacher"),
                                   work,
                                   0.01 + secondsPerToken *
                                            static_cast<double>(tokens),
                                   At(0));
        mRegistry.RecordEnd(EndpointOf("teacher"), work, true, {}, At(0));
      }
    }
    mRegistry.Replace({ Record("one"), Record("two") }, At(0));
  }

  std::string ChooseFor(const AttemptWork& aWork, double aSeconds)
  {
    EndpointSelectionQuery query;
    query.mPool = "pool";
    query.mWork = aWork;
    return mRegistry.Choose(query, mRandom, At(aSeconds))
      .mEndpoint->mRecord.mId;
  }
};

/// Guards against a backlog in tokens times the pace of the new request's
/// model: 9,000 tokens of the small model are read in a fifth of the time of
/// 4,500 tokens of the large one, though they are twice as many.
TEST(PromptWorkOfEndpoints, BacklogIsMeasuredByTheModelsOfItsPrompts)
{
  Learn();
  mRegistry.RecordAttempt(EndpointOf("one"), Work("large", 4500), At(1));
  mRegistry.RecordAttempt(EndpointOf("two"), Work("small", 9000), At(1));
  for (int draw = 0; draw < 20; ++draw) {
    STRCMP_EQUAL("two", ChooseFor(Work("small", 800), 1).c_str());
    STRCMP_EQUAL("two", ChooseFor(Work("large", 800), 1).c_str());
  }
}

/// Guards against prompts that are counted in full although the endpoint has
/// cached their shared part.
TEST(PromptWorkOfEndpoints, CachedSharedPartIsNoBacklog)
{
  Learn();
  AttemptWork shared = Work("large", 12000);
  shared.mSharedPrefixTokens = 11000;
  shared.mSharedPrefixHash = 7;
  mRegistry.RecordAttempt(EndpointOf("one"), shared, At(1));
  mRegistry.RecordFirstEvent(EndpointOf("one"), shared, 2.41, At(1));
  mRegistry.RecordEnd(EndpointOf("one"), shared, true, {}, At(1));
  mRegistry.RecordAttempt(EndpointOf("one"), shared, At(2));
  DOUBLES_EQUAL(0.2, RemainingWork(EndpointOf("one").mPlacedWork, At(2)), 0.05);
}

/// Guards against other VMs' waiting requests being costed by the new request's
/// own model: the same report must cost a small and a large prompt the same.
TEST(PromptWorkOfEndpoints, OthersWaitingRequestsCostTheMeanOverAllModels)
{
  Learn();
  const auto secondsOf = [this](const AttemptWork& aWork) {
    EndpointSelectionQuery query;
    query.mPool = "pool";
    query.mWork = aWork;
    query.mTriedEndpoints = { &EndpointOf("two") };
    return mRegistry.Choose(query, mRandom, At(1)).mExpectedFirstEventSeconds;
  };
  const double smallBefore = secondsOf(Work("small", 800));
  const double largeBefore = secondsOf(Work("large", 800));
  mRegistry.RecordLoad(EndpointOf("one"), { 0, 4, 16 }, At(1));
  // Four requests in 16 slots double the time.
  const double small = secondsOf(Work("small", 800)) / 2 - smallBefore;
  const double large = secondsOf(Work("large", 800)) / 2 - largeBefore;
  // A mean prompt has 6,250 tokens at 0.00011 s each: four take 2.75 s.
  DOUBLES_EQUAL(2.75, small, 0.6);
  DOUBLES_EQUAL(small, large, 1e-6);
}
