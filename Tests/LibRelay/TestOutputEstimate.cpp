#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/OutputEstimate.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(OutputEstimate)
{
  EndpointRegistry mRegistry;
  Random mRandom{ 3 };
  EndpointSelectionQuery mQuery;

  static TimePoint At(double aSeconds)
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  void ListEngines(int aCount)
  {
    std::vector<EndpointRecord> records(aCount);
    for (int index = 0; index < aCount; ++index) {
      records[index].mId = "engine-" + std::to_string(index);
      records[index].mPool = "pool";
      records[index].mAddress = "127.0.0.1:1";
      records[index].mSlots = 16;
    }
    mRegistry.Replace(records, At(0));
  }

  /// A prompt of the largest size of the licensing desk and its output.
  void setup() override
  {
    mQuery.mPool = "pool";
    mQuery.mWork.mPromptTokens = 54600;
    mQuery.mWork.mMemoryTokens = 60000;
    mQuery.mEngineMemoryTokens = 348104;
  }

  EndpointSelection Choose()
  {
    return mRegistry.Choose(mQuery, mRandom, At(0));
  }
};

/// Guards against the maximum output in place of the estimate, and against an
/// estimate beyond what the caller accepts.
TEST(OutputEstimate, EstimateReplacesTheMaximumWithinIt)
{
  LONGS_EQUAL(2000, ExpectedOutputTokens(2000, std::nullopt));
  LONGS_EQUAL(2000, LikelyMaximumOutputTokens(2000, std::nullopt));
  CHECK(ExpectedOutputTokens(2000, 200) > 200);
  CHECK(LikelyMaximumOutputTokens(2000, 200) > ExpectedOutputTokens(2000, 200));
  CHECK(LikelyMaximumOutputTokens(2000, 200) < 2000);
  LONGS_EQUAL(2000, ExpectedOutputTokens(2000, 9000));
  LONGS_EQUAL(2000, LikelyMaximumOutputTokens(2000, 1'000'000'000));
}

/// Guards against an estimate of nothing, as of a caller that does not know,
/// and against a maximum that is not stated and taken for 0.
TEST(OutputEstimate, InvalidEstimateIsIgnoredAndMaximumMayBeMissing)
{
  LONGS_EQUAL(2000, ExpectedOutputTokens(2000, 0));
  LONGS_EQUAL(2000, LikelyMaximumOutputTokens(2000, -5));
  CHECK(ExpectedOutputTokens(0, 200) > 200);
  LONGS_EQUAL(0, ExpectedOutputTokens(0, std::nullopt));
}

/// Guards against more work on an engine than its memory takes: the engine
/// would evict the cached prompts of running requests and read them again.
TEST(OutputEstimate, WorkThatDoesNotFitGoesToAnotherEngine)
{
  ListEngines(2);
  std::map<std::string, int> placed;
  for (int request = 0; request < 10; ++request) {
    const EndpointSelection selection = Choose();
    CHECK(selection.mEndpoint != nullptr);
    mRegistry.RecordAttempt(*selection.mEndpoint, mQuery.mWork, At(0));
    placed[selection.mEndpoint->mRecord.mId] += 1;
  }
  LONGS_EQUAL(5, placed["engine-0"]);
  UNSIGNED_LONGS_EQUAL(2, Choose().mWithoutMemory);
  // It fits again after the end of another one.
  const auto engine = mRegistry.EndpointsOf("pool")[0];
  mRegistry.RecordEnd(*engine, mQuery.mWork, false, {}, At(0));
  CHECK(Choose().mEndpoint == engine);
}

/// Guards against a queue whose first request waits for memory and holds up all
/// short ones behind it.
TEST(OutputEstimate, WorkThatFitsNowhereIsNotQueued)
{
  ListEngines(2);
  mQuery.mWork.mMemoryTokens = 200000;
  for (int request = 0; request < 6; ++request) {
    const EndpointSelection selection = Choose();
    CHECK(selection.mEndpoint != nullptr);
    CHECK(!selection.mIsFull);
    mRegistry.RecordAttempt(*selection.mEndpoint, mQuery.mWork, At(0));
  }
}

/// Guards against a request that no engine may take because of an estimate, and
/// against an effect on pools that state no memory.
TEST(OutputEstimate, WorkBeyondTheMemoryIsOffered)
{
  ListEngines(1);
  mQuery.mWork.mMemoryTokens = 400000;
  const EndpointSelection selection = Choose();
  CHECK(selection.mEndpoint != nullptr);
  mRegistry.RecordAttempt(*selection.mEndpoint, mQuery.mWork, At(0));
  UNSIGNED_LONGS_EQUAL(1, Choose().mWithoutMemory);
  mQuery.mEngineMemoryTokens = 0;
  UNSIGNED_LONGS_EQUAL(0, Choose().mWithoutMemory);
  CHECK(Choose().mEndpoint != nullptr);
}
