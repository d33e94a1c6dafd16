#include "PoolRun.h"
#include "ReplicaFake.h"
#include "RouterFake.h"
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
constexpr double kQuickErrorSeconds = 0.005;
/// Time until the VMs know that the lost domain's VMs are gone.
constexpr double kMembershipLagSeconds = 5;
constexpr double kFlapSeconds = 2;
constexpr std::uint32_t kFaultyReplica = 1;
constexpr std::uint32_t kLostDomain = 0;
constexpr std::uint32_t kMaxAttempts = 3;
/// Exponential phases of the service time: its variation is 1/2.
constexpr int kServicePhases = 4;
/// Time after the last arrival until what is unfinished counts as it stands.
constexpr double kDrainSeconds = 60;

enum class EventKind
{
  Arrival,
  ServiceEnd,
  Lost,
  Report,
  ReportSeen,
  CacheSeen,
  Fault,
  ListDropsDomain,
  MembersSeen,
};

struct Event
{
  double mTime = 0;
  std::uint64_t mOrder = 0;
  EventKind mKind = EventKind::Arrival;
  std::uint32_t mSubject = 0;
  std::uint64_t mDetail = 0;

  bool operator<(const Event& aOther) const
  {
    return std::tie(mTime, mOrder) > std::tie(aOther.mTime, aOther.mOrder);
  }
};

struct Job
{
  double mArrival = 0;
  std::uint32_t mVm = 0;
  std::uint32_t mClass = 0;
  std::uint32_t mAccount = 0;
  std::uint32_t mPrefix = 0;
  std::uint32_t mReplica = 0;
  std::uint32_t mAttempts = 0;
  double mService = 0;
  double mNormalService = 1;
  std::vector<std::uint32_t> mTried;
  bool mHasSlot = false;
  bool mDone = false;
};

struct Report
{
  double mTakenAt = 0;
  std::vector<std::int32_t> mInFlight;
  std::vector<std::vector<std::int32_t>> mByVm;
};

class PoolRun
{
public:
  explicit PoolRun(const PoolScenario& aScenario);
  PoolResult Run();

private:
  void Schedule(double aTime,
                EventKind aKind,
                std::uint32_t aSubject = 0,
                std::uint64_t aDetail = 0);
  void Handle(const Event& aEvent);
  void Arrive(std::uint32_t aClass);
  void ScheduleArrival(std::uint32_t aClass);
  void Dispatch(std::uint32_t aJob);
  void Send(std::uint32_t aJob);
  void Begin(std::uint32_t aJob);
  void End(std::uint32_t aJob);
  void Lose(std::uint32_t aJob);
  void Complete(std::uint32_t aJob);
  void Fail(Job& aJob);
  void StartNext(std::uint32_t aReplica);
  void LoseDomain();
  void TakeReport();
  void ShowReport();
  void PublishCache(std::uint32_t aReplica, std::uint32_t aPrefix, bool aIn);

  std::optional<std::uint32_t> ChooseReplica(const Job& aJob);
  std::optional<std::uint32_t> ChooseByOracle(const Job& aJob);
  bool IsDown(std::uint32_t aReplica) const;
  bool AnswersErrors(std::uint32_t aReplica) const;
  bool IsBurst(double aTime) const;
  bool IsMeasured(const Job& aJob) const;
  double ArrivalRate(const WorkClass& aClass) const;
  double Exponential(double aRate);
  std::uint32_t DrawPrefix();
  const WorkClass& ClassOf(const Job& aJob) const;

  const PoolScenario& mScenario;
  Random mRandom;
  double mNow = 0;
  std::uint64_t mOrder = 0;
  std::priority_queue<Event> mEvents;
  std::vector<ReplicaFake> mReplicas;
  std::vector<PrefixCacheFake> mCaches;
  std::vector<std::vector<char>> mCachedBelief;
  std::vector<double> mPrefixSums;
  std::vector<std::unique_ptr<RouterFake>> mRouters;
  std::vector<std::uint32_t> mEntryVms;
  std::vector<Job> mJobs;
  std::deque<Report> mReports;
  double mCapacity = 0; ///< Seconds of unhurried work per second.
  bool mIsDomainLost = false;
  Settings mSettings;
  PoolResult mResult;
};

