#include "PoolSimulation.h"
#include "SimulatedReplica.h"
#include "SimulatedRouter.h"
#include "Table.h"

#include <Acaciavale/LibRouting/EndpointSubset.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <queue>

namespace Acaciavale::DecisionMeasure {

namespace {

constexpr double kConnectTimeoutSeconds = 0.5;
constexpr double kSilenceTimeoutSeconds = 1;
constexpr double kErrorResponseSeconds = 0.005;
/// Time until the VMs have detected the loss of the VMs in the lost domain.
constexpr double kMembershipLagSeconds = 5;
constexpr double kFlapHalfPeriodSeconds = 2;
constexpr std::uint32_t kFaultyReplica = 1;
constexpr std::uint32_t kLostDomain = 0;
constexpr std::uint32_t kMaxAttempts = 3;
/// Number of exponential phases of the Erlang distributed service time, whose
/// coefficient of variation is thus 1/2.
constexpr int kServicePhases = 4;
/// Time from the last arrival to the end of the run. Requests unfinished by
/// then count as completed with their latency so far.
constexpr double kDrainSeconds = 60;

enum class EventKind
{
  Arrival,
  ServiceEnd,
  AttemptFailed,
  ReportSample,
  ReportReceived,
  CacheUpdateReceived,
  Fault,
  ReplicaListUpdated,
  MembershipUpdated,
};

struct Event
{
  double mTime = 0;            ///< Simulated time in seconds.
  std::uint64_t mSequence = 0; ///< Order of events with the same mTime.
  EventKind mKind = EventKind::Arrival;
  std::uint32_t mSubject = 0; ///< Index of the class, job or replica.
  /// Number of the job's attempt; for a prefix cache update, twice the prefix,
  /// plus 1 if the prefix is cached.
  std::uint64_t mDetail = 0;

  bool operator<(const Event& aOther) const
  {
    return std::tie(mTime, mSequence) >
           std::tie(aOther.mTime, aOther.mSequence);
  }
};

struct Job
{
  double mArrivedAt = 0;
  std::uint32_t mVm = 0;
  std::uint32_t mClass = 0;
  std::uint32_t mAccount = 0;
  std::uint32_t mPrefix = 0;
  std::uint32_t mReplica = 0;
  std::uint32_t mAttempts = 0;
  double mServiceFactor = 0; ///< Random factor on the service time.
  /// Mean service time of the job at a replica of normal speed.
  double mNormalSeconds = 1;
  std::vector<std::uint32_t> mTried;
  bool mHasSlot = false;
  bool mDone = false;
};

struct Report
{
  double mSampledAt = 0;
  std::vector<std::int32_t> mInFlight;
  std::vector<std::vector<std::int32_t>> mInFlightByVm;
};

class PoolSimulation
{
public:
  explicit PoolSimulation(const PoolScenario& aScenario);
  PoolResult Run();

private:
  void Schedule(double aTime,
                EventKind aKind,
                std::uint32_t aSubject = 0,
                std::uint64_t aDetail = 0);
  void Handle(const Event& aEvent);
  void OnArrival(std::uint32_t aClass);
  void ScheduleArrival(std::uint32_t aClass);
  void Dispatch(std::uint32_t aJob);
  void StartAttempt(std::uint32_t aJob);
  void StartService(std::uint32_t aJob);
  void FinishService(std::uint32_t aJob);
  void FailAttempt(std::uint32_t aJob);
  void Complete(std::uint32_t aJob);
  void Fail(Job& aJob);
  void StartNextQueued(std::uint32_t aReplica);
  void LoseDomain();
  void SampleLoads();
  void DeliverReport();
  void SendCacheUpdate(std::uint32_t aReplica,
                       std::uint32_t aPrefix,
                       bool aIsCached);

  std::optional<std::uint32_t> ChooseReplica(const Job& aJob);
  std::optional<std::uint32_t> ChooseByOracle(const Job& aJob);
  bool IsDown(std::uint32_t aReplica) const;
  bool ReturnsErrors(std::uint32_t aReplica) const;
  bool IsBurst(double aTime) const;
  bool IsMeasured(const Job& aJob) const;
  double ArrivalRate(const WorkClass& aClass) const;
  double DrawExponential(double aRate);
  std::uint32_t ChoosePrefix();
  const WorkClass& ClassOf(const Job& aJob) const;

