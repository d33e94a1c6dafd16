#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/PromptPace.h>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

/// What engines of the deployments take: a wait, and the reading of the prompt.
constexpr double kWait = 0.08;
constexpr double kPerToken = 0.00007;

double TrueSeconds(double aTokens)
{
  return kWait + kPerToken * aTokens;
}

} // namespace

TEST_GROUP(PromptPace){};

TEST(PromptPace, ALongPromptIsNotTakenForManyShortOnes)
{
  // Nine short prompts for a long one. By the mean ratio a prompt of 30,000
  // tokens would be expected to take over twice as long as it does.
  Random random(5);
  PromptPace pace;
  for (int prompt = 0; prompt < 300; ++prompt) {
    const bool isLong = random.Below(10) == 0;
    const double tokens =
      isLong ? 4000.0 + random.Below(20000) : 200.0 + random.Below(1500);
    const double spread = 0.5 + random.Below(1001) / 1000.0;
    pace = WithMeasured(pace, tokens, TrueSeconds(tokens) * spread);
  }
  for (const double tokens : { 500.0, 5000.0, 30000.0 }) {
    const double expected = SecondsToFirst(pace, tokens);
    CHECK(expected > 0.6 * TrueSeconds(tokens));
    CHECK(expected < 1.6 * TrueSeconds(tokens));
  }
}

TEST(PromptPace, PromptsOfOneLengthTellNothingOfTheRate)
{
  PromptPace pace;
  for (int prompt = 0; prompt < 100; ++prompt) {
    pace = WithMeasured(pace, 800, 0.5);
  }
  DOUBLES_EQUAL(0.5, SecondsToFirst(pace, 800), 0.001);
  DOUBLES_EQUAL(SecondsPerToken({}), SecondsPerToken(pace), 1e-9);
}

TEST(PromptPace, TheRateIsNeverNegativeAndTheWaitNeither)
{
  // Long prompts happened to meet idle engines, short ones busy ones.
  PromptPace pace;
  for (int prompt = 0; prompt < 100; ++prompt) {
    pace = WithMeasured(
      pace, prompt % 2 == 0 ? 300 : 9000, prompt % 2 == 0 ? 2.0 : 0.2);
  }
  DOUBLES_EQUAL(0, SecondsPerToken(pace), 1e-9);
  CHECK(SecondsToFirst(pace, 0) > 0);
  PromptPace steep;
  for (int prompt = 0; prompt < 100; ++prompt) {
    steep = WithMeasured(
      steep, prompt % 2 == 0 ? 1000 : 9000, prompt % 2 == 0 ? 0.001 : 4.0);
  }
  CHECK(SecondsToFirst(steep, 10) >= 0);
}

TEST(PromptPace, WhatChangedIsLearnt)
{
  PromptPace pace;
  for (int prompt = 0; prompt < 200; ++prompt) {
    pace = WithMeasured(pace, 500.0 + 40 * (prompt % 50), 0.1);
  }
  for (int prompt = 0; prompt < 200; ++prompt) {
    pace = WithMeasured(pace, 500.0 + 40 * (prompt % 50), 0.4);
  }
  DOUBLES_EQUAL(0.4, SecondsToFirst(pace, 1500), 0.05);
}