PoolRun::PoolRun(const PoolScenario& aScenario)
  : mScenario(aScenario)
  , mRandom(aScenario.mSeed)
{
  for (std::uint32_t index = 0; index < aScenario.mReplicas; ++index) {
    const bool isSlow =
      aScenario.mSlowEvery != 0 && index % aScenario.mSlowEvery == 0;
    const double factor = isSlow ? aScenario.mSlowFactor : 1;
    mReplicas.emplace_back(aScenario.mSlots, factor, aScenario.mVms);
    mCaches.emplace_back(aScenario.mCacheSlots);
    mCapacity += aScenario.mSlots / factor;
  }
  mCachedBelief.assign(aScenario.mReplicas,
                       std::vector<char>(aScenario.mPrefixes, 0));
  double sum = 0;
  for (std::uint32_t prefix = 0; prefix < aScenario.mPrefixes; ++prefix) {
    sum += std::pow(prefix + 1.0, -aScenario.mPrefixSkew);
    mPrefixSums.push_back(sum);
  }
  for (std::uint32_t vm = 0; vm < aScenario.mVms; ++vm) {
    const std::uint32_t domain = vm % aScenario.mDomains;
    mRouters.push_back(std::make_unique<RouterFake>(aScenario, vm, domain));
    mEntryVms.push_back(vm);
  }
  for (const WorkClass& work : aScenario.mClasses) {
    for (std::uint32_t index = 0; index < work.mAccounts; ++index) {
      ClientAccountSettings account;
      account.mRequestsPerSecond = aScenario.mAccountRate;
      account.mBurst =
        static_cast<std::int64_t>(std::max(1.0, aScenario.mAccountRate));
      account.mMaxInFlight = 1'000'000'000;
      mSettings.mAccounts[std::to_string(work.mFirstAccount + index)] = account;
    }
  }
  mResult.mClasses.resize(aScenario.mClasses.size());
}

void PoolRun::Schedule(double aTime,
                       EventKind aKind,
                       std::uint32_t aSubject,
                       std::uint64_t aDetail)
{
  mEvents.push(Event{ aTime, mOrder++, aKind, aSubject, aDetail });
}

PoolResult PoolRun::Run()
{
  for (std::uint32_t index = 0; index < mScenario.mClasses.size(); ++index) {
    ScheduleArrival(index);
  }
  Schedule(0, EventKind::Report);
  if (mScenario.mFault == Fault::DomainLost) {
    Schedule(mScenario.mFaultAt, EventKind::Fault);
    Schedule(mScenario.mFaultAt + kMembershipLagSeconds,
             EventKind::MembersSeen);
    Schedule(mScenario.mFaultAt + mScenario.mListLagSeconds,
             EventKind::ListDropsDomain);
  }
  const double end = mScenario.mSeconds + kDrainSeconds;
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

void PoolRun::Handle(const Event& aEvent)
{
  switch (aEvent.mKind) {
    case EventKind::Arrival:
      Arrive(aEvent.mSubject);
      return;
    case EventKind::ServiceEnd:
      if (mJobs[aEvent.mSubject].mAttempts == aEvent.mDetail) {
        End(aEvent.mSubject);
      }
      return;
    case EventKind::Lost:
      if (mJobs[aEvent.mSubject].mAttempts == aEvent.mDetail &&
          !mJobs[aEvent.mSubject].mDone) {
        Lose(aEvent.mSubject);
      }
      return;
    case EventKind::Report:
      TakeReport();
      return;
    case EventKind::ReportSeen:
      ShowReport();
      return;
    case EventKind::CacheSeen:
      mCachedBelief[aEvent.mSubject][aEvent.mDetail >> 1] =
        static_cast<char>(aEvent.mDetail & 1);
      return;
    case EventKind::Fault:
      LoseDomain();
      return;
    case EventKind::MembersSeen:
      for (auto& router : mRouters) {
        router->NoteLiveVms(static_cast<std::uint32_t>(mEntryVms.size()));
      }
      return;
    case EventKind::ListDropsDomain:
      for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
        for (auto& router : mRouters) {
          if (index % mScenario.mDomains == kLostDomain) {
            router->NoteLeaving(index);
          }
        }
      }
      return;
  }
}

double PoolRun::Exponential(double aRate)
{
  return -std::log(1 - mRandom.Unit()) / aRate;
}

bool PoolRun::IsBurst(double aTime) const
{
  return aTime >= mScenario.mBurstFrom && aTime < mScenario.mBurstTo;
}

double PoolRun::ArrivalRate(const WorkClass& aClass) const
{
  return aClass.mLoad * mCapacity / aClass.mSeconds;
}

