#include <Acaciavale/LibRelay/StoreReaders.h>

#include <CppUTest/TestHarness.h>
#include <map>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

TEST_GROUP(StoreReaders){
  static std::vector<std::string> Vms(std::size_t aCount){
    std::vector<std::string> names;
for (std::size_t vm = 0; vm < aCount; ++vm) {
  names.push_back("vm-" + std::to_string(1000 + vm));
}
return names;
}
}
;

TEST(StoreReaders, ReaderCountGrowsSlowlyAndTheLoadIsEven)
{
  for (const std::size_t count : { 3U, 8U, 74U, 330U }) {
    const auto vms = Vms(count);
    std::map<std::string, int> vmsByReader;
    std::size_t readers = 0;
    for (const std::string& vm : vms) {
      readers += IsReader(vms, vm) ? 1 : 0;
      if (const auto reader = ReaderFor(vms, vm, 0)) {
        CHECK(IsReader(vms, *reader));
        vmsByReader[*reader] += 1;
      }
    }
    UNSIGNED_LONGS_EQUAL(ReaderCount(count), readers);
    CHECK(readers <= 2 + count / 15);
    for (const auto& [reader, vmCount] : vmsByReader) {
      CHECK(vmCount <= 17);
    }
  }
}

TEST(StoreReaders, NextAttemptSelectsAnotherReader)
{
  const auto vms = Vms(8);
  CHECK(ReaderFor(vms, vms[5], 0) != ReaderFor(vms, vms[5], 1));
  CHECK(ReaderFor(vms, vms[5], 0) == ReaderFor(vms, vms[5], 2));
}

TEST(StoreReaders, UnlistedVmReadsTheStoreItself)
{
  CHECK(IsReader({}, "vm"));
  CHECK(IsReader(Vms(8), "vm-9999"));
  CHECK_FALSE(ReaderFor(Vms(8), "vm-9999", 0).has_value());
}

TEST(StoreReaders, ChangePropagatesWithinTheBound)
{
  const Duration bound = std::chrono::seconds(2);
  const PollIntervals intervals = PollIntervalsWithin(bound);
  CHECK(intervals.mReaderInterval + intervals.mNonReaderInterval <
        bound * 6 / 10);
  CHECK(intervals.mMaximumSnapshotAge + intervals.mNonReaderInterval <
        bound * 3 / 4);
  CHECK(intervals.mMaximumSnapshotAge > intervals.mReaderInterval);
}

TEST(StoreReaders, ReaderWithoutStoreAccessAsksAnotherReader)
{
  const auto vms = Vms(40);
  const std::size_t readers = ReaderCount(vms.size());
  for (std::size_t self = 0; self < readers; ++self) {
    CHECK_FALSE(ReaderFor(vms, vms[self], 0).has_value());
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
      const auto other = ReaderFor(vms, vms[self], attempt, false);
      CHECK(other.has_value());
      CHECK(*other != vms[self]);
      CHECK(IsReader(vms, *other));
    }
  }
  CHECK_FALSE(ReaderFor(Vms(1), Vms(1).front(), 0, false).has_value());
  CHECK_FALSE(ReaderFor({}, "vm", 0, false).has_value());
}

TEST(StoreReaders, RetryDelayGrowsUpToALimit)
{
  Duration sum{};
  for (std::size_t failures = 1; failures <= 10; ++failures) {
    CHECK(RetryDelay(failures) >= RetryDelay(failures - 1));
    sum += RetryDelay(failures);
  }
  // A VM without access to the store for nine seconds makes ten calls; with a
  // constant initial delay, it would make thirty. It reconnects within two
  // seconds.
  CHECK(sum > std::chrono::milliseconds(8500));
  CHECK(RetryDelay(100) <= std::chrono::seconds(1));
}
