#include "LimitSimulation.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/EndpointLimit.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kEndSeconds = 60;
/// Time at which the endpoints state their limits first.
constexpr double kNamedAtSeconds = 4;
constexpr double kLimitEndsAtSeconds = 30;
/// The operators' bounds on the requests in a window.
constexpr double kWindowSeconds = 4;
constexpr double kAllowedRatio = 1.5;
constexpr double kAllowedSlack = 5;
constexpr double kContactSeconds = 3;
/// Time after which a VM that passed on a statement counts as told.
constexpr double kToldSeconds = 0.5;
constexpr double kTransitSeconds = 0.003;
constexpr double kServiceSeconds = 0.05;
/// Time until all readers know what a VM pushes, and between two polls.
constexpr double kPushSeconds = 0.02;
constexpr double kPollSeconds = 1.2;
constexpr double kRestartSeconds = 2;
constexpr int kReturns = 2; ///< Returns of a refused request.

TimePoint At(double aSeconds)
{
  return TimePoint{} + std::chrono::hours(1) + FromSeconds(aSeconds);
}

struct Vm
{
  std::uint64_t mKey = 0;
  bool mIsLive = true;
  bool mIsCutOff = false;
  double mFrozenUntil = 0;
  /// Time from which the VM is not excused by a restart, a cut or a freeze.
  double mInTouchFrom = 0;
  std::vector<std::uint64_t> mLiveKeys; ///< Its list of the live VMs.
  std::vector<RequestLimit> mLimits;    ///< By limited endpoint.
  std::vector<PermitState> mPermits;
  std::vector<double> mToldAt;
};

struct Arrival
{
  double mAt = 0;
  std::uint32_t mVm = 0;
};

class Simulation
{
public:
  explicit Simulation(const LimitScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mArrivals(aScenario.mLimited)
    , mReaders(aScenario.mLimited)
    , mOracle(aScenario.mLimited)
  {
    for (std::uint32_t vm = 0; vm < aScenario.mVms; ++vm) {
      mVms.emplace_back();
      mVms.back().mKey = mRandom.Next();
      mVms.back().mToldAt.assign(aScenario.mLimited, kEndSeconds);
      Forget(mVms.back());
    }
    UpdateList();
    for (Vm& vm : mVms) {
      vm.mLiveKeys = mLiveKeys;
    }
  }

  LimitResult Run()
  {
    for (std::uint32_t vm = 0; vm < mScenario.mVms; ++vm) {
      ScheduleAt(mRandom.Unit() * kPollSeconds, [this, vm] { Poll(vm); });
    }
    ScheduleAt(0, [this] { NextRequest(); });
    ScheduleFleetEvents();
    while (!mEvents.empty() && mEvents.top().mAt < kEndSeconds) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      event.mAction();
    }
    return Result();
  }

private:
  struct Event
  {
    double mAt = 0;
    std::uint64_t mNumber = 0;
    std::function<void()> mAction;

    bool operator<(const Event& aOther) const
    {
      return mAt != aOther.mAt ? mAt > aOther.mAt : mNumber > aOther.mNumber;
    }
  };

  void ScheduleAt(double aAt, std::function<void()> aAction)
  {
    mEvents.push({ aAt, ++mEventNumber, std::move(aAction) });
  }

  void Forget(Vm& aVm) const
  {
    aVm.mLimits.assign(mScenario.mLimited, {});
    aVm.mPermits.assign(mScenario.mLimited, {});
  }

  void UpdateList()
  {
    mLiveKeys.clear();
    for (const Vm& vm : mVms) {
      if (vm.mIsLive) {
        mLiveKeys.push_back(vm.mKey);
      }
    }
  }

  /// The limit that an endpoint states at the time; empty: none.
  std::optional<double> LimitAt(double aAt) const
  {
    const bool hasEnded =
      mScenario.mCourse == LimitCourse::Ends && aAt >= kLimitEndsAtSeconds;
    if (aAt < kNamedAtSeconds || hasEnded) {
      return std::nullopt;
    }
    if (mScenario.mCourse == LimitCourse::EachSecond) {
      return mScenario.mLimit * (1 + std::sin(std::floor(aAt) * 2) / 3);
    }
    return mScenario.mLimit;
  }