const WorkClass& PoolRun::ClassOf(const Job& aJob) const
{
  return mScenario.mClasses[aJob.mClass];
}

bool PoolRun::IsMeasured(const Job& aJob) const
{
  return aJob.mArrival >= mScenario.mWarmUpSeconds;
}

void PoolRun::ScheduleArrival(std::uint32_t aClass)
{
  const WorkClass& work = mScenario.mClasses[aClass];
  const double highest = ArrivalRate(work) * std::max(1.0, work.mBurst);
  double time = mNow;
  // NOTE: Thinning: arrivals at the highest rate, kept by the rate of then.
  while (time < mScenario.mSeconds) {
    time += Exponential(highest);
    const double rate = ArrivalRate(work) * (IsBurst(time) ? work.mBurst : 1.0);
    if (mRandom.Unit() * highest < rate) {
      break;
    }
  }
  if (time < mScenario.mSeconds) {
    Schedule(time, EventKind::Arrival, aClass);
  }
}

std::uint32_t PoolRun::DrawPrefix()
{
  if (mPrefixSums.empty()) {
    return 0;
  }
  const double point = mRandom.Unit() * mPrefixSums.back();
  return static_cast<std::uint32_t>(
    std::lower_bound(mPrefixSums.begin(), mPrefixSums.end(), point) -
    mPrefixSums.begin());
}

void PoolRun::Arrive(std::uint32_t aClass)
{
  ScheduleArrival(aClass);
  const WorkClass& work = mScenario.mClasses[aClass];
  Job job;
  job.mArrival = mNow;
  job.mClass = aClass;
  job.mVm = mEntryVms[mRandom.Below(mEntryVms.size())];
  job.mAccount = work.mFirstAccount +
                 static_cast<std::uint32_t>(mRandom.Below(work.mAccounts));
  job.mPrefix = DrawPrefix();
  for (int phase = 0; phase < kServicePhases; ++phase) {
    job.mService += Exponential(kServicePhases);
  }
  const bool isMeasured = IsMeasured(job);
  mResult.mArrivals += isMeasured ? 1 : 0;
  mJobs.push_back(std::move(job));
  const auto index = static_cast<std::uint32_t>(mJobs.size() - 1);
  RouterFake& router = *mRouters[mJobs[index].mVm];
  if (mScenario.mAdmission) {
    const AdmissionDecision decision = router.Admit(
      std::to_string(mJobs[index].mAccount), work, mSettings, mNow);
    if (decision.mVerdict != AdmissionVerdict::Admit) {
      mJobs[index].mDone = true;
      mResult.mRefused += isMeasured ? 1 : 0;
      mResult.mFailureTimes.push_back(mNow - mScenario.mFaultAt);
      return;
    }
  }
  mResult.mAdmitted += isMeasured ? 1 : 0;
  router.mRetryBudget.RecordRequest(mSettings.mDeployment.mRetryBudget);
  Dispatch(index);
}

bool PoolRun::IsDown(std::uint32_t aReplica) const
{
  return mIsDomainLost && aReplica % mScenario.mDomains == kLostDomain;
}

bool PoolRun::AnswersErrors(std::uint32_t aReplica) const
{
  if (aReplica != kFaultyReplica || mNow < mScenario.mFaultAt) {
    return false;
  }
  if (mScenario.mFault == Fault::BlackHole) {
    return true;
  }
  const double phase = std::fmod(mNow - mScenario.mFaultAt, 2 * kFlapSeconds);
  return mScenario.mFault == Fault::Flapping && phase < kFlapSeconds;
}

std::optional<std::uint32_t> PoolRun::ChooseByOracle(const Job& aJob)
{
  std::optional<std::uint32_t> best;
  double least = 0;
  std::uint64_t ties = 0;
  for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
    if (IsDown(index) || AnswersErrors(index)) {
      continue;
    }
    const ReplicaFake& replica = mReplicas[index];
    const double slots = mScenario.mSlots;
    const double waiting = std::max(0.0, replica.InFlight() + 1 - slots);
    const double score =
      replica.Factor() * ClassOf(aJob).mSeconds * (1 + waiting / slots);
    ties = best && score == least ? ties + 1 : 1;
    if (!best || score < least ||
        (score == least && mRandom.Below(ties) == 0)) {
      best = index;
      least = score;
    }
  }
  return best;
}

