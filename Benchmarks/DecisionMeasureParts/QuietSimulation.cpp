#include "QuietSimulation.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/EndpointQuiet.h>

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <vector>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr std::int32_t kPlaces = 16;
constexpr double kServiceSeconds = 1;
constexpr double kLoad = 0.5;
constexpr double kBurstFactor = 3;
constexpr double kBurstStart = 10;
constexpr double kBurstEnd = 18;
constexpr double kMeasuredUntil = 23;
constexpr double kEnd = 30;
constexpr double kStep = 0.01;
/// All engines want quiet from this time on, for two seconds.
constexpr double kAllQuietStart = 12;
constexpr double kAllQuietSeconds = 2;
constexpr int kMaximumAttempts = 3;
constexpr int kMaximumReturns = 3;
constexpr int kCandidates = 4;
/// Return of a refused caller that is told no time.
constexpr double kDefaultReturnSeconds = 0.3;
constexpr double kReturnSpread = 0.25;
constexpr double kAnswerSeconds = 0.5; ///< For sends that were under way.

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

struct Engine
{
  bool mAsksForQuiet = false;
  std::int32_t mRunning = 0;
  double mQuietUntil = 0;
};

/// What one VM knows of one engine.
struct View
{
  QuietPeriod mQuiet;
  double mToldAt = 0;
  double mToldUntil = 0;
  std::int32_t mOpen = 0;
};

struct Caller
{
  double mAt = 0;
  std::uint32_t mVm = 0;
  int mReturns = 0;
  bool mIsOfBurst = false;

  bool operator>(const Caller& aOther) const { return mAt > aOther.mAt; }
};

struct Run
{
  double mEndsAt = 0;
  std::uint32_t mVm = 0;
  std::uint32_t mEngine = 0;

  bool operator>(const Run& aOther) const { return mEndsAt > aOther.mEndsAt; }
};

template<typename Item>
using EarliestFirst =
  std::priority_queue<Item, std::vector<Item>, std::greater<>>;

