#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/WaitQueue.h>

#include <CppUTest/TestHarness.h>
#include <algorithm>
#include <map>
#include <string>
#include <vector>

/// Replays loads in which accounts compete for the slots of a pool, against the
/// queues of one or several VMs that exchange the work of accounts.

using namespace Acaciavale;
using namespace Acaciavale::Relay;

namespace {

constexpr double kGoalSeconds = 2;
/// Share of the goal that a request waits at most, as in ExchangeQueue.cpp.
constexpr double kLongestWaitSeconds = 1.5;
constexpr double kStepSeconds = 0.002;
constexpr const char* kPool = "desk";

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

struct Account
{
  std::string mName;
  double mRequestsPerSecond = 0;
  double mWorkSeconds = 0.1;
  double mBurstFactor = 1; ///< Factor on the requests during the burst.
};

struct Load
{
  std::vector<Account> mAccounts;
  int mSlots = 16; ///< Of each VM.
  double mSeconds = 60;
  double mBurstBegin = 20;
  double mBurstEnd = 40;
  std::size_t mVms = 1;
  bool mAreVmsHeard = true;
  /// Whether the queue knows of the accounts; otherwise the order is that of
  /// a deployment without accounts.
  bool mHasAccounts = true;
  /// Whether one of the VMs is replaced by a new one each five seconds.
  bool mDoVmsChange = false;
};

/// What became of the requests that were sent during the burst.
struct Result
{
  int mSent = 0;
  int mStarted = 0;
  double mWaitSeconds = 0;
  double mWorkSeconds = 0;

  double StartedShare() const { return 1.0 * mStarted / std::max(1, mSent); }
  double MeanWait() const { return mWaitSeconds / std::max(1, mStarted); }
};

class Replay
{
public:
  explicit Replay(const Load& aLoad)
    : mLoad(aLoad)
    , mVms(aLoad.mVms)
  {
  }

  std::map<std::string, Result> Run()
  {
    for (mNow = 0; mNow < mLoad.mSeconds; mNow += kStepSeconds) {
      mStep += 1;
      Arrive();
      for (Vm& vm : mVms) {
        Serve(vm);
      }
      if (mStep % 500 == 0 && mLoad.mAreVmsHeard) {
        ExchangeWork();
      }
      if (mStep % 2500 == 0 && mLoad.mDoVmsChange) {
        Vm& left = mVms[static_cast<std::size_t>(mStep / 2500) % mVms.size()];
        left.mQueue = {};
        left.mSent.clear();
        left.mGeneration += 1;
      }
    }
    return mResults;
  }

private:
  struct Sent
  {
    const Account* mAccount = nullptr;
    double mAt = 0;
  };

  struct Vm
  {
    WaitQueue mQueue;
    std::map<WaitTicket, Sent> mSent;
    std::vector<double> mBusyUntil;
    HeardWork mHeard;
    int mGeneration = 0;
  };

  bool IsBurst(double aAt) const
  {
    return aAt >= mLoad.mBurstBegin && aAt < mLoad.mBurstEnd;
  }

  void Arrive()
  {
    for (const Account& account : mLoad.mAccounts) {
      const double rate =
        account.mRequestsPerSecond * (IsBurst(mNow) ? account.mBurstFactor : 1);
      if (mRandom.Unit() >= rate * kStepSeconds) {
        continue;
      }
      Vm& vm = mVms[mRandom.Below(mVms.size())];
      WaitingRequest request;
      request.mAccount = mLoad.mHasAccounts ? account.mName : "";
      request.mQueuedAt = At(mNow);
      request.mStartBy = At(mNow + kLongestWaitSeconds);
      request.mFirstEventGoal = FromSeconds(kGoalSeconds);
      request.mWorkSeconds = account.mWorkSeconds;
      vm.mSent[vm.mQueue.Add(request)] = { &account, mNow };
      mResults[account.mName].mSent += IsBurst(mNow) ? 1 : 0;
    }
  }

