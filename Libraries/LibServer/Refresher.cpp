#include "Refresher.h"

#include "PeriodicThread.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

namespace Acaciavale {

namespace {

constexpr auto kEndpointListPause = std::chrono::milliseconds(500);
constexpr auto kLoadReportPause = std::chrono::milliseconds(500);
constexpr auto kLoadReportTimeout = std::chrono::milliseconds(200);
constexpr auto kRoutingSnapshotPause = std::chrono::milliseconds(200);
constexpr auto kRatingsPause = std::chrono::milliseconds(1000);
constexpr auto kRatingsTimeout = std::chrono::milliseconds(500);
constexpr auto kSettingsWatchPause = std::chrono::milliseconds(250);
constexpr auto kSettingsWatchTimeout = std::chrono::seconds(5);
constexpr auto kEndpointListTimeout = std::chrono::milliseconds(400);

} // namespace

namespace {

/// Logs whether offered settings were applied.
void LogOffer(const ErrorOr<bool>& aApplied, std::int64_t aGeneration)
{
  if (!aApplied) {
    Log(LogLevel::Warning,
        "settings",
        "Rejected the offered settings.",
        { { "generation", std::to_string(aGeneration) },
          { "error", aApplied.error().mMessage } });
  } else if (*aApplied) {
    Log(LogLevel::Info,
        "settings",
        "Applied new settings.",
        { { "generation", std::to_string(aGeneration) } });
  }
}

} // namespace

struct Refresher::Private
{
  Private(ServerState& aServer, const Upkeep& aUpkeep, bool aUsesFixedSettings)
    : mServer(aServer)
    , mUpkeep(aUpkeep)
    , mUsesFixedSettings(aUsesFixedSettings)
  {
  }

  void RefreshEndpointList()
  {
    const auto list = FetchEndpointList(
      mServer.mNodeSettings.mEndpointListAddress, kEndpointListTimeout);
    if (!list) {
      // NOTE: The last list stays in use, because a failed fetch does not tell
      //       which endpoints are gone. Those fail requests and are ejected.
      Log(LogLevel::Warning,
          "endpoints",
          "Could not fetch the endpoint list.",
          { { "error", list.error().mMessage } });
      return;
    }
    mServer.mEndpoints.ApplyList(*list);
  }

  /// Fetches the load reports of all endpoints, one after the other.
  void RefreshLoadReports()
  {
    const auto snapshot = mServer.mEndpoints.Snapshot();
    for (const auto& endpoint : snapshot->mAllEndpoints) {
      const auto report =
        FetchLoadReport(endpoint->Listing().mAddress, kLoadReportTimeout);
      if (report) {
        endpoint->RecordLoadReport(*report, MonotonicNow());
      }
    }
    if (const auto settings = mServer.CurrentSettings()) {
      mServer.mEndpoints.EjectOutliers(settings->mDeployment.mEjectionCeiling,
                                       MonotonicNow());
    }
  }

  void RefreshRoutingSnapshot()
  {
    RoutingSnapshot routing;
    routing.mEvidence = mServer.mEvidenceStore.Snapshot(MonotonicNow());
    UpdateLastContact();
    routing.mRollouts = mUpkeep.Rollouts();
    mServer.mRoutingSnapshot =
      std::make_shared<const RoutingSnapshot>(std::move(routing));
  }

  /// Records the time if the store or a live peer is reachable, from which this
  /// VM would receive a change of settings.
  ///
  /// NOTE: Peers that cannot reach the store count as well. While no VM reaches
  ///       the store, no VM can receive a change, and a long outage of the
  ///       store alone must not stop the service.
  void UpdateLastContact()
  {
    bool inContact = mServer.mStoreReachable;
    for (const Member& member : mServer.mMembership->Members()) {
      const bool isOther = member.mState.mName != mServer.mNodeSettings.mVmName;
      inContact = inContact || (isOther && member.mHealth == VmHealth::Alive);
    }
    if (inContact) {
      mServer.mLastContact = MonotonicNow();
    }
  }

  /// Applies the latest settings if the root key changed, then waits for its
  /// next change with a single call to the store. While the store does not
  /// answer, new settings arrive from peers.
  void WatchSettings()
  {
    const auto root = mServer.mStore.mRead(kSettingsRootKey);
    mServer.mStoreReachable = root.has_value();
    if (!root) {
      return;
    }
    const std::int64_t revision = *root ? (*root)->mRevision : 0;
    if (revision != mRootRevision && OfferLatestSettings()) {
      mRootRevision = revision;
    }
    (void)mServer.mStore.mWatch(
      kSettingsRootKey, mRootRevision, kSettingsWatchTimeout);
  }

  bool OfferLatestSettings()
  {
    const auto latest = FetchLatest(mServer.mStore);
    if (!latest) {
      Log(LogLevel::Warning,
          "settings",
          "Could not read the settings from the store.",
          { { "error", latest.error().mMessage } });
      return false;
    }
    LogOffer(mServer.mSettings.Offer(*latest), latest->mRoot.mGeneration);
    return true;
  }

  ServerState& mServer;
  const Upkeep& mUpkeep;
  const bool mUsesFixedSettings;
  std::int64_t mRootRevision = 0;
  std::vector<std::unique_ptr<PeriodicThread>> mThreads;
};

Refresher::Refresher(ServerState& aServer, const Upkeep& aUpkeep)
  : mPrivate(std::make_unique<Private>(aServer,
                                       aUpkeep,
                                       aServer.mFixedSettings != nullptr))
{
}

Refresher::~Refresher() = default;

void Refresher::Start()
{
  mPrivate->RefreshEndpointList();
  if (!mPrivate->mUsesFixedSettings) {
    mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
      kSettingsWatchPause, [self = mPrivate.get()] { self->WatchSettings(); }));
  }
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kEndpointListPause,
    [self = mPrivate.get()] { self->RefreshEndpointList(); }));
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kLoadReportPause, [self = mPrivate.get()] { self->RefreshLoadReports(); }));
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kRoutingSnapshotPause,
    [self = mPrivate.get()] { self->RefreshRoutingSnapshot(); }));
  const std::string ratingsAddress =
    mPrivate->mServer.mNodeSettings.mRatingsAddress;
  if (!ratingsAddress.empty()) {
    mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
      kRatingsPause,
      [&server = mPrivate->mServer,
       client = RatingClient(ratingsAddress, kRatingsTimeout)] {
        server.mAnswerRatings.Exchange(
          client, server.mEvidenceStore, server.mSloCounters);
      }));
  }
}

void Refresher::Stop()
{
  mPrivate->mThreads.clear();
}

std::string Refresher::SettingsRecord(std::int64_t aGeneration) const
{
  return mPrivate->mServer.mSettings.Record(aGeneration);
}

void Refresher::OfferSettings(std::int64_t aGeneration,
                              const std::string& aRecord)
{
  // NOTE: The previous incarnation of this VM may have used a newer generation
  //       than an isolated peer has. Therefore the first generation is accepted
  //       from the store only.
  if (mPrivate->mServer.mSettings.Generation() == 0) {
    return;
  }
  LogOffer(mPrivate->mServer.mSettings.Offer(aGeneration, aRecord),
           aGeneration);
}

} // namespace Acaciavale