class Simulation
{
public:
  explicit Simulation(const QuietScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mEngines(aScenario.mEngines)
    , mViews(static_cast<std::size_t>(aScenario.mVms) * aScenario.mEngines)
    , mArrivalsBySecond(static_cast<std::size_t>(kEnd) + 1)
  {
    for (Engine& engine : mEngines) {
      engine.mAsksForQuiet = mRandom.Unit() < mScenario.mQuietShare;
    }
  }

  QuietResult Run()
  {
    const double rate =
      kLoad * kPlaces / kServiceSeconds * static_cast<double>(mEngines.size());
    double due = 0;
    for (mNow = 0; mNow < kEnd; mNow += kStep) {
      EndRuns();
      const bool isBurst = mNow >= kBurstStart && mNow < kBurstEnd;
      due += rate * (isBurst ? kBurstFactor : 1) * kStep;
      for (; due >= 1; due -= 1) {
        mBurstRequests += isBurst ? 1 : 0;
        Serve({ mNow, Below(mScenario.mVms), 0, isBurst });
      }
      while (!mReturning.empty() && mReturning.top().mAt <= mNow) {
        const Caller caller = mReturning.top();
        mReturning.pop();
        Serve(caller);
      }
    }
    mResult.mServedShare = mServedOfBurst / mBurstRequests;
    const double from =
      mScenario.mAllWantQuiet ? kAllQuietStart + kAllQuietSeconds : kBurstEnd;
    const double until = mScenario.mAllWantQuiet ? kBurstEnd : kMeasuredUntil;
    const auto first =
      mArrivalsBySecond.begin() + static_cast<std::ptrdiff_t>(from);
    const auto last =
      mArrivalsBySecond.begin() + static_cast<std::ptrdiff_t>(until);
    double sum = 0;
    for (auto second = first; second != last; ++second) {
      sum += *second;
    }
    mResult.mLargestSecond =
      *std::max_element(first, last) * (until - from) / sum;
    return mResult;
  }

private:
  std::uint32_t Below(std::uint32_t aBound)
  {
    return static_cast<std::uint32_t>(mRandom.Below(aBound));
  }

  View& ViewOf(std::uint32_t aVm, std::uint32_t aEngine)
  {
    return mViews[static_cast<std::size_t>(aVm) * mEngines.size() + aEngine];
  }

  void EndRuns()
  {
    while (!mRuns.empty() && mRuns.top().mEndsAt <= mNow) {
      mEngines[mRuns.top().mEngine].mRunning -= 1;
      ViewOf(mRuns.top().mVm, mRuns.top().mEngine).mOpen -= 1;
      mRuns.pop();
    }
  }

  bool AllWantQuiet() const
  {
    return mScenario.mAllWantQuiet && mNow >= kAllQuietStart &&
           mNow < kAllQuietStart + kAllQuietSeconds;
  }

  /// The engine for an attempt; mEngines.size() if there is none.
  std::uint32_t Choose(std::uint32_t aVm)
  {
    const auto none = static_cast<std::uint32_t>(mEngines.size());
    std::uint32_t best = none;
    for (int candidate = 0; candidate < kCandidates; ++candidate) {
      const std::uint32_t engine = Below(none);
      const View& view = ViewOf(aVm, engine);
      bool isUsable = true;
      if (mScenario.mPolicy == QuietPolicy::Ours) {
        isUsable =
          view.mOpen < PlacesAfterQuiet(view.mQuiet, kPlaces, At(mNow));
      }
      if (isUsable && (best == none || view.mOpen < ViewOf(aVm, best).mOpen)) {
        best = engine;
      }
    }
    return best;
  }

  std::uint32_t ChooseAsOracle() const
  {
    const auto free = std::find_if(
      mEngines.begin(), mEngines.end(), [this](const Engine& aEngine) {
        return aEngine.mRunning < kPlaces && aEngine.mQuietUntil <= mNow &&
               !AllWantQuiet();
      });
    return static_cast<std::uint32_t>(free - mEngines.begin());
  }

  /// Returns for how long the engine wants quiet; negative if it took the
  /// request.
  double Send(std::uint32_t aVm, std::uint32_t aEngine)
  {
    Engine& engine = mEngines[aEngine];
    View& view = ViewOf(aVm, aEngine);
    mArrivalsBySecond[static_cast<std::size_t>(mNow)] += 1;
    if (mNow > view.mToldAt + kAnswerSeconds && mNow < view.mToldUntil) {
      mResult.mSendsInQuiet += 1;
    }
    if (AllWantQuiet()) {
      engine.mQuietUntil = kAllQuietStart + kAllQuietSeconds;
    } else if (engine.mQuietUntil <= mNow && engine.mRunning >= kPlaces &&
               engine.mAsksForQuiet) {
      engine.mQuietUntil = mNow + 1 + 4 * mRandom.Unit();
    }
    if (engine.mQuietUntil > mNow) {
      view.mToldAt = mNow;
      view.mToldUntil = engine.mQuietUntil;
      return engine.mQuietUntil - mNow;
    }
    if (engine.mRunning >= kPlaces) {
      return 0;
    }
    engine.mRunning += 1;
    view.mOpen += 1;
    const double seconds = -kServiceSeconds * std::log(1 - mRandom.Unit());
    mRuns.push({ mNow + seconds, aVm, aEngine });
    return -1;
  }

  void Serve(const Caller& aCaller)
  {
    const auto none = static_cast<std::uint32_t>(mEngines.size());
    double earliest = kDefaultReturnSeconds;
    for (int attempt = 0; attempt < kMaximumAttempts; ++attempt) {
      const std::uint32_t engine = mScenario.mPolicy == QuietPolicy::Oracle
                                     ? ChooseAsOracle()
                                     : Choose(aCaller.mVm);
      if (engine == none) {
        earliest = EarliestEnd(aCaller.mVm);
        break;
      }
      const double quiet = Send(aCaller.mVm, engine);
      if (quiet < 0) {
        mServedOfBurst += aCaller.mIsOfBurst && mNow < kMeasuredUntil ? 1 : 0;
        return;
      }
      if (quiet > 0 && mScenario.mPolicy == QuietPolicy::Ours) {
        View& view = ViewOf(aCaller.mVm, engine);
        view.mQuiet = WithQuietTime(
          view.mQuiet, FromSeconds(quiet), mRandom.Unit(), At(mNow));
      }
    }
    if (aCaller.mReturns < kMaximumReturns) {
      const double wait = earliest * (1 + kReturnSpread * mRandom.Unit());
      mReturning.push(
        { mNow + wait, aCaller.mVm, aCaller.mReturns + 1, aCaller.mIsOfBurst });
    }
  }

  /// The time that a refused caller is told, if no engine may be used.
  double EarliestEnd(std::uint32_t aVm)
  {
    double earliest = kDefaultReturnSeconds;
    bool areAllQuiet = mScenario.mPolicy == QuietPolicy::Ours;
    double firstEnd = kEnd;
    for (std::uint32_t engine = 0; engine < mEngines.size(); ++engine) {
      const QuietPeriod& quiet = ViewOf(aVm, engine).mQuiet;
      areAllQuiet = areAllQuiet && IsQuiet(quiet, At(mNow));
      firstEnd = std::min(firstEnd, InSeconds(quiet.mEndsAt - At(mNow)));
    }
    if (areAllQuiet) {
      earliest = std::max(earliest, firstEnd);
    }
    return earliest;
  }

  QuietScenario mScenario;
  Random mRandom;
  std::vector<Engine> mEngines;
  std::vector<View> mViews; ///< By VM, then by engine.
  EarliestFirst<struct Run> mRuns;
  EarliestFirst<Caller> mReturning;
  std::vector<double> mArrivalsBySecond;
  double mNow = 0;
  double mBurstRequests = 0;
  double mServedOfBurst = 0;
  QuietResult mResult;
};

} // namespace

QuietResult SimulateQuiet(const QuietScenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace Acaciavale::DecisionMeasure
