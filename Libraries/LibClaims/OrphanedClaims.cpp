#include <Acaciavale/LibClaims/Claims.h>
#include <Acaciavale/LibCore/Log.h>

#include <deque>
#include <mutex>

namespace Acaciavale {

namespace {

constexpr char kLogComponent[] = "claims";
constexpr std::size_t kMaxOrphans = 10'000;
/// Number of release rounds with a store response before a claim is dropped.
constexpr int kReleaseRounds = 5;

struct Orphan
{
  ClaimQuery mQuery;
  int mRoundsLeft = kReleaseRounds;
};

} // namespace

struct OrphanedClaims::Private
{
  mutable std::mutex mMutex;
  std::deque<Orphan> mOrphans;

  std::deque<Orphan> RemoveAll()
  {
    const std::lock_guard lock(mMutex);
    return std::exchange(mOrphans, {});
  }

  void Add(Orphan aOrphan)
  {
    const std::lock_guard lock(mMutex);
    if (mOrphans.size() == kMaxOrphans) {
      mOrphans.pop_front();
      Log(LogLevel::Warning,
          kLogComponent,
          "Too many claims wait for release; an idempotency key stays blocked.",
          {});
    }
    mOrphans.push_back(std::move(aOrphan));
  }
};

OrphanedClaims::OrphanedClaims()
  : mPrivate(std::make_unique<Private>())
{
}

OrphanedClaims::~OrphanedClaims() = default;

void OrphanedClaims::Add(const ClaimQuery& aQuery)
{
  // NOTE: Without a nonce, the orphan could not be distinguished from a claim
  //       that another request of this VM acquired later.
  if (!aQuery.mNonce.empty()) {
    mPrivate->Add({ aQuery });
  }
}

void OrphanedClaims::Release(const KeyValueStore& aStore)
{
  for (Orphan& orphan : mPrivate->RemoveAll()) {
    const auto released = ReleaseClaim(aStore, orphan.mQuery);
    const bool storeResponded =
      released || released.error().mCode == ErrorCode::Conflict;
    if (storeResponded) {
      --orphan.mRoundsLeft;
    }
    if (orphan.mRoundsLeft > 0) {
      mPrivate->Add(std::move(orphan));
    }
  }
}

std::size_t OrphanedClaims::size() const
{
  const std::lock_guard lock(mPrivate->mMutex);
  return mPrivate->mOrphans.size();
}

} // namespace Acaciavale