  const PoolScenario& mScenario;
  Random mRandom;
  double mNow = 0; ///< Simulated time in seconds.
  std::uint64_t mSequence = 0;
  std::priority_queue<Event> mEvents;
  std::vector<SimulatedReplica> mReplicas;
  std::vector<SimulatedPrefixCache> mCaches;
  std::vector<std::vector<char>> mReportedCaches;
  std::vector<double> mPrefixWeightSums;
  std::vector<std::unique_ptr<SimulatedRouter>> mRouters;
  std::vector<std::uint32_t> mLiveVms;
  std::vector<Job> mJobs;
  std::deque<Report> mReports;
  double mCapacity = 0; ///< Seconds of service at normal speed, per second.
  bool mIsDomainLost = false;
  Settings mSettings;
  PoolResult mResult;
};

PoolSimulation::PoolSimulation(const PoolScenario& aScenario)
  : mScenario(aScenario)
  , mRandom(aScenario.mSeed)
{
  for (std::uint32_t index = 0; index < aScenario.mReplicas; ++index) {
    const bool isSlow = aScenario.mSlowReplicaInterval != 0 &&
                        index % aScenario.mSlowReplicaInterval == 0;
    const double slowdown = isSlow ? aScenario.mSlowFactor : 1;
    mReplicas.emplace_back(aScenario.mSlots, slowdown, aScenario.mVms);
    mCaches.emplace_back(aScenario.mCacheSlots);
    mCapacity += aScenario.mSlots / slowdown;
  }
  mReportedCaches.assign(aScenario.mReplicas,
                         std::vector<char>(aScenario.mPrefixes, 0));
  double sum = 0;
  for (std::uint32_t prefix = 0; prefix < aScenario.mPrefixes; ++prefix) {
    sum += std::pow(prefix + 1.0, -aScenario.mPrefixSkew);
    mPrefixWeightSums.push_back(sum);
  }
  for (std::uint32_t vm = 0; vm < aScenario.mVms; ++vm) {
    const std::uint32_t domain = vm % aScenario.mDomains;
    mRouters.push_back(
      std::make_unique<SimulatedRouter>(aScenario, vm, domain));
    mLiveVms.push_back(vm);
  }
  for (const WorkClass& work : aScenario.mClasses) {
    for (std::uint32_t index = 0; index < work.mAccountCount; ++index) {
      ClientAccountSettings account;
      account.mRequestsPerSecond = aScenario.mAccountRequestsPerSecond;
      account.mBurst = static_cast<std::int64_t>(
        std::max(1.0, aScenario.mAccountRequestsPerSecond));
      account.mMaxInFlight = 1'000'000'000;
      mSettings.mAccounts[std::to_string(work.mFirstAccount + index)] = account;
    }
  }
  mResult.mClasses.resize(aScenario.mClasses.size());
}

void PoolSimulation::Schedule(double aTime,
                              EventKind aKind,
                              std::uint32_t aSubject,
                              std::uint64_t aDetail)
{
  mEvents.push(Event{ aTime, mSequence++, aKind, aSubject, aDetail });
}

PoolResult PoolSimulation::Run()
{
  for (std::uint32_t index = 0; index < mScenario.mClasses.size(); ++index) {
    ScheduleArrival(index);
  }
  Schedule(0, EventKind::ReportSample);
  if (mScenario.mFault == Fault::DomainLost) {
    Schedule(mScenario.mFaultAtSeconds, EventKind::Fault);
    Schedule(mScenario.mFaultAtSeconds + kMembershipLagSeconds,
             EventKind::MembershipUpdated);
    Schedule(mScenario.mFaultAtSeconds + mScenario.mReplicaListLagSeconds,
             EventKind::ReplicaListUpdated);
  }
  const double end = mScenario.mDurationSeconds + kDrainSeconds;
  while (!mEvents.empty() && mEvents.top().mTime < end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mTime;
    Handle(event);
  }
  mNow = end;
  for (std::uint32_t index = 0; index < mJobs.size(); ++index) {
    if (!mJobs[index].mDone) {
      Complete(index);
    }
  }
  return std::move(mResult);
}

void PoolSimulation::Handle(const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::Arrival:
      OnArrival(aEvent.mSubject);
      return;
    case EventKind::ServiceEnd:
      if (mJobs[aEvent.mSubject].mAttempts == aEvent.mDetail) {
        FinishService(aEvent.mSubject);
      }
      return;
    case EventKind::AttemptFailed:
      if (mJobs[aEvent.mSubject].mAttempts == aEvent.mDetail &&
          !mJobs[aEvent.mSubject].mDone) {
        FailAttempt(aEvent.mSubject);
      }
      return;
    case EventKind::ReportSample:
      SampleLoads();
      return;
    case EventKind::ReportReceived:
      DeliverReport();
      return;
    case EventKind::CacheUpdateReceived:
      mReportedCaches[aEvent.mSubject][aEvent.mDetail >> 1] =
        static_cast<char>(aEvent.mDetail & 1);
      return;
    case EventKind::Fault:
      LoseDomain();
      return;
    case EventKind::MembershipUpdated:
      for (auto& router : mRouters) {
        router->SetLiveVms(static_cast<std::uint32_t>(mLiveVms.size()));
      }
      return;
    case EventKind::ReplicaListUpdated:
      for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
        for (auto& router : mRouters) {
          if (index % mScenario.mDomains == kLostDomain) {
            router->RecordDraining(index);
          }
        }
      }
      return;
  }
}

