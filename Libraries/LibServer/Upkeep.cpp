#include "Upkeep.h"

#include "PeriodicThread.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibPlatform/EngineOrders.h>
#include <Acaciavale/LibPlatform/WeightStoreClient.h>
#include <Acaciavale/LibReport/SloStore.h>
#include <algorithm>
#include <asio/post.hpp>

namespace Acaciavale {

namespace {

constexpr auto kOrderDeadline = std::chrono::seconds(2);
constexpr auto kLimitsPause = std::chrono::milliseconds(1500);
constexpr auto kLedgersPause = std::chrono::seconds(3);
/// Rounds of the ledgers between two sweeps by the VM that sweeps.
constexpr int kSweepRounds = 7;
constexpr auto kClaimsPause = std::chrono::seconds(3);
constexpr auto kObjectivesPause = std::chrono::seconds(30);
constexpr auto kRolloutsPause = std::chrono::seconds(1);
/// Totals of a version over all kinds of request, never aged.
using VersionTotals =
  std::map<std::pair<std::string, std::string>, EvidenceCell>;

double LoadShare(const EndpointView& aView)
{
  return aView.mSlots > 0 ? static_cast<double>(aView.mReportedInFlight) /
                              static_cast<double>(aView.mSlots)
                          : 1.0;
}

} // namespace

struct Upkeep::Private
{
  Private(ServerParts& aParts, std::string aIncarnation, std::uint64_t aSeed)
    : mParts(aParts)
    , mIncarnation(std::move(aIncarnation))
    , mSeed(aSeed)
  {
  }

  bool Lives(const Incarnation& aIncarnation) const
  {
    // NOTE: A VM has one life at a time. Where its name is alive under a newer
    //       one, an older one that is only suspected is over.
    bool suspected = false;
    bool otherLife = false;
    for (const Member& member : mParts.mMembership->Members()) {
      if (member.mState.mName != aIncarnation.mVm) {
        continue;
      }
      const bool same =
        aIncarnation.mNonce.rfind(member.mState.mIncarnation, 0) == 0;
      if (same && member.mHealth == VmHealth::Alive) {
        return true;
      }
      suspected = suspected || (same && member.mHealth == VmHealth::Suspect);
      otherLife = otherLife || (!same && member.mHealth == VmHealth::Alive);
    }
    return suspected && !otherLife;
  }

  /// Whether this VM is the one that does work which one VM should do. Two that
  /// think so only do it twice.
  bool IsFirst() const
  {
    for (const Member& member : mParts.mMembership->Members()) {
      if (member.mHealth == VmHealth::Alive && !member.mState.mDraining) {
        return member.mState.mName == mParts.mNode.mVm;
      }
    }
    return false;
  }

  void StepLimits()
  {
    std::vector<LimitMember> live;
    for (const Member& member : mParts.mMembership->Members()) {
      if (member.mHealth != VmHealth::Dead) {
        live.push_back({ member.mState.mName, member.mState.mWeight });
      }
    }
    mParts.mLimits->Update(live);
  }

  void KeepLedgers()
  {
    mParts.mBilling->SetLedgerPeriod(
      LedgerPeriod(mParts.mMembership->LiveCount()));
    // NOTE: The first round comes at the start, when the membership is still
    //       empty and everybody would pass for dead.
    if (mLedgerRounds++ > 0) {
      CloseBooksOfTheDead(mLedgerRounds % kSweepRounds == 0 && IsFirst());
    }
  }

  void CloseBooksOfTheDead(bool aSweeps)
  {
    const auto kept = KeepBooks(aSweeps);
    if (!kept) {
      Log(LogLevel::Warning,
          "upkeep",
          "The books of dead VMs are not closed yet.",
          { { "error", kept.error().mMessage } });
    }
  }

  /// Closes the ledgers of the dead whose entries are held here. The VM that
  /// sweeps also closes those of which nobody holds entries, and folds.
  ErrorOr<void> KeepBooks(bool aSweeps)
  {
    const IsAlive isAlive = [this](const Incarnation& aIncarnation) {
      return Lives(aIncarnation);
    };
    ACACIAVALE_TRY_VOID(CloseDeadLedgers(mParts.mStore, mParts.mHeld, isAlive));
    if (!aSweeps) {
      return {};
    }
    ACACIAVALE_TRY_VOID(CloseAbandonedLedgers(mParts.mStore, isAlive));
    return FoldLedgers(mParts.mStore);
  }

  void StoreObjectives()
  {
    const auto revision =
      StoreSlo(mParts.mStore,
               { mParts.mNode.mVm, mIncarnation, mObjectivesRevision },
               mParts.mObjectives.Cells(CalendarNow()));
    if (revision) {
      mObjectivesRevision = *revision;
    }
  }

