#include "Refresher.h"

#include <Acaciavale/LibCore/Log.h>
#include <Acaciavale/LibSettings/SettingsStore.h>
#include <asio/post.hpp>
#include <condition_variable>
#include <mutex>
#include <thread>

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

/// Calls an action over and over until it is stopped.
class PeriodicThread
{
public:
  PeriodicThread(Duration aPeriod, std::function<void()> aAction)
    : mPeriod(aPeriod)
    , mAction(std::move(aAction))
    , mThread([this] { Run(); })
  {
  }

  ~PeriodicThread()
  {
    {
      const std::lock_guard guard(mLock);
      mStop = true;
    }
    mWake.notify_all();
    mThread.join();
  }

  PeriodicThread(const PeriodicThread&) = delete;
  PeriodicThread& operator=(const PeriodicThread&) = delete;

private:
  void Run()
  {
    std::unique_lock lock(mLock);
    while (!mStop) {
      lock.unlock();
      mAction();
      lock.lock();
      mWake.wait_for(lock, mPeriod, [this] { return mStop; });
    }
  }

  const Duration mPeriod;
  const std::function<void()> mAction;
  std::mutex mLock;
  std::condition_variable mWake;
  bool mStop = false;
  std::thread mThread;
};

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
  Private(ServerParts& aParts, std::optional<Settings> aFixed)
    : mParts(aParts)
    , mFixed(std::move(aFixed))
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
    mParts.mKnowledge = std::make_shared<const Knowledge>(std::move(knowledge));
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
  std::optional<Settings> mFixed;
  std::int64_t mRootRevision = 0;
  std::vector<std::unique_ptr<PeriodicThread>> mThreads;
};

Refresher::Refresher(ServerParts& aParts, std::optional<Settings> aFixed)
  : mPrivate(std::make_unique<Private>(aParts, std::move(aFixed)))
{
  if (mPrivate->mFixed) {
    aParts.mFixedSettings = std::make_shared<const Settings>(*mPrivate->mFixed);
  }
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
        parts.mRatings.Exchange(client, parts.mEvidence, MonotonicNow());
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
  NoteOffer(mPrivate->mParts.mSettings.Offer(aGeneration, aRecord),
            aGeneration);
}

void Refresher::CloseLedgerOf(const Incarnation& aIncarnation)
{
  asio::post(
    mPrivate->mParts.mBlocking, [&parts = mPrivate->mParts, aIncarnation] {
      const auto closed =
        CloseLedger(parts.mStore, aIncarnation, parts.mHeld.Of(aIncarnation));
      if (!closed) {
        Log(
          LogLevel::Warning,
          "bills",
          "A dead VM's ledger could not be closed.",
          { { "vm", aIncarnation.mVm }, { "error", closed.error().mMessage } });
      }
    });
}

EvidenceView Refresher::TakeEvidence()
{
  return mPrivate->mParts.mEvidence.TakeReport();
}

void Refresher::MergeEvidence(const EvidenceView& aEvidence)
{
  mPrivate->mParts.mEvidence.Merge(aEvidence, MonotonicNow());
}

} // namespace Acaciavale
