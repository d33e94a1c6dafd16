#include "EngineRun.h"

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

/// Seconds that each token of a prompt takes by model, smallest first, and what
/// a good answer costs with it, as on the deployments (values of an answer).
constexpr std::array kSecondsPerToken{ 0.000018, 0.00003, 0.00007 };
constexpr std::array kCosts{ 0.012, 0.09, 0.18 };
constexpr std::array kQuality{ 0.58, 0.67, 1.0 };
constexpr double kAnswerSeconds = 1; ///< From the first event to the end.
constexpr double kGoalSeconds = 2;   ///< To the first event.
constexpr double kLateShare = 0.3;   ///< What a late answer is worth.
constexpr double kSlowFactor = 3;
/// How often VMs hear through a reader what others were told of loads.
constexpr double kPassOnSeconds = 0.9;
constexpr double kReportAgeSeconds = 3;

struct Engine
{
  double mFactor = 1;
  double mReadUntil = 0;
  std::int32_t mWaiting = 0;
  std::int32_t mRunning = 0;
};

struct Job
{
  std::uint32_t mVm = 0;
  std::uint32_t mEngine = 0;
  double mArrived = 0;
  double mSent = 0;
  std::int64_t mTokens = 0;
  bool mIsLong = false;
  double mHardness = 0; ///< Models of at least this quality answer well.
  std::size_t mModel = 2;
  double mPaid = 0;
  bool mIsSecond = false;
};

enum class Step
{
  Arrival,
  FirstEvent,
  End,
  PassOn,
};

struct Event
{
  double mAt = 0;
  Step mStep = Step::Arrival;
  std::uint32_t mJob = 0;

  bool operator>(const Event& aOther) const { return mAt > aOther.mAt; }
};

class Run
{
public:
  explicit Run(const EngineScenario& aScenario)
    : mScenario(aScenario)
    , mRandom(aScenario.mSeed)
    , mEngines(aScenario.mEngines)
    , mBooks(aScenario.mVms)
    , mTurns(aScenario.mVms)
  {
    std::vector<EndpointRecord> records;
    double speed = 0;
    for (std::uint32_t engine = 0; engine < aScenario.mEngines; ++engine) {
      if (aScenario.mHalfIsSlow && engine % 2 == 1) {
        mEngines[engine].mFactor = kSlowFactor;
      }
      speed += 1 / mEngines[engine].mFactor;
      EndpointRecord record;
      record.mId = std::to_string(1000 + engine);
      record.mPool = "pool";
      record.mSlots = static_cast<std::int32_t>(aScenario.mSlots);
      records.push_back(record);
    }
    for (EndpointRegistry& book : mBooks) {
      book.Replace(records);
    }
    for (std::uint32_t& turn : mTurns) {
      turn = mRandom.Below(aScenario.mEngines);
    }
    const double work = kSecondsPerToken.back() *
                        (aScenario.mLongShare * MeanTokens(true) +
                         (1 - aScenario.mLongShare) * MeanTokens(false));
    mRate = aScenario.mLoad * speed / work;
  }

  EngineResult Play()
  {
    Push(0, Step::Arrival);
    Push(kPassOnSeconds, Step::PassOn);
    while (!mEvents.empty()) {
      const Event event = mEvents.top();
      mEvents.pop();
      mNow = event.mAt;
      switch (event.mStep) {
        case Step::Arrival:
          OnArrival();
          break;
        case Step::FirstEvent:
          OnFirstEvent(event.mJob);
          break;
        case Step::End:
          OnEnd(event.mJob);
          break;
        case Step::PassOn:
          PassOn();
          break;
      }
    }
    mResult.mNetValue /= std::max(1.0, mCounted);
    return std::move(mResult);
  }

private:
  static constexpr std::int64_t kShortFrom = 300;
  static constexpr std::int64_t kShortSpan = 1700;
  static constexpr std::int64_t kLongFrom = 6000;
  static constexpr std::int64_t kLongSpan = 14000;

  static double MeanTokens(bool aIsLong)
  {
    return aIsLong ? kLongFrom + kLongSpan / 2.0
                   : kShortFrom + kShortSpan / 2.0;
  }

  TimePoint Now() const { return TimePoint(FromSeconds(1000 + mNow)); }

  void Push(double aAt, Step aStep, std::uint32_t aJob = 0)
  {
    mEvents.push({ aAt, aStep, aJob });
  }