double PoolSimulation::DrawExponential(double aRate)
{
  return -std::log(1 - mRandom.Unit()) / aRate;
}

bool PoolSimulation::IsBurst(double aTime) const
{
  return aTime >= mScenario.mBurstStartSeconds &&
         aTime < mScenario.mBurstEndSeconds;
}

double PoolSimulation::ArrivalRate(const WorkClass& aClass) const
{
  return aClass.mLoad * mCapacity / aClass.mServiceSeconds;
}

const WorkClass& PoolSimulation::ClassOf(const Job& aJob) const
{
  return mScenario.mClasses[aJob.mClass];
}

bool PoolSimulation::IsMeasured(const Job& aJob) const
{
  return aJob.mArrivedAt >= mScenario.mWarmUpSeconds;
}

void PoolSimulation::ScheduleArrival(std::uint32_t aClass)
{
  const WorkClass& work = mScenario.mClasses[aClass];
  const double maxRate = ArrivalRate(work) * std::max(1.0, work.mBurstFactor);
  double time = mNow;
  // NOTE: Thinning: draws arrivals at the maximum rate and keeps each with the
  //       probability of the current rate over the maximum rate.
  while (time < mScenario.mDurationSeconds) {
    time += DrawExponential(maxRate);
    const double rate =
      ArrivalRate(work) * (IsBurst(time) ? work.mBurstFactor : 1.0);
    if (mRandom.Unit() * maxRate < rate) {
      break;
    }
  }
  if (time < mScenario.mDurationSeconds) {
    Schedule(time, EventKind::Arrival, aClass);
  }
}

std::uint32_t PoolSimulation::ChoosePrefix()
{
  if (mPrefixWeightSums.empty()) {
    return 0;
  }
  const double point = mRandom.Unit() * mPrefixWeightSums.back();
  return static_cast<std::uint32_t>(std::lower_bound(mPrefixWeightSums.begin(),
                                                     mPrefixWeightSums.end(),
                                                     point) -
                                    mPrefixWeightSums.begin());
}

