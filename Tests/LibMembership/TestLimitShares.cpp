#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibMembership/LimitShares.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <map>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

using namespace std::chrono_literals;

constexpr double kRounding = 1e-9;

LimitOptions OptionsOf(std::size_t aVm)
{
  LimitOptions options;
  options.mVm = "vm-" + std::to_string(aVm);
  return options;
}

double ReservedSum(const LimitEpoch& aEpoch)
{
  double sum = 0;
  for (const LimitAllocation& allocation : aEpoch.mAllocations) {
    sum += std::max(allocation.mShare, allocation.mFloor);
  }
  return sum;
}

} // namespace

TEST_GROUP(LimitShares){};

TEST(LimitShares, SharesFollowWeightsAndSumToOne)
{
  const LimitEpoch epoch =
    NextEpoch({}, { { "a", 1 }, { "b", 3 } }, {}, UnixMilliseconds(1));
  DOUBLES_EQUAL(1, ReservedSum(epoch), kRounding);
  DOUBLES_EQUAL(
    3, epoch.mAllocations[1].mShare / epoch.mAllocations[0].mShare, 1e-6);
}

TEST(LimitShares, MissingVmKeepsItsFloorForOneDay)
{
  const LimitEpoch first =
    NextEpoch({}, { { "a", 1 }, { "b", 1 } }, {}, UnixMilliseconds(1));
  const LimitEpoch second =
    NextEpoch(first, { { "a", 1 } }, {}, UnixMilliseconds(1000));
  DOUBLES_EQUAL(
    first.mAllocations[1].mFloor, second.mAllocations[1].mFloor, kRounding);
  DOUBLES_EQUAL(
    1 - first.mAllocations[1].mFloor, second.mAllocations[0].mShare, 1e-6);
  const LimitEpoch third =
    NextEpoch(second, { { "a", 1 } }, {}, UnixMilliseconds(90'000'000));
  LONGS_EQUAL(1, third.mAllocations.size());
  DOUBLES_EQUAL(1, third.mAllocations[0].mShare, kRounding);
}

/// VMs join, crash, restart and lose access to the store in random order, while
/// epochs are written for the VMs that can reach it. Guards against shares that
/// sum to more than 1 at any moment.
TEST(LimitShares, SharesInUseNeverSumToMoreThanOne)
{
  constexpr std::size_t kVms = 12;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    Random random(seed);
    TimePoint now{};
    UnixMilliseconds calendar(1);
    LimitEpoch record;
    std::map<std::size_t, LimitState> running;
    std::map<std::size_t, bool> cutOff;
    double highestSum = 0;
    for (int tick = 0; tick < 1500; ++tick) {
      now += 1s;
      calendar += 1s;
      const std::size_t vm = random.Below(kVms);
      switch (random.Below(24)) {
        case 0:
          running.emplace(vm, LimitState{});
          break;
        case 1:
          running.erase(vm);
          break;
        case 2:
          cutOff[vm] = !cutOff[vm];
          break;
        case 3: {
          std::vector<LimitMember> live;
          for (const auto& [index, state] : running) {
            if (!cutOff[index]) {
              live.push_back({ OptionsOf(index).mVm,
                               static_cast<std::int64_t>(1 + index % 3) });
            }
          }
          record = NextEpoch(record, live, OptionsOf(vm), calendar);
          break;
        }
        default:
          break;
      }
      double usedSum = 0;
      for (auto& [index, state] : running) {
        const LimitOptions options = OptionsOf(index);
        if (!cutOff[index] && random.Below(5) == 0) {
          state = ApplyEpoch(state, record, options, now, now);
        }
        usedSum += CurrentLimitShare(state, options, now);
      }
      highestSum = std::max(highestSum, usedSum);
      CHECK(usedSum <= 1 + kRounding);
    }
    CHECK(highestSum > 0.5);
  }
}

TEST(LimitShares, VmThatCannotConfirmTheEpochFallsBackToItsFloor)
{
  const LimitOptions options = OptionsOf(1);
  const LimitEpoch epoch =
    NextEpoch({}, { { "vm-1", 1 } }, options, UnixMilliseconds(1));
  const TimePoint start{};
  LimitState state = ApplyEpoch({}, epoch, options, start, start);
  const TimePoint later = start + 30s;
  state = ApplyEpoch(state, epoch, options, later, later);
  DOUBLES_EQUAL(1, CurrentLimitShare(state, options, later), kRounding);
  DOUBLES_EQUAL(
    0.8 / 16, CurrentLimitShare(state, options, later + 1min), kRounding);
}

TEST(LimitShares, FirstVmWritesTheEpochAndLeavingReleasesTheShare)
{
  FakeKeyValueStore store;
  LimitShares first(OptionsOf(1), store.Store(), 1);
  LimitShares second(OptionsOf(2), store.Store(), 2);
  const std::vector<LimitMember> live{ { "vm-1", 1 }, { "vm-2", 1 } };
  second.Update(live);
  DOUBLES_EQUAL(0, second.Share(), kRounding);
  first.Update(live);
  second.Update(live);
  CHECK(second.Share() > 0);
  second.Leave();
  DOUBLES_EQUAL(0, second.Share(), kRounding);
  const auto record = store.Store().mRead("limits/epoch");
  const auto epoch = ParseLimitEpoch((*record)->mValue);
  LONGS_EQUAL(1, epoch->mAllocations.size());
  CHECK(!ParseLimitEpoch("{\"epoch\":1}"));
}
