#include <Acaciavale/LibBilling/Ledger.h>

#include <Acaciavale/LibCore/Log.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::hours kNoPeriodicWrite{ 1 };

BillEntry Entry(const std::string& aAccount, std::int64_t aMicros = 5)
{
  BillEntry entry;
  entry.mAccount = aAccount;
  entry.mCharge = { aMicros };
  return entry;
}

bool RecordAndWait(Billing& aBilling, const BillEntry& aEntry)
{
  std::promise<bool> durable;
  aBilling.Record(aEntry,
                  [&durable](bool aDurable) { durable.set_value(aDurable); });
  return durable.get_future().get();
}

bool NoneAlive(const Incarnation&)
{
  return false;
}

} // namespace

TEST_GROUP(Billing)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();
  HeldEntries mFirstHolder;
  HeldEntries mSecondHolder;
  std::size_t mReachableDomains = 2;

  void setup() override
  {
    ConfigureLog(LogLevel::Error, LogFormat::Text);
  }

  std::unique_ptr<Billing> Vm(const std::string& aName)
  {
    BillingOptions options;
    options.mVm = aName;
    options.mLedgerPeriod = kNoPeriodicWrite;
    const auto replicate = [this](const std::vector<BillEntry>& aEntries) {
      if (mReachableDomains > 0) {
        mFirstHolder.Hold(aEntries);
      }
      if (mReachableDomains > 1) {
        mSecondHolder.Hold(aEntries);
      }
      return mReachableDomains;
    };
    const auto notify = [this](const Incarnation& aIncarnation,
                               std::uint64_t aUpTo) {
      mFirstHolder.DiscardUpTo(aIncarnation, aUpTo);
      mSecondHolder.DiscardUpTo(aIncarnation, aUpTo);
    };
    return std::make_unique<Billing>(options, mStore, replicate, 1, notify);
  }

  AccountTotals Totals()
  {
    return ReadTotals(mStore).value();
  }
};

TEST(Billing, EntryIsDurableOnHoldersWhileTheStoreIsDown)
{
  mFake.SetDown(true);
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  LONGS_EQUAL(1, mFirstHolder.Incarnations().size());
}

TEST(Billing, EntryWithTooFewHoldersIsDurableInTheStore)
{
  mReachableDomains = 1;
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran", 7)));
  CHECK(Totals().at("jadran") == (AccountTotal{ 1, { 7 } }));
  LONGS_EQUAL(0, mFirstHolder.Incarnations().size());
}

TEST(Billing, EntryThatWasNotDurableReachesTheStoreLater)
{
  mReachableDomains = 0;
  mFake.SetDown(true);
  const auto vm = Vm("a");
  CHECK(!RecordAndWait(*vm, Entry("jadran")));
  LONGS_EQUAL(1, vm->Counts().mUnstoredEntries);
  mFake.SetDown(false);
  CHECK(vm->Flush().has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(0, vm->Counts().mUnstoredEntries);
}

TEST(Billing, ClosedLedgerIsFoldedAndClosingAgainAddsNothing)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(vm->Close().has_value());
  CHECK(vm->Close().has_value());
  LONGS_EQUAL(0, mFirstHolder.Incarnations().size());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(mStore.mList("ledgers/")->empty());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
}

TEST(Billing, HoldersCloseTheLedgerOfADeadVmOnce)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(vm->Flush().has_value());
    CHECK(RecordAndWait(*vm, Entry("jadran")));
  }
  for (HeldEntries* held : { &mFirstHolder, &mSecondHolder, &mFirstHolder }) {
    CHECK(CloseDeadLedgers(mStore, *held, NoneAlive).has_value());
    CHECK(FoldLedgers(mStore).has_value());
    LONGS_EQUAL(2, Totals().at("jadran").mRequests);
  }
  LONGS_EQUAL(0, mSecondHolder.Incarnations().size());
}

TEST(Billing, EntriesOfEachHolderAreCountedOnce)
{
  Incarnation incarnation;
  {
    const auto vm = Vm("a");
    incarnation = vm->CurrentIncarnation();
    mReachableDomains = 1;
    mFake.SetDown(true);
    RecordAndWait(*vm, Entry("jadran"));
    mReachableDomains = 2;
    RecordAndWait(*vm, Entry("gebeta"));
  }
  mFake.SetDown(false);
  const auto entries = mFirstHolder.EntriesOf(incarnation);
  LONGS_EQUAL(2, entries.size());
  CHECK(CloseLedger(mStore, incarnation, { entries[1] }).has_value());
  CHECK(Totals().size() == 1);
  CHECK(CloseLedger(mStore, incarnation, entries).has_value());
  CHECK(Totals().size() == 2);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, ResumedOwnerAddsOnlyEntriesMissingFromItsClosedLedger)
{
  const auto vm = Vm("a");
  const Incarnation before = vm->CurrentIncarnation();
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirstHolder, NoneAlive).has_value());
  mReachableDomains = 0;
  CHECK(RecordAndWait(*vm, Entry("gebeta")));
  CHECK(vm->CurrentIncarnation() != before);
  CHECK(CloseDeadLedgers(mStore, mSecondHolder, NoneAlive).has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, LedgerRecreatedAfterFoldingIsNotCountedTwice)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirstHolder, NoneAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(vm->Flush().has_value());
  CHECK(Totals().at("jadran").mRequests == 1);
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(Totals().at("jadran").mRequests == 1);
  CHECK(mStore.mList("ledgers/")->empty());
}