void PoolSimulation::OnArrival(std::uint32_t aClass)
{
  ScheduleArrival(aClass);
  const WorkClass& work = mScenario.mClasses[aClass];
  Job job;
  job.mArrivedAt = mNow;
  job.mClass = aClass;
  job.mVm = mLiveVms[mRandom.Below(mLiveVms.size())];
  job.mAccount = work.mFirstAccount +
                 static_cast<std::uint32_t>(mRandom.Below(work.mAccountCount));
  job.mPrefix = ChoosePrefix();
  for (int phase = 0; phase < kServicePhases; ++phase) {
    job.mServiceFactor += DrawExponential(kServicePhases);
  }
  const bool isMeasured = IsMeasured(job);
  mResult.mArrivals += isMeasured ? 1 : 0;
  mJobs.push_back(std::move(job));
  const auto index = static_cast<std::uint32_t>(mJobs.size() - 1);
  SimulatedRouter& router = *mRouters[mJobs[index].mVm];
  if (mScenario.mUsesAdmission) {
    const AdmissionDecision decision = router.Admit(
      std::to_string(mJobs[index].mAccount), work, mSettings, mNow);
    if (decision.mVerdict != AdmissionVerdict::Admit) {
      mJobs[index].mDone = true;
      mResult.mRejected += isMeasured ? 1 : 0;
      mResult.mFailureSecondsAfterFault.push_back(mNow -
                                                  mScenario.mFaultAtSeconds);
      return;
    }
  }
  mResult.mAdmitted += isMeasured ? 1 : 0;
  router.mRetryBudget.RecordRequest(mSettings.mDeployment.mRetryBudget);
  Dispatch(index);
}

bool PoolSimulation::IsDown(std::uint32_t aReplica) const
{
  return mIsDomainLost && aReplica % mScenario.mDomains == kLostDomain;
}

bool PoolSimulation::ReturnsErrors(std::uint32_t aReplica) const
{
  if (aReplica != kFaultyReplica || mNow < mScenario.mFaultAtSeconds) {
    return false;
  }
  if (mScenario.mFault == Fault::BlackHole) {
    return true;
  }
  const double phase =
    std::fmod(mNow - mScenario.mFaultAtSeconds, 2 * kFlapHalfPeriodSeconds);
  return mScenario.mFault == Fault::Flapping && phase < kFlapHalfPeriodSeconds;
}

std::optional<std::uint32_t> PoolSimulation::ChooseByOracle(const Job& aJob)
{
  std::optional<std::uint32_t> best;
  double bestScore = 0;
  std::uint64_t ties = 0;
  for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
    if (IsDown(index) || ReturnsErrors(index)) {
      continue;
    }
    const SimulatedReplica& replica = mReplicas[index];
    const double slots = mScenario.mSlots;
    const double waiting = std::max(0.0, replica.InFlight() + 1 - slots);
    const double score = replica.Slowdown() * ClassOf(aJob).mServiceSeconds *
                         (1 + waiting / slots);
    ties = best && score == bestScore ? ties + 1 : 1;
    if (!best || score < bestScore ||
        (score == bestScore && mRandom.Below(ties) == 0)) {
      best = index;
      bestScore = score;
    }
  }
  return best;
}

std::optional<std::uint32_t> PoolSimulation::ChooseReplica(const Job& aJob)
{
  if (mScenario.mPolicy == Policy::Oracle) {
    return ChooseByOracle(aJob);
  }
  SimulatedDispatch dispatch;
  dispatch.mNow = mNow;
  dispatch.mClassServiceSeconds = ClassOf(aJob).mServiceSeconds;
  dispatch.mPriority = ClassOf(aJob).mPriority;
  dispatch.mTried = aJob.mTried;
  dispatch.mPrefix = aJob.mPrefix;
  dispatch.mPrefixHash = RendezvousRank(aJob.mPrefix + 1, 1) | 1;
  if (mScenario.mPrefixes > 0 && mScenario.mPolicy == Policy::Ours) {
    dispatch.mReportedCaches = &mReportedCaches;
  }
  return mRouters[aJob.mVm]->Choose(dispatch);
}

void PoolSimulation::Dispatch(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  const auto replica = ChooseReplica(job);
  if (!replica) {
    Fail(job);
    return;
  }
  job.mReplica = *replica;
  job.mTried.push_back(*replica);
  job.mAttempts += 1;
  job.mHasSlot = false;
  mReplicas[*replica].AddInFlight(job.mVm);
  mRouters[job.mVm]->RecordDispatch(*replica);
  if (IsMeasured(job)) {
    mResult.mDispatches += 1;
  }
  if (mNow >= mScenario.mFaultAtSeconds) {
    mResult.mDispatchesAfterFault += 1;
    mResult.mFaultyDispatches += *replica == kFaultyReplica ? 1 : 0;
  }
  StartAttempt(aJob);
}