  void Serve(Vm& aVm)
  {
    std::erase_if(aVm.mBusyUntil,
                  [this](double aUntil) { return aUntil <= mNow; });
    if (mStep % 50 == 0) {
      for (const WaitTicket ticket : aVm.mQueue.Expired(At(mNow))) {
        aVm.mQueue.Remove(ticket);
      }
    }
    while (aVm.mBusyUntil.size() < static_cast<std::size_t>(mLoad.mSlots)) {
      const auto next = aVm.mQueue.Next(At(mNow));
      if (!next) {
        break;
      }
      const Sent& sent = aVm.mSent[*next];
      aVm.mQueue.RecordStart(mLoad.mHasAccounts ? sent.mAccount->mName : "",
                             sent.mAccount->mWorkSeconds,
                             At(mNow));
      aVm.mBusyUntil.push_back(mNow + sent.mAccount->mWorkSeconds);
      aVm.mQueue.Remove(*next);
      if (IsBurst(sent.mAt)) {
        Result& result = mResults[sent.mAccount->mName];
        result.mStarted += 1;
        result.mWaitSeconds += mNow - sent.mAt;
        result.mWorkSeconds += sent.mAccount->mWorkSeconds;
      }
    }
  }

  /// Each VM queries the first one, which is the reader.
  void ExchangeWork()
  {
    const auto ownOf = [](const Vm& aVm) {
      return std::map<std::string, AccountWork>{ { kPool,
                                                   aVm.mQueue.OwnWork() } };
    };
    Vm& reader = mVms.front();
    for (std::size_t index = 1; index < mVms.size(); ++index) {
      Vm& vm = mVms[index];
      const std::string name =
        std::to_string(index) + "-" + std::to_string(vm.mGeneration);
      RecordReport(
        reader.mHeard, name, ReportOf(ownOf(vm), At(mNow)), At(mNow));
      RecordSum(vm.mHeard,
                SumFor(name, ownOf(reader), reader.mHeard, At(mNow)),
                At(mNow));
    }
    for (Vm& vm : mVms) {
      DropOldReports(vm.mHeard, At(mNow));
      vm.mQueue.SetWorkOfOthers(WorkOfOthers(vm.mHeard, kPool, At(mNow)));
    }
  }

  Load mLoad;
  Random mRandom{ 7 };
  std::vector<Vm> mVms;
  double mNow = 0;
  int mStep = 0;
  std::map<std::string, Result> mResults;
};

/// 24 accounts that use nine tenths of 160 starts per second, one of which
/// sends 7.5 times its requests for 20 seconds. All demand is then 1.14 times
/// the capacity.
Load BurstLoad(std::size_t aVms = 1)
{
  Load load;
  load.mVms = aVms;
  load.mSlots = static_cast<int>(16 / aVms);
  for (int account = 0; account < 24; ++account) {
    load.mAccounts.push_back({ account == 0 ? "burst" : "other", 6, 0.1, 1 });
    if (account > 0) {
      load.mAccounts.back().mName += "-" + std::to_string(account);
    }
  }
  load.mAccounts.front().mBurstFactor = 7.5;
  return load;
}

/// The sum of all accounts but the first.
Result OthersOf(const std::map<std::string, Result>& aResults,
                const std::string& aFirst)
{
  Result sum;
  for (const auto& [account, result] : aResults) {
    if (account != aFirst) {
      sum.mSent += result.mSent;
      sum.mStarted += result.mStarted;
      sum.mWaitSeconds += result.mWaitSeconds;
      sum.mWorkSeconds += result.mWorkSeconds;
    }
  }
  return sum;
}

void Print(const char* aLoad, const Result& aFirst, const Result& aOthers)
{
  UT_PRINT(StringFromFormat("%s: first %.3f started, %.0f ms mean wait; "
                            "others %.3f started, %.0f ms mean wait",
                            aLoad,
                            aFirst.StartedShare(),
                            aFirst.MeanWait() * 1000,
                            aOthers.StartedShare(),
                            aOthers.MeanWait() * 1000));
}

} // namespace

