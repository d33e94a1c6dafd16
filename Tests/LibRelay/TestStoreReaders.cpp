#include <Acaciavale/LibRelay/StoreReaders.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <set>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

/// Returns VMs that are spread evenly over the failure domains. Every tenth has
/// a fast link.
std::vector<ListedVm> Vms(std::size_t aCount, std::size_t aDomains = 1)
{
  std::vector<ListedVm> vms;
  for (std::size_t vm = 0; vm < aCount; ++vm) {
    vms.push_back({ "vm-" + std::to_string(1000 + vm),
                    "domain-" + std::to_string(vm % aDomains),
                    vm % 10 == 9 ? 200.0 : 20.0 });
  }
  return vms;
}

const ListedVm& Named(const std::vector<ListedVm>& aVms,
                      const std::string& aName)
{
  return *std::find_if(aVms.begin(), aVms.end(), [&aName](const auto& aVm) {
    return aVm.mName == aName;
  });
}

} // namespace

TEST_GROUP(StoreReaders){};

TEST(StoreReaders, ReaderCountGrowsSlowlyAndTheLoadIsEven)
{
  for (const std::size_t count : { 3U, 8U, 74U, 330U, 1000U }) {
    const auto vms = Vms(count, 3);
    const auto readers = SelectReaders(vms);
    std::map<std::string, int> vmsByReader;
    for (const ListedVm& vm : vms) {
      if (const auto reader = ReaderFor(vms, readers, vm, 0)) {
        CHECK(IsReader(readers, *reader));
        vmsByReader[*reader] += 1;
      }
    }
    UNSIGNED_LONGS_EQUAL(ReaderCount(count), readers.size());
    CHECK(readers.size() <= 2 + count / 15);
    for (const auto& [reader, vmCount] : vmsByReader) {
      CHECK(vmCount <= 17);
    }
  }
}

/// The loss of a failure domain must not take the readers of the others with
/// it, and the answers of a reader should stay in its domain.
TEST(StoreReaders, EachFailureDomainHasReadersOfItsOwn)
{
  const auto vms = Vms(295, 6);
  const auto readers = SelectReaders(vms);
  std::map<std::string, int> readersByDomain;
  for (const ListedVm& reader : readers) {
    readersByDomain[reader.mFailureDomain] += 1;
  }
  UNSIGNED_LONGS_EQUAL(6, readersByDomain.size());
  for (const auto& [domain, count] : readersByDomain) {
    CHECK(static_cast<std::size_t>(count) <= (readers.size() + 5) / 6);
  }
  for (const ListedVm& vm : vms) {
    if (const auto reader = ReaderFor(vms, readers, vm, 0)) {
      STRCMP_EQUAL(vm.mFailureDomain.c_str(),
                   Named(vms, *reader).mFailureDomain.c_str());
    }
  }
}

/// The VMs that are not listed are spread as well, though not as evenly.
TEST(StoreReaders, UnlistedVmsAreSpreadOverTheReaders)
{
  const auto vms = Vms(96, 6);
  const auto readers = SelectReaders(vms);
  std::set<std::string> asked;
  for (int index = 0; index < 200; ++index) {
    const ListedVm self{ "unlisted-" + std::to_string(index),
                         "domain-" + std::to_string(index % 6),
                         20 };
    const auto reader = ReaderFor(vms, readers, self, 0);
    CHECK(reader.has_value());
    asked.insert(*reader);
  }
  UNSIGNED_LONGS_EQUAL(readers.size(), asked.size());
}

TEST(StoreReaders, ReadersHaveTheFastestLinks)
{
  for (const ListedVm& reader : SelectReaders(Vms(295, 3))) {
    DOUBLES_EQUAL(200, reader.mLinkMbps, 0);
  }
}

TEST(StoreReaders, NextAttemptSelectsAnotherReader)
{
  const auto vms = Vms(8);
  const auto readers = SelectReaders(vms);
  CHECK(ReaderFor(vms, readers, vms[5], 0) !=
        ReaderFor(vms, readers, vms[5], 1));
  CHECK(ReaderFor(vms, readers, vms[5], 0) ==
        ReaderFor(vms, readers, vms[5], 2));
}

/// All readers of the own failure domain are asked before those of another.
TEST(StoreReaders, AttemptsLeaveTheFailureDomainLast)
{
  const auto vms = Vms(295, 6);
  const auto readers = SelectReaders(vms);
  const ListedVm& self = vms[100];
  std::set<std::string> asked;
  bool hasLeftTheDomain = false;
  for (std::size_t attempt = 0; attempt < readers.size(); ++attempt) {
    const auto reader = ReaderFor(vms, readers, self, attempt, false);
    const bool isNear =
      Named(vms, *reader).mFailureDomain == self.mFailureDomain;
    CHECK_FALSE(isNear && hasLeftTheDomain);
    hasLeftTheDomain = hasLeftTheDomain || !isNear;
    asked.insert(*reader);
  }
  UNSIGNED_LONGS_EQUAL(readers.size(), asked.size());
}

/// A VM that was cut off was so most likely together with its failure domain.
TEST(StoreReaders, WitnessesOfAnOutageAreOfOtherFailureDomainsFirst)
{
  const auto vms = Vms(8, 4);
  const auto readers = SelectReaders(vms);
  for (const ListedVm& self : vms) {
    const auto witnesses = OutageWitnesses(readers, self);
    CHECK(!witnesses.empty());
    CHECK(witnesses.size() <= 3);
    for (const std::string& witness : witnesses) {
      CHECK(witness != self.mName);
      CHECK(Named(vms, witness).mFailureDomain != self.mFailureDomain ||
            witnesses.size() == 1 || witness == witnesses.back());
    }
  }
  CHECK(OutageWitnesses(SelectReaders({ vms[0] }), vms[0]).empty());
}

TEST(StoreReaders, AFleetOfOneVmHasItAsReader)
{
  const ListedVm self{ "vm", "domain", 20 };
  CHECK(IsReader(SelectReaders({ self }), "vm"));
  CHECK_FALSE(
    ReaderFor({ self }, SelectReaders({ self }), self, 0).has_value());
  CHECK(SelectReaders({}).empty());
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
  const auto readers = SelectReaders(vms);
  for (const ListedVm& self : readers) {
    CHECK_FALSE(ReaderFor(vms, readers, self, 0).has_value());
    for (std::size_t attempt = 0; attempt < 4; ++attempt) {
      const auto other = ReaderFor(vms, readers, self, attempt, false);
      CHECK(other.has_value());
      CHECK(*other != self.mName);
      CHECK(IsReader(readers, *other));
    }
  }
  const ListedVm self{ "vm", "domain", 20 };
  CHECK_FALSE(
    ReaderFor({ self }, SelectReaders({ self }), self, 0, false).has_value());
  CHECK_FALSE(ReaderFor({}, {}, self, 0, false).has_value());
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
