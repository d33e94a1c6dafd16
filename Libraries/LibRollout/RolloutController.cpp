#include <Acaciavale/LibRollout/RolloutController.h>

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutRecord.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr const char* kLogComponent = "rollout";
constexpr int kRenewalsPerLease = 3;

/// State of one roll-out that this VM keeps in memory between steps.
struct LocalState
{
  std::int64_t mRevision = 0;
  /// Time when this VM first observed the revision.
  TimePoint mRevisionObservedAt{};
  bool mIsHolder = false;
  TimePoint mRenewedAt{}; ///< Time just before the last renewing write.
  TimePoint mUnfencedOrdersFrom{};
  RolloutChangeDetector mDetector;
  std::vector<IssuedOrder> mIssuedOrders;
};

VersionState StateOf(const Settings& aSettings,
                     const std::string& aModel,
                     const std::string& aVersion)
{
  const VersionSettings* version = FindVersion(aSettings, aModel, aVersion);
  return version == nullptr ? VersionState::Withdrawn : version->mState;
}

void RecordIssued(LocalState& aLocal,
                  const RolloutOrder& aOrder,
                  TimePoint aNow)
{
  for (IssuedOrder& issued : aLocal.mIssuedOrders) {
    if (issued.mOrder == aOrder) {
      issued.mSentAt = aNow;
      return;
    }
  }
  aLocal.mIssuedOrders.push_back({ aOrder, aNow });
}

} // namespace

struct RolloutController::Private
{
  RolloutControllerOptions mOptions;
  RolloutCallbacks mCallbacks;
  KeyValueStore mStore;
  Random mRandom;
  /// Used only by the thread that calls Step.
  std::map<std::string, LocalState> mLocalStates;

  mutable std::mutex mMutex;
  std::map<std::string, RolloutProgress> mProgress;

  Private(RolloutControllerOptions aOptions,
          RolloutCallbacks aCallbacks,
          KeyValueStore aStore,
          std::uint64_t aSeed)
    : mOptions(std::move(aOptions))
    , mCallbacks(std::move(aCallbacks))
    , mStore(std::move(aStore))
    , mRandom(aSeed)
  {
  }

  /// Reads the records of all roll-outs, by name.
  ErrorOr<std::map<std::string, KeyValueEntry>> ReadRecords() const
  {
    std::map<std::string, KeyValueEntry> records;
    for (KeyValueEntry& entry : ACACIAVALE_TRY(mStore.mList(kRolloutPrefix))) {
      const std::string name =
        entry.mKey.substr(std::string(kRolloutPrefix).size());
      records.emplace(name, std::move(entry));
    }
    return records;
  }

  void StepRollout(const Settings& aSettings,
                   const RolloutSettings& aRollout,
                   const KeyValueEntry* aRecord)
  {
    LocalState& local = mLocalStates[aRollout.mName];
    if (aRecord == nullptr) {
      CreateRecord(aRollout, local);
      return;
    }
    const auto progress = ParseProgress(aRecord->mValue);
    if (!progress) {
      Log(LogLevel::Error,
          kLogComponent,
          "The progress record of a roll-out is malformed.",
          { { "rollout", aRollout.mName } });
      return;
    }
    CacheProgress(*progress);
    ObserveRevision(local, aRecord->mRevision);
    local.mIsHolder = progress->mHolder == mOptions.mHolder;
    if (local.mIsHolder) {
      RunStep(aSettings, aRollout, *progress, local);
    } else if (progress->mHolder.empty() ||
               mCallbacks.mNow() - local.mRevisionObservedAt >=
                 mOptions.mLeaseDuration) {
      TakeOverLease(aRollout, *progress, local);
    }
  }

  void CacheProgress(const RolloutProgress& aProgress)
  {
    const std::lock_guard lock(mMutex);
    mProgress[aProgress.mName] = aProgress;
  }

  /// Clocks of different VMs are never compared: the lease has expired if the
  /// record has not changed for the lease duration by the local clock.
  void ObserveRevision(LocalState& aLocal, std::int64_t aRevision) const
  {
    if (aRevision != aLocal.mRevision) {
      aLocal.mRevision = aRevision;
      aLocal.mRevisionObservedAt = mCallbacks.mNow();
    }
  }

  bool WriteProgress(const RolloutProgress& aProgress, LocalState& aLocal)
  {
    const TimePoint startedAt = mCallbacks.mNow();
    const auto written =
      WriteResolved(mStore,
                    { RolloutKey(aProgress.mName),
                      SerializeProgress(aProgress, RandomToken(mRandom)),
                      aLocal.mRevision,
                      0 });
    if (!written) {
      return false;
    }
    aLocal.mIsHolder = true;
    aLocal.mRenewedAt = startedAt;
    ObserveRevision(aLocal, *written);
    CacheProgress(aProgress);
    return true;
  }

  void CreateRecord(const RolloutSettings& aRollout, LocalState& aLocal)
  {
    RolloutProgress progress;
    progress.mName = aRollout.mName;
    progress.mFence = 1;
    progress.mHolder = mOptions.mHolder;
    progress.mReason = "The roll-out has started.";
    SetBaseline(aRollout, progress);
    aLocal = LocalState{};
    if (WriteProgress(progress, aLocal)) {
      // NOTE: There is no previous lease holder whose orders an engine could
      //       still execute.
      aLocal.mUnfencedOrdersFrom = mCallbacks.mNow();
    }
  }

  void SetBaseline(const RolloutSettings& aRollout,
                   RolloutProgress& aProgress) const
  {
    aProgress.mBaseline =
      mCallbacks.mTotalEvidence(aRollout.mModel, aRollout.mFrom);
    aProgress.mCandidate =
      mCallbacks.mTotalEvidence(aRollout.mModel, aRollout.mTo);
  }

