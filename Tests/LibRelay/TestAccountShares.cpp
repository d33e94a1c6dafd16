#include <Acaciavale/LibRelay/AccountShares.h>

#include <CppUTest/TestHarness.h>
#include <string>

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

constexpr const char* kPool = "desk";

} // namespace

TEST_GROUP(AccountShares){};

/// Guards against a memory of old bursts: after two half-lives without work, a
/// quarter counts.
TEST(AccountShares, WorkDecays)
{
  AccountWork work;
  AddWork(work, "a", 4, At(0));
  Decay(work, At(2 * InSeconds(kAccountWorkHalfLife)));
  DOUBLES_EQUAL(1, work.mSeconds.at("a"), 1e-9);
  Decay(work, At(1000));
  CHECK(work.mSeconds.empty());
}

/// Guards against unbounded memory if settings list thousands of accounts.
TEST(AccountShares, NumberOfAccountsIsBounded)
{
  AccountWork work;
  for (int account = 0; account < 2000; ++account) {
    AddWork(work, "account-" + std::to_string(account), 0.01, At(0));
    AddWork(work, "large", 0.1, At(0));
  }
  UNSIGNED_LONGS_EQUAL(kMaximumAccounts, work.mSeconds.size());
  CHECK(work.mSeconds.contains("large"));
  UNSIGNED_LONGS_EQUAL(kMaximumReportedAccounts,
                       ReportOf({ { kPool, work } }, At(0)).size());
  STRCMP_EQUAL("large",
               ReportOf({ { kPool, work } }, At(0)).front().mAccount.c_str());
}

/// Guards against shares by number of requests: accounts of equal demand, one
/// of which sends prompts that are ten times as long.
TEST(AccountShares, LongPromptsCountByTheirWork)
{
  AccountWork work;
  for (int request = 0; request < 100; ++request) {
    AddWork(work, "short", 0.02, At(request * 0.01));
    AddWork(work, "long", 0.2, At(request * 0.01));
  }
  const AccountShares shares = SharesOf(work, {}, At(1));
  DOUBLES_EQUAL(10.0 / 11, ShareOf(shares, "long"), 0.001);
  CHECK(RelativeShareOf(shares, "long") > 1);
  CHECK(RelativeShareOf(shares, "short") < 0.2);
  DOUBLES_EQUAL(0, RelativeShareOf(shares, "none"), 0);
}

/// Guards against a preference where none is due: equal accounts and a single
/// account have the relative share of a pool without work, and accounts that
/// are hardly active do not change it.
TEST(AccountShares, EqualAccountsHaveARelativeShareOfOne)
{
  DOUBLES_EQUAL(1, RelativeShareOf({}, "a"), 0);
  AccountWork work;
  AddWork(work, "a", 2, At(0));
  DOUBLES_EQUAL(1, RelativeShareOf(SharesOf(work, {}, At(0)), "a"), 1e-9);
  AddWork(work, "b", 2, At(0));
  DOUBLES_EQUAL(1, RelativeShareOf(SharesOf(work, {}, At(0)), "a"), 1e-9);
  for (int account = 0; account < 50; ++account) {
    AddWork(work, "idle-" + std::to_string(account), 0.001, At(0));
  }
  DOUBLES_EQUAL(1, RelativeShareOf(SharesOf(work, {}, At(0)), "a"), 0.05);
}

