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

constexpr auto kOrderTimeout = std::chrono::seconds(2);
constexpr auto kLimitSharesPause = std::chrono::milliseconds(1500);
constexpr auto kLedgersPause = std::chrono::seconds(3);
/// Number of rounds of ledger maintenance per sweep. In a sweep, the first live
/// VM also closes abandoned ledgers and folds the closed ones.
constexpr int kRoundsPerSweep = 7;
constexpr auto kClaimsPause = std::chrono::seconds(3);
constexpr auto kSloCountersPause = std::chrono::seconds(30);
constexpr auto kRolloutsPause = std::chrono::seconds(1);
/// Evidence per model and version, summed over all kinds of request, without
/// ageing.
using VersionTotals =
  std::map<std::pair<std::string, std::string>, EvidenceCell>;

double ReportedLoadRatio(const EndpointView& aView)
{
  return aView.mSlots > 0 ? static_cast<double>(aView.mReportedInFlight) /
                              static_cast<double>(aView.mSlots)
                          : 1.0;
}

} // namespace

struct Upkeep::Private
{
  Private(ServerState& aServer, std::string aIncarnation, std::uint64_t aSeed)
    : mServer(aServer)
    , mIncarnation(std::move(aIncarnation))
    , mSeed(aSeed)
  {
  }

  bool IsIncarnationAlive(const Incarnation& aIncarnation) const
  {
    // NOTE: A VM has one live incarnation at a time. If another incarnation of
    //       the same name is alive, an incarnation that is only suspected is
    //       dead.
    bool suspected = false;
    bool otherIncarnationAlive = false;
    for (const Member& member : mServer.mMembership->Members()) {
      if (member.mState.mName != aIncarnation.mVm) {
        continue;
      }
      const bool sameIncarnation =
        aIncarnation.mNonce.rfind(member.mState.mIncarnation, 0) == 0;
      if (sameIncarnation && member.mHealth == VmHealth::Alive) {
        return true;
      }
      suspected =
        suspected || (sameIncarnation && member.mHealth == VmHealth::Suspect);
      otherIncarnationAlive =
        otherIncarnationAlive ||
        (!sameIncarnation && member.mHealth == VmHealth::Alive);
    }
    return suspected && !otherIncarnationAlive;
  }

  /// Whether this VM is the first live member and thus does the work that a
  /// single VM should do. If two VMs consider themselves first, the work is
  /// done twice without harm.
  bool IsFirstAliveVm() const
  {
    for (const Member& member : mServer.mMembership->Members()) {
      if (member.mHealth == VmHealth::Alive && !member.mState.mDraining) {
        return member.mState.mName == mServer.mNodeSettings.mVmName;
      }
    }
    return false;
  }

  void UpdateLimitShares()
  {
    std::vector<LimitMember> liveMembers;
    for (const Member& member : mServer.mMembership->Members()) {
      if (member.mHealth != VmHealth::Dead) {
        liveMembers.push_back({ member.mState.mName, member.mState.mWeight });
      }
    }
    mServer.mLimitShares->Update(liveMembers);
  }

  void MaintainLedgers()
  {
    mServer.mBilling->SetLedgerPeriod(
      LedgerPeriod(mServer.mMembership->LiveCount()));
    // NOTE: The first round runs at the start, when the member list is still
    //       empty and every VM would be considered dead.
    if (mLedgerRounds++ > 0) {
      CloseDeadVmLedgers(mLedgerRounds % kRoundsPerSweep == 0 &&
                         IsFirstAliveVm());
    }
  }

  void CloseDeadVmLedgers(bool aSweepAll)
  {
    const auto closed = TryCloseDeadVmLedgers(aSweepAll);
    if (!closed) {
      Log(LogLevel::Warning,
          "upkeep",
          "Could not close the ledgers of dead VMs.",
          { { "error", closed.error().mMessage } });
    }
  }

  /// Closes the ledgers of dead VMs whose entries this VM holds. With
  /// aSweepAll, also closes the ledgers of which no VM holds entries, and folds
  /// the closed ledgers into the archive.
  ErrorOr<void> TryCloseDeadVmLedgers(bool aSweepAll)
  {
    const IsAlive isAlive = [this](const Incarnation& aIncarnation) {
      return IsIncarnationAlive(aIncarnation);
    };
    ACACIAVALE_TRY_VOID(
      CloseDeadLedgers(mServer.mStore, mServer.mHeldEntries, isAlive));
    if (!aSweepAll) {
      return {};
    }
    ACACIAVALE_TRY_VOID(CloseAbandonedLedgers(mServer.mStore, isAlive));
    return FoldLedgers(mServer.mStore);
  }

  void StoreSloCounters()
  {
    const auto revision =
      StoreSlo(mServer.mStore,
               { mServer.mNodeSettings.mVmName, mIncarnation, mSloRevision },
               mServer.mSloCounters.Cells(CalendarNow()));
    if (revision) {
      mSloRevision = *revision;
    }
  }

