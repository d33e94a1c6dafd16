#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/PromptLatencyModel.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

/// Latency of the deployments' engines: a constant wait in seconds, and seconds
/// per prompt token.
constexpr double kBaseSeconds = 0.08;
constexpr double kSecondsPerToken = 0.00007;

double ActualSeconds(double aTokens)
{
  return kBaseSeconds + kSecondsPerToken * aTokens;
}

} // namespace

TEST_GROUP(PromptLatencyModel){};

TEST(PromptLatencyModel, LongPromptIsNotEstimatedByTheMeanOfSecondsPerToken)
{
  // Nine prompts of ten are short. The mean of the seconds per token would
  // estimate more than twice the actual time for a prompt of 30,000 tokens.
  Random random(5);
  PromptLatencyModel model;
  for (int prompt = 0; prompt < 300; ++prompt) {
    const bool isLong = random.Below(10) == 0;
    const double tokens =
      isLong ? 4000.0 + random.Below(20000) : 200.0 + random.Below(1500);
    const double spread = 0.5 + random.Below(1001) / 1000.0;
    model = WithSample(model, tokens, ActualSeconds(tokens) * spread);
  }
  for (const double tokens : { 500.0, 5000.0, 30000.0 }) {
    const double expected = SecondsToFirstEvent(model, tokens);
    CHECK(expected > 0.6 * ActualSeconds(tokens));
    CHECK(expected < 1.6 * ActualSeconds(tokens));
  }
}

TEST(PromptLatencyModel, SamplesOfOneLengthDoNotChangeTheSecondsPerToken)
{
  PromptLatencyModel model;
  for (int prompt = 0; prompt < 100; ++prompt) {
    model = WithSample(model, 800, 0.5);
  }
  DOUBLES_EQUAL(0.5, SecondsToFirstEvent(model, 800), 0.001);
  DOUBLES_EQUAL(SecondsPerToken({}), SecondsPerToken(model), 1e-9);
}

TEST(PromptLatencyModel, SecondsPerTokenAndBaseLatencyAreNeverNegative)
{
  // Long prompts arrived at idle engines by chance, short ones at busy engines.
  PromptLatencyModel model;
  for (int prompt = 0; prompt < 100; ++prompt) {
    model = WithSample(
      model, prompt % 2 == 0 ? 300 : 9000, prompt % 2 == 0 ? 2.0 : 0.2);
  }
  DOUBLES_EQUAL(0, SecondsPerToken(model), 1e-9);
  CHECK(SecondsToFirstEvent(model, 0) > 0);
  PromptLatencyModel steep;
  for (int prompt = 0; prompt < 100; ++prompt) {
    steep = WithSample(
      steep, prompt % 2 == 0 ? 1000 : 9000, prompt % 2 == 0 ? 0.001 : 4.0);
  }
  CHECK(SecondsToFirstEvent(steep, 10) >= 0);
}

TEST(PromptLatencyModel, AdaptsToAChangedLatency)
{
  PromptLatencyModel model;
  for (int prompt = 0; prompt < 200; ++prompt) {
    model = WithSample(model, 500.0 + 40 * (prompt % 50), 0.1);
  }
  for (int prompt = 0; prompt < 200; ++prompt) {
    model = WithSample(model, 500.0 + 40 * (prompt % 50), 0.4);
  }
  DOUBLES_EQUAL(0.4, SecondsToFirstEvent(model, 1500), 0.05);
}
