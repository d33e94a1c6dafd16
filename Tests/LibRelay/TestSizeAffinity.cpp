#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/SizeAffinity.h>

#include <CppUTest/TestHarness.h>
#include <array>
#include <map>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

/// Work of the prompts at the licensing desk with one model: one in seven is
/// long.
constexpr double kShortSeconds = 0.02;
constexpr double kLongSeconds = 0.3;

PromptWorkMix MixOfTheDesk()
{
  PromptWorkMix mix;
  for (int prompt = 0; prompt < 700; ++prompt) {
    const double seconds = prompt % 7 == 0 ? kLongSeconds : kShortSeconds;
    mix = WithPrompt(mix, seconds, seconds);
  }
  return mix;
}

std::vector<std::uint64_t> Keys(std::size_t aCount)
{
  std::vector<std::uint64_t> keys(aCount);
  for (std::size_t index = 0; index < aCount; ++index) {
    keys[index] = HashOf("engine-" + std::to_string(index));
  }
  return keys;
}

} // namespace

TEST_GROUP(SizeAffinity){};

/// Guards against a split that takes endpoints away while capacity is free: a
/// fixed one cost the quiet days.
TEST(SizeAffinity, HasNoEffectWithoutStrain)
{
  const PromptWorkMix mix = MixOfTheDesk();
  DOUBLES_EQUAL(0, SizeAffinityStrength(0), 1e-9);
  DOUBLES_EQUAL(0, SizeAffinityStrength(0.1), 1e-9);
  CHECK(SizeAffinityStrength(0.3) > 0);
  DOUBLES_EQUAL(1, SizeAffinityStrength(2), 1e-9);
  for (std::uint32_t rank = 0; rank < 10; ++rank) {
    DOUBLES_EQUAL(
      0, SizeAffinitySeconds({ rank, 10 }, mix, kLongSeconds, 0), 1e-9);
    DOUBLES_EQUAL(
      0, SizeAffinitySeconds({ rank, 10 }, mix, kShortSeconds, 0), 1e-9);
  }
}

TEST(SizeAffinity, LongAndShortPromptsPreferDifferentEndpoints)
{
  const PromptWorkMix mix = MixOfTheDesk();
  // Of 0.3 + 6 * 0.02, 0.3 is the work of long prompts: seven of ten endpoints.
  DOUBLES_EQUAL(0.71, LongWorkShare(mix), 0.05);
  DOUBLES_EQUAL(0, SizeAffinitySeconds({ 0, 10 }, mix, kLongSeconds, 1), 1e-9);
  // Each long prompt delays six short ones.
  DOUBLES_EQUAL(6 * kLongSeconds,
                SizeAffinitySeconds({ 9, 10 }, mix, kLongSeconds, 1),
                0.1);
  DOUBLES_EQUAL(0, SizeAffinitySeconds({ 9, 10 }, mix, kShortSeconds, 1), 1e-9);
  DOUBLES_EQUAL(6 * kLongSeconds / 2,
                SizeAffinitySeconds({ 0, 10 }, mix, kShortSeconds, 1),
                0.1);
}

/// Guards against a share of endpoints that is too small for the long prompts,
/// or leaves the others idle, in pools of any size.
TEST(SizeAffinity, ShareOfEndpointsIsTheShareOfTheWork)
{
  for (const std::uint32_t count : { 2U, 5U, 37U, 112U }) {
    for (const double share : { 0.0, 0.1, 0.5, 0.77, 1.0 }) {
      double sum = 0;
      for (std::uint32_t rank = 0; rank < count; ++rank) {
        sum += LongShareOfEndpoint({ rank, count }, share);
      }
      DOUBLES_EQUAL(share * count, sum, 1e-9);
    }
  }
}

/// Guards against a cost without limit, and so an exclusion, some time after
/// the last long prompt.
TEST(SizeAffinity, CostIsLimitedWhereLongPromptsAreRare)
{
  PromptWorkMix mix = MixOfTheDesk();
  for (int prompt = 0; prompt < 600; ++prompt) {
    mix = WithPrompt(mix, kShortSeconds, kShortSeconds);
  }
  CHECK(mix.mLongShare < 0.001);
  CHECK(SizeAffinitySeconds({ 9, 10 }, mix, kLongSeconds, 1) <=
        8.01 * kLongSeconds);
  CHECK(SizeAffinitySeconds({ 0, 10 }, mix, kShortSeconds, 1) <=
        4.01 * kLongSeconds);
}

/// Guards against a split of a pool whose prompts are all alike.
TEST(SizeAffinity, HasNoEffectOnPromptsOfOneSizeOrOneEndpoint)
{
  PromptWorkMix mix;
  DOUBLES_EQUAL(0, SizeAffinitySeconds({ 0, 5 }, mix, 1, 1), 1e-9);
  Random random(4);
  for (int prompt = 0; prompt < 300; ++prompt) {
    const double seconds = 0.1 + 0.05 * random.Unit();
    mix = WithPrompt(mix, seconds, seconds);
  }
  for (std::uint32_t rank = 0; rank < 5; ++rank) {
    DOUBLES_EQUAL(0, SizeAffinitySeconds({ rank, 5 }, mix, 0.12, 1), 1e-9);
  }
  DOUBLES_EQUAL(
    0, SizeAffinitySeconds({ 0, 1 }, MixOfTheDesk(), kLongSeconds, 1), 1e-9);
}