void PoolSimulation::StartAttempt(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  if (IsDown(job.mReplica)) {
    Schedule(mNow + kConnectTimeoutSeconds,
             EventKind::AttemptFailed,
             aJob,
             job.mAttempts);
    return;
  }
  if (ReturnsErrors(job.mReplica)) {
    Schedule(mNow + kErrorResponseSeconds,
             EventKind::AttemptFailed,
             aJob,
             job.mAttempts);
    return;
  }
  if (mReplicas[job.mReplica].TryStart()) {
    StartService(aJob);
    return;
  }
  mReplicas[job.mReplica].Queue(
    aJob, static_cast<std::size_t>(ClassOf(job).mPriority));
}

void PoolSimulation::StartService(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  job.mHasSlot = true;
  job.mNormalSeconds = ClassOf(job).mServiceSeconds;
  if (mScenario.mPrefixes > 0) {
    std::int64_t evicted = -1;
    const bool isHit = mCaches[job.mReplica].Touch(job.mPrefix, evicted);
    if (isHit) {
      job.mNormalSeconds -= mScenario.mPrefillSeconds;
      mResult.mCacheHits += IsMeasured(job) ? 1 : 0;
    } else {
      SendCacheUpdate(job.mReplica, job.mPrefix, true);
    }
    if (evicted >= 0) {
      SendCacheUpdate(job.mReplica, static_cast<std::uint32_t>(evicted), false);
    }
  }
  const double seconds = job.mNormalSeconds * job.mServiceFactor *
                         mReplicas[job.mReplica].Slowdown();
  Schedule(mNow + seconds, EventKind::ServiceEnd, aJob, job.mAttempts);
}

void PoolSimulation::SendCacheUpdate(std::uint32_t aReplica,
                                     std::uint32_t aPrefix,
                                     bool aIsCached)
{
  if (mRandom.Unit() >= mScenario.mCacheEventLossRate) {
    Schedule(mNow + mScenario.mReportLagSeconds,
             EventKind::CacheUpdateReceived,
             aReplica,
             aPrefix * 2ULL + (aIsCached ? 1 : 0));
  }
}

void PoolSimulation::StartNextQueued(std::uint32_t aReplica)
{
  std::uint32_t next = 0;
  SimulatedReplica& replica = mReplicas[aReplica];
  while (replica.PopQueued(next)) {
    if (mJobs[next].mReplica != aReplica) {
      continue;
    }
    if (mJobs[next].mDone) {
      replica.RemoveInFlight(mJobs[next].mVm);
      continue;
    }
    // NOTE: A caller disconnects when its deadline has passed, which closes the
    //       stream to the replica.
    const double deadline =
      mJobs[next].mArrivedAt + ClassOf(mJobs[next]).mDeadlineSeconds;
    if (mNow > deadline) {
      replica.RemoveInFlight(mJobs[next].mVm);
      mRouters[mJobs[next].mVm]->RecordEnd(
        aReplica,
        { true, mReplicas[aReplica].Slowdown() },
        ClassOf(mJobs[next]).mServiceSeconds,
        mNow);
      Complete(next);
      continue;
    }
    if (replica.TryStart()) {
      StartService(next);
    }
    return;
  }
}

void PoolSimulation::FinishService(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  if (IsDown(job.mReplica)) {
    return;
  }
  SimulatedReplica& replica = mReplicas[job.mReplica];
  replica.RemoveInFlight(job.mVm);
  replica.FreeSlot();
  mRouters[job.mVm]->RecordEnd(
    job.mReplica,
    { true, job.mServiceFactor * replica.Slowdown() },
    job.mServiceFactor * job.mNormalSeconds,
    mNow);
  const std::uint32_t replicaIndex = job.mReplica;
  if (!job.mDone) {
    Complete(aJob);
  }
  StartNextQueued(replicaIndex);
}

