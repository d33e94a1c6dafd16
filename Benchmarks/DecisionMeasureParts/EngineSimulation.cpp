#include "EngineSimulation.h"

#include <Acaciavale/LibRelay/EndpointRegistry.h>
#include <Acaciavale/LibRelay/ModelChoice.h>
#include <Acaciavale/LibRelay/StoreReaders.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>

namespace Acaciavale::DecisionMeasure {

namespace {

using namespace Relay;

/// Prefill time per prompt token of each model, smallest model first, as on the
/// deployments.
constexpr std::array kPrefillSecondsPerToken{ 0.000018, 0.00003, 0.00007 };
/// Cost of an answer of each model, as on the deployments, in units of the
/// value of a good answer.
constexpr std::array kAnswerCosts{ 0.012, 0.09, 0.18 };
/// Share of the requests that each model answers well.
constexpr std::array kModelQuality{ 0.58, 0.67, 1.0 };
constexpr double kAnswerSeconds = 1; ///< Time from the first event to the end.
constexpr double kGoalSeconds = 2;   ///< Goal for the time to the first event.
constexpr double kLateAnswerValue =
  0.3; ///< Value of a good answer after the goal.
constexpr double kSlowFactor = 3;
/// Interval at which VMs exchange load reports through the reader VMs.
constexpr double kLoadExchangeSeconds = 0.9;
constexpr double kMaxReportAgeSeconds = 3;

struct Engine
{
  double mSlowdown = 1;
  double mPrefillEndsAt = 0;
  std::int32_t mWaiting = 0;
  std::int32_t mRunning = 0;
};

struct Job
{
  std::uint32_t mVm = 0;
  std::uint32_t mEngine = 0;
  double mArrivedAt = 0;
  double mAttemptStartedAt = 0;
  std::int64_t mTokens = 0;
  bool mIsLong = false;
  /// Minimum quality of a model that answers this request well.
  double mRequiredQuality = 0;
  std::size_t mModel = 2;
  double mCost = 0;
  bool mIsEscalated = false;
};

enum class EventKind
{
  Arrival,
  FirstEvent,
  End,
  ExchangeLoads,
};

struct Event
{
  double mTime = 0; ///< Simulated time in seconds.
  EventKind mKind = EventKind::Arrival;
  std::uint32_t mJob = 0;

  bool operator>(const Event& aOther) const { return mTime > aOther.mTime; }
};

class EngineSimulation
{
public:
  explicit EngineSimulation(const EngineScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mEngines(aScenario.mEngines)
    , mRegistries(aScenario.mVms)
    , mRoundRobinPositions(aScenario.mVms)
  {
    std::vector<EndpointRecord> records;
    double totalSpeed = 0;
    for (std::uint32_t engine = 0; engine < aScenario.mEngines; ++engine) {
      if (aScenario.mHalfAreSlow && engine % 2 == 1) {
        mEngines[engine].mSlowdown = kSlowFactor;
      }
      totalSpeed += 1 / mEngines[engine].mSlowdown;
      EndpointRecord record;
      record.mId = std::to_string(1000 + engine);
      record.mPool = "pool";
      record.mSlots = static_cast<std::int32_t>(aScenario.mSlots);
      records.push_back(record);
    }
    for (EndpointRegistry& registry : mRegistries) {
      registry.Replace(records, TimePoint{});
    }
    for (std::uint32_t& position : mRoundRobinPositions) {
      position = mRandom.Below(aScenario.mEngines);
    }
    const double meanPrefillSeconds =
      kPrefillSecondsPerToken.back() *
      (aScenario.mLongPromptShare * MeanTokens(true) +
       (1 - aScenario.mLongPromptShare) * MeanTokens(false));
    mArrivalRate = aScenario.mLoad * totalSpeed / meanPrefillSeconds;
  }

  EngineResult Run()
  {
    Schedule(0, EventKind::Arrival);
    Schedule(kLoadExchangeSeconds, EventKind::ExchangeLoads);
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mTime;
      switch (event.mKind) {
        case EventKind::Arrival:
          OnArrival();
          break;
        case EventKind::FirstEvent:
          OnFirstEvent(event.mJob);
          break;
        case EventKind::End:
          OnEnd(event.mJob);
          break;
        case EventKind::ExchangeLoads:
          ExchangeLoads();
          break;
      }
    }
    mResult.mNetValue /= std::max(1.0, mMeasuredRequests);
    return std::move(mResult);
  }

private:
  static constexpr std::int64_t kMinShortTokens = 300;
  static constexpr std::int64_t kShortTokenRange = 1700;
  static constexpr std::int64_t kMinLongTokens = 6000;
  static constexpr std::int64_t kLongTokenRange = 14000;

  static double MeanTokens(bool aIsLong)
  {
    return aIsLong ? kMinLongTokens + kLongTokenRange / 2.0
                   : kMinShortTokens + kShortTokenRange / 2.0;
  }

  TimePoint Now() const { return TimePoint(FromSeconds(1000 + mNow)); }

