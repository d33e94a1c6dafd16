#include <Acaciavale/LibBilling/Ledger.h>
#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Random.h>

#include <atomic>
#include <benchmark/benchmark.h>
#include <map>
#include <mutex>
#include <thread>

/// Measures the cost of billing: entries per second through Billing, the size
/// of a ledger and of the archive, and the time a holder spends per entry.

namespace {

using namespace Acaciavale;

constexpr int kAccountCount = 20;

/// In-memory key-value store that never fails. It counts the writes and the
/// bytes written.
class InMemoryStore
{
public:
  KeyValueStore Store()
  {
    KeyValueStore store;
    store.mRead = [this](const std::string& aKey) { return Read(aKey); };
    store.mList = [this](const std::string& aPrefix) { return List(aPrefix); };
    store.mCompareAndSwap = [this](const CompareAndSwap& aWrite) {
      return Write(aWrite);
    };
    store.mRemove = [this](const std::string& aKey, std::int64_t) {
      return Remove(aKey);
    };
    return store;
  }

  std::int64_t WriteCount() const { return mRevision; }
  std::int64_t BytesWritten() const { return mBytes; }

private:
  ErrorOr<std::optional<KeyValueEntry>> Read(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    const auto found = mEntries.find(aKey);
    return found == mEntries.end() ? std::optional<KeyValueEntry>{}
                                   : std::optional{ found->second };
  }

  ErrorOr<std::vector<KeyValueEntry>> List(const std::string& aPrefix)
  {
    const std::lock_guard lock(mMutex);
    std::vector<KeyValueEntry> entries;
    for (const auto& [key, entry] : mEntries) {
      if (key.starts_with(aPrefix)) {
        entries.push_back(entry);
      }
    }
    return entries;
  }

  ErrorOr<std::int64_t> Write(const CompareAndSwap& aWrite)
  {
    const std::lock_guard lock(mMutex);
    mBytes += static_cast<std::int64_t>(aWrite.mValue.size());
    mEntries[aWrite.mKey] = { aWrite.mKey, aWrite.mValue, ++mRevision };
    return mRevision;
  }

  ErrorOr<void> Remove(const std::string& aKey)
  {
    const std::lock_guard lock(mMutex);
    mEntries.erase(aKey);
    return {};
  }

  std::mutex mMutex;
  std::map<std::string, KeyValueEntry> mEntries;
  std::int64_t mRevision = 0;
  std::int64_t mBytes = 0;
};

BillEntry MakeEntry(std::uint64_t aNumber)
{
  BillEntry entry;
  entry.mRequestId = "0123456789abcdef0123456789abcdef";
  entry.mAccount = "account-" + std::to_string(aNumber % kAccountCount);
  entry.mModel = "planning";
  entry.mVersion = "2026-11";
  entry.mCharge = { 250 };
  return entry;
}

/// Records entries of one VM that are held in two failure domains. The wall
/// time is per entry.
void RecordGrouped(benchmark::State& aState)
{
  InMemoryStore memory;
  BillingOptions options;
  options.mVm = "vm";
  const std::size_t holders = 2;
  Billing billing(
    options,
    memory.Store(),
    [](const std::vector<BillEntry>&) { return holders; },
    1);
  std::uint64_t number = 0;
  std::atomic<std::uint64_t> durable = 0;
  for (auto _ : aState) {
    billing.Record(MakeEntry(++number), [&durable](bool) { ++durable; });
  }
  while (durable < number) {
    std::this_thread::yield();
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(number));
  aState.counters["entries_per_group"] =
    static_cast<double>(number) /
    static_cast<double>(billing.Counts().mHolderMessages);
}
BENCHMARK(RecordGrouped)->UseRealTime();

/// Records entries without holders, so that each group is one ledger write to
/// the store.
void RecordInStore(benchmark::State& aState)
{
  InMemoryStore memory;
  BillingOptions options;
  options.mVm = "vm";
  Billing billing(options, memory.Store(), {}, 1);
  std::uint64_t number = 0;
  std::atomic<std::uint64_t> durable = 0;
  for (auto _ : aState) {
    billing.Record(MakeEntry(++number), [&durable](bool) { ++durable; });
  }
  while (durable < number) {
    std::this_thread::yield();
  }
  aState.SetItemsProcessed(static_cast<std::int64_t>(number));
  aState.counters["entries_per_write"] =
    static_cast<double>(number) / static_cast<double>(memory.WriteCount());
  aState.counters["bytes_per_write"] =
    static_cast<double>(memory.BytesWritten()) /
    static_cast<double>(memory.WriteCount());
}
BENCHMARK(RecordInStore)->UseRealTime();

/// Measures the time a holder needs to store a group of entries and to discard
/// it.
void HoldAndForget(benchmark::State& aState)
{
  HeldEntries held;
  const Incarnation owner{ "vm", "nonce" };
  std::vector<BillEntry> group;
  for (std::int64_t number = 1; number <= aState.range(0); ++number) {
    group.push_back(MakeEntry(static_cast<std::uint64_t>(number)));
    group.back().mIncarnation = owner;
    group.back().mNumber = static_cast<std::uint64_t>(number);
  }
  for (auto _ : aState) {
    held.Hold(group);
    held.DiscardUpTo(owner, group.size());
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
}
BENCHMARK(HoldAndForget)->Arg(20)->Arg(200);

/// Measures the time to fold one more closed ledger into the archive, and the
/// size of the archive, after the given number of incarnations were folded.
void FoldInto(benchmark::State& aState)
{
  InMemoryStore memory;
  const KeyValueStore store = memory.Store();
  Random random(1);
  const auto closeNewLedger = [&] {
    BillEntry entry = MakeEntry(1);
    entry.mIncarnation = { "vm-" + std::to_string(random.Below(330)),
                           RandomToken(random) };
    entry.mNumber = 1;
    benchmark::DoNotOptimize(CloseLedger(store, entry.mIncarnation, { entry }));
  };
  for (std::int64_t number = 0; number < aState.range(0); ++number) {
    closeNewLedger();
  }
  benchmark::DoNotOptimize(FoldLedgers(store));
  for (auto _ : aState) {
    aState.PauseTiming();
    closeNewLedger();
    aState.ResumeTiming();
    benchmark::DoNotOptimize(FoldLedgers(store));
  }
  const auto archive = store.mRead("bills/archive");
  aState.counters["archive_bytes"] =
    static_cast<double>((*archive)->mValue.size());
  aState.counters["incarnations"] =
    static_cast<double>(ReadBillReport(store)->mFoldedIncarnations);
}
BENCHMARK(FoldInto)->Arg(100)->Arg(1500)->Iterations(50);

} // namespace

int main(int aCount, char** aArguments)
{
  ConfigureLog(LogLevel::Error, LogFormat::Text);
  benchmark::Initialize(&aCount, aArguments);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