std::optional<std::uint32_t> PoolRun::ChooseReplica(const Job& aJob)
{
  if (mScenario.mPolicy == Policy::Oracle) {
    return ChooseByOracle(aJob);
  }
  DispatchFake dispatch;
  dispatch.mNow = mNow;
  dispatch.mClassSeconds = ClassOf(aJob).mSeconds;
  dispatch.mPriority = ClassOf(aJob).mPriority;
  dispatch.mTried = aJob.mTried;
  dispatch.mPrefix = aJob.mPrefix;
  dispatch.mPrefixHash = RendezvousRank(aJob.mPrefix + 1, 1) | 1;
  if (mScenario.mPrefixes > 0 && mScenario.mPolicy == Policy::Ours) {
    dispatch.mCached = &mCachedBelief;
  }
  return mRouters[aJob.mVm]->Choose(dispatch);
}

void PoolRun::Dispatch(std::uint32_t aJob)
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
  mReplicas[*replica].Enter(job.mVm);
  mRouters[job.mVm]->NoteSent(*replica);
  if (IsMeasured(job)) {
    mResult.mDispatches += 1;
  }
  if (mNow >= mScenario.mFaultAt) {
    mResult.mAfterFault += 1;
    mResult.mToFaulty += *replica == kFaultyReplica ? 1 : 0;
  }
  Send(aJob);
}

void PoolRun::Send(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  if (IsDown(job.mReplica)) {
    Schedule(
      mNow + kConnectTimeoutSeconds, EventKind::Lost, aJob, job.mAttempts);
    return;
  }
  if (AnswersErrors(job.mReplica)) {
    Schedule(mNow + kQuickErrorSeconds, EventKind::Lost, aJob, job.mAttempts);
    return;
  }
  if (mReplicas[job.mReplica].TryBegin()) {
    Begin(aJob);
    return;
  }
  mReplicas[job.mReplica].Queue(
    aJob, static_cast<std::size_t>(ClassOf(job).mPriority));
}

void PoolRun::Begin(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  job.mHasSlot = true;
  job.mNormalService = ClassOf(job).mSeconds;
  if (mScenario.mPrefixes > 0) {
    std::int64_t evicted = -1;
    const bool isHit = mCaches[job.mReplica].Touch(job.mPrefix, evicted);
    if (isHit) {
      job.mNormalService -= mScenario.mPrefillSeconds;
      mResult.mHits += IsMeasured(job) ? 1 : 0;
    } else {
      PublishCache(job.mReplica, job.mPrefix, true);
    }
    if (evicted >= 0) {
      PublishCache(job.mReplica, static_cast<std::uint32_t>(evicted), false);
    }
  }
  const double seconds =
    job.mNormalService * job.mService * mReplicas[job.mReplica].Factor();
  Schedule(mNow + seconds, EventKind::ServiceEnd, aJob, job.mAttempts);
}

void PoolRun::PublishCache(std::uint32_t aReplica,
                           std::uint32_t aPrefix,
                           bool aIn)
{
  if (mRandom.Unit() >= mScenario.mCacheEventLoss) {
    Schedule(mNow + mScenario.mReportLagSeconds,
             EventKind::CacheSeen,
             aReplica,
             aPrefix * 2ULL + (aIn ? 1 : 0));
  }
}

void PoolRun::StartNext(std::uint32_t aReplica)
{
  std::uint32_t next = 0;
  ReplicaFake& replica = mReplicas[aReplica];
  while (replica.TakeQueued(next)) {
    if (mJobs[next].mReplica != aReplica) {
      continue;
    }
    if (mJobs[next].mDone) {
      replica.Leave(mJobs[next].mVm);
      continue;
    }
    // NOTE: A caller whose deadline passed has gone, and its stream with it.
    const double deadline =
      mJobs[next].mArrival + ClassOf(mJobs[next]).mDeadlineSeconds;
    if (mNow > deadline) {
      replica.Leave(mJobs[next].mVm);
      mRouters[mJobs[next].mVm]->NoteEnded(
        aReplica,
        { true, mReplicas[aReplica].Factor() },
        ClassOf(mJobs[next]).mSeconds,
        mNow);
      Complete(next);
      continue;
    }
    if (replica.TryBegin()) {
      Begin(next);
    }
    return;
  }
}

void PoolRun::End(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  if (IsDown(job.mReplica)) {
    return;
  }
  ReplicaFake& replica = mReplicas[job.mReplica];
  replica.Leave(job.mVm);
  replica.FreeSlot();
  mRouters[job.mVm]->NoteEnded(job.mReplica,
                               { true, job.mService * replica.Factor() },
                               job.mService * job.mNormalService,
                               mNow);
  const std::uint32_t served = job.mReplica;
  if (!job.mDone) {
    Complete(aJob);
  }
  StartNext(served);
}