  AttemptWork WorkOf(const Job& aJob, std::size_t aModel) const
  {
    AttemptWork work;
    work.mModel = std::to_string(aModel);
    work.mPromptTokens = aJob.mTokens;
    return work;
  }

  ModelQuery QueryOf(const Job& aJob)
  {
    ModelQuery query;
    for (std::size_t model = 0; model < kCosts.size(); ++model) {
      const EndpointRegistry& book = mBooks[aJob.mVm];
      query.mModels.push_back(
        { kCosts[model],
          kQuality[model],
          book.ExpectedFirstEventSeconds("pool", WorkOf(aJob, model)),
          book.LowQuartilePromptSeconds("pool", WorkOf(aJob, model)) });
    }
    query.mGoalSecondsLeft = kGoalSeconds - (mNow - aJob.mArrived);
    query.mLateValueShare = kLateShare;
    query.mAttemptsLeft = aJob.mIsSecond ? 1 : 2;
    query.mEngineSecondPrice =
      EngineSecondPrice(mBooks[aJob.mVm].FirstEventGoalRatio("pool"), 1);
    return query;
  }

  std::size_t ModelOf(const Job& aJob)
  {
    switch (mScenario.mModels) {
      case Models::Smallest:
        return 0;
      case Models::Largest:
        return kCosts.size() - 1;
      case Models::Oracle:
        return static_cast<std::size_t>(std::find_if(kQuality.begin(),
                                                     kQuality.end(),
                                                     [&](double aQuality) {
                                                       return aQuality >=
                                                              aJob.mHardness;
                                                     }) -
                                        kQuality.begin());
      case Models::Ours:
        return ChooseModel(QueryOf(aJob)).mIndex;
    }
    return 0;
  }

  void OnArrival()
  {
    if (mNow > mScenario.mSeconds) {
      return;
    }
    Push(mNow - std::log(1 - mRandom.Unit()) / mRate, Step::Arrival);
    Job job;
    job.mVm = mRandom.Below(mScenario.mVms);
    job.mArrived = mNow;
    job.mIsLong = mRandom.Unit() < mScenario.mLongShare;
    job.mTokens =
      job.mIsLong
        ? kLongFrom + static_cast<std::int64_t>(mRandom.Below(kLongSpan))
        : kShortFrom + static_cast<std::int64_t>(mRandom.Below(kShortSpan));
    job.mHardness = mRandom.Unit();
    job.mModel = ModelOf(job);
    mJobs.push_back(job);
    Send(static_cast<std::uint32_t>(mJobs.size() - 1));
  }

  std::uint32_t Place(const Job& aJob)
  {
    const auto of = [](const Endpoint& aEndpoint) {
      return static_cast<std::uint32_t>(std::stoul(aEndpoint.mRecord.mId) -
                                        1000);
    };
    switch (mScenario.mPlacing) {
      case Placing::RoundRobin:
        return mTurns[aJob.mVm]++ % mScenario.mEngines;
      case Placing::LeastReported: {
        std::vector<std::uint32_t> least;
        std::int32_t fewest = 0;
        for (const auto& endpoint : mBooks[aJob.mVm].EndpointsOf("pool")) {
          const std::int32_t load =
            endpoint->mLoad.mRunning + endpoint->mLoad.mWaiting;
          if (least.empty() || load < fewest) {
            least.clear();
            fewest = load;
          }
          if (load == fewest) {
            least.push_back(of(*endpoint));
          }
        }
        return least[mRandom.Below(least.size())];
      }
      case Placing::Oracle: {
        std::uint32_t best = 0;
        const auto until = [&](std::uint32_t aEngine) {
          return std::max(mNow, mEngines[aEngine].mReadUntil) +
                 ReadSeconds(aJob, aEngine);
        };
        for (std::uint32_t engine = 1; engine < mEngines.size(); ++engine) {
          best = until(engine) < until(best) ? engine : best;
        }
        return best;
      }
      case Placing::Ours:
        break;
    }
    EndpointSelectionQuery query;
    query.mPool = "pool";
    query.mWork = WorkOf(aJob, aJob.mModel);
    query.mLiveVms = mScenario.mVms;
    return of(*mBooks[aJob.mVm].Choose(query, mRandom, Now()).mEndpoint);
  }

  double ReadSeconds(const Job& aJob, std::uint32_t aEngine) const
  {
    return static_cast<double>(aJob.mTokens) * kSecondsPerToken[aJob.mModel] *
           mEngines[aEngine].mFactor;
  }