TEST(Billing, OwnerOfAFoldedLedgerLosesNoNewEntry)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirstHolder, NoneAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  mReachableDomains = 0;
  CHECK(RecordAndWait(*vm, Entry("gebeta")));
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, LedgerRecreatedByAnOwnerThatDiesCountsOnlyNewEntries)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(CloseDeadLedgers(mStore, mFirstHolder, NoneAlive).has_value());
    CHECK(FoldLedgers(mStore).has_value());
    CHECK(RecordAndWait(*vm, Entry("gebeta")));
    mFake.SetFaults({ .mFailReads = 1 });
    CHECK(!vm->Flush().has_value());
  }
  CHECK(CloseDeadLedgers(mStore, mFirstHolder, NoneAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, ArchiveDropsOldIncarnationsButKeepsTheirTotals)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(vm->Close().has_value());
  }
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(ReadBillReport(mStore)->mFoldedIncarnations == 1);
  const auto later = CalendarNow() + kFoldedRetention + std::chrono::hours(1);
  CHECK(FoldLedgers(mStore, later).has_value());
  const auto report = ReadBillReport(mStore);
  LONGS_EQUAL(0, report->mFoldedIncarnations);
  LONGS_EQUAL(1, report->mTotals.at("jadran").mRequests);
  CHECK(Reconcile(*report).empty());
}

TEST(Billing, AbandonedLedgerIsClosedOnce)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(vm->Flush().has_value());
  }
  LONGS_EQUAL(1, CloseAbandonedLedgers(mStore, NoneAlive).value());
  LONGS_EQUAL(0, CloseAbandonedLedgers(mStore, NoneAlive).value());
}

TEST(Billing, MaintenanceClosesLedgersOfDeadVmsOnly)
{
  const auto living = Vm("b");
  CHECK(RecordAndWait(*living, Entry("gebeta")));
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
  }
  const Incarnation alive = living->CurrentIncarnation();
  const auto isAlive = [&](const Incarnation& aIncarnation) {
    return aIncarnation == alive;
  };
  CHECK(CloseDeadLedgers(mStore, mFirstHolder, isAlive).has_value());
  LONGS_EQUAL(1, mStore.mList("ledgers/")->size());
  CHECK(CloseDeadLedgers(mStore, mSecondHolder, isAlive).has_value());
  CHECK(CloseAbandonedLedgers(mStore, isAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(living->Flush().has_value());
  CHECK(living->CurrentIncarnation() == alive);
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, ReconcileReportsALedgerWhoseCountsDiffer)
{
  CHECK(mStore
          .mCompareAndSwap({ "ledgers/a/1",
                             R"({"closed":true,"up_to":3,"lines":[],)"
                             R"("totals":{"jadran":[2,10]}})",
                             0,
                             0 })
          .has_value());
  LONGS_EQUAL(1, Reconcile(*ReadBillReport(mStore)).size());
  CHECK(FoldLedgers(mStore).has_value());
  LONGS_EQUAL(1, Reconcile(*ReadBillReport(mStore)).size());
}

TEST(Billing, LedgerPeriodGrowsWithTheFleet)
{
  CHECK(LedgerPeriod(8) == kMinLedgerPeriod);
  CHECK(LedgerPeriod(330) == std::chrono::milliseconds(6600));
}

TEST(Billing, ConcurrentClosingAndFoldingCountEachEntryOnce)
{
  constexpr int kThreads = 4;
  constexpr int kEntries = 200;
  const auto vm = Vm("a");
  std::vector<std::thread> threads;
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([&, thread] {
      for (int number = 0; number < kEntries; ++number) {
        RecordAndWait(*vm, Entry(std::to_string(thread)));
      }
    });
    threads.emplace_back([&, thread] {
      for (int round = 0; round < kEntries; ++round) {
        HeldEntries& held = thread % 2 == 0 ? mFirstHolder : mSecondHolder;
        static_cast<void>(CloseDeadLedgers(mStore, held, NoneAlive));
        static_cast<void>(FoldLedgers(mStore));
        static_cast<void>(vm->Flush());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  while (vm->Counts().mUnstoredEntries > 0) {
    static_cast<void>(vm->Flush());
  }
  for (int thread = 0; thread < kThreads; ++thread) {
    LONGS_EQUAL(kEntries, Totals().at(std::to_string(thread)).mRequests);
  }
}
