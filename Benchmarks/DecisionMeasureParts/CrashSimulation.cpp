#include "CrashSimulation.h"

#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRouting/PromptQuarantine.h>

#include <algorithm>
#include <list>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kSeconds = 60;
constexpr double kStep = 0.005;
constexpr double kDownSeconds =
  1.5; ///< From the end of an engine to its start.
constexpr double kQueueSeconds = 0.1;
constexpr double kStreamSeconds = 1.5;
/// From the head of the response to the end of the engine.
constexpr double kCrashSeconds = 0.06;
constexpr double kCallerReturnSeconds = 0.05;
constexpr int kMaximumAttempts = 3;
/// A first part that is in many requests, and the number of callers' parts.
constexpr std::uint64_t kFirstPart = 1;
constexpr double kFirstPartShare = 0.28;
constexpr std::uint64_t kCallers = 40;
constexpr std::uint64_t kDeadlyPart = 2;

TimePoint At(double aSeconds)
{
  return TimePoint(FromSeconds(1000 + aSeconds));
}

struct Request
{
  std::vector<std::uint64_t> mParts;
  bool mIsDeadly = false;
  bool mIsRepeatOfCaller = false;
  int mAttempts = 0;
  std::size_t mVm = 0;
  std::size_t mEngine = 0;
  double mHeadAt = 0;
  bool mHasEvent = false;
  double mReturnsAt = 0;
};

struct Vm
{
  CrashEvidence mEvidence;
  std::vector<QuarantinedPrompt> mQuarantine;
  std::multiset<std::uint64_t> mTrials;
  double mJitter = 0;
  double mNextPoll = 0;
};

struct Engine
{
  std::uint64_t mLifetime = 0;
  double mUpAt = 0;
};

class Simulation
{
public:
  explicit Simulation(const CrashScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mVms(aScenario.mVms)
    , mEngines(aScenario.mEngines)
  {
    for (Vm& vm : mVms) {
      vm.mJitter = mRandom.Unit();
      vm.mNextPoll = mRandom.Unit() * mScenario.mPollSeconds;
    }
  }

  CrashResult Run()
  {
    double nextOtherCrash = 10;
    for (mNow = 0; mNow < kSeconds; mNow += kStep) {
      if (mRandom.Unit() < mScenario.mRequestsPerSecond * kStep) {
        Arrive();
      }
      if (mScenario.mOtherCrashShare > 0 && mNow >= nextOtherCrash) {
        nextOtherCrash += 4;
        for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
          if (mRandom.Unit() < mScenario.mOtherCrashShare) {
            End(engine);
          }
        }
      }
      Advance();
      ReturnCallers();
      Poll();
    }
    mResult.mSoundRefusedShare = mSoundRefused / std::max(1.0, mSound);
    return mResult;
  }

private:
  bool Quarantines() const
  {
    return mScenario.mPolicy == CrashPolicy::Ours ||
           mScenario.mPolicy == CrashPolicy::EachVmAlone;
  }

  bool Exchanges() const { return mScenario.mPolicy == CrashPolicy::Ours; }

  void Arrive()
  {
    Request request;
    request.mIsDeadly = mNow > 5 && mRandom.Unit() < mScenario.mDeadlyShare;
    if (mRandom.Unit() < kFirstPartShare) {
      request.mParts.push_back(kFirstPart);
    }
    request.mParts.push_back(100 + mRandom.Below(kCallers));
    if (request.mIsDeadly) {
      request.mParts.push_back(kDeadlyPart);
    }
    request.mParts.push_back(++mLastOwnPart);
    mSound += request.mIsDeadly ? 0 : 1;
    Dispatch(std::move(request), mRandom.Below(mVms.size()));
  }

  void Dispatch(Request aRequest, std::size_t aVm)
  {
    Vm& vm = mVms[aVm];
    aRequest.mVm = aVm;
    if (mScenario.mPolicy == CrashPolicy::Oracle && aRequest.mIsDeadly) {
      return;
    }
    if (Quarantines()) {
      const PromptDecision decision =
        DecidePrompt(FindSuspectPrompts(vm.mEvidence),
                     vm.mQuarantine,
                     "pool",
                     aRequest.mParts,
                     vm.mTrials,
                     vm.mJitter,
                     At(mNow));
      if (decision.mVerdict != PromptVerdict::Send) {
        mSoundRefused += aRequest.mIsDeadly ? 0 : 1;
        return;
      }
      if (decision.mTrialOf != 0) {
        vm.mTrials.insert(decision.mTrialOf);
      }
    }
    std::vector<std::size_t> up;
    for (std::size_t engine = 0; engine < mEngines.size(); ++engine) {
      if (mEngines[engine].mUpAt <= mNow) {
        up.push_back(engine);
      }
    }
    if (up.empty()) {
      return;
    }
    aRequest.mEngine = up[mRandom.Below(up.size())];
    aRequest.mHeadAt = mNow + kQueueSeconds * 2 * mRandom.Unit();
    aRequest.mHasEvent = false;
    aRequest.mAttempts += 1;
    if (aRequest.mIsDeadly && mFifthCrashAt > 0 &&
        mNow > mFifthCrashAt + mScenario.mContactSeconds) {
      mResult.mLateSends += 1;
    }
    mOpen.push_back(std::move(aRequest));
  }

