#include "LineRun.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRelay/WaitQueue.h>

#include <algorithm>
#include <cmath>
#include <queue>

namespace Acaciavale::DecisionMeasure {

namespace {

using namespace Relay;

constexpr double kSeconds = 60;
constexpr double kBurstFrom = 20;
constexpr double kBurstTo = 40;
/// Service, spread evenly about it by half; the goal counts from the arrival of
/// a call to its start, as for a first event.
constexpr double kServiceSeconds = 1;
constexpr double kGoalSeconds = 2;
/// As the relay turns requests away that waited for this share of their goals.
constexpr double kLineShare = 0.75;
/// What callers do who were turned away: one more call.
constexpr std::uint32_t kCalls = 2;

struct Caller
{
  std::uint32_t mAccount = 0;
  std::uint32_t mCalls = 0;
  double mCalled = 0;
  double mService = 0;
  bool mIsOver = false;
};

enum class Step
{
  Arrival,
  Call,
  PlaceFree,
  TurnAway,
};

struct Event
{
  double mAt = 0;
  Step mStep = Step::Arrival;
  std::uint32_t mCaller = 0;
  std::uint32_t mCall = 0;

  bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
};

class Run
{
public:
  explicit Run(const LineScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mFree(aScenario.mPlaces)
  {
  }

  LineResult Play()
  {
    for (std::uint32_t account = 0; account < mScenario.mAccounts; ++account) {
      PushNext(account);
    }
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      Handle(event);
    }
    LineResult result;
    const double places = mScenario.mPlaces * (kBurstTo - kBurstFrom);
    result.mGoodput = mGoodSeconds / places;
    result.mServedOthers = mServed[1] / std::max(1.0, mAsked[1]);
    result.mServedLoud = mServed[0] / std::max(1.0, mAsked[0]);
    result.mRefusedAgain = mRefusedAgain / std::max(1.0, mReturned);
    return result;
  }

private:
  TimePoint At(double aSeconds) const
  {
    return TimePoint(FromSeconds(1000 + aSeconds));
  }

  void PushNext(std::uint32_t aAccount)
  {
    const bool isBurst = mNow >= kBurstFrom && mNow < kBurstTo;
    const double rate = mScenario.mLoad * mScenario.mPlaces / kServiceSeconds /
                        mScenario.mAccounts * (isBurst ? mScenario.mBurst : 1) *
                        (aAccount == 0 ? mScenario.mLoudness : 1);
    mEvents.push({ mNow - std::log(1 - mRandom.Unit()) / rate,
                   Step::Arrival,
                   aAccount,
                   0 });
  }

  void Handle(const Event& aEvent)
  {
    switch (aEvent.mStep) {
      case Step::Arrival:
        if (mNow < kSeconds) {
          PushNext(aEvent.mCaller);
          mCallers.push_back({ aEvent.mCaller, 0, 0, 0, false });
          mCallers.back().mService = kServiceSeconds * (0.5 + mRandom.Unit());
          mAsked[aEvent.mCaller == 0 ? 0 : 1] += 1;
          Call(static_cast<std::uint32_t>(mCallers.size() - 1));
        }
        break;
      case Step::Call:
        mReturned += 1;
        Call(aEvent.mCaller);
        break;
      case Step::PlaceFree:
        mFree += 1;
        Serve();
        break;
      case Step::TurnAway:
        TurnAway(aEvent.mCaller, aEvent.mCall);
        break;
    }
  }

  void Call(std::uint32_t aCaller)
  {
    Caller& caller = mCallers[aCaller];
    caller.mCalls += 1;
    caller.mCalled = mNow;
    WaitingRequest work;
    work.mAccount = std::to_string(caller.mAccount);
    work.mQueuedAt = At(mNow);
    const bool isPatient = mScenario.mQueueing == Queueing::Fifo;
    const double share = mScenario.mQueueing == Queueing::Ours ? kLineShare : 1;
    work.mStartBy =
      At(isPatient ? mNow + kSeconds : mNow + share * kGoalSeconds);
    const bool isHopeless =
      mScenario.mQueueing == Queueing::Ours && mFree == 0 &&
      CannotStartInTime(
        mPace, mLine.CountAhead(work, At(mNow)), share * kGoalSeconds);
    if (isHopeless) {
      TurnAway(aCaller, caller.mCalls);
      return;
    }
    const WaitTicket ticket = mLine.Add(work);
    mWaiting[ticket] = aCaller;
    if (!isPatient) {
      mEvents.push({ mNow + share * kGoalSeconds,
                     Step::TurnAway,
                     aCaller,
                     caller.mCalls });
    }
    Serve();
  }

  std::optional<WaitTicket> Next() const
  {
    if (mScenario.mQueueing == Queueing::Ours) {
      return mLine.Next(At(mNow));
    }
    return mWaiting.empty() ? std::nullopt
                            : std::optional(mWaiting.begin()->first);
  }

  void Serve()
  {
    while (mFree > 0) {
      const auto ticket = Next();
      if (!ticket) {
        return;
      }
      Caller& caller = mCallers[mWaiting.at(*ticket)];
      const bool isLine = mWaiting.size() > 1 || mNow > caller.mCalled;
      mPace = WithStart(mPace, isLine, At(mNow));
      Leave(*ticket);
      caller.mIsOver = true;
      mFree -= 1;
      mLine.RecordStart(std::to_string(caller.mAccount));
      const double end = mNow + caller.mService;
      mEvents.push({ end, Step::PlaceFree, 0, 0 });
      if (mNow - caller.mCalled <= kGoalSeconds) {
        mServed[caller.mAccount == 0 ? 0 : 1] += 1;
        mGoodSeconds +=
          std::max(0.0, std::min(end, kBurstTo) - std::max(mNow, kBurstFrom));
      }
    }
  }

  void Leave(WaitTicket aTicket)
  {
    mLine.Remove(aTicket);
    mWaiting.erase(aTicket);
  }

  void TurnAway(std::uint32_t aCaller, std::uint32_t aCall)
  {
    Caller& caller = mCallers[aCaller];
    if (caller.mIsOver || caller.mCalls != aCall) {
      return;
    }
    for (const auto& [ticket, waiting] : mWaiting) {
      if (waiting == aCaller) {
        Leave(ticket);
        break;
      }
    }
    mRefusedAgain += aCall > 1 ? 1 : 0;
    if (aCall < kCalls) {
      const Duration pause = RetryAfter(mPace, mLine.size(), mRandom.Unit());
      mEvents.push({ mNow + InSeconds(pause), Step::Call, aCaller, 0 });
    }
  }

  LineScenario mScenario;
  Random mRandom;
  std::uint32_t mFree;
  WaitQueue mLine;
  std::map<WaitTicket, std::uint32_t> mWaiting;
  std::vector<Caller> mCallers;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  double mNow = 0;
  StartInterval mPace;
  double mGoodSeconds = 0;
  double mAsked[2] = { 0, 0 };
  double mServed[2] = { 0, 0 };
  double mReturned = 0;
  double mRefusedAgain = 0;
};

} // namespace

LineResult RunLine(const LineScenario& aScenario)
{
  return Run(aScenario).Play();
}

} // namespace Acaciavale::DecisionMeasure