  void Poll(std::uint32_t aVm)
  {
    Vm& vm = mVms[aVm];
    ScheduleAt(mNow + kPollSeconds, [this, aVm] { Poll(aVm); });
    if (!vm.mIsLive || vm.mIsCutOff || mNow < vm.mFrozenUntil) {
      return;
    }
    vm.mLiveKeys = mLiveKeys;
    if (mScenario.mPolicy == LimitPolicy::Ours) {
      for (std::uint32_t index = 0; index < mScenario.mLimited; ++index) {
        Merge(vm.mLimits[index], mReaders[index]);
        Merge(mReaders[index], vm.mLimits[index]);
      }
    }
    NoteKnown();
  }

  static void Merge(RequestLimit& aKnown, const RequestLimit& aOther)
  {
    if (aOther.mStatedAt > aKnown.mStatedAt) {
      aKnown = aOther;
    }
  }

  void NoteKnown()
  {
    const bool allKnow =
      std::all_of(mVms.begin(), mVms.end(), [](const Vm& aVm) {
        return !aVm.mIsLive || aVm.mIsCutOff || IsInForce(aVm.mLimits[0]);
      });
    if (allKnow && mKnownAt == 0) {
      mKnownAt = mNow;
    }
  }

  void NextRequest()
  {
    const bool isBurst = mNow >= 15 && mNow < 25;
    const double rate =
      mScenario.mRequestsPerSecond * (isBurst ? mScenario.mBurst : 1);
    ScheduleAt(mNow - std::log(1 - mRandom.Unit()) / rate,
               [this] { NextRequest(); });
    mRequests += 1;
    Take(0);
  }

  void Take(int aReturns)
  {
    const auto index = static_cast<std::uint32_t>(mRandom.Below(mVms.size()));
    Vm& vm = mVms[index];
    if (!vm.mIsLive) {
      // A caller whose connection is refused takes another address.
      ScheduleAt(mNow + kTransitSeconds, [this, aReturns] { Take(aReturns); });
      return;
    }
    if (mNow < vm.mFrozenUntil) {
      ScheduleAt(vm.mFrozenUntil, [this, index] { Dispatch(index, 0); });
      return;
    }
    Dispatch(index, aReturns);
  }

  std::optional<PermitShare> ShareAt(const Vm& aVm,
                                     std::uint32_t aEndpoint,
                                     double aLimit) const
  {
    const auto vms = static_cast<std::uint32_t>(aVm.mLiveKeys.size());
    if (mScenario.mPolicy == LimitPolicy::Ours) {
      return ShareOf(BoundOfLimit(aLimit),
                     PermitRank(aEndpoint + 1, aVm.mKey, aVm.mLiveKeys),
                     vms);
    }
    const double share =
      mScenario.mPolicy == LimitPolicy::EqualShares ? 1.0 / vms : 1;
    return PermitShare{ FromSeconds(1 / std::max(1e-3, aLimit * share)), 1 };
  }

  /// Whether the VM may send to the endpoint now; adds it to aLimited if not.
  bool MaySend(Vm& aVm, std::uint32_t aEndpoint, LimitedEndpoints& aLimited)
  {
    const bool isOracle = mScenario.mPolicy == LimitPolicy::Oracle;
    const std::optional<double> limit =
      isOracle ? LimitAt(mNow)
               : EffectiveLimit(aVm.mLimits[aEndpoint], At(mNow));
    if (!limit || mScenario.mPolicy == LimitPolicy::Ignore) {
      return true;
    }
    const auto share =
      isOracle ? PermitShare{ FromSeconds(1 / std::max(1e-3, *limit)), 1 }
               : ShareAt(aVm, aEndpoint, *limit);
    const PermitState& state =
      isOracle ? mOracle[aEndpoint] : aVm.mPermits[aEndpoint];
    const TimePoint next =
      share ? NextPermitAt(state, *share) : TimePoint::max();
    if (next <= At(mNow)) {
      return true;
    }
    aLimited = WithEndpoint(aLimited, *limit, share, next);
    return false;
  }