  void TakeOverLease(const RolloutSettings& aRollout,
                     RolloutProgress aProgress,
                     LocalState& aLocal)
  {
    aProgress.mHolder = mOptions.mHolder;
    ++aProgress.mFence;
    // NOTE: The evidence sums of this VM differ from those of the previous
    //       lease holder. The evidence of the step is collected again, which
    //       only costs time.
    SetBaseline(aRollout, aProgress);
    aLocal.mDetector = {};
    aLocal.mDetector.mProcessedOld = aProgress.mBaseline;
    aLocal.mDetector.mProcessedNew = aProgress.mCandidate;
    aLocal.mIssuedOrders.clear();
    if (!WriteProgress(aProgress, aLocal)) {
      return;
    }
    aLocal.mUnfencedOrdersFrom =
      mCallbacks.mNow() + mOptions.mLeaseDuration + mOptions.mMaxHolderPause;
    Log(LogLevel::Info,
        kLogComponent,
        "This VM has taken over the roll-out.",
        { { "rollout", aProgress.mName },
          { "fence", std::to_string(aProgress.mFence) } });
  }

  RolloutQuery MakeQuery(const Settings& aSettings,
                         const RolloutSettings& aRollout,
                         const RolloutProgress& aProgress,
                         const LocalState& aLocal) const
  {
    RolloutQuery query;
    query.mSettings = aRollout;
    query.mFromState = StateOf(aSettings, aRollout.mModel, aRollout.mFrom);
    query.mToState = StateOf(aSettings, aRollout.mModel, aRollout.mTo);
    query.mProgress = aProgress;
    query.mDetector = aLocal.mDetector;
    query.mOldEvidence =
      mCallbacks.mTotalEvidence(aRollout.mModel, aRollout.mFrom);
    query.mNewEvidence =
      mCallbacks.mTotalEvidence(aRollout.mModel, aRollout.mTo);
    query.mEndpoints = mCallbacks.mEndpoints();
    query.mIssuedOrders = aLocal.mIssuedOrders;
    query.mPacing = mOptions.mPacing;
    query.mNow = mCallbacks.mNow();
    query.mUnfencedOrdersFrom = aLocal.mUnfencedOrdersFrom;
    return query;
  }

  void RunStep(const Settings& aSettings,
               const RolloutSettings& aRollout,
               const RolloutProgress& aProgress,
               LocalState& aLocal)
  {
    const RolloutPlan plan =
      PlanRollout(MakeQuery(aSettings, aRollout, aProgress, aLocal));
    const bool isRenewalDue = mCallbacks.mNow() - aLocal.mRenewedAt >=
                              mOptions.mLeaseDuration / kRenewalsPerLease;
    if ((plan.mProgress != aProgress || isRenewalDue) &&
        !WriteProgress(plan.mProgress, aLocal)) {
      return;
    }
    aLocal.mDetector = plan.mDetector;
    if (plan.mProgress.mPhase != aProgress.mPhase) {
      Log(LogLevel::Info,
          kLogComponent,
          "The phase of a roll-out has changed.",
          { { "rollout", aProgress.mName },
            { "reason", plan.mProgress.mReason } });
    }
    for (const RolloutOrder& order : plan.mOrders) {
      SendOrder(order, aLocal);
    }
  }

  void SendOrder(const RolloutOrder& aOrder, LocalState& aLocal)
  {
    const TimePoint now = mCallbacks.mNow();
    if (now - aLocal.mRenewedAt >= mOptions.mLeaseDuration) {
      // NOTE: Another VM may hold the lease by now. The fence and
      //       mMaxHolderPause cover a pause between this check and the order.
      return;
    }
    RecordIssued(aLocal, aOrder, now);
    const auto sent = mCallbacks.mSendOrder(aOrder);
    Log(sent ? LogLevel::Info : LogLevel::Warning,
        kLogComponent,
        sent ? "Sent an order to an engine."
             : "An order to an engine failed and will be retried.",
        { { "endpoint", aOrder.mEndpoint }, { "order", aOrder.mOrderId } });
  }

  void PublishViews(const Settings& aSettings) const
  {
    std::vector<RolloutView> views;
    {
      const std::lock_guard lock(mMutex);
      for (const auto& [name, rollout] : aSettings.mRollouts) {
        const auto progress = mProgress.find(name);
        if (progress != mProgress.end()) {
          views.push_back(ViewOf(rollout, progress->second));
        }
      }
    }
    if (mCallbacks.mOnViews) {
      mCallbacks.mOnViews(views);
    }
  }
};

RolloutController::RolloutController(RolloutControllerOptions aOptions,
                                     RolloutCallbacks aCallbacks,
                                     KeyValueStore aStore,
                                     std::uint64_t aSeed)
  : mPrivate(std::make_unique<Private>(std::move(aOptions),
                                       std::move(aCallbacks),
                                       std::move(aStore),
                                       aSeed))
{
}

RolloutController::~RolloutController() = default;

void RolloutController::Step()
{
  const auto settings = mPrivate->mCallbacks.mSettings();
  if (!settings || settings->mRollouts.empty()) {
    return;
  }
  const auto records = mPrivate->ReadRecords();
  if (!records) {
    return;
  }
  for (const auto& [name, rollout] : settings->mRollouts) {
    const auto record = records->find(name);
    mPrivate->StepRollout(
      *settings, rollout, record == records->end() ? nullptr : &record->second);
  }
  mPrivate->PublishViews(*settings);
}

std::vector<RolloutProgress> RolloutController::Progress() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  std::vector<RolloutProgress> progress;
  for (const auto& [name, item] : mPrivate->mProgress) {
    progress.push_back(item);
  }
  return progress;
}

} // namespace Acaciavale