TEST_GROUP(AccountBursts){};

/// Guards against a burst of one account that holds up the requests of the
/// others. The second replay shows that the load is hard enough for that.
TEST(AccountBursts, BurstOfOneAccountDoesNotHoldUpOthers)
{
  Load load = BurstLoad();
  auto results = Replay(load).Run();
  const Result others = OthersOf(results, "burst");
  Print("burst", results["burst"], others);
  CHECK(others.StartedShare() > 0.995);
  CHECK(others.MeanWait() < 0.05 * kGoalSeconds);
  // Work-conserving: the account gets all that the others leave.
  CHECK(others.mWorkSeconds + results["burst"].mWorkSeconds >
        0.97 * load.mSlots * (load.mBurstEnd - load.mBurstBegin));

  Load usual = load;
  usual.mAccounts.front().mBurstFactor = 1;
  results = Replay(usual).Run();
  const Result undisturbed = OthersOf(results, "burst");
  Print("no burst", results["burst"], undisturbed);
  CHECK(others.MeanWait() < undisturbed.MeanWait() + 0.02 * kGoalSeconds);

  load.mHasAccounts = false;
  results = Replay(load).Run();
  const Result heldUp = OthersOf(results, "burst");
  Print("burst without accounts", results["burst"], heldUp);
  CHECK(heldUp.MeanWait() > 5 * others.MeanWait());
}

/// Guards against accounts whose long prompts take most of the capacity, since
/// they send no more requests than others: two accounts of equal requests, one
/// with prompts that are ten times as long.
TEST(AccountBursts, PromptsTenTimesAsLongDoNotHoldUpShortOnes)
{
  Load load;
  load.mAccounts = { { "long", 30, 0.5, 1 }, { "short", 30, 0.05, 1 } };
  load.mSlots = 12;
  auto results = Replay(load).Run();
  Print("long prompts", results["long"], results["short"]);
  CHECK(results["short"].StartedShare() > 0.99);
  CHECK(results["short"].MeanWait() < 0.1 * kGoalSeconds);
  // A third of the slots' time is short of the long prompts' demand only.
  CHECK(results["long"].mWorkSeconds > 0.8 * 10.5 * 20);
}

/// Guards against an exchange that makes the order worse when VMs come and go,
/// and against VMs that need to hear others: each of 4 VMs has a fourth of the
/// slots and of the requests.
TEST(AccountBursts, BurstDoesNotHoldUpOthersWhileVmsComeAndGo)
{
  Load load = BurstLoad(4);
  auto results = Replay(load).Run();
  const Result heard = OthersOf(results, "burst");
  Print("4 VMs", results["burst"], heard);
  CHECK(heard.StartedShare() > 0.98);
  CHECK(heard.MeanWait() < 0.1 * kGoalSeconds);

  Load usual = load;
  usual.mAccounts.front().mBurstFactor = 1;
  results = Replay(usual).Run();
  Print("4 VMs, no burst", results["burst"], OthersOf(results, "burst"));

  load.mAreVmsHeard = false;
  results = Replay(load).Run();
  const Result alone = OthersOf(results, "burst");
  Print("4 VMs that hear nobody", results["burst"], alone);
  CHECK(alone.StartedShare() > 0.98);
  CHECK(alone.MeanWait() < 0.1 * kGoalSeconds);

  load.mAreVmsHeard = true;
  load.mDoVmsChange = true;
  results = Replay(load).Run();
  const Result changing = OthersOf(results, "burst");
  Print("4 VMs that come and go", results["burst"], changing);
  // The requests that wait at a VM that leaves are lost.
  CHECK(changing.StartedShare() > 0.97);
  CHECK(changing.MeanWait() < 0.1 * kGoalSeconds);
}