  void Schedule(double aTime, EventKind aKind, std::uint32_t aJob = 0)
  {
    mEvents.push({ aTime, aKind, aJob });
  }

  AttemptWork WorkOf(const Job& aJob, std::size_t aModel) const
  {
    AttemptWork work;
    work.mModel = std::to_string(aModel);
    work.mPromptTokens = aJob.mTokens;
    return work;
  }

  ModelQuery ModelQueryOf(const Job& aJob)
  {
    ModelQuery query;
    for (std::size_t model = 0; model < kAnswerCosts.size(); ++model) {
      const EndpointRegistry& registry = mRegistries[aJob.mVm];
      query.mModels.push_back(
        { kAnswerCosts[model],
          kModelQuality[model],
          registry.ExpectedFirstEventSeconds("pool", WorkOf(aJob, model)),
          registry.LowQuartilePromptSeconds("pool", WorkOf(aJob, model)) });
    }
    query.mGoalSecondsLeft = kGoalSeconds - (mNow - aJob.mArrivedAt);
    query.mLateValueShare = kLateAnswerValue;
    query.mAttemptsLeft = aJob.mIsEscalated ? 1 : 2;
    query.mEngineSecondPrice =
      EngineSecondPrice(mRegistries[aJob.mVm].FirstEventGoalRatio("pool"), 1);
    return query;
  }

  std::size_t ModelOf(const Job& aJob)
  {
    switch (mScenario.mModelPolicy) {
      case ModelPolicy::Smallest:
        return 0;
      case ModelPolicy::Largest:
        return kAnswerCosts.size() - 1;
      case ModelPolicy::Oracle:
        return static_cast<std::size_t>(
          std::find_if(kModelQuality.begin(),
                       kModelQuality.end(),
                       [&](double aQuality) {
                         return aQuality >= aJob.mRequiredQuality;
                       }) -
          kModelQuality.begin());
      case ModelPolicy::Ours:
        return ChooseModel(ModelQueryOf(aJob)).mIndex;
    }
    return 0;
  }

  void OnArrival()
  {
    if (mNow > mScenario.mDurationSeconds) {
      return;
    }
    Schedule(mNow - std::log(1 - mRandom.Unit()) / mArrivalRate,
             EventKind::Arrival);
    Job job;
    job.mVm = mRandom.Below(mScenario.mVms);
    job.mArrivedAt = mNow;
    job.mIsLong = mRandom.Unit() < mScenario.mLongPromptShare;
    job.mTokens =
      job.mIsLong
        ? kMinLongTokens +
            static_cast<std::int64_t>(mRandom.Below(kLongTokenRange))
        : kMinShortTokens +
            static_cast<std::int64_t>(mRandom.Below(kShortTokenRange));
    job.mRequiredQuality = mRandom.Unit();
    job.mModel = ModelOf(job);
    mJobs.push_back(job);
    StartAttempt(static_cast<std::uint32_t>(mJobs.size() - 1));
  }

  std::uint32_t SelectEngine(const Job& aJob)
  {
    const auto engineOf = [](const Endpoint& aEndpoint) {
      return static_cast<std::uint32_t>(std::stoul(aEndpoint.mRecord.mId) -
                                        1000);
    };
    switch (mScenario.mSelectionPolicy) {
      case SelectionPolicy::RoundRobin:
        return mRoundRobinPositions[aJob.mVm]++ % mScenario.mEngines;
      case SelectionPolicy::LeastReported: {
        std::vector<std::uint32_t> leastLoaded;
        std::int32_t minLoad = 0;
        for (const auto& endpoint : mRegistries[aJob.mVm].EndpointsOf("pool")) {
          const std::int32_t load =
            endpoint->mLoad.mRunning + endpoint->mLoad.mWaiting;
          if (leastLoaded.empty() || load < minLoad) {
            leastLoaded.clear();
            minLoad = load;
          }
          if (load == minLoad) {
            leastLoaded.push_back(engineOf(*endpoint));
          }
        }
        return leastLoaded[mRandom.Below(leastLoaded.size())];
      }
      case SelectionPolicy::Oracle: {
        std::uint32_t best = 0;
        const auto prefillEndOf = [&](std::uint32_t aEngine) {
          return std::max(mNow, mEngines[aEngine].mPrefillEndsAt) +
                 PrefillSeconds(aJob, aEngine);
        };
        for (std::uint32_t engine = 1; engine < mEngines.size(); ++engine) {
          best = prefillEndOf(engine) < prefillEndOf(best) ? engine : best;
        }
        return best;
      }
      case SelectionPolicy::Ours:
        break;
    }
    EndpointSelectionQuery query;
    query.mPool = "pool";
    query.mWork = WorkOf(aJob, aJob.mModel);
    query.mLiveVms = mScenario.mVms;
    return engineOf(
      *mRegistries[aJob.mVm].Choose(query, mRandom, Now()).mEndpoint);
  }

  double PrefillSeconds(const Job& aJob, std::uint32_t aEngine) const
  {
    return static_cast<double>(aJob.mTokens) *
           kPrefillSecondsPerToken[aJob.mModel] * mEngines[aEngine].mSlowdown;
  }