  void Advance()
  {
    std::vector<std::size_t> ending;
    for (Request& request : mOpen) {
      if (request.mIsDeadly && mNow >= request.mHeadAt + kCrashSeconds) {
        ending.push_back(request.mEngine);
      } else if (!request.mIsDeadly && !request.mHasEvent &&
                 mNow >= request.mHeadAt) {
        request.mHasEvent = true;
        RecordSound(
          mVms[request.mVm].mEvidence, "pool", "v1", request.mParts, At(mNow));
        mVms[request.mVm].mTrials.clear();
      }
    }
    mOpen.remove_if([this](const Request& aRequest) {
      return !aRequest.mIsDeadly && mNow > aRequest.mHeadAt + kStreamSeconds;
    });
    for (const std::size_t engine : ending) {
      if (mEngines[engine].mUpAt <= mNow) {
        mResult.mCrashes += 1;
        mResult.mSecondsUntilLastCrash = mNow;
        if (mResult.mCrashes == 5) {
          mFifthCrashAt = mNow;
        }
        End(engine);
      }
    }
  }

  void End(std::size_t aEngine)
  {
    EndpointCrash crash;
    crash.mPool = "pool";
    crash.mEndpoint = std::to_string(aEngine) + '@' +
                      std::to_string(mEngines[aEngine].mLifetime);
    crash.mVersion = "v1";
    crash.mAt = At(mNow);
    mEngines[aEngine] = { mEngines[aEngine].mLifetime + 1,
                          mNow + kDownSeconds };
    std::vector<Request> lost;
    mOpen.remove_if([&](const Request& aRequest) {
      if (aRequest.mEngine == aEngine) {
        lost.push_back(aRequest);
      }
      return aRequest.mEngine == aEngine;
    });
    for (Request& request : lost) {
      mResult.mSoundBroken += request.mIsDeadly ? 0 : 1;
      const bool hadBegun = mNow >= request.mHeadAt;
      Vm& vm = mVms[request.mVm];
      if (!request.mHasEvent) {
        crash.mSuspects = { { request.mParts, hadBegun } };
        RecordCrash(vm.mEvidence, crash);
        vm.mTrials.clear();
        Judge(vm);
        if (Exchanges()) {
          Push(vm);
        }
      }
      const bool mayRepeat =
        mScenario.mPolicy == CrashPolicy::RepeatElsewhere || !hadBegun ||
        request.mHasEvent;
      const std::size_t own = request.mVm;
      if (mayRepeat && request.mAttempts < kMaximumAttempts) {
        Dispatch(std::move(request), own);
      } else if (!request.mIsRepeatOfCaller) {
        request.mIsRepeatOfCaller = true;
        request.mAttempts = 0;
        request.mReturnsAt = mNow + kCallerReturnSeconds;
        mReturning.push_back(std::move(request));
      }
    }
  }

  void ReturnCallers()
  {
    std::vector<Request> due;
    mReturning.remove_if([&](const Request& aRequest) {
      if (aRequest.mReturnsAt <= mNow) {
        due.push_back(aRequest);
      }
      return aRequest.mReturnsAt <= mNow;
    });
    for (Request& request : due) {
      Dispatch(std::move(request), mRandom.Below(mVms.size()));
    }
  }

  bool IsReader(const Vm& aVm) const
  {
    return !Exchanges() ||
           static_cast<std::size_t>(&aVm - mVms.data()) < mScenario.mReaders;
  }

  void Judge(Vm& aVm)
  {
    if (Quarantines() && IsReader(aVm)) {
      UpdateQuarantine(
        aVm.mQuarantine,
        FindPromptsToQuarantine(aVm.mEvidence,
                                FromSeconds(2.6 * mScenario.mPollSeconds)),
        aVm.mEvidence);
    }
  }

  void Exchange(Vm& aVm, Vm& aReader)
  {
    Merge(aReader.mEvidence, SharedEvidence(aVm.mEvidence, {}));
    Judge(aReader);
    Merge(aVm.mEvidence, SharedEvidence(aReader.mEvidence, {}));
    UpdateQuarantine(aVm.mQuarantine, aReader.mQuarantine, aVm.mEvidence);
  }

  void Push(Vm& aVm)
  {
    for (std::size_t reader = 0; reader < mScenario.mReaders; ++reader) {
      if (&mVms[reader] != &aVm) {
        Exchange(aVm, mVms[reader]);
      }
    }
  }

  void Poll()
  {
    for (std::size_t index = 0; Exchanges() && index < mVms.size(); ++index) {
      Vm& vm = mVms[index];
      if (vm.mNextPoll > mNow) {
        continue;
      }
      vm.mNextPoll += mScenario.mPollSeconds;
      Vm& reader = mVms[index % mScenario.mReaders];
      if (&reader != &vm) {
        Exchange(vm, reader);
      }
    }
  }

  CrashScenario mScenario;
  Random mRandom;
  std::vector<Vm> mVms;
  std::vector<Engine> mEngines;
  std::list<Request> mOpen;
  std::list<Request> mReturning;
  double mNow = 0;
  double mFifthCrashAt = 0;
  double mSound = 0;
  double mSoundRefused = 0;
  std::uint64_t mLastOwnPart = 1000000;
  CrashResult mResult;
};

} // namespace

CrashResult SimulateCrashes(const CrashScenario& aScenario)
{
  return Simulation(aScenario).Run();
}

} // namespace Acaciavale::DecisionMeasure