  std::vector<RolloutEndpoint> Engines() const
  {
    std::vector<RolloutEndpoint> engines;
    const TimePoint now = MonotonicNow();
    for (const auto& endpoint : mParts.mEndpoints.Snapshot()->mAll) {
      const EndpointListing listing = endpoint->Listing();
      if (!listing.mService.empty()) {
        continue;
      }
      engines.push_back({ listing.mName,
                          listing.mAddress,
                          listing.mLoaded,
                          listing.mLeaving,
                          listing.mChecksFencing,
                          LoadShare(endpoint->View(now)) });
    }
    return engines;
  }

  ErrorOr<void> SendOrder(const RolloutOrder& aOrder) const
  {
    const std::string& weights = mParts.mNode.mWeightsAddress;
    if (aOrder.mKind == RolloutOrderKind::Load && !weights.empty()) {
      const WeightFetch fetch =
        ACACIAVALE_TRY(WeightStoreClient(weights, kOrderDeadline)
                         .Fetch({ aOrder.mModel, aOrder.mVersion }));
      if (!fetch.mAllowed) {
        return MakeError(ErrorCode::Exhausted,
                         "the weight store gives no more weights now");
      }
    }
    return SendEngineOrder(
      aOrder.mAddress, SerializeOrder(aOrder), kOrderDeadline);
  }

  EvidenceCell TotalsOf(const std::string& aModel, const std::string& aVersion)
  {
    const std::lock_guard guard(mLock);
    return mTotals[{ aModel, aVersion }];
  }

  std::unique_ptr<RolloutController> MakeController();

  ServerParts& mParts;
  const std::string mIncarnation;
  const std::uint64_t mSeed;
  std::unique_ptr<RolloutController> mController;
  int mLedgerRounds = 0;
  std::int64_t mObjectivesRevision = 0;
  mutable std::mutex mLock;
  VersionTotals mTotals;
  std::vector<RolloutView> mRollouts;
  std::vector<std::unique_ptr<PeriodicThread>> mThreads;
};

std::unique_ptr<RolloutController> Upkeep::Private::MakeController()
{
  RolloutControllerOptions options;
  options.mHolder = mParts.mNode.mVm + "/" + mIncarnation;
  RolloutCallbacks callbacks;
  callbacks.mSettings = [this] { return mParts.CurrentSettings(); };
  callbacks.mTotalEvidence = [this](const std::string& aModel,
                                    const std::string& aVersion) {
    return TotalsOf(aModel, aVersion);
  };
  callbacks.mEndpoints = [this] { return Engines(); };
  callbacks.mSendOrder = [this](const RolloutOrder& aOrder) {
    return SendOrder(aOrder);
  };
  callbacks.mOnViews = [this](const std::vector<RolloutView>& aViews) {
    const std::lock_guard guard(mLock);
    mRollouts = aViews;
  };
  return std::make_unique<RolloutController>(
    options, callbacks, mParts.mStore, mSeed);
}

Upkeep::Upkeep(ServerParts& aParts,
               const std::string& aIncarnation,
               std::uint64_t aSeed)
  : mPrivate(std::make_unique<Private>(aParts, aIncarnation, aSeed))
{
}

Upkeep::~Upkeep() = default;

void Upkeep::Start()
{
  Private* self = mPrivate.get();
  self->mController = self->MakeController();
  const auto every = [self](Duration aPause, std::function<void()> aAction) {
    self->mThreads.push_back(
      std::make_unique<PeriodicThread>(aPause, std::move(aAction)));
  };
  every(kLimitsPause, [self] { self->StepLimits(); });
  every(kLedgersPause, [self] { self->KeepLedgers(); });
  every(kClaimsPause,
        [self] { self->mParts.mOrphanedClaims.Release(self->mParts.mStore); });
  every(kObjectivesPause, [self] { self->StoreObjectives(); });
  every(kRolloutsPause, [self] { self->mController->Step(); });
}

void Upkeep::Stop()
{
  mPrivate->mThreads.clear();
  mPrivate->CloseBooksOfTheDead(false);
  mPrivate->StoreObjectives();
  mPrivate->mParts.mLimits->Leave();
}

void Upkeep::OnVmDead()
{
  asio::post(mPrivate->mParts.mBlocking,
             [self = mPrivate.get()] { self->CloseBooksOfTheDead(false); });
}

void Upkeep::CountEvidence(const EvidenceView& aEvidence)
{
  const std::lock_guard guard(mPrivate->mLock);
  for (const auto& [key, cell] : aEvidence) {
    EvidenceCell& total = mPrivate->mTotals[{ key.mModel, key.mVersion }];
    total = total + cell;
  }
}

std::vector<RolloutView> Upkeep::Rollouts() const
{
  const std::lock_guard guard(mPrivate->mLock);
  return mPrivate->mRollouts;
}

} // namespace Acaciavale
