#include <Acaciavale/LibBilling/Ledger.h>

#include <Acaciavale/LibCore/Log.h>

#include <LibPlatform/FakeKeyValueStore.h>
#include <LibPlatform/HookedStore.h>

#include <array>
#include <future>
#include <rapidcheck.h>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

constexpr std::chrono::hours kNoPeriodicWrite{ 1 };
constexpr int kVms = 2;
constexpr int kHolders = 2;

/// Two VMs and two holders that share a store with injected faults. Every entry
/// has its own account, so that the totals show how often it was counted.
/// During each store call, another operation may run.
class History
{
public:
  explicit History(std::vector<int> aChoices)
    : mChoices(std::move(aChoices))
    , mStore(HookedStore(mFake.Store(), [this] { ActWhilePaused(); }))
  {
    for (int vm = 0; vm < kVms; ++vm) {
      Start(vm);
    }
  }

  void Run()
  {
    while (mNextChoice < mChoices.size()) {
      Act();
    }
  }

  /// Clears all faults, flushes, closes and folds all ledgers. Then checks that
  /// no entry is counted twice, and that every durable entry and every entry of
  /// a running VM is counted.
  void CheckFinalState()
  {
    mFake.SetFaults({});
    mActingWhilePaused = true;
    for (int round = 0; round < 2; ++round) {
      for (auto& vm : mVms) {
        RC_ASSERT(vm->Flush().has_value());
      }
      for (HeldEntries& held : mHeld) {
        RC_ASSERT(CloseDeadLedgers(mStore, held, NoneAlive).has_value());
      }
      RC_ASSERT(FoldLedgers(mStore).has_value());
    }
    const auto report = ReadBillReport(mStore);
    RC_ASSERT(Reconcile(*report).empty());
    CheckCountedOnce(report->mTotals, mCounted);
    RC_ASSERT(!mCountedTwice);
    RC_ASSERT(!mVanished);
    for (const std::string& account : mDurable) {
      RC_ASSERT(report->mTotals.contains(account));
    }
    for (const auto& accounts : mAccountsOfVm) {
      for (const std::string& account : accounts) {
        RC_ASSERT(report->mTotals.contains(account));
      }
    }
  }

private:
  static bool NoneAlive(const Incarnation&) { return false; }

  int Choose(int aBound)
  {
    return mNextChoice < mChoices.size() ? mChoices[mNextChoice++] % aBound : 0;
  }

  void Start(int aVm)
  {
    BillingOptions options;
    options.mVm = "vm-" + std::to_string(aVm);
    options.mLedgerPeriod = kNoPeriodicWrite;
    const auto replicate = [this](const std::vector<BillEntry>& aEntries) {
      for (std::size_t holder = 0; holder < mReachableDomains; ++holder) {
        mHeld[holder].Hold(aEntries);
      }
      return mReachableDomains;
    };
    const auto notify = [this](const Incarnation& aIncarnation,
                               std::uint64_t aUpTo) {
      for (HeldEntries& held : mHeld) {
        held.DiscardUpTo(aIncarnation, aUpTo);
      }
    };
    mVms[aVm] =
      std::make_unique<Billing>(options, mStore, replicate, ++mSeed, notify);
  }

  void Record(int aVm)
  {
    BillEntry entry;
    entry.mAccount = "account-" + std::to_string(++mRecorded);
    entry.mCharge = { 1 };
    mReachableDomains = static_cast<std::size_t>(Choose(kHolders + 1));
    std::promise<bool> durable;
    mVms[aVm]->Record(
      entry, [&durable](bool aDurable) { durable.set_value(aDurable); });
    const bool isDurable = durable.get_future().get();
    mAccountsOfVm[aVm].insert(entry.mAccount);
    if (isDurable) {
      mDurable.insert(entry.mAccount);
    }
  }