void PoolRun::Lose(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  mReplicas[job.mReplica].Leave(job.mVm);
  RouterFake& router = *mRouters[job.mVm];
  router.NoteEnded(job.mReplica, { false, 0 }, 0, mNow);
  const bool hasTime = mNow < job.mArrival + ClassOf(job).mDeadlineSeconds;
  if (mScenario.mRetries && job.mAttempts < kMaxAttempts && hasTime &&
      router.mRetryBudget.TrySpend()) {
    Dispatch(aJob);
    return;
  }
  Fail(job);
}

void PoolRun::Fail(Job& aJob)
{
  aJob.mDone = true;
  if (mScenario.mAdmission) {
    mRouters[aJob.mVm]->mAdmission.Finish(std::to_string(aJob.mAccount));
  }
  if (IsMeasured(aJob)) {
    mResult.mFailed += 1;
    mResult.mFailureTimes.push_back(mNow - mScenario.mFaultAt);
  }
}

void PoolRun::Complete(std::uint32_t aJob)
{
  Job& job = mJobs[aJob];
  job.mDone = true;
  if (mScenario.mAdmission) {
    mRouters[job.mVm]->mAdmission.Finish(std::to_string(job.mAccount));
  }
  if (!IsMeasured(job)) {
    return;
  }
  const double latency = mNow - job.mArrival;
  ClassResult& result = mResult.mClasses[job.mClass];
  result.mLatencies.push_back(latency);
  (IsBurst(job.mArrival) ? result.mBurstLatencies : result.mQuietLatencies)
    .push_back(latency);
  if (latency <= ClassOf(job).mDeadlineSeconds) {
    mResult.mGood += 1;
    mResult.mGoodWork += ClassOf(job).mSeconds;
  }
}

void PoolRun::LoseDomain()
{
  mIsDomainLost = true;
  // NOTE: The domain's VMs die too, with what they had in hand, whatever the
  //       policy; their callers go to the others.
  std::erase_if(mEntryVms, [&](std::uint32_t aVm) {
    return aVm % mScenario.mDomains == kLostDomain;
  });
  for (Job& job : mJobs) {
    job.mDone = job.mDone || job.mVm % mScenario.mDomains == kLostDomain;
  }
  for (std::uint32_t index = 0; index < mJobs.size(); ++index) {
    const Job& job = mJobs[index];
    if (!job.mDone && job.mAttempts > 0 && IsDown(job.mReplica)) {
      Schedule(
        mNow + kSilenceTimeoutSeconds, EventKind::Lost, index, job.mAttempts);
    }
  }
}

void PoolRun::TakeReport()
{
  Report report;
  report.mTakenAt = mNow;
  for (const ReplicaFake& replica : mReplicas) {
    report.mInFlight.push_back(replica.InFlight());
    report.mByVm.push_back(replica.InFlightByVm());
  }
  mReports.push_back(std::move(report));
  Schedule(mNow + mScenario.mReportLagSeconds, EventKind::ReportSeen);
  if (mNow < mScenario.mSeconds) {
    Schedule(mNow + mScenario.mReportPeriodSeconds, EventKind::Report);
  }
}

void PoolRun::ShowReport()
{
  const Report report = std::move(mReports.front());
  mReports.pop_front();
  for (std::uint32_t index = 0; index < mReplicas.size(); ++index) {
    if (IsDown(index)) {
      continue;
    }
    for (std::uint32_t vm = 0; vm < mScenario.mVms; ++vm) {
      mRouters[vm]->NoteReport(index,
                               report.mInFlight[index],
                               report.mByVm[index][vm],
                               report.mTakenAt);
    }
  }
}

} // namespace

PoolResult RunPool(const PoolScenario& aScenario)
{
  return PoolRun(aScenario).Run();
}

std::vector<double> LatenciesOverSeeds(PoolScenario aScenario,
                                       std::size_t aClass)
{
  std::vector<double> latencies;
  for (const std::uint64_t seed : kSeeds) {
    aScenario.mSeed = seed;
    const PoolResult result = RunPool(aScenario);
    const std::vector<double>& some = result.mClasses[aClass].mLatencies;
    latencies.insert(latencies.end(), some.begin(), some.end());
  }
  return latencies;
}

} // namespace Acaciavale::DecisionMeasure
