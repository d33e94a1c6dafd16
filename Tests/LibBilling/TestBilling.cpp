#include <Acaciavale/LibBilling/Ledger.h>

#include <Acaciavale/LibCore/Log.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::hours kNever{ 1 };

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

bool NobodyIsAlive(const Incarnation&)
{
  return false;
}

} // namespace

TEST_GROUP(Billing)
{
  FakeKeyValueStore mFake;
  KeyValueStore mStore = mFake.Store();
  HeldEntries mFirst;
  HeldEntries mSecond;
  std::size_t mDomains = 2;

  void setup() override
  {
    ConfigureLog(LogLevel::Error, LogFormat::Text);
  }

  std::unique_ptr<Billing> Vm(const std::string& aName)
  {
    BillingOptions options;
    options.mVm = aName;
    options.mLedgerPeriod = kNever;
    const auto replicate = [this](const std::vector<BillEntry>& aEntries) {
      if (mDomains > 0) {
        mFirst.Hold(aEntries);
      }
      if (mDomains > 1) {
        mSecond.Hold(aEntries);
      }
      return mDomains;
    };
    const auto tell = [this](const Incarnation& aIncarnation,
                             std::uint64_t aUpTo) {
      mFirst.Forget(aIncarnation, aUpTo);
      mSecond.Forget(aIncarnation, aUpTo);
    };
    return std::make_unique<Billing>(options, mStore, replicate, 1, tell);
  }

  AccountTotals Totals()
  {
    return ReadTotals(mStore).value();
  }
};

TEST(Billing, HoldersAloneMakeAnEntryDurable)
{
  mFake.SetDown(true);
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  LONGS_EQUAL(1, mFirst.Incarnations().size());
}

TEST(Billing, WithoutHoldersTheStoreMakesAnEntryDurable)
{
  mDomains = 1;
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran", 7)));
  CHECK(Totals().at("jadran") == (AccountTotal{ 1, { 7 } }));
  LONGS_EQUAL(0, mFirst.Incarnations().size());
}

TEST(Billing, AnEntryThatNobodyTookReachesTheStoreLater)
{
  mDomains = 0;
  mFake.SetDown(true);
  const auto vm = Vm("a");
  CHECK(!RecordAndWait(*vm, Entry("jadran")));
  LONGS_EQUAL(1, vm->Counts().mPastLedger);
  mFake.SetDown(false);
  CHECK(vm->Flush().has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(0, vm->Counts().mPastLedger);
}

TEST(Billing, ClosingIsTheLastWord)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(vm->Close().has_value());
  CHECK(vm->Close().has_value());
  LONGS_EQUAL(0, mFirst.Incarnations().size());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(mStore.mList("ledgers/")->empty());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
}

TEST(Billing, HoldersCloseTheLedgerOfADeadVm)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(vm->Flush().has_value());
    CHECK(RecordAndWait(*vm, Entry("jadran")));
  }
  for (HeldEntries* held : { &mFirst, &mSecond, &mFirst }) {
    CHECK(CloseDeadLedgers(mStore, *held, NobodyIsAlive).has_value());
    CHECK(FoldLedgers(mStore).has_value());
    LONGS_EQUAL(2, Totals().at("jadran").mRequests);
  }
  LONGS_EQUAL(0, mSecond.Incarnations().size());
}