void PoolSimulation::FailAttempt(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  mReplicas[job.mReplica].RemoveInFlight(job.mVm);
  SimulatedRouter& router = *mRouters[job.mVm];
  router.RecordEnd(job.mReplica, { false, 0 }, 0, mNow);
  const bool hasTime = mNow < job.mArrivedAt + ClassOf(job).mDeadlineSeconds;
  if (mScenario.mUsesRetries && job.mAttempts < kMaxAttempts && hasTime &&
      router.mRetryBudget.TrySpend()) {
    Dispatch(aJob);
    return;
  }
  Fail(job);
}

void PoolSimulation::Fail(Job& aJob)
{
  aJob.mDone = true;
  if (mScenario.mUsesAdmission) {
    mRouters[aJob.mVm]->mAdmission.Finish(std::to_string(aJob.mAccount));
  }
  if (IsMeasured(aJob)) {
    mResult.mFailed += 1;
    mResult.mFailureSecondsAfterFault.push_back(mNow -
                                                mScenario.mFaultAtSeconds);
  }
}

void PoolSimulation::Complete(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  job.mDone = true;
  if (mScenario.mUsesAdmission) {
    mRouters[job.mVm]->mAdmission.Finish(std::to_string(job.mAccount));
  }
  if (!IsMeasured(job)) {
    return;
  }
  const double latency = mNow - job.mArrivedAt;
  ClassResult& result = mResult.mClasses[job.mClass];
  result.mLatencySeconds.push_back(latency);
  (IsBurst(job.mArrivedAt) ? result.mBurstLatencySeconds
                           : result.mQuietLatencySeconds)
    .push_back(latency);
  if (latency <= ClassOf(job).mDeadlineSeconds) {
    mResult.mGood += 1;
    mResult.mGoodWorkSeconds += ClassOf(job).mServiceSeconds;
  }
}

void PoolSimulation::LoseDomain()
{
  mIsDomainLost = true;
  // NOTE: The VMs of the domain fail too, under every policy. The requests in
  //       progress on them end without a result, and new requests arrive at the
  //       other VMs.
  std::erase_if(mLiveVms, [&](std::uint32_t aVm) {
    return aVm % mScenario.mDomains == kLostDomain;
  });
  for (Job& job : mJobs) {
    job.mDone = job.mDone || job.mVm % mScenario.mDomains == kLostDomain;
  }
  for (std::uint32_t index = 0; index < mJobs.size(); ++index) {
    const Job& job = mJobs[index];
    if (!job.mDone && job.mAttempts > 0 && IsDown(job.mReplica)) {
      Schedule(mNow + kSilenceTimeoutSeconds,
               EventKind::AttemptFailed,
               index,
               job.mAttempts);
    }
  }
}

void PoolSimulation::SampleLoads()
{
  Report report;
  report.mSampledAt = mNow;
  for (const SimulatedReplica& replica : mReplicas) {
    report.mInFlight.push_back(replica.InFlight());
    report.mInFlightByVm.push_back(replica.InFlightByVm());
  }
  mReports.push_back(std::move(report));
  Schedule(mNow + mScenario.mReportLagSeconds, EventKind::ReportReceived);
  if (mNow < mScenario.mDurationSeconds) {
    Schedule(mNow + mScenario.mReportPeriodSeconds, EventKind::ReportSample);
  }
}

void PoolSimulation::DeliverReport()
{
  const Report report = std::move(mReports.front());
  mReports.pop_front();
  for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
    if (IsDown(index)) {
      continue;
    }
    for (std::uint32_t vm = 0; vm < mScenario.mVms; ++vm) {
      mRouters[vm]->RecordLoadReport(index,
                                     report.mInFlight[index],
                                     report.mInFlightByVm[index][vm],
                                     report.mSampledAt);
    }
  }
}

} // namespace

PoolResult SimulatePool(const PoolScenario& aScenario)
{
  return PoolSimulation(aScenario).Run();
}

std::vector<double> LatencySecondsOverSeeds(PoolScenario aScenario,
                                            std::size_t aClass)
{
  std::vector<double> latencies;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const PoolResult result = SimulatePool(aScenario);
    const std::vector<double>& classLatencies =
      result.mClasses[aClass].mLatencySeconds;
    latencies.insert(
      latencies.end(), classLatencies.begin(), classLatencies.end());
  }
  return latencies;
}

} // namespace Acaciavale::DecisionMeasure