  std::shared_ptr<Endpoint> EndpointOf(const Job& aJob)
  {
    return mRegistries[aJob.mVm].EndpointsOf("pool")[aJob.mEngine];
  }

  void StartAttempt(std::uint32_t aJob)
  {
    Job& job = mJobs[aJob];
    job.mEngine = SelectEngine(job);
    job.mAttemptStartedAt = mNow;
    job.mCost += kAnswerCosts[job.mModel];
    Engine& engine = mEngines[job.mEngine];
    engine.mPrefillEndsAt =
      std::max(mNow, engine.mPrefillEndsAt) + PrefillSeconds(job, job.mEngine);
    engine.mWaiting += 1;
    mRegistries[job.mVm].RecordAttempt(
      *EndpointOf(job), WorkOf(job, job.mModel), Now());
    Schedule(engine.mPrefillEndsAt, EventKind::FirstEvent, aJob);
  }

  void OnFirstEvent(std::uint32_t aJob)
  {
    Job& job = mJobs[aJob];
    Engine& engine = mEngines[job.mEngine];
    engine.mWaiting -= 1;
    engine.mRunning += 1;
    EndpointRegistry& registry = mRegistries[job.mVm];
    const auto endpoint = EndpointOf(job);
    registry.RecordLoad(*endpoint,
                        { engine.mRunning,
                          engine.mWaiting,
                          static_cast<std::int32_t>(mScenario.mSlots) },
                        Now());
    const AttemptWork work = WorkOf(job, job.mModel);
    registry.RecordFirstEvent(
      *endpoint, work, mNow - job.mAttemptStartedAt, Now());
    const double firstEventSeconds = mNow - job.mArrivedAt;
    registry.RecordFirstEventGoalRatio("pool",
                                       firstEventSeconds / kGoalSeconds);
    const bool isGood = kModelQuality[job.mModel] >= job.mRequiredQuality;
    if (mScenario.mModelPolicy == ModelPolicy::Ours && !job.mIsEscalated) {
      // NOTE: The model's confidence in its answer correlates with whether the
      //       answer is good, but the two ranges overlap.
      const double confidence =
        isGood ? 0.3 + 0.7 * mRandom.Unit() : 0.6 * mRandom.Unit();
      const std::size_t next =
        ChooseEscalation(ModelQueryOf(job), job.mModel, confidence).mIndex;
      if (next != job.mModel) {
        engine.mRunning -= 1;
        registry.RecordEnd(
          *endpoint, work, true, { false, false, 0, 0 }, Now());
        job.mModel = next;
        job.mIsEscalated = true;
        StartAttempt(aJob);
        return;
      }
    }
    if (job.mArrivedAt > mScenario.mWarmUpSeconds) {
      (job.mIsLong ? mResult.mLongPromptFirstEventSeconds
                   : mResult.mShortPromptFirstEventSeconds)
        .push_back(firstEventSeconds);
      mResult.mNetValue +=
        (isGood ? (firstEventSeconds <= kGoalSeconds ? 1 : kLateAnswerValue)
                : 0) -
        job.mCost;
      mMeasuredRequests += 1;
    }
    Schedule(mNow + kAnswerSeconds, EventKind::End, aJob);
  }

  void OnEnd(std::uint32_t aJob)
  {
    const Job& job = mJobs[aJob];
    mEngines[job.mEngine].mRunning -= 1;
    mRegistries[job.mVm].RecordEnd(
      *EndpointOf(job),
      WorkOf(job, job.mModel),
      true,
      { false, true, 0, mNow - job.mAttemptStartedAt },
      Now());
  }

  void ExchangeLoads()
  {
    if (mNow > mScenario.mDurationSeconds) {
      return;
    }
    const std::size_t readers = ReaderCount(mRegistries.size());
    for (std::size_t vm = readers; vm < mRegistries.size(); ++vm) {
      EndpointRegistry& reader = mRegistries[vm % readers];
      reader.ApplyLoadReports(mRegistries[vm].LoadReportsWithin(
                                FromSeconds(kLoadExchangeSeconds), Now()),
                              Now());
      mRegistries[vm].ApplyLoadReports(
        reader.LoadReportsWithin(FromSeconds(kMaxReportAgeSeconds), Now()),
        Now());
    }
    Schedule(mNow + kLoadExchangeSeconds, EventKind::ExchangeLoads);
  }

  EngineScenario mScenario;
  Random mRandom;
  std::vector<Engine> mEngines;
  std::vector<EndpointRegistry> mRegistries;
  std::vector<std::uint32_t> mRoundRobinPositions;
  std::vector<Job> mJobs;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  double mNow = 0;         ///< Simulated time in seconds.
  double mArrivalRate = 0; ///< Requests per second.
  double mMeasuredRequests = 0;
  EngineResult mResult;
};

} // namespace

EngineResult SimulateEngines(const EngineScenario& aScenario)
{
  return EngineSimulation(aScenario).Run();
}

} // namespace Acaciavale::DecisionMeasure
