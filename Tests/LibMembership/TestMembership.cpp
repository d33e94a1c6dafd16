#include <Acaciavale/LibMembership/Membership.h>

#include <LibPlatform/FakeKeyValueStore.h>

#include <atomic>
#include <condition_variable>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace Acaciavale;

namespace {

/// Maximum wait for a condition, so that a failing test does not hang. No
/// passing test waits this long.
constexpr auto kEventuallyTimeout = std::chrono::seconds(60);

bool Eventually(const std::function<bool()>& aCondition)
{
  const TimePoint until = MonotonicNow() + kEventuallyTimeout;
  while (!aCondition()) {
    if (MonotonicNow() > until) {
      return false;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return true;
}

/// A VM of the test. Records the calls of its callbacks.
class TestVm
{
public:
  TestVm(FakeKeyValueStore& aStore,
         const std::string& aName,
         const std::string& aDomain,
         const std::string& aIncarnation = "1")
  {
    mState.mName = aName;
    mState.mIncarnation = aIncarnation;
    mState.mFailureDomain = aDomain;
    MembershipOptions options;
    options.mListenAddress = "127.0.0.1:0";
    options.mDigestPeriod = std::chrono::milliseconds(20);
    options.mSuspectAfter = std::chrono::milliseconds(300);
    options.mDeadAfter = std::chrono::milliseconds(600);
    options.mControlBytesPerSecond = 1 << 20;
    options.mMinStorePeriod = std::chrono::milliseconds(50);
    mMembership =
      std::make_unique<Membership>(options, Callbacks(), aStore.Store(), 42);
    mAddress = *mMembership->Start();
  }

  ~TestVm() { Resume(); }

  Membership& Service() { return *mMembership; }
  void Stop() { mMembership.reset(); }

  /// Stops the heartbeat of the VM, while its server goes on replying to peers.
  void Pause()
  {
    const std::lock_guard lock(mMutex);
    mPaused = true;
  }

  void Resume()
  {
    const std::lock_guard lock(mMutex);
    mPaused = false;
    mPausedChanged.notify_all();
  }

  void ChangeState(const std::function<void(VmState&)>& aChange)
  {
    {
      const std::lock_guard lock(mMutex);
      aChange(mState);
    }
    mMembership->Announce();
  }

  VmState State() const
  {
    const std::lock_guard lock(mMutex);
    return mState;
  }

  int ReportedDeaths(const std::string& aVm) const
  {
    const std::lock_guard lock(mMutex);
    const auto it = mDeaths.find(aVm);
    return it == mDeaths.end() ? 0 : it->second;
  }

  std::size_t HeldEntryCount() const
  {
    const std::lock_guard lock(mMutex);
    return mHeldEntryCount;
  }

  std::uint64_t ForgottenUpTo() const
  {
    const std::lock_guard lock(mMutex);
    return mForgottenUpTo;
  }

  double MergedAnswers() const
  {
    const std::lock_guard lock(mMutex);
    return mAnswers;
  }

  void AddEvidence(double aAnswers)
  {
    const std::lock_guard lock(mMutex);
    EvidenceCell cell;
    cell.mAnswers = aAnswers;
    mEvidence[{ "model", "v1", "summary" }] = cell;
  }

  bool HasEvidence() const
  {
    const std::lock_guard lock(mMutex);
    return !mEvidence.empty();
  }

  VmHealth HealthOf(const std::string& aVm) const
  {
    for (const Member& member : mMembership->Members()) {
      if (member.mState.mName == aVm) {
        return member.mHealth;
      }
    }
    return VmHealth::Dead;
  }

private:
  MembershipCallbacks Callbacks()
  {
    MembershipCallbacks callbacks;
    callbacks.mSelfState = [this] {
      std::unique_lock lock(mMutex);
      mPausedChanged.wait(lock, [this] { return !mPaused; });
      return mState;
    };
    callbacks.mSettingsBody = [](std::int64_t aGeneration) {
      return "settings " + std::to_string(aGeneration);
    };
    callbacks.mOnNewerSettings = [this](std::int64_t aGeneration,
                                        const std::string& aBody) {
      const std::lock_guard lock(mMutex);
      CHECK(aBody == "settings " + std::to_string(aGeneration));
      CHECK(aGeneration > mState.mSettingsGeneration);
      mState.mSettingsGeneration = aGeneration;
    };
    callbacks.mHoldEntries = [this](const std::vector<BillEntry>& aEntries) {
      const std::lock_guard lock(mMutex);
      mHeldEntryCount += aEntries.size();
    };
    callbacks.mForgetEntries = [this](const Incarnation&, std::uint64_t aUpTo) {
      const std::lock_guard lock(mMutex);
      mForgottenUpTo = aUpTo;
    };
    callbacks.mOnVmDead = [this](const Incarnation& aIncarnation) {
      const std::lock_guard lock(mMutex);
      ++mDeaths[aIncarnation.mVm];
    };
    callbacks.mCollectEvidence = [this] {
      const std::lock_guard lock(mMutex);
      return std::exchange(mEvidence, {});
    };
    callbacks.mMergeEvidence = [this](const EvidenceView& aEvidence) {
      const std::lock_guard lock(mMutex);
      for (const auto& [key, cell] : aEvidence) {
        mAnswers += cell.mAnswers;
      }
    };
    return callbacks;
  }

  mutable std::mutex mMutex;
  std::condition_variable mPausedChanged;
  bool mPaused = false;
  VmState mState;
  std::map<std::string, int> mDeaths;
  std::size_t mHeldEntryCount = 0;
  std::uint64_t mForgottenUpTo = 0;
  EvidenceView mEvidence;
  double mAnswers = 0;
  std::unique_ptr<Membership> mMembership;
  std::string mAddress;
};

struct TestFleet
{
  FakeKeyValueStore mStore;
  std::vector<std::unique_ptr<TestVm>> mVms;

  explicit TestFleet(std::size_t aSize, std::size_t aDomains = 4)
  {
    for (std::size_t index = 0; index < aSize; ++index) {
      mVms.push_back(
        std::make_unique<TestVm>(mStore,
                                 "vm-" + std::to_string(index),
                                 "domain-" + std::to_string(index % aDomains)));
    }
  }

  bool AllCountLive(std::size_t aLive) const
  {
    return std::all_of(mVms.begin(), mVms.end(), [aLive](const auto& aVm) {
      return aVm->Service().LiveCount() == aLive;
    });
  }
};

std::vector<BillEntry> Entries(std::uint64_t aUpTo)
{
  std::vector<BillEntry> entries;
  for (std::uint64_t number = 1; number <= aUpTo; ++number) {
    BillEntry entry;
    entry.mIncarnation = { "vm-0", "1" };
    entry.mNumber = number;
    entries.push_back(entry);
  }
  return entries;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, VmsDiscoverEachOtherThroughTheStore)
{
  TestFleet fleet(5);
  CHECK(Eventually([&] { return fleet.AllCountLive(5); }));
}

TEST(Membership, GossipContinuesWhileTheStoreIsDown)
{
  TestFleet fleet(3);
  CHECK(Eventually([&] { return fleet.AllCountLive(3); }));
  fleet.mStore.SetDown(true);
  fleet.mVms[0]->ChangeState([](VmState& aState) { aState.mDraining = true; });
  CHECK(Eventually([&] {
    for (const Member& member : fleet.mVms[2]->Service().Members()) {
      if (member.mState.mName == "vm-0" && member.mState.mDraining) {
        return true;
      }
    }
    return false;
  }));
  CHECK(fleet.AllCountLive(3));
  fleet.mStore.SetDown(false);
}

TEST(Membership, NewerSettingsReachEveryVm)
{
  TestFleet fleet(6);
  CHECK(Eventually([&] { return fleet.AllCountLive(6); }));
  for (const std::int64_t generation : { 4, 5, 9 }) {
    fleet.mVms[2]->ChangeState([generation](VmState& aState) {
      aState.mSettingsGeneration = generation;
    });
    CHECK(Eventually([&] {
      return std::all_of(
        fleet.mVms.begin(), fleet.mVms.end(), [&](const auto& aVm) {
          return aVm->State().mSettingsGeneration == generation;
        });
    }));
  }
}

TEST(Membership, PausedVmIsReportedDeadOnceAndRejoins)
{
  TestFleet fleet(4);
  CHECK(Eventually([&] { return fleet.AllCountLive(4); }));
  for (int flap = 0; flap < 2; ++flap) {
    fleet.mVms[3]->Pause();
    CHECK(Eventually([&] {
      return fleet.mVms[0]->HealthOf("vm-3") == VmHealth::Dead &&
             fleet.mVms[0]->ReportedDeaths("vm-3") == 1;
    }));
    fleet.mVms[3]->Resume();
    CHECK(Eventually([&] { return fleet.AllCountLive(4); }));
  }
  LONGS_EQUAL(1, fleet.mVms[0]->ReportedDeaths("vm-3"));
  LONGS_EQUAL(0, fleet.mVms[3]->ReportedDeaths("vm-0"));
}

TEST(Membership, StoppedVmLeavesAndRejoinsAsANewIncarnation)
{
  TestFleet fleet(3);
  CHECK(Eventually([&] { return fleet.AllCountLive(3); }));
  fleet.mVms[2]->Stop();
  fleet.mVms.pop_back();
  CHECK(Eventually([&] { return fleet.AllCountLive(2); }));
  CHECK(!fleet.mStore.Store().mRead("vms/vm-2")->has_value());
  fleet.mVms.push_back(
    std::make_unique<TestVm>(fleet.mStore, "vm-2", "domain-2", "2"));
  CHECK(Eventually([&] { return fleet.AllCountLive(3); }));
}

TEST(Membership, EvidenceReachesPeersAndIsNeverCountedTwice)
{
  constexpr int kPieces = 20;
  TestFleet fleet(5);
  CHECK(Eventually([&] { return fleet.AllCountLive(5); }));
  for (int piece = 1; piece <= kPieces; ++piece) {
    fleet.mVms[1]->AddEvidence(1);
    CHECK(Eventually([&] { return !fleet.mVms[1]->HasEvidence(); }));
  }
  for (const std::size_t vm : { 0, 2, 3, 4 }) {
    // NOTE: Evidence is a sample, so a VM may miss some updates.
    CHECK(Eventually(
      [&] { return fleet.mVms[vm]->MergedAnswers() >= kPieces * 0.6; }));
  }
  fleet.mVms[1]->AddEvidence(100);
  CHECK(Eventually([&] { return fleet.mVms[0]->MergedAnswers() >= 100; }));
  for (const auto& vm : fleet.mVms) {
    CHECK(vm->MergedAnswers() <= 100 + kPieces);
  }
  DOUBLES_EQUAL(0, fleet.mVms[1]->MergedAnswers(), 1e-9);
}

TEST(Membership, EntriesAreHeldInTwoOtherFailureDomainsAndForgotten)
{
  TestFleet fleet(6, 3);
  CHECK(Eventually([&] { return fleet.AllCountLive(6); }));
  LONGS_EQUAL(2, fleet.mVms[0]->Service().Replicate(Entries(3)));
  // VM 3 shares the failure domain of VM 0.
  LONGS_EQUAL(0, fleet.mVms[0]->HeldEntryCount());
  LONGS_EQUAL(0, fleet.mVms[3]->HeldEntryCount());
  LONGS_EQUAL(
    3, fleet.mVms[1]->HeldEntryCount() + fleet.mVms[4]->HeldEntryCount());
  LONGS_EQUAL(
    3, fleet.mVms[2]->HeldEntryCount() + fleet.mVms[5]->HeldEntryCount());
  fleet.mVms[0]->Service().SendForget({ "vm-0", "1" }, 3);
  CHECK(Eventually([&] {
    return fleet.mVms[1]->ForgottenUpTo() + fleet.mVms[4]->ForgottenUpTo() ==
             3 &&
           fleet.mVms[2]->ForgottenUpTo() + fleet.mVms[5]->ForgottenUpTo() == 3;
  }));
}

TEST(Membership, StoppedHolderIsReplacedByAnotherInItsDomain)
{
  TestFleet fleet(6, 3);
  CHECK(Eventually([&] { return fleet.AllCountLive(6); }));
  fleet.mVms[1]->Stop();
  LONGS_EQUAL(2, fleet.mVms[0]->Service().Replicate(Entries(1)));
  LONGS_EQUAL(1, fleet.mVms[4]->HeldEntryCount());
  fleet.mVms.erase(fleet.mVms.begin() + 1);
}

TEST(Membership, ReplicateWithoutPeersReachesNoHolder)
{
  TestFleet fleet(1);
  LONGS_EQUAL(0, fleet.mVms[0]->Service().Replicate(Entries(1)));
}

TEST(Membership, CallsAfterStopFailAtOnce)
{
  FakeKeyValueStore store;
  MembershipOptions options;
  options.mListenAddress = "127.0.0.1:0";
  options.mSelfState.mName = "vm";
  Membership membership(options, {}, store.Store(), 1);
  CHECK(membership.Start().has_value());
  membership.Stop();
  LONGS_EQUAL(0, membership.Replicate(Entries(1)));
  membership.SendForget({ "vm-0", "1" }, 1);
}

TEST(Membership, SelfStateCallbackMayQueryTheMembers)
{
  FakeKeyValueStore store;
  MembershipOptions options;
  options.mListenAddress = "127.0.0.1:0";
  std::unique_ptr<Membership> membership;
  MembershipCallbacks callbacks;
  callbacks.mSelfState = [&membership] {
    VmState state;
    state.mName = "vm";
    state.mWeight = static_cast<std::int64_t>(membership->LiveCount());
    return state;
  };
  membership =
    std::make_unique<Membership>(options, callbacks, store.Store(), 1);
  CHECK(membership->Start().has_value());
  membership->Stop();
}

TEST(Membership, ListenAddressInUseIsAnError)
{
  FakeKeyValueStore store;
  MembershipOptions options;
  options.mListenAddress = "127.0.0.1:0";
  options.mSelfState.mName = "first";
  Membership first(options, {}, store.Store(), 1);
  options.mListenAddress = *first.Start();
  Membership second(options, {}, store.Store(), 2);
  CHECK(!second.Start().has_value());
}