  std::shared_ptr<Endpoint> EndpointOf(const Job& aJob)
  {
    return mBooks[aJob.mVm].EndpointsOf("pool")[aJob.mEngine];
  }

  void Send(std::uint32_t aJob)
  {
    Job& job = mJobs[aJob];
    job.mEngine = Place(job);
    job.mSent = mNow;
    job.mPaid += kCosts[job.mModel];
    Engine& engine = mEngines[job.mEngine];
    engine.mReadUntil =
      std::max(mNow, engine.mReadUntil) + ReadSeconds(job, job.mEngine);
    engine.mWaiting += 1;
    mBooks[job.mVm].RecordAttempt(
      *EndpointOf(job), WorkOf(job, job.mModel), Now());
    Push(engine.mReadUntil, Step::FirstEvent, aJob);
  }

  void OnFirstEvent(std::uint32_t aJob)
  {
    Job& job = mJobs[aJob];
    Engine& engine = mEngines[job.mEngine];
    engine.mWaiting -= 1;
    engine.mRunning += 1;
    EndpointRegistry& book = mBooks[job.mVm];
    const auto endpoint = EndpointOf(job);
    book.RecordLoad(*endpoint,
                    { engine.mRunning,
                      engine.mWaiting,
                      static_cast<std::int32_t>(mScenario.mSlots) },
                    Now());
    const AttemptWork work = WorkOf(job, job.mModel);
    book.RecordFirstEvent(*endpoint, work, mNow - job.mSent, Now());
    const double waited = mNow - job.mArrived;
    book.RecordFirstEventGoalRatio("pool", waited / kGoalSeconds);
    const bool isGood = kQuality[job.mModel] >= job.mHardness;
    if (mScenario.mModels == Models::Ours && !job.mIsSecond) {
      // NOTE: A model's opinion of its answer, right more often than not.
      const double confidence =
        isGood ? 0.3 + 0.7 * mRandom.Unit() : 0.6 * mRandom.Unit();
      const std::size_t next =
        ChooseEscalation(QueryOf(job), job.mModel, confidence).mIndex;
      if (next != job.mModel) {
        engine.mRunning -= 1;
        book.RecordEnd(*endpoint, work, true, { false, false, 0, 0 }, Now());
        job.mModel = next;
        job.mIsSecond = true;
        Send(aJob);
        return;
      }
    }
    if (job.mArrived > mScenario.mWarmUpSeconds) {
      (job.mIsLong ? mResult.mLongFirsts : mResult.mShortFirsts)
        .push_back(waited);
      mResult.mNetValue +=
        (isGood ? (waited <= kGoalSeconds ? 1 : kLateShare) : 0) - job.mPaid;
      mCounted += 1;
    }
    Push(mNow + kAnswerSeconds, Step::End, aJob);
  }

  void OnEnd(std::uint32_t aJob)
  {
    const Job& job = mJobs[aJob];
    mEngines[job.mEngine].mRunning -= 1;
    mBooks[job.mVm].RecordEnd(*EndpointOf(job),
                              WorkOf(job, job.mModel),
                              true,
                              { false, true, 0, mNow - job.mSent },
                              Now());
  }

  void PassOn()
  {
    if (mNow > mScenario.mSeconds) {
      return;
    }
    const std::size_t readers = ReaderCount(mBooks.size());
    for (std::size_t vm = readers; vm < mBooks.size(); ++vm) {
      EndpointRegistry& reader = mBooks[vm % readers];
      reader.ApplyLoadReports(
        mBooks[vm].LoadReportsWithin(FromSeconds(kPassOnSeconds), Now()),
        Now());
      mBooks[vm].ApplyLoadReports(
        reader.LoadReportsWithin(FromSeconds(kReportAgeSeconds), Now()), Now());
    }
    Push(mNow + kPassOnSeconds, Step::PassOn);
  }

  EngineScenario mScenario;
  Random mRandom;
  std::vector<Engine> mEngines;
  std::vector<EndpointRegistry> mBooks;
  std::vector<std::uint32_t> mTurns;
  std::vector<Job> mJobs;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> mEvents;
  double mNow = 0;
  double mRate = 0; ///< Requests a second.
  double mCounted = 0;
  EngineResult mResult;
};

} // namespace

EngineResult RunEngines(const EngineScenario& aScenario)
{
  return Run(aScenario).Play();
}

} // namespace Acaciavale::DecisionMeasure