/// Guards against double counts between a VM and its reader: the sum that a VM
/// hears does not contain its own work, sums are not passed on, and a VM's
/// newer report replaces its previous one.
TEST(AccountShares, NoVmIsCountedTwice)
{
  std::map<std::string, AccountWork> own;
  AddWork(own[kPool], "a", 1, At(0));
  HeardWork reader;
  RecordReport(reader, "vm-1", { { kPool, "a", 10 } }, At(0));
  RecordReport(reader, "vm-1", { { kPool, "a", 20 } }, At(0));
  RecordReport(reader, "vm-2", { { kPool, "a", 300 } }, At(0));
  RecordSum(reader, { { kPool, "a", 5000 } }, At(0));
  DOUBLES_EQUAL(320, WorkOfOthers(reader, kPool, At(0)).mSeconds.at("a"), 1e-9);
  DOUBLES_EQUAL(301, SumFor("vm-1", own, reader, At(0)).front().mSeconds, 1e-9);
  DOUBLES_EQUAL(21, SumFor("vm-2", own, reader, At(0)).front().mSeconds, 1e-9);
  HeardWork vm;
  RecordSum(vm, { { kPool, "a", 301 } }, At(0));
  // The VM's reader changes, and the new one knows some of the same VMs.
  RecordSum(vm, { { kPool, "a", 290 } }, At(0.5));
  DOUBLES_EQUAL(290, WorkOfOthers(vm, kPool, At(0.5)).mSeconds.at("a"), 1e-9);
  CHECK(WorkOfOthers(vm, "other", At(0.5)).mSeconds.empty());
}

/// Guards against counts of VMs that left: of 16 VMs, each is replaced by one
/// with another name after 20 seconds, without a word. Each has two thirds of
/// its work from account "a". The share that a reader sees stays right, and the
/// work of VMs that are gone adds at most what they had before they left.
TEST(AccountShares, VmsThatComeAndGoLeaveABoundedError)
{
  constexpr std::size_t kVms = 16;
  HeardWork reader;
  // In equilibrium, a VM with one second of work per second counts this much.
  const double steady = InSeconds(kAccountWorkHalfLife) / 0.693147;
  for (std::size_t second = 0; second < 300; ++second) {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      const std::size_t generation = (second + vm) / 20;
      RecordReport(
        reader,
        "vm-" + std::to_string(vm) + "-" + std::to_string(generation),
        { { kPool, "a", steady * 2 / 3 }, { kPool, "b", steady / 3 } },
        At(static_cast<double>(second)));
    }
    DropOldReports(reader, At(static_cast<double>(second)));
    CHECK(reader.mByVm.size() <= 2 * kVms);
    const AccountShares shares =
      SharesOf({},
               WorkOfOthers(reader, kPool, At(static_cast<double>(second))),
               At(static_cast<double>(second)));
    DOUBLES_EQUAL(2.0 / 3, ShareOf(shares, "a"), 1e-9);
    CHECK(shares.mTotal < 1.5 * kVms * steady);
    CHECK(shares.mTotal > 0.99 * kVms * steady);
  }
}

/// Guards against figures that outlive their VM, and against a VM that waits
/// for others: without a word from others, its own counts apply.
TEST(AccountShares, VmThatHearsNobodyGoesByItsOwnCounts)
{
  HeardWork heard;
  RecordReport(heard, "vm-1", { { kPool, "b", 100 } }, At(0));
  RecordSum(heard, { { kPool, "b", 100 } }, At(0));
  AccountWork own;
  AddWork(own, "a", 1, At(13));
  AddWork(own, "b", 0.5, At(13));
  const AccountShares alone =
    SharesOf(own, WorkOfOthers(heard, kPool, At(13)), At(13));
  DOUBLES_EQUAL(2.0 / 3, ShareOf(alone, "a"), 1e-9);
  DropOldReports(heard, At(13));
  CHECK(heard == HeardWork{});
}

/// Guards against memory that names of VMs fill.
TEST(AccountShares, NumberOfReportingVmsIsBounded)
{
  HeardWork heard;
  for (int vm = 0; vm < 1000; ++vm) {
    RecordReport(heard, "vm-" + std::to_string(vm), {}, At(vm * 0.001));
  }
  UNSIGNED_LONGS_EQUAL(kMaximumReportingVms, heard.mByVm.size());
  CHECK(heard.mByVm.contains("vm-999"));
}