/// Guards against VMs with different lists of endpoints that disagree on most
/// positions, so that each sends long prompts to the others' short endpoints.
TEST(SizeAffinity, OrderDependsLittleOnTheListOfEndpoints)
{
  const std::vector<std::uint64_t> all = Keys(37);
  std::vector<std::uint64_t> fewer = all;
  fewer.erase(fewer.begin() + 5);
  std::vector<std::uint64_t> reversed(all.rbegin(), all.rend());
  const auto positions = SizePositions(all);
  const auto positionsOfFewer = SizePositions(fewer);
  const auto positionsReversed = SizePositions(reversed);
  int moved = 0;
  for (std::size_t index = 0; index < all.size(); ++index) {
    CHECK(positions[index] == positionsReversed[all.size() - 1 - index]);
    if (index != 5) {
      const auto rank = positionsOfFewer[index - (index > 5 ? 1 : 0)].mRank;
      CHECK(rank == positions[index].mRank ||
            rank + 1 == positions[index].mRank);
      const double before = LongShareOfEndpoint(positions[index], 0.5);
      const double after =
        LongShareOfEndpoint(positionsOfFewer[index - (index > 5 ? 1 : 0)], 0.5);
      moved += before == after ? 0 : 1;
    }
  }
  CHECK(moved <= 2);
}

/// A pool with ten engines under strain that receives the load of the desk.
TEST_GROUP(SizeAffinityOfEndpoints)
{
  EndpointRegistry mRegistry;
  Random mRandom{ 3 };
  EndpointSelectionQuery mQuery;

  static TimePoint At(double aSeconds)
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  static AttemptWork Work(bool aIsLong)
  {
    AttemptWork work;
    work.mModel = "small";
    work.mPromptTokens = aIsLong ? 12000 : 800;
    return work;
  }

  void setup() override
  {
    mQuery.mPool = "pool";
    std::vector<EndpointRecord> records(10);
    for (std::size_t index = 0; index < records.size(); ++index) {
      records[index].mId = "engine-" + std::to_string(index);
      records[index].mPool = "pool";
      records[index].mAddress = "127.0.0.1:1";
      records[index].mSlots = 16;
    }
    mRegistry.Replace(records, At(0));
  }

  void StrainPool(double aGoalRatio)
  {
    for (int sample = 0; sample < 200; ++sample) {
      mRegistry.RecordFirstEventGoalRatio("pool", aGoalRatio);
    }
  }

  /// Places prompts that are read at once, and counts the endpoints that
  /// received prompts of both sizes.
  int CountMixedEndpoints()
  {
    std::map<std::string, std::array<int, 2>> received;
    for (int request = 0; request < 1400; ++request) {
      const bool isLong = request % 7 == 0;
      const TimePoint now = At(request * 0.01);
      mQuery.mWork = Work(isLong);
      const auto endpoint = mRegistry.Choose(mQuery, mRandom, now).mEndpoint;
      const double seconds = isLong ? kLongSeconds : kShortSeconds;
      mRegistry.RecordAttempt(*endpoint, mQuery.mWork, now);
      mRegistry.RecordFirstEvent(*endpoint, mQuery.mWork, seconds, now);
      mRegistry.RecordEnd(*endpoint, mQuery.mWork, true, {}, now);
      if (request >= 200) {
        received[endpoint->mRecord.mId][isLong ? 1 : 0] += 1;
      }
    }
    int mixed = 0;
    for (const auto& [id, counts] : received) {
      mixed += counts[0] > 0 && counts[1] > 0 ? 1 : 0;
    }
    return mixed;
  }
};

/// Guards against short prompts behind long ones under strain, and against
/// endpoints that are dedicated while the pool has spare capacity.
TEST(SizeAffinityOfEndpoints, SizesAreSeparatedOnlyUnderStrain)
{
  CHECK(CountMixedEndpoints() >= 8);
  StrainPool(0.6);
  CHECK(CountMixedEndpoints() <= 3);
}

/// Guards against an exclusion: a long prompt takes an endpoint of the short
/// ones if those of the long ones are tried, and its own first event is not
/// expected later for the preference.
TEST(SizeAffinityOfEndpoints, PreferenceExcludesNoEndpoint)
{
  StrainPool(0.6);
  CountMixedEndpoints();
  mQuery.mWork = Work(true);
  for (int attempt = 0; attempt < 10; ++attempt) {
    const auto selection = mRegistry.Choose(mQuery, mRandom, At(60));
    CHECK(selection.mEndpoint != nullptr);
    CHECK(selection.mExpectedFirstEventSeconds < 2 * kLongSeconds);
    mQuery.mTriedEndpoints.push_back(selection.mEndpoint.get());
  }
}

/// Guards against long prompts that queue behind each other while endpoints of
/// the short ones are free: the preference is worth a few prompts, not more.
TEST(SizeAffinityOfEndpoints, BacklogOutweighsThePreference)
{
  StrainPool(0.6);
  CountMixedEndpoints();
  mQuery.mWork = Work(true);
  std::map<std::string, int> placed;
  for (int prompt = 0; prompt < 40; ++prompt) {
    const auto endpoint = mRegistry.Choose(mQuery, mRandom, At(60)).mEndpoint;
    mRegistry.RecordAttempt(*endpoint, mQuery.mWork, At(60));
    placed[endpoint->mRecord.mId] += 1;
  }
  UNSIGNED_LONGS_EQUAL(10, placed.size());
}

/// Guards against short prompts that count as long because most prompts have
/// cached parts: sizes are compared as if nothing were cached.
TEST(SizeAffinity, CachedPartsDoNotChangeTheSize)
{
  PromptWorkMix mix;
  for (int prompt = 0; prompt < 200; ++prompt) {
    mix = WithPrompt(mix, kShortSeconds, prompt % 10 == 0 ? kShortSeconds : 0);
  }
  CHECK(!IsLongPrompt(mix, kShortSeconds));
  CHECK(mix.mMeanUnreadSeconds < 0.2 * mix.mMeanSeconds);
}
