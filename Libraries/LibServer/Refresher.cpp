#include "Refresher.h"

#include "PeriodicThread.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibSettings/SettingsStore.h>

namespace Acaciavale {

namespace {

constexpr auto kListPeriod = std::chrono::milliseconds(500);
constexpr auto kLoadPeriod = std::chrono::milliseconds(500);
constexpr auto kLoadDeadline = std::chrono::milliseconds(200);
constexpr auto kKnowledgePeriod = std::chrono::milliseconds(200);
constexpr auto kRatingsPeriod = std::chrono::milliseconds(1000);
constexpr auto kRatingsDeadline = std::chrono::milliseconds(500);
constexpr auto kSettingsPause = std::chrono::milliseconds(250);
constexpr auto kSettingsWatch = std::chrono::seconds(5);
constexpr auto kListDeadline = std::chrono::milliseconds(400);

} // namespace

namespace {

/// Says what came of settings that were offered.
void NoteOffer(const ErrorOr<bool>& aTaken, std::int64_t aGeneration)
{
  if (!aTaken) {
    Log(LogLevel::Warning,
        "settings",
        "Offered settings were not taken.",
        { { "generation", std::to_string(aGeneration) },
          { "error", aTaken.error().mMessage } });
  } else if (*aTaken) {
    Log(LogLevel::Info,
        "settings",
        "Settings are in force.",
        { { "generation", std::to_string(aGeneration) } });
  }
}

} // namespace

struct Refresher::Private
{
  Private(ServerParts& aParts, const Upkeep& aUpkeep, bool aFixed)
    : mParts(aParts)
    , mUpkeep(aUpkeep)
    , mFixed(aFixed)
  {
  }

  void RefreshList()
  {
    const auto list =
      FetchEndpointList(mParts.mNode.mEndpointListAddress, kListDeadline);
    if (!list) {
      // NOTE: The last list stays in use: an endpoint that is gone fails its
      //       requests and is ejected, which a missing list cannot tell.
      Log(LogLevel::Warning,
          "endpoints",
          "The list of endpoints cannot be read.",
          { { "error", list.error().mMessage } });
      return;
    }
    mParts.mEndpoints.TakeList(*list);
  }

  /// Asks each endpoint in turn for its load.
  void RefreshLoad()
  {
    const auto snapshot = mParts.mEndpoints.Snapshot();
    for (const auto& endpoint : snapshot->mAll) {
      const auto report =
        FetchLoadReport(endpoint->Listing().mAddress, kLoadDeadline);
      if (report) {
        endpoint->RecordReport(*report, MonotonicNow());
      }
    }
    if (const auto settings = mParts.CurrentSettings()) {
      mParts.mEndpoints.EjectOutliers(settings->mDeployment.mEjectionCeiling,
                                      MonotonicNow());
    }
  }

  void RefreshKnowledge()
  {
    Knowledge knowledge;
    knowledge.mEvidence = mParts.mEvidence.Snapshot(MonotonicNow());
    NoteHeard();
    knowledge.mRollouts = mUpkeep.Rollouts();
    mParts.mKnowledge = std::make_shared<const Knowledge>(std::move(knowledge));
  }

  /// Notes whether anything is heard from which a change of settings would be
  /// learnt: the store, or a peer.
  ///
  /// NOTE: Peers that do not see the store either count too. While nobody sees
  ///       it nobody can be told of a change, and a long outage of the store
  ///       alone must not stop the service.
  void NoteHeard()
  {
    bool heard = mParts.mSeesStore;
    for (const Member& member : mParts.mMembership->Members()) {
      const bool other = member.mState.mName != mParts.mNode.mVm;
      heard = heard || (other && member.mHealth == VmHealth::Alive);
    }
    if (heard) {
      mParts.mLastHeard = MonotonicNow();
    }
  }

  /// Takes the root if it changed, then waits for its next change. The wait
  /// is one call of the store; where the store does not answer, peers tell.
  void WatchSettings()
  {
    const auto root = mParts.mStore.mRead(kSettingsRootKey);
    mParts.mSeesStore = root.has_value();
    if (!root) {
      return;
    }
    const std::int64_t revision = *root ? (*root)->mRevision : 0;
    if (revision != mRootRevision && TakeLatest()) {
      mRootRevision = revision;
    }
    (void)mParts.mStore.mWatch(kSettingsRootKey, mRootRevision, kSettingsWatch);
  }

  bool TakeLatest()
  {
    const auto latest = FetchLatest(mParts.mStore);
    if (!latest) {
      Log(LogLevel::Warning,
          "settings",
          "The settings cannot be read.",
          { { "error", latest.error().mMessage } });
      return false;
    }
    NoteOffer(mParts.mSettings.Offer(*latest), latest->mRoot.mGeneration);
    return true;
  }

  ServerParts& mParts;
  const Upkeep& mUpkeep;
  const bool mFixed;
  std::int64_t mRootRevision = 0;
  std::vector<std::unique_ptr<PeriodicThread>> mThreads;
};

Refresher::Refresher(ServerParts& aParts, const Upkeep& aUpkeep)
  : mPrivate(std::make_unique<Private>(aParts,
                                       aUpkeep,
                                       aParts.mFixedSettings != nullptr))
{
}

Refresher::~Refresher() = default;

void Refresher::Start()
{
  mPrivate->RefreshList();
  if (!mPrivate->mFixed) {
    mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
      kSettingsPause, [self = mPrivate.get()] { self->WatchSettings(); }));
  }
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kListPeriod, [self = mPrivate.get()] { self->RefreshList(); }));
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kLoadPeriod, [self = mPrivate.get()] { self->RefreshLoad(); }));
  mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
    kKnowledgePeriod, [self = mPrivate.get()] { self->RefreshKnowledge(); }));
  const std::string ratings = mPrivate->mParts.mNode.mRatingsAddress;
  if (!ratings.empty()) {
    mPrivate->mThreads.push_back(std::make_unique<PeriodicThread>(
      kRatingsPeriod,
      [&parts = mPrivate->mParts,
       client = RatingClient(ratings, kRatingsDeadline)] {
        parts.mRatings.Exchange(client, parts.mEvidence, parts.mObjectives);
      }));
  }
}

void Refresher::Stop()
{
  mPrivate->mThreads.clear();
}

std::string Refresher::SettingsBody(std::int64_t aGeneration) const
{
  return mPrivate->mParts.mSettings.Record(aGeneration);
}

void Refresher::OfferSettings(std::int64_t aGeneration,
                              const std::string& aRecord)
{
  // NOTE: The last life of this VM may have served a newer generation than a
  //       peer that was cut off has. So the first one comes from the store.
  if (mPrivate->mParts.mSettings.Generation() == 0) {
    return;
  }
  NoteOffer(mPrivate->mParts.mSettings.Offer(aGeneration, aRecord),
            aGeneration);
}

} // namespace Acaciavale