  void CheckCountedOnce(const AccountTotals& aTotals,
                        const std::set<std::string>& aCountedBefore)
  {
    // NOTE: Violations are recorded and asserted later, since this may run in
    //       threads of Billing.
    for (const auto& [account, total] : aTotals) {
      mCountedTwice = mCountedTwice || total.mRequests != 1;
    }
    for (const std::string& account : aCountedBefore) {
      mVanished = mVanished || !aTotals.contains(account);
    }
    for (const auto& [account, total] : aTotals) {
      mCounted.insert(account);
    }
  }

  void ReadTotalsAndCheck()
  {
    // NOTE: A paused read may lack entries that a later read returned, but not
    //       entries that were returned before it started.
    const std::set<std::string> countedBefore = mCounted;
    if (const auto totals = ReadTotals(mStore)) {
      CheckCountedOnce(*totals, countedBefore);
    }
  }

  void SetFaults()
  {
    const std::array<FakeStoreFaults, 6> faults{
      FakeStoreFaults{},
      FakeStoreFaults{ .mDown = true },
      FakeStoreFaults{ .mLoseAnswers = 1 },
      FakeStoreFaults{ .mLoseAnswers = 4, .mFailReads = 3 },
      FakeStoreFaults{ .mLoseRequests = 3, .mFailReads = 1 },
      FakeStoreFaults{ .mFailWrites = 2 },
    };
    mFake.SetFaults(faults[Choose(faults.size())]);
  }

  /// Runs an operation that may happen at any time, also during a store call of
  /// another VM or holder.
  void ActConcurrently(int aAct)
  {
    if (aAct == 1) {
      const int holder = Choose(kHolders);
      static_cast<void>(CloseDeadLedgers(mStore, mHeld[holder], NoneAlive));
    } else if (aAct == 2) {
      static_cast<void>(FoldLedgers(mStore));
    } else if (aAct == 3) {
      ReadTotalsAndCheck();
    } else if (aAct == 4) {
      SetFaults();
    }
  }

  void ActWhilePaused()
  {
    // NOTE: Nested pauses would only lengthen the histories; interleavings of
    //       two operations are enough.
    if (mActingWhilePaused) {
      return;
    }
    mActingWhilePaused = true;
    ActConcurrently(Choose(8));
    mActingWhilePaused = false;
  }

  void Act()
  {
    const int act = Choose(10);
    const int vm = Choose(kVms);
    if (act <= 4) {
      ActConcurrently(act);
    } else if (act <= 6) {
      Record(vm);
    } else if (act == 7) {
      static_cast<void>(mVms[vm]->Flush());
    } else if (act == 8) {
      static_cast<void>(mVms[vm]->Close());
    } else {
      mVms[vm].reset();
      mAccountsOfVm[vm].clear();
      Start(vm);
    }
  }

  FakeKeyValueStore mFake;
  std::vector<int> mChoices;
  std::size_t mNextChoice = 0;
  std::array<HeldEntries, kHolders> mHeld;
  std::size_t mReachableDomains = 0;
  KeyValueStore mStore;
  std::array<std::unique_ptr<Billing>, kVms> mVms;
  std::array<std::set<std::string>, kVms> mAccountsOfVm;
  std::set<std::string> mDurable;
  std::set<std::string> mCounted;
  std::uint64_t mSeed = 0;
  int mRecorded = 0;
  bool mActingWhilePaused = false;
  bool mCountedTwice = false;
  bool mVanished = false;
};

} // namespace

TEST_GROUP(BillingHistories){
  void setup() override{ ConfigureLog(LogLevel::Error, LogFormat::Text);
}
}
;

TEST(BillingHistories, EachEntryIsCountedOnceUnderAnyInterleaving)
{
  rc::check([] {
    const auto choices =
      *rc::gen::container<std::vector<int>>(150, rc::gen::inRange(0, 720));
    History history(choices);
    history.Run();
    history.CheckFinalState();
  });
}