  std::vector<RolloutEndpoint> EngineEndpoints() const
  {
    std::vector<RolloutEndpoint> engines;
    const TimePoint now = MonotonicNow();
    for (const auto& endpoint : mServer.mEndpoints.Snapshot()->mAllEndpoints) {
      const EndpointListing listing = endpoint->Listing();
      if (!listing.mService.empty()) {
        continue;
      }
      engines.push_back({ listing.mName,
                          listing.mAddress,
                          listing.mLoaded,
                          listing.mLeaving,
                          listing.mChecksFencing,
                          ReportedLoadRatio(endpoint->View(now)) });
    }
    return engines;
  }

  ErrorOr<void> SendOrder(const RolloutOrder& aOrder) const
  {
    const std::string& weightsAddress = mServer.mNodeSettings.mWeightsAddress;
    if (aOrder.mKind == RolloutOrderKind::Load && !weightsAddress.empty()) {
      const WeightFetch fetch =
        ACACIAVALE_TRY(WeightStoreClient(weightsAddress, kOrderTimeout)
                         .Fetch({ aOrder.mModel, aOrder.mVersion }));
      if (!fetch.mAllowed) {
        return MakeError(ErrorCode::Exhausted,
                         "the weight store permits no further load now");
      }
    }
    return SendEngineOrder(
      aOrder.mAddress, SerializeOrder(aOrder), kOrderTimeout);
  }

  EvidenceCell VersionTotal(const std::string& aModel,
                            const std::string& aVersion)
  {
    const std::lock_guard guard(mLock);
    return mVersionTotals[{ aModel, aVersion }];
  }

  std::unique_ptr<RolloutController> MakeController();

  ServerState& mServer;
  const std::string mIncarnation;
  const std::uint64_t mSeed;
  std::unique_ptr<RolloutController> mController;
  int mLedgerRounds = 0;
  std::int64_t mSloRevision = 0;
  mutable std::mutex mLock;
  VersionTotals mVersionTotals;
  std::vector<RolloutView> mRollouts;
  std::vector<std::unique_ptr<PeriodicThread>> mThreads;
};

std::unique_ptr<RolloutController> Upkeep::Private::MakeController()
{
  RolloutControllerOptions options;
  options.mHolder = mServer.mNodeSettings.mVmName + "/" + mIncarnation;
  RolloutCallbacks callbacks;
  callbacks.mSettings = [this] { return mServer.CurrentSettings(); };
  callbacks.mTotalEvidence = [this](const std::string& aModel,
                                    const std::string& aVersion) {
    return VersionTotal(aModel, aVersion);
  };
  callbacks.mEndpoints = [this] { return EngineEndpoints(); };
  callbacks.mSendOrder = [this](const RolloutOrder& aOrder) {
    return SendOrder(aOrder);
  };
  callbacks.mOnViews = [this](const std::vector<RolloutView>& aViews) {
    const std::lock_guard guard(mLock);
    mRollouts = aViews;
  };
  return std::make_unique<RolloutController>(
    options, callbacks, mServer.mStore, mSeed);
}

Upkeep::Upkeep(ServerState& aServer,
               const std::string& aIncarnation,
               std::uint64_t aSeed)
  : mPrivate(std::make_unique<Private>(aServer, aIncarnation, aSeed))
{
}

Upkeep::~Upkeep() = default;

void Upkeep::Start()
{
  Private* self = mPrivate.get();
  self->mController = self->MakeController();
  const auto startPeriodic = [self](Duration aPause,
                                    std::function<void()> aAction) {
    self->mThreads.push_back(
      std::make_unique<PeriodicThread>(aPause, std::move(aAction)));
  };
  startPeriodic(kLimitSharesPause, [self] { self->UpdateLimitShares(); });
  startPeriodic(kLedgersPause, [self] { self->MaintainLedgers(); });
  startPeriodic(kClaimsPause, [self] {
    self->mServer.mOrphanedClaims.Release(self->mServer.mStore);
  });
  startPeriodic(kSloCountersPause, [self] { self->StoreSloCounters(); });
  startPeriodic(kRolloutsPause, [self] { self->mController->Step(); });
}

void Upkeep::Stop()
{
  mPrivate->mThreads.clear();
  mPrivate->CloseDeadVmLedgers(false);
  mPrivate->StoreSloCounters();
  mPrivate->mServer.mLimitShares->Leave();
}

void Upkeep::OnVmDead()
{
  asio::post(mPrivate->mServer.mBlockingPool,
             [self = mPrivate.get()] { self->CloseDeadVmLedgers(false); });
}

void Upkeep::AddEvidence(const EvidenceView& aEvidence)
{
  const std::lock_guard guard(mPrivate->mLock);
  for (const auto& [key, cell] : aEvidence) {
    EvidenceCell& total =
      mPrivate->mVersionTotals[{ key.mModel, key.mVersion }];
    total = total + cell;
  }
}

std::vector<RolloutView> Upkeep::Rollouts() const
{
  const std::lock_guard guard(mPrivate->mLock);
  return mPrivate->mRollouts;
}

} // namespace Acaciavale
