#include <Acaciavale/LibRollout/RolloutController.h>

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibCore/Random.h>
#include <Acaciavale/LibRollout/RolloutRecord.h>

#include <algorithm>
#include <map>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr const char* kPart = "rollout";
constexpr int kRenewalsPerHold = 3;

/// What this VM remembers of one roll-out between steps.
struct Hold
{
  std::int64_t mRevision = 0;
  TimePoint mRevisionSince{}; ///< When the revision was first seen here.
  bool mMine = false;
  TimePoint mRenewed{}; ///< Before the write that last proved the hold.
  TimePoint mUnfencedFrom{};
  RolloutWatch mWatch;
  std::vector<IssuedOrder> mIssued;
};

VersionState StateOf(const Settings& aSettings,
                     const std::string& aModel,
                     const std::string& aVersion)
{
  const VersionSettings* version = FindVersion(aSettings, aModel, aVersion);
  return version == nullptr ? VersionState::Withdrawn : version->mState;
}

void NoteIssued(Hold& aHold, const RolloutOrder& aOrder, TimePoint aNow)
{
  for (IssuedOrder& issued : aHold.mIssued) {
    if (issued.mOrder == aOrder) {
      issued.mSent = aNow;
      return;
    }
  }
  aHold.mIssued.push_back({ aOrder, aNow });
}

} // namespace

struct RolloutController::Private
{
  RolloutControllerOptions mOptions;
  RolloutCallbacks mCallbacks;
  KeyValueStore mStore;
  Random mRandom;
  std::map<std::string, Hold> mHolds; ///< Used by the stepping thread only.

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

  /// The records by name, or nothing while the store cannot be read.
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

  void StepOne(const Settings& aSettings,
               const RolloutSettings& aRollout,
               const KeyValueEntry* aRecord)
  {
    Hold& hold = mHolds[aRollout.mName];
    if (aRecord == nullptr) {
      Create(aRollout, hold);
      return;
    }
    const auto progress = ParseProgress(aRecord->mValue);
    if (!progress) {
      Log(LogLevel::Error,
          kPart,
          "A record cannot be read.",
          { { "rollout", aRollout.mName } });
      return;
    }
    Remember(*progress);
    Observe(hold, aRecord->mRevision);
    hold.mMine = progress->mHolder == mOptions.mHolder;
    if (hold.mMine) {
      Act(aSettings, aRollout, *progress, hold);
    } else if (progress->mHolder.empty() ||
               mCallbacks.mNow() - hold.mRevisionSince >= mOptions.mHoldTime) {
      TakeOver(aRollout, *progress, hold);
    }
  }

  void Remember(const RolloutProgress& aProgress)
  {
    const std::lock_guard lock(mMutex);
    mProgress[aProgress.mName] = aProgress;
  }

  /// Clocks of two VMs are never compared: a record that stands still for the
  /// hold time by the own clock has no holder.
  void Observe(Hold& aHold, std::int64_t aRevision) const
  {
    if (aRevision != aHold.mRevision) {
      aHold.mRevision = aRevision;
      aHold.mRevisionSince = mCallbacks.mNow();
    }
  }

  bool Write(const RolloutProgress& aProgress, Hold& aHold)
  {
    const TimePoint before = mCallbacks.mNow();
    const auto written =
      WriteResolved(mStore,
                    { RolloutKey(aProgress.mName),
                      SerializeProgress(aProgress, RandomToken(mRandom)),
                      aHold.mRevision,
                      0 });
    if (!written) {
      return false;
    }
    aHold.mMine = true;
    aHold.mRenewed = before;
    Observe(aHold, *written);
    Remember(aProgress);
    return true;
  }

  void Create(const RolloutSettings& aRollout, Hold& aHold)
  {
    RolloutProgress progress;
    progress.mName = aRollout.mName;
    progress.mFence = 1;
    progress.mHolder = mOptions.mHolder;
    progress.mReason = "It begins.";
    SetBaseline(aRollout, progress);
    aHold = Hold{};
    if (Write(progress, aHold)) {
      // NOTE: Nobody held it before, so no engine can obey somebody else.
      aHold.mUnfencedFrom = mCallbacks.mNow();
    }
  }