  void Use(Vm& aVm, std::uint32_t aEndpoint)
  {
    const bool isOracle = mScenario.mPolicy == LimitPolicy::Oracle;
    const std::optional<double> limit =
      isOracle ? LimitAt(mNow)
               : EffectiveLimit(aVm.mLimits[aEndpoint], At(mNow));
    if (isOracle) {
      mOracle[aEndpoint] =
        WithUse(mOracle[aEndpoint],
                limit ? std::optional(PermitShare{
                          FromSeconds(1 / std::max(1e-3, *limit)), 1 })
                      : std::nullopt,
                At(mNow));
      return;
    }
    aVm.mPermits[aEndpoint] =
      WithUse(aVm.mPermits[aEndpoint],
              limit ? ShareAt(aVm, aEndpoint, *limit) : std::nullopt,
              At(mNow));
  }

  /// Endpoints with a limit look idle, so they are taken first if they may be.
  void Dispatch(std::uint32_t aVm, int aReturns)
  {
    Vm& vm = mVms[aVm];
    LimitedEndpoints limited;
    std::vector<std::uint32_t> free;
    for (std::uint32_t index = 0; index < mScenario.mLimited; ++index) {
      if (MaySend(vm, index, limited)) {
        free.push_back(index);
      }
    }
    const bool takesLimited =
      !free.empty() && (LimitAt(mNow) || mRandom.Below(mScenario.mEndpoints) <
                                           mScenario.mLimited);
    if (takesLimited) {
      Send(aVm, free[mRandom.Below(free.size())]);
    } else if (mScenario.mLimited == mScenario.mEndpoints) {
      Refuse(limited, aReturns);
    }
  }

  void Refuse(const LimitedEndpoints& aLimited, int aReturns)
  {
    if (aReturns >= kReturns) {
      mRefused += 1;
      return;
    }
    const double delay =
      InSeconds(RetryAfterLimit(aLimited, 0, mRandom.Unit(), At(mNow)));
    ScheduleAt(mNow + delay, [this, aReturns] { Take(aReturns + 1); });
  }

  void Send(std::uint32_t aVm, std::uint32_t aEndpoint)
  {
    Use(mVms[aVm], aEndpoint);
    mArrivals[aEndpoint].push_back({ mNow + kTransitSeconds, aVm });
    const double answeredAt = mNow + kTransitSeconds + kServiceSeconds;
    ScheduleAt(answeredAt + kTransitSeconds,
               [this, aVm, aEndpoint, answeredAt] {
                 OnAnswer(aVm, aEndpoint, LimitAt(answeredAt));
               });
  }

  void OnAnswer(std::uint32_t aVm,
                std::uint32_t aEndpoint,
                std::optional<double> aLimit)
  {
    Vm& vm = mVms[aVm];
    if (aLimit) {
      vm.mToldAt[aEndpoint] = std::min(vm.mToldAt[aEndpoint], mNow);
    }
    RequestLimit& limit = vm.mLimits[aEndpoint];
    const RequestLimit before = limit;
    limit = WithStatement(limit, aLimit, At(mNow));
    const bool isNews = IsInForce(before) != IsInForce(limit) ||
                        before.mPerSecond != limit.mPerSecond;
    if (isNews && !vm.mIsCutOff) {
      ScheduleAt(mNow + kPushSeconds, [this, aEndpoint, limit] {
        Merge(mReaders[aEndpoint], limit);
      });
    }
  }

  void ScheduleFleetEvents()
  {
    const std::uint32_t vms = mScenario.mVms;
    switch (mScenario.mEvent) {
      case FleetEvent::None:
        break;
      case FleetEvent::RollingRestart:
        for (std::uint32_t vm = 0; vm < vms; ++vm) {
          const double at = 10 + 40.0 * vm / vms;
          ScheduleAt(at, [this, vm] { Stop(vm); });
          ScheduleAt(at + kRestartSeconds, [this, vm] { Restart(vm); });
        }
        break;
      case FleetEvent::ThirdLost:
        for (std::uint32_t vm = 0; vm < vms / 3; ++vm) {
          ScheduleAt(20, [this, vm] { Stop(vm); });
        }
        break;
      case FleetEvent::ThirdCutOff:
        for (std::uint32_t vm = 0; vm < vms / 3; ++vm) {
          ScheduleAt(10, [this, vm] { mVms[vm].mIsCutOff = true; });
          ScheduleAt(30, [this, vm] {
            mVms[vm].mIsCutOff = false;
            mVms[vm].mInTouchFrom = mNow + kContactSeconds;
          });
        }
        break;
      case FleetEvent::TenthFrozen:
        for (std::uint32_t vm = 0; vm < std::max(1U, vms / 10); ++vm) {
          ScheduleAt(20, [this, vm] {
            mVms[vm].mFrozenUntil = 23;
            mVms[vm].mInTouchFrom = 23 + kContactSeconds;
          });
        }
        break;
    }
  }

