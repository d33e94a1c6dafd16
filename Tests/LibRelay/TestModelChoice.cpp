#include <Acaciavale/LibRelay/ModelChoice.h>

#include <Acaciavale/LibCore/Random.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <cmath>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(ModelChoice)
{
  ModelQuery mQuery;

  void setup() override
  {
    mQuery.mModels = { { 0.06, 0.58, 0.08, 0.05 },
                       { 0.44, 0.67, 0.2, 0.15 },
                       { 0.91, 1.0, 0.55, 0.5 } };
    mQuery.mGoalSecondsLeft = 4;
    mQuery.mAnswerValue = 4.5;
    mQuery.mAttemptsLeft = 3;
  }
};

TEST(ModelChoice, SmallModelIsFirstIfTheLargeModelMayFollow)
{
  UNSIGNED_LONGS_EQUAL(0, ChooseModel(mQuery).mIndex);
  mQuery.mAttemptsLeft = 1;
  UNSIGNED_LONGS_EQUAL(2, ChooseModel(mQuery).mIndex);
}

TEST(ModelChoice, ValuableAnswerWithLowConfidenceEscalatesToTheLargestModel)
{
  UNSIGNED_LONGS_EQUAL(2, ChooseEscalation(mQuery, 0, 0.1).mIndex);
  UNSIGNED_LONGS_EQUAL(0, ChooseEscalation(mQuery, 0, 0.95).mIndex);
  UNSIGNED_LONGS_EQUAL(2, ChooseEscalation(mQuery, 2, 0.1).mIndex);
  mQuery.mAnswerValue = 0.5;
  UNSIGNED_LONGS_EQUAL(0, ChooseEscalation(mQuery, 0, 0.1).mIndex);
}

TEST(ModelChoice, SmallModelIsPreferredOnBusyEngines)
{
  mQuery.mEngineSecondPrice = EngineSecondPrice(0.05, 4);
  DOUBLES_EQUAL(0, mQuery.mEngineSecondPrice, 1e-9);
  mQuery.mEngineSecondPrice = EngineSecondPrice(0.6, 8);
  UNSIGNED_LONGS_EQUAL(0, ChooseModel(mQuery).mIndex);
  UNSIGNED_LONGS_EQUAL(0, ChooseEscalation(mQuery, 0, 0.45).mIndex);
}

/// Simulates requests with evenly distributed difficulty, models that answer
/// well up to a difficulty equal to their quality, and a confidence that is the
/// margin with noise. The cascade is compared with the largest model alone and
/// with an oracle that knows the smallest sufficient model.
TEST(ModelChoice, CascadeHasHigherNetValueThanTheLargestModelAlone)
{
  Random random(5);
  double cascade = 0;
  double largest = 0;
  double oracle = 0;
  constexpr int kRequests = 5000;
  for (int request = 0; request < kRequests; ++request) {
    const double difficulty = random.Unit();
    const auto confidence = [&](double aQuality) {
      const double noise = 0.15 * std::sqrt(-2 * std::log(1 - random.Unit())) *
                           std::cos(6.2831853 * random.Unit());
      return std::clamp(0.5 + 1.8 * (aQuality - difficulty) + noise, 0.0, 1.0);
    };
    largest += mQuery.mAnswerValue - mQuery.mModels[2].mCost;
    const std::size_t first = ChooseModel(mQuery).mIndex;
    const ModelView& model = mQuery.mModels[first];
    cascade -= model.mCost;
    const std::size_t final =
      ChooseEscalation(mQuery, first, confidence(model.mQuality)).mIndex;
    cascade -= final == first ? 0 : mQuery.mModels[final].mCost;
    cascade +=
      difficulty <= mQuery.mModels[final].mQuality ? mQuery.mAnswerValue : 0;
    const bool smallSuffices = difficulty <= mQuery.mModels[0].mQuality;
    oracle += mQuery.mAnswerValue - mQuery.mModels[smallSuffices ? 0 : 2].mCost;
  }
  CHECK(cascade > largest * 1.04);
  CHECK(cascade > oracle * 0.95);
}