TEST(Billing, HoldersWithDifferentEntriesBothCount)
{
  Incarnation incarnation;
  {
    const auto vm = Vm("a");
    incarnation = vm->CurrentIncarnation();
    mDomains = 1;
    mFake.SetDown(true);
    RecordAndWait(*vm, Entry("jadran"));
    mDomains = 2;
    RecordAndWait(*vm, Entry("gebeta"));
  }
  mFake.SetDown(false);
  const auto entries = mFirst.Of(incarnation);
  LONGS_EQUAL(2, entries.size());
  CHECK(CloseLedger(mStore, incarnation, { entries[1] }).has_value());
  CHECK(Totals().size() == 1);
  CHECK(CloseLedger(mStore, incarnation, entries).has_value());
  CHECK(Totals().size() == 2);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, AWokenOwnerAddsOnlyWhatItsClosedLedgerLacks)
{
  const auto vm = Vm("a");
  const Incarnation before = vm->CurrentIncarnation();
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirst, NobodyIsAlive).has_value());
  mDomains = 0;
  CHECK(RecordAndWait(*vm, Entry("gebeta")));
  CHECK(vm->CurrentIncarnation() != before);
  CHECK(CloseDeadLedgers(mStore, mSecond, NobodyIsAlive).has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, AnOwnerThatCreatesItsFoldedLedgerAgainIsNotCountedTwice)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirst, NobodyIsAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(vm->Flush().has_value());
  CHECK(Totals().at("jadran").mRequests == 1);
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(Totals().at("jadran").mRequests == 1);
  CHECK(mStore.mList("ledgers/")->empty());
}

TEST(Billing, AnOwnerThatCreatesItsFoldedLedgerAgainLosesNoEntry)
{
  const auto vm = Vm("a");
  CHECK(RecordAndWait(*vm, Entry("jadran")));
  CHECK(CloseDeadLedgers(mStore, mFirst, NobodyIsAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  mDomains = 0;
  CHECK(RecordAndWait(*vm, Entry("gebeta")));
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, ALedgerCreatedAgainByAnOwnerThatDiesHasNoWord)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(CloseDeadLedgers(mStore, mFirst, NobodyIsAlive).has_value());
    CHECK(FoldLedgers(mStore).has_value());
    CHECK(RecordAndWait(*vm, Entry("gebeta")));
    mFake.SetFaults({ .mFailReads = 1 });
    CHECK(!vm->Flush().has_value());
  }
  CHECK(CloseDeadLedgers(mStore, mFirst, NobodyIsAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, TheArchiveForgetsIncarnationsButNotTheirTotals)
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

TEST(Billing, AnAbandonedLedgerIsClosed)
{
  {
    const auto vm = Vm("a");
    CHECK(RecordAndWait(*vm, Entry("jadran")));
    CHECK(vm->Flush().has_value());
  }
  LONGS_EQUAL(1, CloseAbandonedLedgers(mStore, NobodyIsAlive).value());
  LONGS_EQUAL(0, CloseAbandonedLedgers(mStore, NobodyIsAlive).value());
}

TEST(Billing, KeepingTheBooksSettlesTheDeadAndLeavesTheLiving)
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
  CHECK(CloseDeadLedgers(mStore, mFirst, isAlive).has_value());
  LONGS_EQUAL(1, mStore.mList("ledgers/")->size());
  CHECK(CloseDeadLedgers(mStore, mSecond, isAlive).has_value());
  CHECK(CloseAbandonedLedgers(mStore, isAlive).has_value());
  CHECK(FoldLedgers(mStore).has_value());
  CHECK(living->Flush().has_value());
  CHECK(living->CurrentIncarnation() == alive);
  LONGS_EQUAL(1, Totals().at("jadran").mRequests);
  LONGS_EQUAL(1, Totals().at("gebeta").mRequests);
}

TEST(Billing, ReconcilingShowsAWrongLedger)
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

TEST(Billing, LedgerWritesOfAFleetStayWithinTheirRate)
{
  CHECK(LedgerPeriod(8) == kShortestLedgerPeriod);
  CHECK(LedgerPeriod(330) == std::chrono::milliseconds(6600));
}

TEST(Billing, ManyThreadsClosersAndFoldersCountEachEntryOnce)
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
        HeldEntries& held = thread % 2 == 0 ? mFirst : mSecond;
        static_cast<void>(CloseDeadLedgers(mStore, held, NobodyIsAlive));
        static_cast<void>(FoldLedgers(mStore));
        static_cast<void>(vm->Flush());
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  while (vm->Counts().mPastLedger > 0) {
    static_cast<void>(vm->Flush());
  }
  for (int thread = 0; thread < kThreads; ++thread) {
    LONGS_EQUAL(kEntries, Totals().at(std::to_string(thread)).mRequests);
  }
}