  void SetBaseline(const RolloutSettings& aRollout,
                   RolloutProgress& aProgress) const
  {
    aProgress.mBaseline = mCallbacks.mTotals(aRollout.mModel, aRollout.mFrom);
    aProgress.mCandidate = mCallbacks.mTotals(aRollout.mModel, aRollout.mTo);
  }

  void TakeOver(const RolloutSettings& aRollout,
                RolloutProgress aProgress,
                Hold& aHold)
  {
    aProgress.mHolder = mOptions.mHolder;
    ++aProgress.mFence;
    // NOTE: This VM's sums differ from the old holder's. The step's evidence is
    //       gathered anew, which costs time only.
    SetBaseline(aRollout, aProgress);
    aHold.mWatch = {};
    aHold.mWatch.mSeenOld = aProgress.mBaseline;
    aHold.mWatch.mSeenNew = aProgress.mCandidate;
    aHold.mIssued.clear();
    if (!Write(aProgress, aHold)) {
      return;
    }
    aHold.mUnfencedFrom =
      mCallbacks.mNow() + mOptions.mHoldTime + mOptions.mLongestPause;
    Log(LogLevel::Info,
        kPart,
        "This VM holds the roll-out now.",
        { { "rollout", aProgress.mName },
          { "fence", std::to_string(aProgress.mFence) } });
  }

  RolloutQuery QueryOf(const Settings& aSettings,
                       const RolloutSettings& aRollout,
                       const RolloutProgress& aProgress,
                       const Hold& aHold) const
  {
    RolloutQuery query;
    query.mSettings = aRollout;
    query.mFromState = StateOf(aSettings, aRollout.mModel, aRollout.mFrom);
    query.mToState = StateOf(aSettings, aRollout.mModel, aRollout.mTo);
    query.mProgress = aProgress;
    query.mWatch = aHold.mWatch;
    query.mOldTotal = mCallbacks.mTotals(aRollout.mModel, aRollout.mFrom);
    query.mNewTotal = mCallbacks.mTotals(aRollout.mModel, aRollout.mTo);
    query.mEndpoints = mCallbacks.mEndpoints();
    query.mIssued = aHold.mIssued;
    query.mPacing = mOptions.mPacing;
    query.mNow = mCallbacks.mNow();
    query.mUnfencedFrom = aHold.mUnfencedFrom;
    return query;
  }

  void Act(const Settings& aSettings,
           const RolloutSettings& aRollout,
           const RolloutProgress& aProgress,
           Hold& aHold)
  {
    const RolloutStep step =
      PlanRolloutStep(QueryOf(aSettings, aRollout, aProgress, aHold));
    const bool due = mCallbacks.mNow() - aHold.mRenewed >=
                     mOptions.mHoldTime / kRenewalsPerHold;
    if ((step.mProgress != aProgress || due) && !Write(step.mProgress, aHold)) {
      return;
    }
    aHold.mWatch = step.mWatch;
    if (step.mProgress.mPhase != aProgress.mPhase) {
      Log(LogLevel::Info,
          kPart,
          "A roll-out has changed its phase.",
          { { "rollout", aProgress.mName },
            { "reason", step.mProgress.mReason } });
    }
    for (const RolloutOrder& order : step.mOrders) {
      Send(order, aHold);
    }
  }

  void Send(const RolloutOrder& aOrder, Hold& aHold)
  {
    const TimePoint now = mCallbacks.mNow();
    if (now - aHold.mRenewed >= mOptions.mHoldTime) {
      // NOTE: Somebody else may hold it by now. A pause between this check and
      //       the order is what the fence and mLongestPause are for.
      return;
    }
    NoteIssued(aHold, aOrder, now);
    const auto sent = mCallbacks.mOrder(aOrder);
    Log(sent ? LogLevel::Info : LogLevel::Warning,
        kPart,
        sent ? "An order was sent." : "An order failed and is sent again.",
        { { "endpoint", aOrder.mEndpoint }, { "order", aOrder.mOrderId } });
  }

  void TellViews(const Settings& aSettings) const
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
    if (mCallbacks.mViews) {
      mCallbacks.mViews(views);
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
    mPrivate->StepOne(
      *settings, rollout, record == records->end() ? nullptr : &record->second);
  }
  mPrivate->TellViews(*settings);
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