  void Stop(std::uint32_t aVm)
  {
    mVms[aVm].mIsLive = false;
    UpdateList();
  }

  void Restart(std::uint32_t aVm)
  {
    Vm& vm = mVms[aVm];
    vm.mIsLive = true;
    vm.mInTouchFrom = mNow + kContactSeconds;
    Forget(vm);
    vm.mToldAt.assign(mScenario.mLimited, kEndSeconds);
    UpdateList();
    vm.mLiveKeys = mLiveKeys;
    if (mScenario.mPolicy == LimitPolicy::Ours) {
      vm.mLimits = mReaders;
    }
  }

  /// The mean limit in the window, so that one that changes allows what it
  /// allowed from second to second.
  double AllowedFrom(double aAt) const
  {
    constexpr int kSteps = 40;
    double sum = 0;
    for (int step = 0; step < kSteps; ++step) {
      sum += LimitAt(aAt + (step + 0.5) * kWindowSeconds / kSteps)
               .value_or(kEndSeconds * mScenario.mRequestsPerSecond);
    }
    return kAllowedRatio * kWindowSeconds * sum / kSteps + kAllowedSlack;
  }

  LimitResult Result() const
  {
    LimitResult result;
    double used = 0;
    double offered = 0;
    for (double at = kNamedAtSeconds; at < kEndSeconds; at += 0.1) {
      offered += LimitAt(at).value_or(0) * 0.1 * mScenario.mLimited;
    }
    for (std::uint32_t index = 0; index < mScenario.mLimited; ++index) {
      std::vector<double> counted;
      for (const Arrival& arrival : mArrivals[index]) {
        const Vm& vm = mVms[arrival.mVm];
        const bool isInTouch = !vm.mIsCutOff && arrival.mAt >= vm.mInTouchFrom;
        if (arrival.mAt >= vm.mToldAt[index] + kToldSeconds && isInTouch &&
            arrival.mAt >= kNamedAtSeconds + kContactSeconds) {
          counted.push_back(arrival.mAt);
        }
        used += LimitAt(arrival.mAt) ? 1 : 0;
      }
      std::sort(counted.begin(), counted.end());
      for (auto first = counted.begin(); first != counted.end(); ++first) {
        const auto end =
          std::lower_bound(first, counted.end(), *first + kWindowSeconds);
        result.mMostOfAllowed =
          std::max(result.mMostOfAllowed,
                   static_cast<double>(end - first) / AllowedFrom(*first));
      }
    }
    result.mUsedShare = offered > 0 ? used / offered : 0;
    result.mRefusedShare = mRefused / std::max(1.0, mRequests);
    result.mSecondsUntilKnown =
      mKnownAt > 0 ? mKnownAt - kNamedAtSeconds : kEndSeconds;
    return result;
  }

  LimitScenario mScenario;
  Random mRandom;
  double mNow = 0;
  std::priority_queue<Event> mEvents;
  std::uint64_t mEventNumber = 0;
  std::vector<Vm> mVms;
  std::vector<std::uint64_t> mLiveKeys;        ///< As the readers list them.
  std::vector<std::vector<Arrival>> mArrivals; ///< By limited endpoint.
  std::vector<RequestLimit> mReaders;          ///< What the readers know.
  std::vector<PermitState> mOracle;
  double mRequests = 0;
  double mRefused = 0;
  double mKnownAt = 0;
};

} // namespace

LimitResult SimulateLimits(const LimitScenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace Acaciavale::DecisionMeasure
